package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// resumeTimeout is how long a stream may be without a running attempt. Output
	// should resume within 3 s, but later is better than never.
	resumeTimeout = 12 * time.Second
	// maxEmptyAttempts is how many attempts in a row may yield no event.
	maxEmptyAttempts = 5
	// updateBuffer is how many updates of an attempt may queue for a slow caller.
	updateBuffer = 16
	// maxQueuedEventBytes is how many bytes of events may wait for a slow caller. A larger
	// update waits alone.
	maxQueuedEventBytes = 64 << 10
	// writeTimeout is how long one write to a caller may take: some events, or a chunk of
	// another body.
	writeTimeout = 5 * time.Second
	// soundSilence is for how long after it was suspected a stream is left at its target rather
	// than moved to one that takes longer than resumeTime to prefill it: the target may go on
	// before the other one has.
	soundSilence = 1500 * time.Millisecond
	// resumeTime is the time within which output is to resume after a loss.
	resumeTime = 3 * time.Second
	// expectedOutputFraction is the part of a request's maximum output that its memory
	// requirement counts.
	expectedOutputFraction = 0.9
)

// stream is one request on a streaming route. Its recovery makes the decisions. The
// recovery handles each event as one token, although an event holds several; its
// positions count from the first event that the caller lacks.
type stream struct {
	*exchange
	ctx      context.Context
	recovery *request.Recovery
	updates  chan attemptUpdate
	// queued limits the bytes of the events in updates that have not been handled.
	queued *semaphore.Weighted
	// eventMemory counts the events that the caller has not read.
	eventMemory *memory.Account
	// stopped is cancelled when updates are no longer received.
	stopped context.Context
	running map[request.AttemptNumber]*attempt
	// suspected holds the running attempts of which the recovery knows that their targets are
	// suspected.
	// suspectedAt is when that last changed.
	suspected   map[request.AttemptNumber]bool
	suspectedAt time.Time
	selected    *attempt
	// resumeCopy is the KV copy from which the next attempt can resume. retriedCopy is
	// the copy from which a second attempt was to resume after the first got no response.
	// failedCopy is the one from which the last attempt that failed was to resume.
	resumeCopy, retriedCopy, failedCopy kvcopies.Copy
	// head is the head of the latest response with events; the caller gets that of the
	// first events that are delivered.
	head        *http.Response
	headWritten bool
	// emptyEndAt is the position at which the last response without an event ended, 0 if
	// there was none.
	emptyEndAt int
	// eventBegunAt is the position after which a response broke off inside the next event, 0
	// if none did.
	eventBegunAt int
	// unsentAttempts counts the attempts that did not reach their targets.
	unsentAttempts int
	interruptedAt  time.Time
	// interrupted is set if an attempt failed after the first events.
	interrupted bool
	// firstEventDelay is how long the caller waited for the first event, longestPause
	// the longest wait for a later one; lastWrite is when events were last written.
	firstEventDelay, longestPause time.Duration
	lastWrite                     time.Time
	failureResponse               *bufferedResponse
	timer                         *time.Timer
	rawEvents                     [][]byte
	done                          bool
	endKind                       fault.Kind
}

