package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// resumeWithin is how long a stream may stay without a running attempt. Output is
	// to go on within 3 s; later is still better than never.
	resumeWithin = 12 * time.Second
	// fruitless is how many attempts in a row may bring no event.
	fruitless = 5
	// eventBuffer is how many messages of an attempt wait for a slow caller.
	eventBuffer = 16
	// writeWithin is how long one write to a caller may take.
	writeWithin = 5 * time.Second
	// steadyTokens is an answer's share of its largest length that is reckoned with.
	steadyTokens = 0.9
)

// stream is one answer in events. Its recovery decides; positions in it count from
// the first event that the caller lacks.
type stream struct {
	*exchange
	ctx      context.Context
	recovery *request.Recovery
	parts    chan part
	// over is closed when nobody listens to parts any more.
	over    chan struct{}
	running map[request.AttemptNumber]*attempt
	next    *attempt
	// lastCopy is where the memory of the last attempt that ran can be gone on from.
	// askedTwice is the copy that its target was asked for twice.
	lastCopy, askedTwice peers.KVCopy
	head                 *http.Response
	began                bool
	// unsent counts the attempts that did not reach their targets.
	unsent int
	lostAt time.Time
	// firstAfter is how long the caller waited for the first event, longestPause for any
	// later one, which came at wrote.
	firstAfter, longestPause time.Duration
	wrote                    time.Time
	failure                  *answer
	wake                     *time.Timer
	raw                      [][]byte
	ended                    bool
	kind                     fault.Kind
}

// stream serves a request on a streaming route.
func (e *exchange) stream(ctx context.Context) {
	limit := fruitless
	if e.route.MaxAttempts > 0 {
		limit = min(limit, e.route.MaxAttempts)
	}
	if !e.route.Resumable {
		limit = 1
	}
	s := &stream{
		exchange: e,
		ctx:      ctx,
		recovery: request.NewRecovery(request.RecoveryPolicy{
			Deadline: e.deadline, ResumeTimeout: resumeWithin, MaxAttempts: limit,
		}, request.NewOutput(e.in.MaxTokens)),
		parts:   make(chan part, eventBuffer),
		over:    make(chan struct{}),
		running: map[request.AttemptNumber]*attempt{},
		wake:    time.NewTimer(time.Until(e.deadline)),
	}
	defer s.wake.Stop()
	defer close(s.over)
	if e.in.Position > 0 {
		s.findCopy()
	}
	s.step(request.Event{Type: request.EventStart})
	for !s.ended {
		select {
		case p := <-s.parts:
			s.take(p)
		case <-s.wake.C:
			s.step(request.Event{Type: request.EventTimer})
		case <-ctx.Done():
			s.step(request.Event{Type: request.EventCallerDisconnected})
		}
	}
	s.finish()
}

// findCopy looks for a copy that another entry's run of the same session made.
func (s *stream) findCopy() {
	c := s.gateway.control
	c.do(func() {
		if found, ok := c.findCopy(s.in.Session()); ok {
			s.lastCopy = found
		}
	})
}

// step puts an event through the recovery and carries out what it decides.
func (s *stream) step(event request.Event) {
	queue := []request.Event{event}
	for len(queue) > 0 && !s.ended {
		event := queue[0]
		queue = queue[1:]
		for _, action := range s.recovery.Step(time.Now(), event) {
			if follow, ok := s.carryOut(action); ok {
				queue = append(queue, follow)
			}
		}
	}
}

// carryOut does what the recovery asks and returns the event that follows, if any.
func (s *stream) carryOut(action request.Action) (request.Event, bool) {
	switch action.Type {
	case request.ActionSelectTarget:
		return s.pick(action), true
	case request.ActionStartAttempt:
		s.run(action)
	case request.ActionCancelAttempt:
		if a := s.running[action.Attempt]; a != nil {
			a.cancel()
		}
	case request.ActionReleaseTarget:
		s.next.release()
		s.next = nil
	case request.ActionDeliver:
		if err := s.deliver(len(action.Tokens)); err != nil {
			return request.Event{Type: request.EventCallerDisconnected, Kind: fault.SlowCaller}, true
		}
	case request.ActionEnd:
		s.ended, s.kind = true, action.Kind
	case request.ActionSetTimer:
		s.wake.Reset(time.Until(action.At))
	}
	return request.Event{}, false
}

