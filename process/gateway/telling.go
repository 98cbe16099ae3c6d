package gateway

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// tellEvery is how often other entries are told again what did not change.
	tellEvery = 500 * time.Millisecond
	// tellAfter is how long changes are gathered before other entries are told.
	tellAfter = 5 * time.Millisecond
	// peerGone is how long another entry counts after its last word.
	peerGone = 4 * time.Second
)

func (c *control) tellPeers() {
	c.tell = false
	now := time.Now()
	c.told = now
	message := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.boot, Sequence: c.number,
		Work: map[request.TargetID][3]int{}, KVCopies: c.heldCopies(now), Usage: map[string][2]int{},
		Ready: c.gateway.ready(), LinkMbps: c.gateway.settings.LinkMbps,
	}
	for service, budget := range c.budgets {
		usage := budget.Usage(now)
		message.Usage[service] = [2]int{usage.Requests, usage.Retries}
	}
	message.Down = latest(now, c.dead)
	message.Replaced = latest(now, c.replaced)
	message.SetFailureRates(c.table.FailureRates(now))
	message.CachedPrompts = latest(now, c.located)
	message.Successors = latest(now, c.successors)
	c.number++
	for id, work := range c.table.LocalWork() {
		message.SetWork(id, work)
	}
	if len(c.peers) > 1 {
		c.send(now, c.outbox.Compose(now, message))
	}
}

// tellPlaced tells other entries at once which engines were given prompts: until they
// know, those engines look idle to them.
func (c *control) tellPlaced() {
	placed, now := c.placed, time.Now()
	c.placed = nil
	if len(placed) == 0 || len(c.peers) <= 1 || !c.outbox.PartialAllowed(now) {
		return
	}
	message := peers.Update{
		Entry: c.gateway.settings.Name, Incarnation: c.boot, Sequence: c.number, Partial: true,
		Work: make(map[request.TargetID][3]int, len(placed)),
	}
	for _, id := range placed {
		if t := c.table.Get(id); t != nil {
			message.SetWork(id, t.LocalWork())
		}
	}
	c.number++
	c.send(now, message)
}

// send sends a message to all other entries.
func (c *control) send(now time.Time, message peers.Update) {
	addresses := make([]string, 0, len(c.peers))
	for name, address := range c.peers {
		if name != c.gateway.settings.Name {
			addresses = append(addresses, address)
		}
	}
	bytes, err := c.gateway.peers.Send(message, addresses)
	if err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
	c.outbox.RecordSent(now, message, bytes, len(addresses), c.slowestLink())
}

// slowestLink returns the least bandwidth of the entries' links, as far as is known.
func (c *control) slowestLink() float64 {
	slowest := c.gateway.settings.LinkMbps
	for _, message := range c.theirs {
		if link := message.LinkMbps; link > 0 && (slowest <= 0 || link < slowest) {
			slowest = link
		}
	}
	return slowest
}

// latest returns what is worth telling others still, and forgets the rest.
func latest[K comparable](now time.Time, found map[K]time.Time) []K {
	var keys []K
	for key, at := range found {
		if now.Sub(at) > tellEvery {
			delete(found, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// receivePeers takes up what other entries say.
func (g *Gateway) receivePeers() {
	for g.background.Err() == nil {
		message, err := g.peers.Receive()
		if err != nil {
			if g.background.Err() == nil {
				g.log.Event("peers_lost", "error", err.Error())
				time.Sleep(checkEvery)
			}
			continue
		}
		g.control.post(func() { g.control.hear(message) })
	}
}

func (c *control) hear(message peers.Update) {
	now := time.Now()
	_, known := c.heard[message.Entry]
	if message.Partial {
		if known && c.theirs[message.Entry].Incarnation == message.Incarnation {
			c.takeWork(now, message)
		}
		return
	}
	if !known {
		c.outbox.ForceFull()
		c.tell = true
	}
	c.heard[message.Entry] = now
	c.takeWork(now, message)
	for _, id := range message.Down {
		c.hint(now, id)
	}
	for _, id := range message.Replaced {
		c.table.MarkReplaced(id)
	}
	for _, found := range message.CachedPrompts {
		c.prompts.Record(now, found.Session, found.Place)
	}
	if !c.registry.StoreUnavailable() {
		return
	}
	for _, s := range message.Successors {
		c.adopt(s)
	}
}

// takeWork takes up what another entry has at the targets.
func (c *control) takeWork(now time.Time, message peers.Update) {
	all := peers.Merge(c.theirs[message.Entry], message)
	c.table.UpdatePeer(now, message.Entry, all.PeerState())
	c.theirs[message.Entry] = all
}

// hint takes up that another entry found a target dead, unless it gave this one a
// sign of life since.
func (c *control) hint(now time.Time, id request.TargetID) {
	t := c.table.Get(id)
	if t == nil || t.Down(now) {
		return
	}
	w, watched := c.watches[id]
	if watched && len(w.attempts) > 0 {
		c.probe(w)
		return
	}
	c.table.MarkDownByPeer(now, id)
	c.copyLost(id)
	c.gateway.pool.CloseIdle(t.Address)
}

// others returns what the other entries use of a service's budget, or nil when not
// all of them were heard lately.
func (c *control) others(now time.Time, service string) []admission.Usage {
	usages := []admission.Usage{}
	for name := range c.peers {
		if name == c.gateway.settings.Name {
			continue
		}
		at, heard := c.heard[name]
		if !heard || now.Sub(at) > 2*tellEvery {
			return nil
		}
		usage := c.theirs[name].Usage[service]
		usages = append(usages, admission.Usage{Requests: usage[0], Retries: usage[1]})
	}
	return usages
}

// otherReady says whether another entry takes requests, as far as is known.
func (c *control) otherReady() bool {
	for name, message := range c.theirs {
		if _, heard := c.heard[name]; heard && message.Ready {
			return true
		}
	}
	return false
}