// serveStream serves a request on a streaming route.
func (e *exchange) serveStream(ctx context.Context) {
	limit := maxEmptyAttempts
	if e.route.MaxAttempts > 0 {
		limit = min(limit, e.route.MaxAttempts)
	}
	if !e.route.Resumable {
		limit = 1
	}
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	s := &stream{
		exchange: e,
		ctx:      ctx,
		recovery: request.NewRecovery(request.RecoveryPolicy{
			Deadline: e.deadline, ResumeTimeout: resumeTimeout, MaxAttempts: limit, ReplaceSuspected: true,
		}, request.NewOutput(e.inbound.MaxTokens)),
		updates:     make(chan attemptUpdate, updateBuffer),
		queued:      semaphore.NewWeighted(maxQueuedEventBytes),
		eventMemory: e.gateway.bodyMemory.memory.Open(quota.Sending, func() { graceful.Disconnect(ctx) }),
		stopped:     stopped,
		running:     map[request.AttemptNumber]*attempt{}, suspected: map[request.AttemptNumber]bool{},
		timer: time.NewTimer(time.Until(e.deadline)),
	}
	defer s.timer.Stop()
	defer s.eventMemory.Close()
	if err := e.pinReturned(); err != nil {
		e.refuse(err, 0)
		return
	}
	s.startRun()
	s.handleEvent(request.Event{Type: request.EventStart})
	for !s.done {
		select {
		case update := <-s.updates:
			s.handleUpdate(update)
			s.queued.Release(update.queuedBytes())
			s.eventMemory.Progress()
			s.eventMemory.Release(eventCopies * update.eventBytes())
		case <-s.suspicionChanged:
			s.handleSuspicions()
		case <-s.timer.C:
			s.handleEvent(request.Event{Type: request.EventTimer})
		case <-ctx.Done():
			s.handleEvent(request.Event{Type: request.EventCallerDisconnected})
		case <-s.gateway.ending.Done():
			// The caller resumes at another entry.
			s.cutOff = true
			s.handleEvent(request.Event{Type: request.EventCallerDisconnected, Kind: fault.Draining})
		}
	}
	s.finish()
}

// handleEvent passes an event to the recovery and executes the actions that it returns.
func (s *stream) handleEvent(event request.Event) {
	queue := []request.Event{event}
	for len(queue) > 0 && !s.done {
		event := queue[0]
		queue = queue[1:]
		for _, action := range s.recovery.Step(time.Now(), event) {
			if next, ok := s.execute(action); ok {
				queue = append(queue, next)
			}
		}
	}
}

// execute performs an action of the recovery and returns the event that follows, if
// any.
func (s *stream) execute(action request.Action) (request.Event, bool) {
	switch action.Type {
	case request.ActionSelectTarget:
		return s.selectTarget(action), true
	case request.ActionStartAttempt:
		s.startAttempt(action)
	case request.ActionCancelAttempt:
		s.cancelAttempt(action.Attempt)
	case request.ActionReleaseTarget:
		s.selected.refundCharge()
		s.selected.release()
		s.selected = nil
	case request.ActionDeliver:
		if err := s.deliver(len(action.Tokens)); err != nil {
			return request.Event{Type: request.EventCallerDisconnected, Kind: fault.SlowCaller}, true
		}
	case request.ActionEnd:
		s.done, s.endKind = true, action.Kind
	case request.ActionSetTimer:
		s.timer.Reset(time.Until(action.At))
	}
	return request.Event{}, false
}

// selectTarget selects the target of the next attempt: the one that holds the KV copy
// if there is one, else the best for prefilling the whole prompt.
func (s *stream) selectTarget(action request.Action) request.Event {
	if err := s.checkQuarantine(); err != nil {
		return request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
	}
	var charge admission.Charge
	if int(s.recovery.Attempts()) > s.unsentAttempts {
		var ok bool
		if charge, ok = s.gateway.takeRetry(s.inbound.ID, s.service, s.headWritten); !ok {
			if s.hopeless() {
				return request.Event{Type: request.EventCallerDisconnected, Kind: fault.NoTarget}
			}
			return request.Event{Type: request.EventNoTarget, Kind: fault.RetriesExhausted}
		}
	}
	requirements := s.requirements(action.Avoid)
	if suspect := s.suspectedAttempt(); suspect != nil {
		if time.Since(s.suspectedAt) < soundSilence {
			requirements.MaxPrefillTime = resumeTime
		}
		if usable := suspect.usableCopy(); usable != s.failedCopy {
			s.resumeCopy = usable
		}
	}
	a := s.resumeFromCopy()
	if a == nil {
		var err error
		if a, err = s.placeAttempt(s.ctx, requirements); err != nil {
			c := s.gateway.control
			c.post(func() { c.budget(s.service).Refund(charge) })
			if s.hopeless() {
				return request.Event{Type: request.EventCallerDisconnected, Kind: fault.KindOf(err)}
			}
			return request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
		}
	}
	a.charge = charge
	s.selected = a
	return request.Event{Type: request.EventTargetSelected, Target: a.target.ID}
}

