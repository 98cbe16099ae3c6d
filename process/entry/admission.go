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
	// pruneInterval is the interval at which queued requests that can no longer start
	// in time are refused.
	pruneInterval = 100 * time.Millisecond
	// maxImmediatePrune is the length of the longest queue that is also pruned on each
	// new request.
	maxImmediatePrune = 64
)

// ticket tracks one request through admission. The control goroutine owns it.
type ticket struct {
	service      string
	request      admission.Request
	requirements routing.Requirements
	reply        chan<- request.Event
	// waiting is set until admission decides about the request, admitted while the
	// request counts as admitted.
	waiting, admitted bool
	// rank is the rank given by the decision; it is set before the reply is sent.
	rank int
}

// admissionState is the admission part of the control goroutine's state.
type admissionState struct {
	controller   *admission.Controller
	waiting      map[uint64]*ticket
	hedgeBudgets map[string]*admission.HedgeBudget
	lastID       uint64
	lastPrune    time.Time
}

func newAdmissionState() admissionState {
	return admissionState{
		controller:   admission.NewController(),
		waiting:      map[uint64]*ticket{},
		hedgeBudgets: map[string]*admission.HedgeBudget{},
	}
}

// admissionRequest returns the admission request of a generation.
func admissionRequest(snapshot *version.Snapshot, g request.Generation) admission.Request {
	workspace := snapshot.Document.Workspaces[g.Workspace]
	profile := snapshot.Document.Profiles[g.Profile]
	req := admission.Request{
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
		req.Deadline = time.UnixMilli(g.Deadline)
	}
	return req
}

// admit queues a new request. Its reply channel receives EventTargetSelected or
// EventNoTarget once the request is admitted, or EventNoTarget when it is refused. If
// no target meets the requirements, EventNoTarget is sent without queueing the request.
func (c *control) admit(ctx context.Context, t *ticket) {
	c.do(ctx, func() {
		now := time.Now()
		if !c.table.HasCandidates(t.requirements) {
			c.selectTargetNow(now, t.requirements, t.reply)
			return
		}
		c.hedgeBudget(t.service).Earn(c.profile(t.service).RetryBudget)
		c.admission.lastID++
		t.request.ID = c.admission.lastID
		t.waiting = true
		c.admission.waiting[t.request.ID] = t
		c.applyDecisions(now, c.admission.controller.Enqueue(now, t.service, t.request))
		c.dispatch(now, t.service)
		if t.waiting && c.admission.controller.Waiting(t.service) <= maxImmediatePrune {
			c.applyDecisions(now, c.admission.controller.Prune(now, t.service))
		}
	})
}

// releaseTicket releases the ticket of a request that has ended after producing
// the given number of tokens.
func (c *control) releaseTicket(t *ticket, tokens int) {
	c.do(context.Background(), func() {
		now := time.Now()
		switch {
		case t.waiting:
			c.admission.controller.Cancel(t.service, t.request.ID)
			delete(c.admission.waiting, t.request.ID)
			t.waiting = false
		case t.admitted:
			t.admitted = false
			c.admission.controller.Finish(now, t.service, t.request, tokens)
			c.dispatch(now, t.service)
		}
	})
}

// dispatch admits as many queued requests of a service as its targets have free
// slots for.
func (c *control) dispatch(now time.Time, service string) {
	if c.admission.controller.Waiting(service) == 0 {
		return
	}
	c.applyDecisions(now, c.admission.controller.Dispatch(service, c.table.FreeSlots(now, service)))
}

// dispatchAll dispatches all services and, every pruneInterval, refuses queued
// requests that can no longer start in time.
func (c *control) dispatchAll(now time.Time) {
	prune := now.Sub(c.admission.lastPrune) >= pruneInterval
	if prune {
		c.admission.lastPrune = now
	}
	for _, service := range c.admission.controller.Services() {
		c.dispatch(now, service)
		if prune {
			c.applyDecisions(now, c.admission.controller.Prune(now, service))
		}
	}
}

// applyDecisions selects a target for each admitted ticket and sends a refusal to
// each refused one.
func (c *control) applyDecisions(now time.Time, decisions []admission.Decision) {
	for _, decision := range decisions {
		t, ok := c.admission.waiting[decision.ID]
		if !ok {
			continue
		}
		delete(c.admission.waiting, decision.ID)
		t.waiting = false
		if decision.Kind != fault.None {
			t.reply <- request.Event{Type: request.EventNoTarget, Kind: decision.Kind, RetryAfter: decision.RetryAfter}
			continue
		}
		t.admitted = true
		t.rank = decision.Rank
		c.selectTargetNow(now, t.requirements, t.reply)
	}
}

func (c *control) hedgeBudget(service string) *admission.HedgeBudget {
	budget, ok := c.admission.hedgeBudgets[service]
	if !ok {
		budget = admission.NewHedgeBudget()
		c.admission.hedgeBudgets[service] = budget
	}
	return budget
}

func (c *control) profile(service string) version.Profile {
	_, profile := c.revisions.Current().ProfileOf(service)
	return profile
}
