package request

import (
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// EventType selects which fields of an Event are set.
type EventType uint8

// The events that a Recovery steps on.
const (
	// EventStart begins the request.
	EventStart EventType = iota
	// EventTargetSelected answers ActionPick with Target.
	EventTargetSelected
	// EventNoTarget answers ActionPick when nothing can take the request; Kind says why.
	EventNoTarget
	// EventTokens brings Tokens of Attempt, the first at Position.
	EventTokens
	// EventEnded says that Attempt ended as its engine intends, after Position
	// tokens, for the reason Finish.
	EventEnded
	// EventFailed says that Attempt is over without an end; Kind says why.
	EventFailed
	// EventSuspected says that the target of running attempts may have failed.
	EventSuspected
	// EventCallerDisconnected says that nobody waits for the answer any more. Kind says how
	// the caller was lost; None reads as CallerGone.
	EventCallerDisconnected
	// EventTimer says that the instant of the last ActionWake has come.
	EventTimer
	// EventMigrate asks that Target be left because it drains by moving its work. It
	// may be told again.
	EventMigrate
	// EventAttached begins the request in place of EventStart with Attempt, which
	// runs on Target already. The answer holds the tokens before it.
	EventAttached
)

// Event is one thing that happened to a request.
type Event struct {
	Type     EventType
	Attempt  AttemptNumber
	Target   TargetID
	Position int
	Tokens   []TokenID
	Finish   FinishReason
	Kind     fault.Kind
	// RetryAfter comes with EventNoTarget: when it is worth while to ask again.
	RetryAfter time.Duration
}

// ActionType selects which fields of an Action are set.
type ActionType uint8

// The actions that a Recovery asks of its driver.
const (
	// ActionSelectTarget asks for a target that is not in Avoid. Resume says that
	// tokens were accepted before, so the target must have the same version.
	ActionSelectTarget ActionType = iota
	// ActionStartAttempt asks to run Attempt on Target from the accepted tokens on.
	ActionStartAttempt
	// ActionCancelAttempt asks to cancel Attempt. No event about it is needed.
	ActionCancelAttempt
	// ActionDeliver asks to hand Tokens to the caller. They stay valid.
	ActionDeliver
	// ActionEnd ends the request with Kind and Finish. It is the last action.
	ActionEnd
	// ActionSetTimer asks for EventTick at the instant At. A later one replaces it.
	ActionSetTimer
	// ActionReleaseTarget gives back Target, which was picked and is not needed any more.
	ActionReleaseTarget
)

// Action is one thing that the driver has to do. Actions are carried out in order.
// Avoid is valid until the next step.
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