func (s *stream) requirements(avoid []request.TargetID) placement.Requirements {
	return s.streamRequirements(avoid, s.recovery.Output().Len())
}

// streamRequirements returns what the next attempt of a stream requires, of which the caller has
// had produced events beyond those of earlier requests.
func (e *exchange) streamRequirements(avoid []request.TargetID, produced int) placement.Requirements {
	position := produced + e.inbound.Position
	return placement.Requirements{
		Service: e.service, Avoid: avoid, Session: e.inbound.Session(), Rank: e.priority(), FirstEventWithin: e.firstEventWithin(position),
		PromptTokens: e.inbound.PromptTokens + position*e.tokensPerEvent(),
		MemoryTokens: e.inbound.PromptTokens + int(expectedOutputFraction*float64(e.inbound.MaxTokens)),
	}
}

// firstEventWithin returns the time that is left until the first event is due, zero if the route has
// no objective for it or the caller has had events.
func (e *exchange) firstEventWithin(position int) time.Duration {
	if e.route.LatencyObjective <= 0 || position > 0 {
		return 0
	}
	return max(time.Millisecond, e.route.LatencyObjective-time.Since(e.arrived))
}

func (e *exchange) tokensPerEvent() int {
	if e.engine == nil {
		return 1
	}
	return max(1, e.engine.TokensPerEvent)
}

// resumeFromCopy returns an attempt at the target that holds the KV copy, or nil.
func (s *stream) resumeFromCopy() *attempt {
	kvCopy := s.resumeCopy
	s.resumeCopy = kvcopies.Copy{}
	if kvCopy.Target == "" {
		return nil
	}
	c := s.gateway.control
	a := &attempt{exchange: s.exchange, startedAt: time.Now(), requirements: s.requirements(nil), resumeFrom: kvCopy}
	a.requirements.PromptTokens = resumePrefillTokens
	found := false
	c.do(func() {
		t := c.table.Get(kvCopy.Target)
		if t != nil && t.Incarnation == kvCopy.Incarnation && !t.Down(a.startedAt) && !t.IsDraining() &&
			c.mayResumeAt(s.exchange, t) && c.checkQuarantine(s.exchange) == nil {
			if found, a.reserved = t.TakeResume(a.startedAt); found {
				c.reserve(a, t, s.ctx)
			}
		}
	})
	if !found {
		s.gateway.log.Event("copy_gone", "request", s.inbound.ID, "target", kvCopy.Target, "incarnation", kvCopy.Incarnation)
		return nil
	}
	a.spec.KVCopyFrom, a.spec.KVCopyName = kvCopy.ResumeSource(a.target.Address)
	s.gateway.log.Event("resumed_from_copy", "request", s.inbound.ID, "target", a.target.ID,
		"failureDomain", a.target.FailureDomain, "run", kvCopy.RequestID, "events", s.recovery.Output().Len())
	return a
}

// startAttempt starts the attempt that was selected.
func (s *stream) startAttempt(action request.Action) {
	a := s.selected
	s.selected = nil
	a.replaces = len(s.running) > 0
	s.running[action.Attempt] = a
	a.spec.Position = s.inbound.Position + s.recovery.Output().Len()
	a.endSeen = a.spec.Position > 0 && a.spec.Position == s.emptyEndAt
	a.eventBegun = a.spec.Position > 0 && a.spec.Position == s.eventBegunAt
	if !a.replaces {
		s.recordCopy(a)
	}
	go a.runStreamAttempt(s, action.Attempt)
}

// recordCopy records the copy of an attempt that is sent as the one of the stream.
func (s *stream) recordCopy(a *attempt) {
	c := s.gateway.control
	c.post(func() { c.recordCopy(a) })
}

