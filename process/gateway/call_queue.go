package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// callCheckInterval is the interval at which queued calls are looked at again: a target's
	// pause may be over, or a call may have waited too long.
	callCheckInterval = 10 * time.Millisecond
	// fleetViewTTL is how long what is known of the targets and the peers is used for the
	// limits of calls: it changes with peer updates, some of which arrive in that time.
	fleetViewTTL = 20 * time.Millisecond
	// maxQueuedCalls bounds the calls that are queued for one service at an entry: a queued
	// call holds some 30 KB with its connection, and entries have from 88 MB.
	maxQueuedCalls = 1024
	// callUpdateInterval is the interval at which peers get updates while calls are queued, so
	// that the entries divide the limit by what each has under way now.
	callUpdateInterval = 100 * time.Millisecond
	// maxCallerKinds is for how many pairs of a route and a workspace the time limits of callers
	// are remembered, some 4 KB each. The others of a route are taken to be alike.
	maxCallerKinds = 256
	// queueLogInterval is the interval at which waiting calls are logged.
	queueLogInterval = time.Second
	// returnShare is the fraction of the time that a caller has left up to which it honours
	// Retry-After.
	returnShare = 1.0 / 3
	// returnJitter is the fraction of that time over which callers are spread that would have
	// to return later.
	returnJitter = 0.3
	// minReturnAfter keeps a caller with little time left from returning at once.
	minReturnAfter = 10 * time.Millisecond
)

// callQueue is the admission of calls, a part of the control goroutine's state.
type callQueue struct {
	controller *admission.Controller
	services   map[string]*callService
	// places holds the queued calls.
	places map[uint64]*callPlace
	lastID uint64
	// checkArmed is set while another check of the queued calls is due.
	checkArmed bool
}

// callService is the admission of the calls of one service.
type callService struct {
	limit *admission.Limit
	// viewedAt is when the limit last learned of the fleet.
	viewedAt time.Time
	// firstAttempts holds what is known of the callers of each kind.
	firstAttempts map[callerKind]*admission.FirstAttempts
	// loggedAt is when waiting calls were last logged.
	loggedAt time.Time
}

// callerKind identifies callers that are taken to be alike.
type callerKind struct{ route, workspace string }

func newCallQueue() callQueue {
	return callQueue{controller: admission.NewController(), services: map[string]*callService{}, places: map[uint64]*callPlace{}}
}

func (q *callQueue) service(name string) *callService {
	s, ok := q.services[name]
	if !ok {
		s = &callService{limit: admission.NewLimit(), firstAttempts: map[callerKind]*admission.FirstAttempts{}}
		q.services[name] = s
		q.controller.OrderByUrgency(name)
	}
	return s
}

// inFlight returns the calls under way by service, zero for services without any.
func (q *callQueue) inFlight() map[string]int {
	counts := make(map[string]int, len(q.services))
	for name, s := range q.services {
		counts[name] = s.limit.InFlight()
	}
	return counts
}

// waiting returns how many calls are queued.
func (q *callQueue) waiting() int { return len(q.places) }

// callPlace is a place of an attempt among those under way, or its place in the queue. The
// control goroutine owns it.
type callPlace struct {
	exchange *exchange
	request  admission.Request
	queuedAt time.Time
	// decided receives the decision about a queued call.
	decided chan admission.Decision
	// queued is set while the call waits, admitted while it has a place under way.
	queued, admitted bool
}

// waitForPlace waits until an attempt of the call may be sent, and takes a place for it.
func (c *call) waitForPlace(ctx context.Context) (*callPlace, error) {
	control := c.gateway.control
	p := &callPlace{exchange: c.exchange, decided: make(chan admission.Decision, 1)}
	if !control.do(func() { control.enqueueCall(time.Now(), p) }) {
		return nil, fault.Wrap(fault.Draining, errStopping, "the entry is about to end")
	}
	select {
	case decision := <-p.decided:
		return p, c.refusalOf(decision)
	default:
	}
	select {
	case decision := <-p.decided:
		waited := time.Since(p.queuedAt)
		c.gateway.log.Event("call_queued", "request", c.inbound.ID, "for", waited, "admitted", decision.Kind == fault.None)
		return p, c.refusalOf(decision)
	case <-ctx.Done():
		control.do(func() { control.withdrawCall(time.Now(), p) })
		kind := c.contextErrorKind(ctx)
		c.gateway.log.Event("call_queued", "request", c.inbound.ID, "for", time.Since(p.queuedAt), "admitted", false)
		return nil, fault.Wrap(kind, ctx.Err(), "the call waited for a target")
	}
}