// pick chooses the target of the next attempt: the one that holds a copy of the
// memory of the last, while there is one, else the best for the whole prompt.
func (s *stream) pick(action request.Action) request.Event {
	var charge admission.Charge
	if int(s.recovery.Attempts()) > s.unsent {
		var ok bool
		if charge, ok = s.gateway.takeRetry(s.in.ID, s.service, s.began); !ok {
			return request.Event{Type: request.EventNoTarget, Kind: fault.RetriesExhausted}
		}
	}
	a := s.pickCopy()
	if a == nil {
		var err error
		if a, err = s.placeAttempt(s.ctx, s.need(action.Avoid)); err != nil {
			c := s.gateway.control
			c.post(func() { c.budget(s.service).Refund(charge) })
			return request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
		}
	}
	a.charge = charge
	s.next = a
	return request.Event{Type: request.EventTargetSelected, Target: a.target.ID}
}

func (s *stream) need(avoid []request.TargetID) placement.Requirements {
	written := s.recovery.Output().Len() + s.in.Position
	return placement.Requirements{
		Service: s.service, Avoid: avoid, Session: s.in.Session(),
		PromptTokens: s.in.PromptTokens + written*s.tokensPerEvent(),
		MemoryTokens: s.in.PromptTokens + int(steadyTokens*float64(s.in.MaxTokens)),
	}
}

func (s *stream) tokensPerEvent() int {
	service := s.gateway.table.Load().Service(s.service)
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(1, service.Engine.TokensPerEvent)
}

// pickCopy returns an attempt at the target that holds the copy, or nil.
func (s *stream) pickCopy() *attempt {
	held := s.lastCopy
	s.lastCopy = peers.KVCopy{}
	if held.Target == "" {
		return nil
	}
	c := s.gateway.control
	a := &attempt{exchange: s.exchange, startedAt: time.Now(), requirements: s.need(nil), resumeFrom: held}
	a.requirements.PromptTokens = resumePrefillTokens
	found := false
	c.do(func() {
		t := c.table.Get(held.Target)
		if t != nil && t.Incarnation == held.Incarnation && !t.Down(a.startedAt) && !t.Draining {
			c.reserve(a, t, s.ctx)
			found = true
		}
	})
	if !found {
		s.gateway.log.Event("copy_gone", "request", s.in.ID, "target", held.Target, "incarnation", held.Incarnation)
		return nil
	}
	a.spec.KVCopyFrom, a.spec.KVCopyName = held.ResumeSource(a.target.Address)
	s.gateway.log.Event("resumed_from_copy", "request", s.in.ID, "target", a.target.ID,
		"failureDomain", a.target.FailureDomain, "run", held.RequestID, "events", s.recovery.Output().Len())
	return a
}

// run starts the attempt that was picked.
func (s *stream) run(action request.Action) {
	a := s.next
	s.next = nil
	s.running[action.Attempt] = a
	a.spec.Position = s.in.Position + s.recovery.Output().Len()
	s.gateway.control.post(func() { s.gateway.control.recordCopy(a) })
	go a.runStream(s.parts, s.over, action.Attempt)
}

// take puts what an attempt tells through the recovery.
func (s *stream) take(p part) {
	switch {
	case len(p.events) > 0:
		s.takeEvents(p)
	case p.ended:
		if s.head == nil {
			s.head = p.head
		}
		s.step(request.Event{
			Type: request.EventEnded, Attempt: p.number, Position: s.recovery.Output().Len(),
		})
	default:
		if p.failure != nil {
			s.failure = p.failure
		}
		s.fell(p)
		s.step(request.Event{Type: request.EventFailed, Attempt: p.number, Kind: p.kind})
	}
}

// fell notes that an attempt failed. Its memory can be gone on from where it ran for
// long enough that some was copied.
func (s *stream) fell(p part) {
	if s.running[p.number] == nil {
		return
	}
	delete(s.running, p.number)
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
	if p.kind == fault.Unreachable {
		s.unsent++
	}
	if p.kind != fault.TargetLost {
		return
	}
	s.lastCopy = p.attempt.usableCopy()
	// A target that resets connections by turns still holds the copy. If it used the
	// copy before the connection broke, it refuses the next attempt at once.
	if from := p.attempt.resumeFrom; p.unanswered && from.Target != "" && from != s.askedTwice {
		s.lastCopy, s.askedTwice = from, from
	}
}