// handleUpdate passes an update of an attempt to the recovery.
func (s *stream) handleUpdate(update attemptUpdate) {
	switch {
	case update.sending != nil:
		// From then on its target cannot withdraw it, and the attempt that it replaces may end.
		if update.attempt.beginSending() {
			s.handleEvent(request.Event{Type: request.EventSending, Attempt: update.number})
			if a := s.running[update.number]; a != nil {
				s.recordCopy(a)
			}
		}
		close(update.sending)
	case s.running[update.number] == nil:
		// It was cancelled.
	case len(update.events) > 0:
		s.handleTokens(update)
	case update.complete:
		s.head = update.head
		s.handleEvent(request.Event{
			Type: request.EventEnded, Attempt: update.number, Position: s.recovery.Output().Len(),
		})
	default:
		if update.failureResponse != nil {
			s.failureResponse = update.failureResponse
		}
		if update.emptyEnd {
			s.emptyEndAt = update.attempt.spec.Position
		}
		position := s.inbound.Position + s.recovery.Output().Len()
		if update.insideEvent && position == max(update.attempt.lastEvent, update.attempt.spec.Position) {
			s.eventBegunAt = position
		}
		s.attemptFailed(update)
		s.handleEvent(request.Event{Type: request.EventFailed, Attempt: update.number, Kind: update.kind})
	}
}

// attemptFailed records that an attempt failed. The next one can resume from its KV
// copy if it ran for long enough that some memory was copied.
func (s *stream) attemptFailed(update attemptUpdate) {
	delete(s.running, update.number)
	s.recordInterruption()
	s.failedCopy = update.attempt.resumeFrom
	if s.interruptedAt.IsZero() {
		s.interruptedAt = time.Now()
	}
	if update.kind == fault.Unreachable {
		s.unsentAttempts++
	}
	if update.kind != fault.TargetLost {
		return
	}
	s.resumeCopy = update.attempt.usableCopy()
	// A target that resets some connections may still hold the copy. If it had used the
	// copy before the connection broke, it refuses the next attempt at once.
	if resumeFrom := update.attempt.resumeFrom; update.noResponse && resumeFrom.Target != "" && resumeFrom != s.retriedCopy {
		s.resumeCopy, s.retriedCopy = resumeFrom, resumeFrom
	}
}

func (s *stream) handleTokens(update attemptUpdate) {
	events := update.events
	for len(events) > 0 && events[0].ID <= s.inbound.Position {
		// The caller has it.
		events = events[1:]
	}
	if len(events) == 0 {
		return
	}
	if s.pin.Set && update.attempt.target.Version != s.pin.Version {
		// It was placed beside the attempt that began the stream.
		update.attempt.cancel()
		s.handleEvent(request.Event{Type: request.EventFailed, Attempt: update.number, Kind: fault.Crossed})
		return
	}
	s.head = update.head
	first := events[0].ID
	tokens := make([]request.TokenID, len(events))
	s.rawEvents = s.rawEvents[:0]
	for i, event := range events {
		if event.ID != first+i {
			update.attempt.cancel()
			s.handleEvent(request.Event{Type: request.EventFailed, Attempt: update.number, Kind: fault.Crossed})
			return
		}
		tokens[i] = request.TokenID(event.ID)
		s.rawEvents = append(s.rawEvents, event.Raw)
	}
	s.handleEvent(request.Event{
		Type: request.EventTokens, Attempt: update.number, Position: first - s.inbound.Position - 1, Tokens: tokens,
	})
	if !s.pin.Set && s.recovery.Output().Len() > 0 {
		s.recordOrigin(update.attempt.target.Version)
	}
	if s.suspected[update.number] && update.attempt.suspected.Load() {
		// The recovery trusts an attempt whose tokens it accepts, also late ones.
		s.handleEvent(request.Event{Type: request.EventSuspected, Target: update.attempt.target.ID})
	}
}

