package gateway

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

// placementMaxAge is how long after its placement an attempt is sent without another look
// at its target. It takes longer if a connection has to be opened or the process was paused.
const placementMaxAge = 10 * time.Millisecond

// recordAnnouncement records what a target said about itself in a response: to a request,
// or to a call of this entry if id is empty.
func (c *control) recordAnnouncement(id request.ID, target placement.Registration, announced request.Announcement) {
	if announced.Draining {
		c.markDraining(target.ID, target.Incarnation, "request", id)
	}
}

// recordAnnouncementAt records what the process at an address said about itself. id and
// incarnation are what it named of itself, if anything; others than the registered target
// are ignored.
func (g *Gateway) recordAnnouncementAt(address string, id request.TargetID, incarnation request.Incarnation, announced request.Announcement) {
	if announced.IsZero() {
		return
	}
	g.control.post(func() {
		t := g.control.table.TargetAt(address)
		if t == nil || id != "" && id != t.ID || incarnation != 0 && incarnation != t.Incarnation {
			return
		}
		g.control.recordAnnouncement("", t.Registration, announced)
	})
}

// markDraining records that an incarnation of a target takes no new work. What runs there
// goes on, and KV copies that were to be kept there are moved. source and by say where that
// is known from: the request that was answered, or the entry that reported it.
func (c *control) markDraining(id request.TargetID, incarnation request.Incarnation, source string, by any) {
	if !c.table.MarkDraining(time.Now(), id, incarnation) {
		return
	}
	c.gateway.metrics.targetsDraining.Add(c.gateway.background, 1)
	c.gateway.log.Event("target_leaving", source, by, "target", id, "incarnation", incarnation)
	c.replaceCopiesOn(id)
	if source == "request" {
		c.recentlyDraining[peers.DrainingTarget{ID: id, Incarnation: incarnation}] = time.Now()
		c.updatePending = true
	}
}

// handlePeerDraining handles a report of another entry that targets announced that they
// drain. It is not passed on.
func (c *control) handlePeerDraining(entry string, targets []peers.DrainingTarget) {
	for _, t := range targets {
		c.markDraining(t.ID, t.Incarnation, "entry", entry)
	}
}

// mayBeSent reports whether the attempt may still be sent, which may be long after its
// placement. An attempt that may not counts as not sent.
func (a *attempt) mayBeSent() bool {
	if time.Since(a.startedAt) < placementMaxAge {
		return true
	}
	c := a.exchange.gateway.control
	accepted := true
	c.do(func() {
		t := c.table.Get(a.target.ID)
		if accepted = t != nil && !t.IsDraining(); !accepted {
			c.budget(a.exchange.service).Refund(a.charge)
		}
	})
	if !accepted {
		a.exchange.gateway.log.Event("withdrawn", "request", a.exchange.inbound.ID, "target", a.target.ID,
			"incarnation", a.target.Incarnation, "after", time.Since(a.startedAt))
	}
	return accepted
}