func (s *stream) takeEvents(p part) {
	if s.head == nil {
		s.head = p.head
	}
	first := p.events[0].ID
	tokens := make([]request.TokenID, len(p.events))
	s.raw = s.raw[:0]
	for i, event := range p.events {
		if event.ID != first+i {
			s.step(request.Event{Type: request.EventFailed, Attempt: p.number, Kind: fault.Crossed})
			return
		}
		tokens[i] = request.TokenID(event.ID)
		s.raw = append(s.raw, event.Raw)
	}
	s.step(request.Event{
		Type: request.EventTokens, Attempt: p.number, Position: first - s.in.Position - 1, Tokens: tokens,
	})
}

// deliver writes the last count events to the caller.
func (s *stream) deliver(count int) error {
	controller := http.NewResponseController(s.writer)
	if err := controller.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
		return errors.WithStack(err)
	}
	s.begin()
	s.timed(time.Now())
	if !s.lostAt.IsZero() {
		record(s.gateway.metrics.resume, time.Since(s.lostAt))
		s.lostAt = time.Time{}
	}
	for _, raw := range s.raw[len(s.raw)-count:] {
		if _, err := s.writer.Write(raw); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(controller.Flush())
}

// timed notes when events are written.
func (s *stream) timed(now time.Time) {
	if s.wrote.IsZero() {
		s.firstAfter = now.Sub(s.arrived)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.wrote))
	}
	s.wrote = now
}

// settleCopy forgets the copy of a whole answer. That of one that broke off is kept
// for a while: its caller may come back for the rest, here or at another entry.
func (s *stream) settleCopy() {
	session := s.in.Session()
	if session == "" {
		return
	}
	held := s.lastCopy
	for _, a := range s.running {
		if usable := a.usableCopy(); usable.Target != "" {
			held = usable
		}
	}
	c := s.gateway.control
	until := time.Now().Add(s.gateway.copyTTL(s.service))
	keep := s.kind != fault.None && held.Target != ""
	c.post(func() {
		delete(c.sessionCopies, session)
		if keep {
			c.sessionCopies[session] = sessionCopy{KVCopy: held, expires: until}
		}
		c.updatePending = true
	})
}

// begin writes the head of the first target that answered.
func (s *stream) begin() {
	if s.began {
		return
	}
	s.began = true
	record(s.gateway.metrics.first, time.Since(s.arrived))
	header := s.writer.Header()
	for name, values := range platform.ForwardedResponseHeader(s.head.Header) {
		header[name] = values
	}
	s.writer.WriteHeader(s.head.StatusCode)
}

// finish ends the answer as it came out.
func (s *stream) finish() {
	s.settleCopy()
	for _, a := range s.running {
		a.cancel()
	}
	attempts := int(s.recovery.Attempts())
	events := s.recovery.Output().Len()
	switch {
	case s.kind == fault.None:
		record(s.gateway.metrics.pause, s.longestPause)
		// A caller that had all events gets an answer without any.
		s.begin()
		s.exchange.ended(fault.None, attempts, "events", events,
			"firstAfter", s.firstAfter, "longestPause", s.longestPause)
	case s.began:
		s.exchange.ended(s.kind, attempts, "events", events, "brokenOff", true,
			"firstAfter", s.firstAfter, "longestPause", s.longestPause)
		abort()
	case s.failure != nil && s.kind != fault.CallerGone:
		err := s.send(s.failure.head, s.failure.body)
		s.exchange.ended(s.kind, attempts, "status", s.failure.head.StatusCode, "sent", err == nil)
	default:
		kind := s.kind
		switch ran := s.recovery.WasRun() != request.RunNo; {
		case ran && promises(kind.Response().Status):
			kind = fault.TargetLost
		case !ran && !promises(kind.Response().Status):
			kind = fault.Overloaded
		}
		s.refuse(fault.New(kind, "no target answered"), attempts)
	}
}
