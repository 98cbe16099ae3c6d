package gateway

import (
	"bytes"
	"compress/gzip"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
)

const (
	// knowledgePeriod is how long after a new era began entries tell each other what they know beside
	// the store: until nothing is held against the copy any more.
	knowledgePeriod = 12 * time.Second
	// knowledgeWait is how long an entry that starts waits for what the others know, and
	// knowledgeLastWait how long after the last answer: some of them may have ended.
	knowledgeWait     = questionTimeout
	knowledgeLastWait = 40 * time.Millisecond
	// questionTTL is how long answers to a question count.
	questionTTL = 2 * time.Second
	// maxAskedEntries limits how many entries one that starts asks.
	maxAskedEntries = 32
	// maxKnownTargets limits the targets, and maxDocumentBytes the compressed configuration, that a
	// message holds.
	maxKnownTargets  = 64
	maxDocumentBytes = 20 << 10
	// maxPackedDocument is the size of a configuration that does not compress to maxDocumentBytes.
	maxPackedDocument = 10 * maxDocumentBytes
	// maxConfigurationBytes limits a configuration that is received from another entry.
	maxConfigurationBytes = 16 << 20
)

// nextQuestion returns the ID of a new question. It is random, so that only the entry that was asked can
// answer.
func (c *control) nextQuestion() uint64 {
	now := time.Now()
	for id, asked := range c.questions {
		if now.Sub(asked) > questionTTL {
			delete(c.questions, id)
		}
	}
	id := max(1, rand.Uint64()) //nolint:gosec // guessing is as hard as with any other generator of 64 bits that nobody sees
	c.questions[id] = now
	return id
}

// configurationVersion returns the version of the configuration in force, zero if there is none.
func (g *Gateway) configurationVersion() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// ownKnowledge returns what this entry knows beside the store.
func (c *control) ownKnowledge() *peers.Knowledge {
	targets := c.registry.Knowledge()
	knowledge := &peers.Knowledge{
		Version: c.gateway.configurationVersion(), Targets: targets[:min(len(targets), maxKnownTargets)],
	}
	if left := time.Until(c.entriesReturnUntil); left > 0 {
		knowledge.EntriesReturn = left
	}
	if left := c.silenceLeft(time.Now()); left > 0 {
		knowledge.PeersSilent = left
	}
	return knowledge
}

// knowledgeFor returns what this entry knows beside the store, for one that knows what is given. A
// configuration that is too long for a datagram is left out: the other entry finds a later version and asks
// for it over a connection.
func (c *control) knowledgeFor(other peers.Knowledge) *peers.Knowledge {
	knowledge := c.ownKnowledge()
	if knowledge.Version <= other.Version || c.gateway.configurationSize() > maxPackedDocument {
		return knowledge
	}
	if document, err := c.gateway.compressedConfiguration(); err == nil && len(document) <= maxDocumentBytes {
		knowledge.Document = document
	}
	return knowledge
}

