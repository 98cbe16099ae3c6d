package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// updateInterval is how often other entries get an update when nothing has changed.
	updateInterval = 500 * time.Millisecond
	// updateDebounce is how long changes are collected before an update is sent.
	updateDebounce = 5 * time.Millisecond
	// minPeerTimeout is how long another entry counts as running after its last update, or
	// peerTimeoutPeriods times the period of updates if that is longer.
	minPeerTimeout     = 4 * time.Second
	peerTimeoutPeriods = 4
	// callerReturnTime is how long the callers of an entry that has ended take to come back elsewhere:
	// they open a new connection at once, and again a second later if that fails.
	callerReturnTime = 4 * time.Second
	// maxStreamTime limits the time limit of streams for which an entry that was lost is expected to
	// serve on.
	maxStreamTime = time.Minute
	// maxUnregisteredPeers is how many senders may be known that are not registered as entries.
	// Those that start just register; anybody else may send datagrams under any number of names.
	maxUnregisteredPeers = 16
)

// updatePeriod returns the longest time between two updates of an entry.
func (c *control) updatePeriod() time.Duration {
	return max(updateInterval, peers.UpdatePeriod(len(c.peers)))
}

// peerTimeout returns how long another entry counts as running after its last update.
func (c *control) peerTimeout() time.Duration {
	return max(minPeerTimeout, peerTimeoutPeriods*c.updatePeriod())
}

// registerPeer records the registration of an entry. A new one is told of everything at once: what it
// does not know yet may be lost with this entry.
func (c *control) registerPeer(now time.Time, name string, record entryRecord) {
	known, ok := c.peers[name]
	returned := known.missing && name == c.gateway.settings.Name
	if !ok || known.address != record.Peers || returned {
		known.registeredAt = now
		c.updateScheduler.ForceFull()
		c.updatePending = true
	}
	c.peers[name] = peer{
		address: record.Peers, failureDomain: record.FailureDomain, linkMbps: record.LinkMbps, registeredAt: known.registeredAt,
	}
}

// lapsePeer records that an entry is not registered any more. While it sends updates it is running and
// has to be told of this entry's work, so it stays known until it falls silent.
func (c *control) lapsePeer(name string) {
	p, known := c.peers[name]
	if known && time.Now().Before(c.entriesReturnUntil) {
		p.missing = true
		c.peers[name] = p
		return
	}
	if _, heard := c.peerLastSeen[name]; known && heard {
		p.lapsed = true
		c.peers[name] = p
		return
	}
	if known {
		c.removePeer(time.Now(), name)
	}
}

// removePeer removes an entry that is neither registered nor heard. It may be out of touch with the store
// and this entry and serve on, and the streams that have begun there meanwhile are not known.
func (c *control) removePeer(now time.Time, name string) {
	delete(c.peers, name)
	if table := c.gateway.table.Load(); table != nil && name != c.gateway.settings.Name {
		c.departed[name] = now.Add(min(table.LongestStream(), maxStreamTime))
	}
}

// removeSilentPeers removes the entries that were not heard for too long.
func (c *control) removeSilentPeers(now time.Time) {
	for name, seen := range c.peerLastSeen {
		if now.Sub(seen) <= c.peerTimeout() {
			continue
		}
		delete(c.peerLastSeen, name)
		delete(c.peerUpdates, name)
		c.kvCopies.Lost(now, name, 0, now)
		c.table.RemovePeer(name)
		if c.peers[name].lapsed {
			c.removePeer(now, name)
			c.peersChanged()
		}
	}
}

