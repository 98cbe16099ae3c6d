package request

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// EventType selects which fields of an Event are set.
type EventType uint8

// The events that Recovery.Step handles.
const (
	// EventStart starts the request.
	EventStart EventType = iota
	// EventTargetSelected is the reply to ActionSelectTarget when Target was selected.
	EventTargetSelected
	// EventNoTarget is the reply to ActionSelectTarget when no target can take the
	// request; Kind is the reason.
	EventNoTarget
	// EventTokens delivers Tokens of Attempt, the first of them at Position.
	EventTokens
	// EventEnded means that the engine finished Attempt normally after Position
	// tokens, for the reason Finish.
	EventEnded
	// EventFailed means that Attempt stopped before it finished; Kind is the reason.
	EventFailed
	// EventSuspected means that Target, which runs attempts, may have failed.
	EventSuspected
	// EventCallerDisconnected means that the caller no longer waits for the response.
	// Kind is the reason; None is treated as CallerGone.
	EventCallerDisconnected
	// EventTimer means that the timer set by the last ActionSetTimer expired.
	EventTimer
	// EventMigrate requests that attempts on Target be moved to another target, because
	// Target is draining and its work is to be resumed elsewhere. It may be sent more
	// than once.
	EventMigrate
	// EventAttached starts the request instead of EventStart, with Attempt already
	// running on Target. The output already holds the tokens generated before.
	EventAttached
	// EventTrusted means that Target, which was suspected, has been active.
	EventTrusted
	// EventSending means that Attempt reached its target and is about to be sent. It is
	// not sent if the resulting actions cancel it.
	EventSending
)

// Event is one input of a Recovery.
type Event struct {
	Type     EventType
	Attempt  AttemptNumber
	Target   TargetID
	Position int
	Tokens   []TokenID
	Finish   FinishReason
	Kind     fault.Kind
	// RetryAfter is set with EventNoTarget: the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// ActionType selects which fields of an Action are set.
type ActionType uint8

// The actions that a Recovery requests from its driver.
const (
	// ActionSelectTarget requests a target that is not in Avoid. Resume is set when
	// tokens were already accepted, so the target must serve the same model version.
	ActionSelectTarget ActionType = iota
	// ActionStartAttempt starts Attempt on Target, resuming after the accepted tokens.
	ActionStartAttempt
	// ActionCancelAttempt cancels Attempt. The driver need not report its end.
	ActionCancelAttempt
	// ActionDeliver sends Tokens to the caller. They stay valid after the next step.
	ActionDeliver
	// ActionEnd ends the request with Kind and Finish. It is the last action.
	ActionEnd
	// ActionSetTimer requests EventTimer at the time At and replaces any earlier timer.
	ActionSetTimer
	// ActionReleaseTarget releases Target, which was selected but is no longer needed.
	ActionReleaseTarget
)

// Action is one operation that the driver must perform. Actions are performed in
// order. Avoid is valid until the next step.
type Action struct {
	Type    ActionType
	Attempt AttemptNumber
	Target  TargetID
	Avoid   []TargetID
	Resume  bool
	Tokens  []TokenID
	Kind    fault.Kind
	Finish  FinishReason
	At      time.Time
}