// refusalOf returns the error of a refused call, nil for an admitted one.
func (c *call) refusalOf(decision admission.Decision) error {
	if decision.Kind == fault.None {
		return nil
	}
	c.returnAfter = decision.RetryAfter
	if left := c.inbound.TimeLeft - time.Since(c.arrived); c.inbound.TimeLeft > 0 {
		// Callers that would return later come back spread over the end of that time.
		latest := time.Duration(returnShare * (1 - returnJitter*rand.Float64()) * float64(left))
		c.returnAfter = max(minReturnAfter, min(c.returnAfter, latest))
	}
	return fault.New(decision.Kind, "the targets of %s cannot serve the call in time", c.service)
}

// takePlace takes a place for a second attempt beside a running one, if there is one. An
// urgent one needs none to be free: the attempts that run may have been lost.
func (c *call) takePlace(urgent bool) *callPlace {
	var p *callPlace
	control := c.gateway.control
	control.do(func() {
		now := time.Now()
		s := control.callQueue.service(c.service)
		control.viewFleet(now, c.service, s)
		if urgent || control.callQueue.controller.Waiting(c.service) == 0 && s.limit.Free(now) > 0 {
			p = &callPlace{exchange: c.exchange, admitted: true}
			s.limit.Start()
		}
	})
	return p
}

// targetsFull reports whether all targets that may get calls have just rejected one.
func (e *exchange) targetsFull() bool {
	full := false
	c := e.gateway.control
	c.do(func() { full = c.table.FullFor(time.Now(), e.service) > 0 })
	return full
}

// refundRetry refunds the retry budget for an attempt that was not started.
func (e *exchange) refundRetry(charge admission.Charge) {
	c := e.gateway.control
	c.post(func() { c.budget(e.service).Refund(charge) })
}

// enqueueCall queues a call and admits as many as may be sent.
func (c *control) enqueueCall(now time.Time, p *callPlace) {
	e := p.exchange
	s := c.callQueue.service(e.service)
	s.limit.RecordObjective(now, e.route.LatencyObjective)
	c.callQueue.lastID++
	p.queuedAt, p.queued = now, true
	p.request = admission.Request{
		ID: c.callQueue.lastID, Workspace: e.workspaceName(), Kind: e.route.Name, Rank: e.priority(), Arrived: e.arrived,
		Deadline: e.deadline, MaxQueued: maxQueuedCalls,
		LatestStart: s.limit.LatestStart(c.firstSent(e, s), e.route.LatencyObjective),
	}
	c.callQueue.places[p.request.ID] = p
	c.applyCallDecisions(now, c.callQueue.controller.Enqueue(now, e.service, p.request))
	c.dispatchCalls(now, e.service)
}

// firstSent estimates when the caller first sent the request.
func (c *control) firstSent(e *exchange, s *callService) time.Time {
	if e.firstSent.IsZero() {
		kind := callerKind{route: e.route.Name, workspace: e.workspaceName()}
		attempts, ok := s.firstAttempts[kind]
		if !ok && len(s.firstAttempts) >= maxCallerKinds {
			kind.workspace = ""
			attempts, ok = s.firstAttempts[kind]
		}
		if !ok {
			attempts = admission.NewFirstAttempts()
			s.firstAttempts[kind] = attempts
		}
		e.firstSent = e.arrived.Add(-attempts.Elapsed(e.inbound.TimeLeft))
	}
	return e.firstSent
}

// withdrawCall removes a call whose caller waits no longer.
func (c *control) withdrawCall(now time.Time, p *callPlace) {
	service := p.exchange.service
	switch {
	case p.queued:
		c.callQueue.controller.Cancel(service, p.request.ID)
		delete(c.callQueue.places, p.request.ID)
		p.queued = false
	case p.admitted:
		c.endCall(now, p)
	}
	c.dispatchCalls(now, service)
}

// endCall frees the place of an attempt.
func (c *control) endCall(now time.Time, p *callPlace) {
	if !p.admitted {
		return
	}
	p.admitted = false
	c.callQueue.service(p.exchange.service).limit.End()
	if p.request.ID != 0 {
		c.callQueue.controller.Finish(now, p.exchange.service, p.request, 0)
	}
}

// dispatchCalls refuses the queued calls of a service that can no longer be served in time, and
// admits as many of the others as may be under way.
func (c *control) dispatchCalls(now time.Time, service string) {
	controller := c.callQueue.controller
	if waiting := controller.Waiting(service); waiting > 0 {
		s := c.callQueue.service(service)
		c.viewFleet(now, service, s)
		free, freeForLate := c.freePlaces(now, service, s)
		if freeForLate < waiting {
			c.applyCallDecisions(now, controller.Prune(now, service))
		}
		c.applyCallDecisions(now, controller.DispatchLimited(service, free, freeForLate))
	}
	c.watchQueue(now, service)
}

// freePlaces returns how many calls may be sent now, and how many that are late. If no target is
// up, or none wants requests, all may go on: they are refused as without a queue, since another
// entry may serve them sooner.
func (c *control) freePlaces(now time.Time, service string, s *callService) (free, freeForLate int) {
	switch {
	case c.table.UsableSlots(now, service) == 0 || c.table.Reluctant(now, service):
		waiting := c.callQueue.controller.Waiting(service)
		return waiting, waiting
	case c.table.FullFor(now, service) > 0:
		return 0, 0
	default:
		return s.limit.Free(now), s.limit.FreeForLate(now)
	}
}

