package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// cachedPromptsTimeout is how long an engine may take to list the prompts that it
	// caches.
	cachedPromptsTimeout = 200 * time.Millisecond
	// minPromptTokens is the least size in tokens of prompts worth recording: the
	// prefill of shorter ones takes a few milliseconds.
	minPromptTokens = 400
	// maxDiscoveredPrompts is how many prompts an entry may have discovered before it
	// ignores the lists of further engines: the prompts that it reports to the others
	// are to fit into a datagram.
	maxDiscoveredPrompts = 800
)

// discoverCachedPrompts asks this entry's part of the engines once which prompts they
// cache, unless the whole system starts for the first time.
func (g *Gateway) discoverCachedPrompts() {
	if g.settings.FirstStart {
		return
	}
	select {
	case <-g.synced:
	case <-g.background.Done():
		return
	}
	start := time.Now()
	var engines []placement.Registration
	g.control.do(func() { engines = g.control.enginesToQuery() })
	var group sync.WaitGroup
	for _, engine := range engines {
		group.Go(func() { g.queryCachedPrompts(engine) })
	}
	group.Wait()
	g.log.Event("prompts_located", "engines", len(engines), "took", time.Since(start))
}

// enginesToQuery returns the engines that this entry is responsible for asking.
func (c *control) enginesToQuery() []placement.Registration {
	entries := make([]string, 0, len(c.peers))
	for name := range c.peers {
		entries = append(entries, name)
	}
	var engines []placement.Registration
	for _, t := range c.table.Engines() {
		if prompts.IsResponsible(c.gateway.settings.Name, entries, t.ID) {
			engines = append(engines, t.Registration)
		}
	}
	return engines
}

// queryCachedPrompts asks one engine for its cached prompts and records them.
func (g *Gateway) queryCachedPrompts(engine placement.Registration) {
	g.metrics.probes.Add(g.background, 1)
	status, body, err := g.callEngine(g.background, engine, platform.CachedPromptsCall(), maxIdleTime, cachedPromptsTimeout)
	var parts []request.PromptPart
	if err == nil {
		parts, err = platform.DecodeCachedPrompts(status, body)
	}
	if err != nil {
		g.log.Event("prompts_not_located", "target", engine.ID, "error", err.Error())
		return
	}
	parts = slices.DeleteFunc(parts, func(p request.PromptPart) bool { return p.Tokens < minPromptTokens })
	g.control.post(func() {
		c := g.control
		if len(c.discoveredPrompts) >= maxDiscoveredPrompts {
			return
		}
		for _, part := range parts {
			location := prompts.Location{Target: engine.ID, Incarnation: engine.Incarnation, Tokens: part.Tokens}
			c.promptIndex.Record(time.Now(), part.ID, location)
			c.discoveredPrompts[peers.CachedPrompt{Session: part.ID, Location: location}] = time.Now()
		}
		c.updatePending = true
	})
}
