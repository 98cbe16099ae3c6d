package entry

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// pruneEvery is the period at which waiting requests are looked at.
	pruneEvery = 100 * time.Millisecond
	// pruneAtOnce is the longest queue that is looked at for each new request.
	pruneAtOnce = 64
)

// ticket stands for one request at admission. The control goroutine owns it.
type ticket struct {
	service string
	ask     admission.Request
	need    routing.Requirements
	reply   chan<- request.Event
	// waiting is set until the ask is settled, running while the request counts
	// as let in.
	waiting, running bool
	// rank is that of the decision; it is set before the reply.
	rank int
}

// desk is the part of the control goroutine that lets new requests in.
type desk struct {
	controller *admission.Controller
	waiting    map[uint64]*ticket
	budgets    map[string]*admission.HedgeBudget
	lastID     uint64
	pruned     time.Time
}

func newDesk() desk {
	return desk{
		controller: admission.NewController(),
		waiting:    map[uint64]*ticket{},
		budgets:    map[string]*admission.HedgeBudget{},
	}
}

// askOf returns what admission has to know of a generation.
func askOf(snapshot *version.Snapshot, g request.Generation) admission.Request {
	workspace := snapshot.Document.Workspaces[g.Workspace]
	profile := snapshot.Document.Profiles[g.Profile]
	ask := admission.Request{
		Workspace:    g.Workspace,
		Share:        workspace.Share,
		Tokens:       g.Sampling.MaxTokens,
		Arrived:      time.Now(),
		QueueTimeout: profile.FirstTokenWithin.Std(),
		Limits:       admission.Limits{Concurrent: workspace.MaxConcurrent, TokensPerSecond: workspace.TokensPerSecond},
		MaxQueued:    profile.Queue,
		FailFast:     profile.Overload == version.OverloadRefuse,
	}
	if profile.Deadline > 0 {
		ask.Deadline = time.UnixMilli(g.Deadline)
	}
	return ask
}

// admit queues a new request. Its reply gets EventPicked when it is let in, or
// EventNoTarget when it is refused.
func (c *control) admit(ctx context.Context, t *ticket) {
	c.do(ctx, func() {
		now := time.Now()
		if !c.table.HasCandidates(t.need) {
			c.pickNow(now, t.need, t.reply)
			return
		}
		c.budget(t.service).Earn(c.profile(t.service).RetryBudget)
		c.desk.lastID++
		t.ask.ID = c.desk.lastID
		t.waiting = true
		c.desk.waiting[t.ask.ID] = t
		c.settle(now, c.desk.controller.Enqueue(now, t.service, t.ask))
		c.dispatch(now, t.service)
		if t.waiting && c.desk.controller.Waiting(t.service) <= pruneAtOnce {
			c.settle(now, c.desk.controller.Prune(now, t.service))
		}
	})
}

// leave gives back the ticket of a request that is over, after producing tokens.
func (c *control) leave(t *ticket, tokens int) {
	c.do(context.Background(), func() {
		now := time.Now()
		switch {
		case t.waiting:
			c.desk.controller.Cancel(t.service, t.ask.ID)
			delete(c.desk.waiting, t.ask.ID)
			t.waiting = false
		case t.running:
			t.running = false
			c.desk.controller.Finish(now, t.service, t.ask, tokens)
			c.dispatch(now, t.service)
		}
	})
}

// dispatch lets in what there is room for.
func (c *control) dispatch(now time.Time, service string) {
	if c.desk.controller.Waiting(service) == 0 {
		return
	}
	c.settle(now, c.desk.controller.Dispatch(service, c.table.FreeSlots(now, service)))
}

// dispatchAll lets in what there is room for, and refuses what waits for too long.
func (c *control) dispatchAll(now time.Time) {
	prune := now.Sub(c.desk.pruned) >= pruneEvery
	if prune {
		c.desk.pruned = now
	}
	for _, service := range c.desk.controller.Services() {
		c.dispatch(now, service)
		if prune {
			c.settle(now, c.desk.controller.Prune(now, service))
		}
	}
}

// settle answers the tickets that admission has decided about.
func (c *control) settle(now time.Time, decisions []admission.Decision) {
	for _, decision := range decisions {
		t, ok := c.desk.waiting[decision.ID]
		if !ok {
			continue
		}
		delete(c.desk.waiting, decision.ID)
		t.waiting = false
		if decision.Kind != fault.None {
			t.reply <- request.Event{Type: request.EventNoTarget, Kind: decision.Kind, RetryAfter: decision.RetryAfter}
			continue
		}
		t.running = true
		t.rank = decision.Rank
		c.pickNow(now, t.need, t.reply)
	}
}

func (c *control) budget(service string) *admission.HedgeBudget {
	b, ok := c.desk.budgets[service]
	if !ok {
		b = admission.NewHedgeBudget()
		c.desk.budgets[service] = b
	}
	return b
}

func (c *control) profile(service string) version.Profile {
	_, profile := c.revisions.Current().ProfileOf(service)
	return profile
}
