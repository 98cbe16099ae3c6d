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
	// heldWithin is how long an engine may take to list the prompts that it holds.
	heldWithin = 200 * time.Millisecond
	// leastHeld is the size in tokens of prompts that are worth looking for: shorter ones
	// are read in a few milliseconds.
	leastHeld = 400
	// mostHeld bounds the prompts that one entry tells the others of, so that they fit
	// into a datagram.
	mostHeld = 800
)

// discoverCachedPrompts asks the engines which prompts they hold, once, after a start that is
// not the first of the whole system.
func (g *Gateway) discoverCachedPrompts() {
	if g.settings.FirstStart {
		return
	}
	select {
	case <-g.synced:
	case <-g.background.Done():
		return
	}
	begun := time.Now()
	var asked []placement.Registration
	g.control.do(func() { asked = g.control.enginesToAsk() })
	var wait sync.WaitGroup
	for _, engine := range asked {
		wait.Go(func() { g.locateAt(engine) })
	}
	wait.Wait()
	g.log.Event("prompts_located", "engines", len(asked), "took", time.Since(begun))
}

// enginesToAsk returns the engines that this entry asks for what they hold.
func (c *control) enginesToAsk() []placement.Registration {
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

// locateAt asks one engine for what it holds.
func (g *Gateway) locateAt(engine placement.Registration) {
	g.metrics.probes.Add(g.background, 1)
	status, body, err := g.callEngine(g.background, engine.Address, platform.CachedPromptsCall(), reuseMost, heldWithin)
	var parts []request.PromptPart
	if err == nil {
		parts, err = platform.DecodeCachedPrompts(status, body)
	}
	if err != nil {
		g.log.Event("prompts_not_located", "target", engine.ID, "error", err.Error())
		return
	}
	parts = slices.DeleteFunc(parts, func(p request.PromptPart) bool { return p.Tokens < leastHeld })
	g.control.post(func() {
		c := g.control
		if len(c.discoveredPrompts) >= mostHeld {
			return
		}
		for _, part := range parts {
			place := prompts.Location{Target: engine.ID, Incarnation: engine.Incarnation, Tokens: part.Tokens}
			c.promptIndex.Record(time.Now(), part.ID, place)
			c.discoveredPrompts[peers.CachedPrompt{Session: part.ID, Place: place}] = time.Now()
		}
		c.updatePending = true
	})
}
