package gateway

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// updateInterval is how often other entries get an update when nothing has changed.
	updateInterval = 500 * time.Millisecond
	// updateDebounce is how long changes are collected before an update is sent.
	updateDebounce = 5 * time.Millisecond
	// peerTimeout is how long another entry counts as running after its last update.
	peerTimeout = 4 * time.Second
)

func (c *control) sendPeerUpdate() {
	c.updatePending = false
	now := time.Now()
	c.lastUpdateSent = now
	update := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.incarnation, Sequence: c.sequence,
		Work: map[request.TargetID][3]int{}, KVCopies: c.copiesForUpdate(now), Usage: map[string][2]int{},
		Ready: c.gateway.ready(), LinkMbps: c.gateway.settings.LinkMbps,
	}
	for service, budget := range c.budgets {
		usage := budget.Usage(now)
		update.Usage[service] = [2]int{usage.Requests, usage.Retries}
	}
	update.Down = recent(now, c.recentlyDown)
	update.Replaced = recent(now, c.recentlyReplaced)
	update.SetFailureRates(c.table.FailureRates(now))
	update.CachedPrompts = recent(now, c.discoveredPrompts)
	update.Successors = recent(now, c.recentSuccessors)
	c.sequence++
	for id, work := range c.table.LocalWork() {
		update.SetWork(id, work)
	}
	if len(c.peers) > 1 {
		c.broadcast(now, c.updateScheduler.Compose(now, update))
	}
}

// sendPartialUpdate tells other entries at once which engines were given prompts: until
// they know, those engines look idle to them.
func (c *control) sendPartialUpdate() {
	placed, now := c.newlyPlaced, time.Now()
	c.newlyPlaced = nil
	if len(placed) == 0 || len(c.peers) <= 1 || !c.updateScheduler.PartialAllowed(now) {
		return
	}
	update := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.incarnation, Sequence: c.sequence, Partial: true,
		Work: make(map[request.TargetID][3]int, len(placed)),
	}
	for _, id := range placed {
		if t := c.table.Get(id); t != nil {
			update.SetWork(id, t.LocalWork())
		}
	}
	c.sequence++
	c.broadcast(now, update)
}

// broadcast sends an update to all other entries.
func (c *control) broadcast(now time.Time, update peers.Update) {
	addresses := make([]string, 0, len(c.peers))
	for name, address := range c.peers {
		if name != c.gateway.settings.Name {
			addresses = append(addresses, address)
		}
	}
	bytes, err := c.gateway.peers.Send(update, addresses)
	if err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
	c.updateScheduler.RecordSent(now, update, bytes, len(addresses), c.slowestLink())
}

// slowestLink returns the lowest known bandwidth of the entries' links, or zero if none
// is known.
func (c *control) slowestLink() float64 {
	slowest := c.gateway.settings.LinkMbps
	for _, update := range c.peerUpdates {
		if link := update.LinkMbps; link > 0 && (slowest <= 0 || link < slowest) {
			slowest = link
		}
	}
	return slowest
}

// recent returns the keys recorded within the last updateInterval and deletes the
// others.
func recent[K comparable](now time.Time, times map[K]time.Time) []K {
	var keys []K
	for key, at := range times {
		if now.Sub(at) > updateInterval {
			delete(times, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// receivePeerUpdates processes the updates of other entries until the process stops.
func (g *Gateway) receivePeerUpdates() {
	for g.background.Err() == nil {
		update, err := g.peers.Receive()
		if err != nil {
			if g.background.Err() == nil {
				g.log.Event("peers_lost", "error", err.Error())
				time.Sleep(checkInterval)
			}
			continue
		}
		g.control.post(func() { g.control.handlePeerUpdate(update) })
	}
}

func (c *control) handlePeerUpdate(update peers.Update) {
	now := time.Now()
	_, known := c.peerLastSeen[update.Entry]
	if update.Partial {
		if known && c.peerUpdates[update.Entry].Incarnation == update.Incarnation {
			c.mergePeerUpdate(now, update)
		}
		return
	}
	if !known {
		c.updateScheduler.ForceFull()
		c.updatePending = true
	}
	c.peerLastSeen[update.Entry] = now
	c.mergePeerUpdate(now, update)
	for _, id := range update.Down {
		c.handlePeerDown(now, id)
	}
	for _, id := range update.Replaced {
		c.table.MarkReplaced(id)
	}
	for _, prompt := range update.CachedPrompts {
		c.promptIndex.Record(now, prompt.Session, prompt.Location)
	}
	if !c.registry.StoreUnavailable() {
		return
	}
	for _, s := range update.Successors {
		c.adoptSuccessor(s)
	}
}

// mergePeerUpdate merges an update into what is known of another entry's work at the
// targets.
func (c *control) mergePeerUpdate(now time.Time, update peers.Update) {
	merged := peers.Merge(c.peerUpdates[update.Entry], update)
	c.table.UpdatePeer(now, update.Entry, merged.PeerState())
	c.peerUpdates[update.Entry] = merged
}

// handlePeerDown handles a report of another entry that a target is down. A target on
// which this entry has running attempts is probed instead of being marked down.
func (c *control) handlePeerDown(now time.Time, id request.TargetID) {
	t := c.table.Get(id)
	if t == nil || t.Down(now) {
		return
	}
	m, monitored := c.monitors[id]
	if monitored && len(m.attempts) > 0 {
		c.probe(m)
		return
	}
	c.table.MarkDownByPeer(now, id)
	c.replaceCopiesOn(id)
	c.gateway.pool.CloseIdle(t.Address)
}

// peerUsage returns the other entries' usage of a service's retry budget, or nil unless
// each of them sent an update recently.
func (c *control) peerUsage(now time.Time, service string) []admission.Usage {
	usages := []admission.Usage{}
	for name := range c.peers {
		if name == c.gateway.settings.Name {
			continue
		}
		seen, known := c.peerLastSeen[name]
		if !known || now.Sub(seen) > 2*updateInterval {
			return nil
		}
		usage := c.peerUpdates[name].Usage[service]
		usages = append(usages, admission.Usage{Requests: usage[0], Retries: usage[1]})
	}
	return usages
}

// anyPeerReady reports whether another entry is known to accept requests.
func (c *control) anyPeerReady() bool {
	for name, update := range c.peerUpdates {
		if _, known := c.peerLastSeen[name]; known && update.Ready {
			return true
		}
	}
	return false
}