// compressedConfiguration returns the configuration in force, compressed.
func (g *Gateway) compressedConfiguration() ([]byte, error) {
	value := g.configuration.Load()
	if value == nil {
		return nil, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(*value)
	if err == nil {
		err = w.Close()
	}
	return compressed.Bytes(), errors.WithStack(err)
}

// handleKnowledge learns from the answer of an entry to a question of this one.
func (c *control) handleKnowledge(question uint64, k peers.Knowledge, from netip.AddrPort) {
	if _, asked := c.questions[question]; !asked {
		return
	}
	c.learn(k, netip.AddrPort{})
	g := c.gateway
	go g.protect("configuration of another entry", func() {
		defer func() {
			select {
			case g.knowledgeLearned <- struct{}{}:
			default:
			}
		}()
		if k.Version <= g.configurationVersion() {
			return
		}
		document := k.Document
		if len(document) == 0 {
			document = g.fetchDocument(k.Version, from)
		}
		if len(document) == 0 {
			return
		}
		if err := g.adoptDocument(document); err != nil {
			g.log.Event("configuration_unreadable", "version", k.Version, "error", err.Error())
		}
	})
}

// fetchDocument asks another entry for its configuration over a connection, one at a time: after a drill, many
// have it. It returns nil if that fails, or a later version was learned meanwhile.
func (g *Gateway) fetchDocument(version int64, from netip.AddrPort) []byte {
	g.documentMu.Lock()
	defer g.documentMu.Unlock()
	if version <= g.configurationVersion() {
		return nil
	}
	question := &peers.SyncQuestion{ID: 1, Knowledge: &peers.Knowledge{Version: g.configurationVersion()}, Packed: true}
	message := peers.Update{Entry: g.settings.Name, Partial: true, Question: question}
	response, err := g.peers.Ask(g.withAllowance(transferTimeout, nil), from.String(), message)
	switch {
	case err != nil:
		g.log.Event("transfer_failed", "address", from.String(), "error", err.Error())
		return nil
	case response.Answer == nil || response.Answer.Knowledge == nil:
		return nil
	}
	return response.Answer.Knowledge.Document
}

// adoptDocument makes a configuration of another entry the one in force.
func (g *Gateway) adoptDocument(compressed []byte) error {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return errors.WithStack(err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	document, err := platform.DecodeConfiguration(value)
	if err != nil {
		return err
	}
	if g.adoptConfiguration(document, value, 0) {
		g.log.Event("configuration_learned", "version", document.Version)
	}
	return nil
}

// isPeerAt reports whether an entry is registered at an address.
func (c *control) isPeerAt(entry string, address netip.AddrPort) bool {
	p, registered := c.peers[entry]
	return registered && p.address == netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String()
}

// learn learns what another entry knows beside the store. Of one that asks from an address and has a
// later configuration, that is asked for.
func (c *control) learn(k peers.Knowledge, from netip.AddrPort) {
	now := time.Now()
	for _, target := range k.Targets[:min(len(k.Targets), maxKnownTargets)] {
		known := c.table.Get(target.ID)
		if !c.registry.Learn(now, target) {
			continue
		}
		c.gateway.log.Event("kept_against_copy", "target", target.ID, "incarnation", target.Statement.Incarnation,
			"removed", target.Removed, "leaving", target.Statement.Draining, "source", "another entry")
		if known == nil {
			continue
		}
		c.withheld[target.ID] = known.Registration
		if target.Removed {
			c.deregister(target.ID, "removed before the store went back")
			continue
		}
		r := known.Registration
		r.Draining = true
		c.use(r)
	}
	if !c.gateway.isSynced() {
		c.learnUnknownRuns(now, k)
	}
	if k.Version <= c.gateway.configurationVersion() {
		return
	}
	if k.Version > c.latestVersion {
		c.latestVersion = k.Version
		c.gateway.log.Event("configuration_superseded", "version", c.gateway.configurationVersion(), "known", k.Version)
		c.updateSuperseded()
	}
	if from.IsValid() {
		position := c.storeHistory.Position()
		question := &peers.SyncQuestion{ID: c.nextQuestion(), Revision: position.Revision, Era: position.Era, Knowledge: c.ownKnowledge()}
		c.sendQuestion(question, from.String())
	}
}

// silenceLeft returns how long callers may come back from entries whose runs are not known.
func (c *control) silenceLeft(now time.Time) time.Duration {
	until := c.peerSilentUntil
	for _, ends := range c.departed {
		if ends = ends.Add(callerReturnTime); ends.After(until) {
			until = ends
		}
	}
	return until.Sub(now)
}

// learnUnknownRuns learns, as this entry starts, of entries whose runs another one does not know: they may
// not be registered any more, or not yet again.
func (c *control) learnUnknownRuns(now time.Time, k peers.Knowledge) {
	if k.EntriesReturn > 0 {
		c.runsUnknownUntil = now.Add(min(k.EntriesReturn, entryReturnTime) + peerDiscoveryTime)
	}
	if until := now.Add(min(k.PeersSilent, maxStreamTime+callerReturnTime)); k.PeersSilent > 0 && until.After(c.peerSilentUntil) {
		c.peerSilentUntil = until
	}
}

func (c *control) sendQuestion(question *peers.SyncQuestion, addresses ...string) {
	message := peers.Update{Entry: c.gateway.settings.Name, Partial: true, Question: question}
	if _, err := c.gateway.peers.Send(message, addresses); err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
}

// updateSuperseded determines whether another entry has a later configuration than this one. Until it
// is known here too, keys that it withdraws must not be accepted.
func (c *control) updateSuperseded() {
	next := *c.freshness.Load()
	next.SetSuperseded(c.latestVersion > c.gateway.configurationVersion())
	c.freshness.Store(&next)
}

// isSynced reports whether this entry has read the store since its start.
func (g *Gateway) isSynced() bool {
	select {
	case <-g.synced:
		return true
	default:
		return false
	}
}

// learnFromPeers asks the others what they know beside the store, before this entry serves: the store
// may have come back from an older copy just now.
func (w *storeWatcher) learnFromPeers() {
	g := w.gateway
	if g.settings.FirstStart {
		return
	}
	asked := 0
	g.control.do(func() {
		c := g.control
		for name, p := range c.peers {
			if name == g.settings.Name || asked >= maxAskedEntries {
				continue
			}
			question := &peers.SyncQuestion{
				ID: c.nextQuestion(), Revision: w.position.Revision, Era: w.position.Era, Knowledge: c.ownKnowledge(),
			}
			c.sendQuestion(question, p.address)
			asked++
		}
	})
	end := time.NewTimer(knowledgeWait)
	defer end.Stop()
	for range asked {
		select {
		case <-g.knowledgeLearned:
			end.Reset(knowledgeLastWait)
		case <-end.C:
			return
		case <-g.background.Done():
			return
		}
	}
}