// updateRunKnowledge determines whether the runs of all other entries are known.
func (c *control) updateRunKnowledge(now time.Time) {
	self := c.gateway.settings.Name
	silent := ""
	for name, p := range c.peers {
		if name == self || now.Sub(p.registeredAt) <= peerDiscoveryTime {
			continue
		}
		// After a pause of this process, requests may come before the check that removes silent peers.
		if seen, heard := c.peerLastSeen[name]; !heard || now.Sub(seen) > c.peerTimeout() {
			silent = name
			c.peerSilentUntil = now.Add(callerReturnTime)
		}
	}
	for name, until := range c.departed {
		if !now.Before(until) {
			delete(c.departed, name)
			continue
		}
		silent = name
		c.peerSilentUntil = now.Add(callerReturnTime)
	}
	knowledge := kvcopies.Complete
	own, registered := c.peers[self]
	switch {
	case !registered || own.missing || now.Before(c.runsUnknownUntil) || own.address != c.gateway.peers.Address() || now.Sub(own.registeredAt) < peerDiscoveryTime:
		knowledge = kvcopies.Unannounced
	case now.Before(c.peerSilentUntil):
		knowledge = kvcopies.PeerSilent
	}
	if knowledge != c.kvCopies.Knowledge() {
		c.gateway.log.Event("run_knowledge", "state", knowledge.String(), "silent", silent, "entries", len(c.peers))
	}
	c.kvCopies.SetKnowledge(knowledge)
}

// peersChanged passes the registered entries to the placement.
func (c *control) peersChanged() {
	self := c.gateway.settings.Name
	entries := []string{self}
	for name := range c.peers {
		if name != self {
			entries = append(entries, name)
		}
	}
	c.table.SetEntries(self, entries)
	c.rollouts.SetEntries(len(entries))
	c.table.SetPeerStateTTL(peerTimeoutPeriods * c.updatePeriod())
}

func (c *control) sendPeerUpdate() {
	c.updatePending = false
	now := time.Now()
	c.lastUpdateSent = now
	update := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.incarnation, Sequence: c.sequence,
		Work: map[request.TargetID][3]int{}, Runs: c.kvCopies.Own(now), Usage: map[string][2]int{},
		Ready: c.gateway.ready(), LinkMbps: c.gateway.settings.LinkMbps,
	}
	for service, budget := range c.budgets {
		usage := budget.Usage(now)
		update.Usage[service] = [2]int{usage.Requests, usage.Retries}
	}
	update.CallsInFlight = c.callQueue.inFlight()
	update.AmbiguousRuns = c.kvCopies.Conflicts()
	update.Origins = c.origins.Own(now)
	update.Down = recent(now, c.recentlyDown)
	update.Replaced = recent(now, c.recentlyReplaced)
	update.Draining = recent(now, c.recentlyDraining)
	update.SetFailureRates(c.table.FailureRates(now))
	update.SetSpeeds(c.table.Speeds(now))
	update.CachedPrompts = recent(now, c.discoveredPrompts)
	update.Successors = recent(now, c.recentSuccessors)
	c.addQuarantine(now, &update)
	c.reportRollouts(now, &update)
	c.sequence++
	for id := range c.table.LocalWork() {
		update.SetWork(id, c.table.Get(id).ReportedWork())
	}
	if c.hasPeers() {
		c.send(now, c.updateScheduler.Compose(now, update), slices.Collect(maps.Keys(c.peers)))
	}
}

// sendPartialUpdate tells the other owners of the engines that were given prompts at once:
// until they know, those engines look idle to them.
func (c *control) sendPartialUpdate() {
	placed, now := c.newlyPlaced, time.Now()
	c.newlyPlaced = nil
	if len(placed) == 0 || !c.hasPeers() || !c.updateScheduler.PartialAllowed(now) {
		return
	}
	update := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.incarnation, Sequence: c.sequence, Partial: true,
		Work: make(map[request.TargetID][3]int, len(placed)),
	}
	owners := map[string]struct{}{}
	for _, id := range placed {
		if t := c.table.Get(id); t != nil {
			update.SetWork(id, t.ReportedWork())
			for _, name := range c.table.Owners(t) {
				owners[name] = struct{}{}
			}
		}
	}
	c.sequence++
	c.send(now, update, slices.Collect(maps.Keys(owners)))
}

// send sends an update to the given entries, but not to this one.
func (c *control) send(now time.Time, update peers.Update, entries []string) {
	addresses := c.addressesOf(entries)
	bytes, err := c.gateway.peers.Send(update, addresses)
	if err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
	c.updateScheduler.RecordSent(now, update, bytes, len(addresses), c.slowestLink())
}

