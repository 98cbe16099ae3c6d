package request

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// EventType selects which fields of an Event are set.
type EventType uint8

// The events that a Recovery steps on.
const (
	// EventStart begins the request.
	EventStart EventType = iota
	// EventPicked answers ActionPick with Target.
	EventPicked
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
	// EventCallerLeft says that nobody waits for the answer any more. Kind says how
	// the caller was lost; None reads as CallerGone.
	EventCallerLeft
	// EventTick says that the instant of the last ActionWake has come.
	EventTick
	// EventMove asks that Target be left because it drains by moving its work.
	EventMove
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
	// ActionPick asks for a target that is not in Avoid. Resume says that
	// tokens were accepted before, so the target must have the same version.
	ActionPick ActionType = iota
	// ActionRun asks to run Attempt on Target from the accepted tokens on.
	ActionRun
	// ActionCancel asks to cancel Attempt. No event about it is needed.
	ActionCancel
	// ActionDeliver asks to hand Tokens to the caller. They stay valid.
	ActionDeliver
	// ActionEnd ends the request with Kind and Finish. It is the last action.
	ActionEnd
	// ActionWake asks for EventTick at the instant At. A later one replaces it.
	ActionWake
)

// Action is one thing that the driver has to do. Actions are carried out in order.
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

// Policy holds what a profile decides about recovery.
type Policy struct {
	// Deadline is the instant at which the answer is of no more use; zero means never.
	Deadline time.Time
	// ResumeWithin is how long the request may stay without a running attempt.
	ResumeWithin time.Duration
	// Hedge starts a second attempt on suspicion, before the first is given up.
	Hedge bool
	// MaxTokens is the length asked for; an answer that has it is complete even
	// when the end of its attempt was lost. Zero means not known.
	MaxTokens int
	// MaxAttempts ends a request that fails again and again; zero means no limit.
	MaxAttempts int
}

// repickAfter is the pause before another target is asked for when there was none.
const repickAfter = 25 * time.Millisecond

type attempt struct {
	number AttemptNumber
	target TargetID
	// suspected is set while the target may have failed.
	suspected bool
}

// Recovery is the deciding core of one generation. It keeps at least one attempt
// running while that is possible, and ends the request truthfully when not.
//
// Invariants: the answer only grows, and only by tokens of a running attempt at
// the next position; at most two attempts run at once; after ActionEnd no
// action is returned.
type Recovery struct {
	policy  Policy
	answer  *Answer
	running []attempt
	// picking is set between ActionPick and its answer.
	picking bool
	// avoid lists targets that failed this request, latest last.
	avoid []TargetID
	// idleSince is when the last running attempt was lost; zero while one runs.
	idleSince time.Time
	started   AttemptNumber
	ended     bool
	lastKind  fault.Kind
	actions   []Action
}

// NewRecovery returns the machine of a request whose tokens go into answer.
func NewRecovery(policy Policy, answer *Answer) *Recovery {
	return &Recovery{policy: policy, answer: answer}
}

// Answer returns the answer as far as it has come.
func (r *Recovery) Answer() *Answer { return r.answer }

// Attempts returns how many attempts were started.
func (r *Recovery) Attempts() AttemptNumber { return r.started }

// Ended says whether ActionEnd was returned.
func (r *Recovery) Ended() bool { return r.ended }

// WasRun says, at any instant, whether the generation was run.
func (r *Recovery) WasRun() WasRun {
	switch {
	case r.started == 0:
		return RunNo
	case r.answer.Len() > 0:
		return RunYes
	default:
		return RunUnknown
	}
}

// Step takes one event and returns the actions that follow. The slice is valid
// until the next call.
func (r *Recovery) Step(now time.Time, event Event) []Action {
	r.actions = r.actions[:0]
	if r.ended {
		return nil
	}
	if r.pastDeadline(now) && event.Type != EventTokens && event.Type != EventEnded {
		r.end(fault.DeadlineExceeded, "")
		return r.actions
	}
	r.handle(now, event)
	return r.actions
}

func (r *Recovery) handle(now time.Time, event Event) {
	switch event.Type {
	case EventStart:
		r.onStart(now)
	case EventPicked:
		r.onPicked(event.Target)
	case EventNoTarget:
		r.onNoTarget(now, event.Kind)
	case EventTokens:
		r.onTokens(now, event)
	case EventEnded:
		r.onEnded(now, event)
	case EventFailed:
		r.onFailed(now, event.Attempt, event.Kind)
	case EventSuspected, EventMove:
		r.onSuspected(event)
	case EventCallerLeft:
		r.onCallerLeft(event.Kind)
	case EventTick:
		r.onTick(now)
	case EventAttached:
		r.onAttached(event)
	}
}

func (r *Recovery) onCallerLeft(kind fault.Kind) {
	if kind == fault.None {
		kind = fault.CallerGone
	}
	r.end(kind, "")
}

func (r *Recovery) pastDeadline(now time.Time) bool {
	return !r.policy.Deadline.IsZero() && !now.Before(r.policy.Deadline)
}

func (r *Recovery) onStart(now time.Time) {
	r.idleSince = now
	if !r.policy.Deadline.IsZero() {
		r.wakeAt(r.policy.Deadline)
	}
	r.pick()
}