// watchQueue logs that calls wait, lets the peers know how many are under way, and keeps looking
// at those that wait.
func (c *control) watchQueue(now time.Time, service string) {
	waiting := c.callQueue.controller.Waiting(service)
	if waiting == 0 {
		return
	}
	s := c.callQueue.service(service)
	if now.Sub(s.loggedAt) >= queueLogInterval {
		s.loggedAt = now
		fleet := s.limit.Fleet()
		c.gateway.log.Event("calls_waiting", "service", service, "waiting", waiting, "inFlight", s.limit.InFlight(),
			"places", s.limit.Places(now), "fleetPlaces", int(s.limit.Total()), "slots", fleet.Slots, "entries", fleet.Entries,
			"othersInFlight", fleet.PeersInFlight)
	}
	if now.Sub(c.lastUpdateSent) >= callUpdateInterval {
		c.updatePending = true
	}
	if !c.callQueue.checkArmed {
		c.callQueue.checkArmed = true
		time.AfterFunc(callCheckInterval, func() { c.post(c.checkCalls) })
	}
}

// checkCalls looks again at all queued calls.
func (c *control) checkCalls() {
	c.callQueue.checkArmed = false
	now := time.Now()
	for service := range c.callQueue.services {
		if c.callQueue.controller.Waiting(service) > 0 {
			c.dispatchCalls(now, service)
		}
	}
}

// applyCallDecisions tells the callers' goroutines what was decided.
func (c *control) applyCallDecisions(now time.Time, decisions []admission.Decision) {
	for _, decision := range decisions {
		p, ok := c.callQueue.places[decision.ID]
		if !ok {
			continue
		}
		delete(c.callQueue.places, decision.ID)
		p.queued = false
		c.gateway.metrics.recordCallWait(now.Sub(p.queuedAt), decision.Kind)
		if decision.Kind == fault.None {
			p.admitted = true
			c.callQueue.service(p.exchange.service).limit.Start()
		}
		p.decided <- decision
	}
}

// viewFleet tells the limit of a service what is known of its targets and of the peers.
func (c *control) viewFleet(now time.Time, service string, s *callService) {
	if now.Sub(s.viewedAt) < fleetViewTTL {
		return
	}
	s.viewedAt = now
	fleet := admission.Fleet{Slots: c.table.UsableSlots(now, service), Entries: 1, Demand: c.budget(service).Usage(now).Requests}
	for name := range c.peers {
		seen, known := c.peerLastSeen[name]
		if name == c.gateway.settings.Name || !known || now.Sub(seen) > 2*c.updatePeriod() {
			continue
		}
		update := c.peerUpdates[name]
		fleet.Entries++
		demand := boundCount(update.Usage[service][0])
		inFlight, reported := update.CallsInFlight[service]
		inFlight = boundCount(inFlight)
		if !reported {
			inFlight = s.limit.EstimateInFlight(demand, c.bounds.RetryWindow.Std())
		}
		fleet.PeerDemand += demand
		fleet.PeersInFlight += inFlight
	}
	s.limit.SetFleet(fleet)
}

// maxPeerCount bounds the counts that a peer reports, so that a malformed one costs no more than
// that peer's part.
const maxPeerCount = 1 << 20

func boundCount(count int) int { return min(maxPeerCount, max(0, count)) }

// end frees the place of an attempt that was sent, or was not, and records its outcome.
func (p *callPlace) end(a *attempt, outcome request.AttemptOutcome) {
	took := time.Since(a.startedAt)
	c := p.exchange.gateway.control
	c.post(func() {
		now := time.Now()
		service := p.exchange.service
		limit := c.callQueue.service(service).limit
		switch outcome {
		case request.AttemptAnswered:
			limit.RecordResponse(now, took, c.callQueue.controller.Waiting(service) > 0)
			c.callQueue.controller.SetUsualDuration(service, limit.Usual())
			c.gateway.metrics.countPlace(false)
		case request.AttemptRefused:
			if a.reply.WrongTarget {
				break
			}
			limit.RecordRejection(now)
			if a.reply.Backoff <= 0 {
				c.table.RecordRejection(now, a.target.ID, a.target.Incarnation, limit.Usual())
			}
			c.gateway.metrics.countPlace(true)
		}
		c.endCall(now, p)
		c.dispatchCalls(now, service)
	})
}

// release frees the place of an attempt that was not started.
func (p *callPlace) release() {
	c := p.exchange.gateway.control
	c.post(func() {
		now := time.Now()
		c.endCall(now, p)
		c.dispatchCalls(now, p.exchange.service)
	})
}