// hasPeers reports whether another entry is known. This one may be missing among the registered.
func (c *control) hasPeers() bool {
	_, self := c.peers[c.gateway.settings.Name]
	return len(c.peers) > 1 || len(c.peers) == 1 && !self
}

// addressesOf returns the addresses of entries other than this one.
func (c *control) addressesOf(entries []string) []string {
	addresses := make([]string, 0, len(entries))
	for _, name := range entries {
		if p, ok := c.peers[name]; ok && name != c.gateway.settings.Name {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
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
		update, from, err := g.peers.Receive()
		if err != nil {
			if g.background.Err() == nil {
				g.log.Event("peers_lost", "error", err.Error())
				time.Sleep(checkInterval)
			}
			continue
		}
		switch {
		case update.Question != nil:
			g.control.post(func() { g.control.answerQuestion(*update.Question, update.Entry, from) })
		case update.Answer != nil:
			g.handleSyncAnswer(update.Entry, *update.Answer, from)
		default:
			g.control.post(func() { g.control.handlePeerUpdate(update) })
		}
	}
}

func (c *control) handlePeerUpdate(update peers.Update) {
	now := time.Now()
	_, known := c.peerLastSeen[update.Entry]
	if !known && c.tooManyUnregistered(update.Entry) {
		return
	}
	if update.Partial {
		if known && c.peerUpdates[update.Entry].Incarnation == update.Incarnation {
			c.mergePeerUpdate(now, update)
		}
		return
	}
	before := c.peerUpdates[update.Entry]
	if !known || before.Incarnation != update.Incarnation {
		c.updateScheduler.ForceFull()
		c.updatePending = true
	}
	if before.Incarnation != update.Incarnation {
		// The callers of its streams may still come.
		c.kvCopies.Lost(now, update.Entry, update.Incarnation, now.Add(c.peerTimeout()))
	}
	c.peerLastSeen[update.Entry] = now
	delete(c.departed, update.Entry)
	c.mergePeerUpdate(now, update)
	c.kvCopies.Update(now, update.Entry, update.Incarnation, c.peerUpdates[update.Entry].Runs)
	c.origins.Learn(now, update.Origins)
	for _, ref := range update.AmbiguousRuns {
		if ref.Entry == c.gateway.settings.Name && ref.Incarnation == c.incarnation {
			c.kvCopies.MarkAmbiguous(ref.Number)
			c.updatePending = true
		}
	}
	for _, id := range update.Down {
		c.handlePeerDown(now, id)
	}
	for _, id := range update.Replaced {
		c.table.MarkReplaced(id)
	}
	c.handlePeerDraining(update.Entry, update.Draining)
	update.EachSpeed(func(id request.TargetID, relativeTime float64) { c.table.RecordPeerSpeed(now, id, relativeTime) })
	for _, prompt := range update.CachedPrompts {
		c.promptIndex.Record(now, prompt.Session, prompt.Location)
	}
	c.handleQuarantine(now, update)
	c.handlePeerRollouts(now, update)
	if !c.registry.StoreUnavailable() {
		return
	}
	for _, s := range update.Successors {
		c.adoptSuccessor(s)
	}
}

// tooManyUnregistered reports whether a new sender is not registered as an entry, and as many
// others are not as may be.
func (c *control) tooManyUnregistered(name string) bool {
	if _, registered := c.peers[name]; registered {
		return false
	}
	count := 0
	for known := range c.peerLastSeen {
		if _, registered := c.peers[known]; !registered {
			count++
		}
	}
	return count >= maxUnregisteredPeers
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

// peerUsage returns the usage of a service's retry budget by the other entries that sent an
// update recently.
func (c *control) peerUsage(now time.Time, service string) []admission.Usage {
	usages := []admission.Usage{}
	for name := range c.peers {
		if name == c.gateway.settings.Name {
			continue
		}
		if seen, known := c.peerLastSeen[name]; known && now.Sub(seen) <= 2*c.updatePeriod() {
			usage := c.peerUpdates[name].Usage[service]
			usages = append(usages, admission.Usage{Requests: usage[0], Retries: usage[1]})
		}
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
