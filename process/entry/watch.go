package entry

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/metrics"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// requestWatch tells the time line and the metrics what becomes of one request.
type requestWatch struct {
	observer *observe.Observer
	id       request.ID
	revision int64
	arrived  time.Time
	// lost is when the answer came to stand still; zero while it goes on.
	lost  time.Time
	first bool
}

func newRequestWatch(observer *observe.Observer, g request.Generation) *requestWatch {
	return &requestWatch{observer: observer, id: g.ID, revision: g.Revision, arrived: time.Now()}
}

func (w *requestWatch) record(event timeline.Event) timeline.Timestamp {
	event.Request = w.id
	return w.observer.Record(event)
}

func (w *requestWatch) admitted() {
	w.record(timeline.Event{Kind: timeline.RequestAdmitted, Revision: w.revision})
}

// attached notes that a request was taken over from its journal. Its first token
// is one that the caller waited for already.
func (w *requestWatch) attached(from attachment) {
	w.record(timeline.Event{
		Kind: timeline.RequestAttached, Revision: w.revision, Attempt: from.began.Attempt,
		Target: from.target, Position: len(from.began.Prefix),
	})
}

// started notes that an attempt begins at position and returns the stamp that
// goes along with it. Running counts the attempts that run already.
func (w *requestWatch) started(number request.AttemptNumber, target request.TargetID, position, prompt, running int) timeline.Timestamp {
	reason := metrics.ReasonResume
	again := prompt + position
	switch {
	case number == 1:
		reason = metrics.ReasonFirst
		again = 0
	case running > 0:
		reason = metrics.ReasonHedge
		w.record(timeline.Event{Kind: timeline.Hedged, Attempt: number, Target: target, Position: position})
	}
	w.observer.Metrics.RecordAttempt(reason, again)
	return w.record(timeline.Event{Kind: timeline.AttemptStarted, Attempt: number, Target: target, Position: position})
}

// event notes what an event means before the recovery steps on it.
func (w *requestWatch) event(event request.Event, target request.TargetID) {
	switch event.Type {
	case request.EventFailed:
		w.stand()
		w.record(timeline.Event{
			Kind: timeline.AttemptFailed, Attempt: event.Attempt, Target: target,
			Error: timeline.ErrorName(event.Kind),
		})
	case request.EventEnded:
		w.record(timeline.Event{Kind: timeline.AttemptEnded, Attempt: event.Attempt, Target: target, Position: event.Position})
	case request.EventSuspected:
		w.stand()
		w.record(timeline.Event{Kind: timeline.TargetSuspected, Target: event.Target})
	default:
	}
}

func (w *requestWatch) stand() {
	if w.lost.IsZero() && w.first {
		w.lost = time.Now()
	}
}

// delivered notes that the answer went on at position with tokens of an attempt.
func (w *requestWatch) delivered(number request.AttemptNumber, target request.TargetID, position int) {
	if !w.first {
		w.first = true
		w.observer.Metrics.RecordFirstToken(time.Since(w.arrived))
		w.record(timeline.Event{Kind: timeline.FirstToken, Attempt: number, Target: target, Position: position})
		return
	}
	if w.lost.IsZero() {
		return
	}
	w.observer.Metrics.RecordResume(time.Since(w.lost))
	w.lost = time.Time{}
	w.record(timeline.Event{Kind: timeline.Resumed, Attempt: number, Target: target, Position: position})
}

// ended notes the outcome.
func (w *requestWatch) ended(outcome request.Outcome) {
	w.observer.Metrics.RecordRequestEnd(outcome.Tokens, outcome.Kind, outcome.WasRun.String())
	kind := timeline.RequestEnded
	if outcome.Kind != fault.None {
		kind = timeline.RequestRefused
	}
	w.record(timeline.Event{
		Kind: kind, Revision: outcome.Revision, Attempt: outcome.Attempts,
		Position: outcome.Tokens, Error: outcome.Error,
	})
}
