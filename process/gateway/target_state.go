package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
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
	if announced.Backoff <= 0 {
		return
	}
	c.gateway.metrics.targetBackoffs.Add(c.gateway.background, 1)
	if c.table.RecordBackoff(time.Now(), target.ID, target.Incarnation, announced.Backoff) {
		c.gateway.log.Event("target_backoff", "request", id, "target", target.ID, "incarnation", target.Incarnation,
			"for", announced.Backoff)
	}
}

// recordReplyAnnouncement records what a target said about itself in its response to an
// attempt. A refusal that it repeats in response to another request does not delay that one.
func (c *control) recordReplyAnnouncement(a *attempt, reply request.Reply) {
	if reply.WrongTarget {
		return
	}
	announced := reply.Announcement
	if reply.NamesOtherRequest {
		announced.Backoff = 0
	}
	c.recordAnnouncement(a.exchange.inbound.ID, a.target, announced)
	if outcome := reply.Outcome(); announced.Backoff <= 0 && (outcome == request.AttemptAnswered || outcome == request.AttemptFailed) {
		c.table.RecordAccepted(a.startedAt, a.target.ID)
	}
}

// logEndedBackoffs logs the targets that may get requests again.
func (c *control) logEndedBackoffs(now time.Time) {
	for _, t := range c.table.TakeEndedBackoffs(now) {
		c.gateway.log.Event("target_backoff_ended", "target", t.ID, "incarnation", t.Incarnation)
	}
}

// returnSpread is the part of the time for which no request is taken over which the callers
// that were refused meanwhile return after it, and retryAfterJitter at least.
const returnSpread = 0.5

// spreadReturn returns when a caller is to return that is refused for the given time, so that
// those that are refused meanwhile do not return together.
func spreadReturn(wait time.Duration) time.Duration {
	spread := max(retryAfterJitter, time.Duration(returnSpread*float64(wait)))
	return wait + time.Duration(rand.Int64N(int64(spread)))
}

// retryAfter returns when a refused request is worth retrying: if all targets of its service
// asked for no requests, after the earliest of them wants some again.
func (e *exchange) retryAfter(kind fault.Kind) time.Duration {
	if e.returnAfter > 0 {
		return e.returnAfter
	}
	if kind == fault.NoTarget || kind == fault.Overloaded {
		c := e.gateway.control
		wait := time.Duration(0)
		c.do(func() { wait, _ = c.table.Unwilling(time.Now(), e.service) })
		if wait > 0 {
			return spreadReturn(wait)
		}
	}
	return e.gateway.retryAfter(kind)
}

// hopeless reports whether to refuse the stream instead of waiting for a target: nothing of
// it has run, and no target wants requests.
func (s *stream) hopeless() bool {
	if s.versionGone() {
		return true
	}
	if s.recovery.WasRun() != request.RunNo {
		return false
	}
	c := s.gateway.control
	unwilling := false
	c.do(func() { _, unwilling = c.table.Unwilling(time.Now(), s.service) })
	return unwilling
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
		if accepted = t != nil && !t.IsDraining() && (a.reserved || !t.BackingOff(time.Now())); !accepted {
			c.budget(a.exchange.service).Refund(a.charge)
		}
	})
	if !accepted {
		a.exchange.gateway.log.Event("withdrawn", "request", a.exchange.inbound.ID, "target", a.target.ID,
			"incarnation", a.target.Incarnation, "after", time.Since(a.startedAt))
	}
	return accepted
}