func (r *Recovery) onAttached(event Event) {
	if !r.policy.Deadline.IsZero() {
		r.wakeAt(r.policy.Deadline)
	}
	r.started = event.Attempt
	r.running = append(r.running, attempt{number: event.Attempt, target: event.Target})
}

func (r *Recovery) onPicked(target TargetID) {
	r.picking = false
	r.started++
	r.running = append(r.running, attempt{number: r.started, target: target})
	r.idleSince = time.Time{}
	r.actions = append(r.actions, Action{Type: ActionRun, Attempt: r.started, Target: target})
}

// onNoTarget gives up when nothing was accepted yet, since the pick waited in
// the queue already, and else asks again until ResumeWithin is over.
func (r *Recovery) onNoTarget(now time.Time, kind fault.Kind) {
	r.picking = false
	if len(r.running) > 0 {
		return
	}
	r.lastKind = kind
	if r.started == 0 || kind == fault.VersionGone {
		r.end(kind, "")
		return
	}
	r.avoid = r.avoid[:0]
	r.wakeAt(now.Add(repickAfter))
}

func (r *Recovery) onTokens(now time.Time, event Event) {
	i := r.find(event.Attempt)
	if i < 0 {
		return
	}
	fresh, verdict := r.answer.Offer(event.Position, event.Tokens)
	switch verdict {
	case Accepted:
		r.win(i)
		r.actions = append(r.actions, Action{Type: ActionDeliver, Attempt: event.Attempt, Tokens: fresh})
	case Gap, Mismatch:
		r.cancel(event.Attempt)
		r.onFailed(now, event.Attempt, fault.Crossed)
	case Duplicate:
	}
}

// win ends the race between a suspected attempt and its hedge: the first next
// token decides.
func (r *Recovery) win(i int) {
	r.running[i].suspected = false
	if len(r.running) == 1 {
		return
	}
	winner := r.running[i]
	for _, other := range r.running {
		if other.number != winner.number {
			r.cancel(other.number)
		}
	}
	r.running = append(r.running[:0], winner)
}

func (r *Recovery) onEnded(now time.Time, event Event) {
	if r.find(event.Attempt) < 0 {
		return
	}
	if event.Position != r.answer.Len() {
		r.onFailed(now, event.Attempt, fault.Crossed)
		return
	}
	r.end(fault.None, event.Finish)
}

func (r *Recovery) onFailed(now time.Time, number AttemptNumber, kind fault.Kind) {
	i := r.find(number)
	if i < 0 {
		return
	}
	r.lastKind = kind
	r.avoid = append(r.avoid, r.running[i].target)
	r.running = slices.Delete(r.running, i, i+1)
	if r.complete() {
		r.end(fault.None, FinishLength)
		return
	}
	if final(kind) {
		r.end(kind, "")
		return
	}
	if len(r.running) > 0 {
		return
	}
	r.idleSince = now
	if r.exhausted() {
		r.end(fault.RetriesExhausted, "")
		return
	}
	r.pick()
}

func (r *Recovery) complete() bool {
	return r.policy.MaxTokens > 0 && r.answer.Len() >= r.policy.MaxTokens
}

// final says whether no other target can do better than the one that failed with kind.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.BadRequest, fault.NotFound, fault.TooLarge, fault.DeadlineExceeded, fault.Superseded:
		return true
	default:
		return false
	}
}

func (r *Recovery) exhausted() bool {
	return r.policy.MaxAttempts > 0 && int(r.started) >= r.policy.MaxAttempts
}

func (r *Recovery) onSuspected(event Event) {
	for i := range r.running {
		if r.running[i].target != event.Target || r.running[i].suspected {
			continue
		}
		r.running[i].suspected = true
		hedge := r.policy.Hedge || event.Type == EventMove
		if hedge && len(r.running) == 1 && !r.exhausted() {
			r.avoid = append(r.avoid, event.Target)
			r.pick()
		}
	}
}

func (r *Recovery) onTick(now time.Time) {
	if len(r.running) > 0 || r.picking {
		return
	}
	if now.Sub(r.idleSince) >= r.policy.ResumeWithin {
		r.end(r.idleKind(), "")
		return
	}
	r.pick()
}

func (r *Recovery) idleKind() fault.Kind {
	if r.lastKind == fault.None {
		return fault.NoTarget
	}
	return r.lastKind
}

func (r *Recovery) pick() {
	if r.picking {
		return
	}
	r.picking = true
	r.actions = append(r.actions, Action{Type: ActionPick, Avoid: r.avoid, Resume: r.answer.Len() > 0})
}

func (r *Recovery) cancel(number AttemptNumber) {
	r.actions = append(r.actions, Action{Type: ActionCancel, Attempt: number})
}

func (r *Recovery) wakeAt(at time.Time) {

	r.actions = append(r.actions, Action{Type: ActionWake, At: at})
}

func (r *Recovery) end(kind fault.Kind, finish FinishReason) {
	for _, a := range r.running {
		if kind != fault.None {
			r.cancel(a.number)
		}
	}
	r.running = r.running[:0]
	r.ended = true
	r.actions = append(r.actions, Action{Type: ActionEnd, Kind: kind, Finish: finish})
}

func (r *Recovery) find(number AttemptNumber) int {
	return slices.IndexFunc(r.running, func(a attempt) bool { return a.number == number })
}
