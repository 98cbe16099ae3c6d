package entry

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/metrics"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// requestRecorder records the events of one request in the timeline and the metrics.
type requestRecorder struct {
	observer *observe.Observer
	id       request.ID
	revision int64
	arrived  time.Time
	// interruptedAt is when the stream was interrupted, or zero while it is not.
	interruptedAt  time.Time
	firstDelivered bool
}

func newRequestRecorder(observer *observe.Observer, g request.Generation) *requestRecorder {
	return &requestRecorder{observer: observer, id: g.ID, revision: g.Revision, arrived: time.Now()}
}

func (r *requestRecorder) record(event timeline.Event) timeline.Timestamp {
	event.Request = r.id
	return r.observer.Record(event)
}

func (r *requestRecorder) recordAdmitted() {
	r.record(timeline.Event{Kind: timeline.RequestAdmitted, Revision: r.revision})
}

// recordAttached records that a request was attached to a journal. Its first delivery by
// this entry is recorded as a first token, since the caller has been waiting for it.
func (r *requestRecorder) recordAttached(attached attachment) {
	r.record(timeline.Event{
		Kind: timeline.RequestAttached, Revision: r.revision, Attempt: attached.start.Attempt,
		Target: attached.target, Position: len(attached.start.Prefix),
	})
}

// recordAttemptStart records that an attempt starts at position and returns the
// timestamp to send with it. runningAttempts counts the attempts that already run.
func (r *requestRecorder) recordAttemptStart(number request.AttemptNumber, target request.TargetID, position, promptTokens, runningAttempts int) timeline.Timestamp {
	reason := metrics.ReasonResume
	resentTokens := promptTokens + position
	switch {
	case number == 1:
		reason = metrics.ReasonFirst
		resentTokens = 0
	case runningAttempts > 0:
		reason = metrics.ReasonHedge
		r.record(timeline.Event{Kind: timeline.Hedged, Attempt: number, Target: target, Position: position})
	}
	r.observer.Metrics.RecordAttempt(reason, resentTokens)
	return r.record(timeline.Event{Kind: timeline.AttemptStarted, Attempt: number, Target: target, Position: position})
}

// recordEvent records an event before the recovery state machine handles it.
func (r *requestRecorder) recordEvent(event request.Event, target request.TargetID) {
	switch event.Type {
	case request.EventFailed:
		r.markInterrupted()
		r.record(timeline.Event{
			Kind: timeline.AttemptFailed, Attempt: event.Attempt, Target: target,
			Error: timeline.ErrorName(event.Kind),
		})
	case request.EventEnded:
		r.record(timeline.Event{Kind: timeline.AttemptEnded, Attempt: event.Attempt, Target: target, Position: event.Position})
	case request.EventSuspected:
		r.markInterrupted()
		r.record(timeline.Event{Kind: timeline.TargetSuspected, Target: event.Target})
	default:
	}
}

func (r *requestRecorder) markInterrupted() {
	if r.interruptedAt.IsZero() && r.firstDelivered {
		r.interruptedAt = time.Now()
	}
}

// recordDelivery records that tokens of an attempt were delivered, starting at position.
func (r *requestRecorder) recordDelivery(number request.AttemptNumber, target request.TargetID, position int) {
	if !r.firstDelivered {
		r.firstDelivered = true
		r.observer.Metrics.RecordFirstToken(time.Since(r.arrived))
		r.record(timeline.Event{Kind: timeline.FirstToken, Attempt: number, Target: target, Position: position})
		return
	}
	if r.interruptedAt.IsZero() {
		return
	}
	r.observer.Metrics.RecordResume(time.Since(r.interruptedAt))
	r.interruptedAt = time.Time{}
	r.record(timeline.Event{Kind: timeline.Resumed, Attempt: number, Target: target, Position: position})
}

// recordEnd records the outcome of the request.
func (r *requestRecorder) recordEnd(outcome request.Outcome) {
	r.observer.Metrics.RecordRequestEnd(outcome.Tokens, outcome.Kind, outcome.WasRun.String())
	kind := timeline.RequestEnded
	if outcome.Kind != fault.None {
		kind = timeline.RequestRefused
	}
	r.record(timeline.Event{
		Kind: kind, Revision: outcome.Revision, Attempt: outcome.Attempts,
		Position: outcome.Tokens, Error: outcome.Error,
	})
}