// deliver writes the last count events to the caller.
func (s *stream) deliver(count int) error {
	if err := s.extendWriteDeadline(); err != nil {
		return err
	}
	s.forwardHead()
	s.recordTiming(time.Now())
	if !s.interruptedAt.IsZero() {
		recordDuration(s.gateway.metrics.resumeLatency, time.Since(s.interruptedAt))
		s.interruptedAt = time.Time{}
	}
	for _, raw := range s.rawEvents[len(s.rawEvents)-count:] {
		if _, err := s.writer.Write(raw); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(http.NewResponseController(s.writer).Flush())
}

// recordTiming records when events are written.
func (s *stream) recordTiming(now time.Time) {
	if s.lastWrite.IsZero() {
		s.firstEventDelay = now.Sub(s.arrived)
		s.gateway.observeHandover(s.exchange, s.firstEventDelay)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
}

// endRun removes the run of a stream whose caller does not come back for the rest: it has
// everything, or nothing of this run. Otherwise the run is retained, with its KV copy if there is
// one: the caller may come back here or to another entry.
func (s *stream) endRun() {
	if s.run == 0 {
		return
	}
	kvCopy := s.resumeCopy
	for _, a := range s.running {
		if usable := a.usableCopy(); usable.Target != "" {
			kvCopy = usable
		}
	}
	c := s.gateway.control
	now := time.Now()
	expires := now.Add(s.copyTTL())
	streamed := s.recovery.Output().Len() > 0 || s.inbound.Position > 0 && s.recovery.WasRun() != request.RunNo
	retain := s.endKind != fault.None && streamed
	c.post(func() {
		if retain {
			c.kvCopies.End(now, s.run, kvCopy, expires)
		} else {
			c.kvCopies.Remove(s.run)
		}
		c.updatePending = true
	})
}

// forwardHead forwards the response head unless one was forwarded before.
func (s *stream) forwardHead() {
	if s.headWritten {
		return
	}
	s.headWritten = true
	recordDuration(s.gateway.metrics.firstEventLatency, time.Since(s.arrived))
	header := s.writer.Header()
	for name, values := range platform.ForwardedResponseHeader(s.head.Header) {
		header[name] = values
	}
	s.resetConnectionOnClose(true)
	s.writeHead(s.head.StatusCode)
}

// resetConnectionOnClose sets whether closing the caller's connection resets it, if the stream
// would look complete otherwise.
func (s *stream) resetConnectionOnClose(reset bool) {
	if s.endsWithConnection {
		graceful.SetReset(s.ctx, reset)
	}
}

// finish ends the response to the caller.
func (s *stream) finish() {
	s.endRun()
	s.endOrigin()
	s.endInterruption()
	for _, a := range s.running {
		a.cancel()
	}
	attempts := int(s.recovery.Attempts())
	events := s.recovery.Output().Len()
	switch {
	case s.endKind == fault.None:
		recordDuration(s.gateway.metrics.longestPause, s.longestPause)
		// A caller that already has all events gets a response without any.
		s.forwardHead()
		// It fails if the connection is closed.
		_ = s.extendWriteDeadline()
		s.resetConnectionOnClose(false)
		s.exchange.finish(fault.None, attempts, "events", events,
			"firstAfter", s.firstEventDelay, "longestPause", s.longestPause)
	case s.headWritten:
		s.exchange.finish(s.endKind, attempts, "events", events, "brokenOff", true,
			"firstAfter", s.firstEventDelay, "longestPause", s.longestPause)
		abort()
	case s.failureResponse != nil && s.endKind != fault.CallerGone:
		err := s.writeResponse(s.failureResponse)
		s.exchange.finish(s.endKind, attempts, "status", s.failureResponse.head.StatusCode, "sent", err == nil)
	default:
		kind := s.endKind
		switch mayHaveRun := s.recovery.WasRun() != request.RunNo; {
		case mayHaveRun && request.GuaranteesNotRun(kind.Response().Status):
			kind = fault.TargetLost
		case !mayHaveRun && !request.GuaranteesNotRun(kind.Response().Status):
			kind = fault.Overloaded
		}
		s.refuse(fault.New(kind, "no target answered"), attempts)
	}
}
