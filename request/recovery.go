package request

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// RecoveryPolicy holds what a profile decides about recovery.
type RecoveryPolicy struct {
	// Deadline is the instant at which the answer is of no more use; zero means never.
	Deadline time.Time
	// ResumeTimeout is how long the request may stay without a running attempt.
	ResumeTimeout time.Duration
	// Hedge starts a second attempt on suspicion, before the first is given up.
	Hedge bool
	// MaxTokens is the length asked for; an answer that has it is complete even
	// when the end of its attempt was lost. Zero means not known.
	MaxTokens int
	// MaxAttempts ends a request after so many attempts in a row that brought no
	// token; zero means no limit.
	MaxAttempts int
}

const (
	// repickAfter is the pause before another target is asked for when there was
	// none, or when attempts fail in a row without a token.
	repickAfter = 25 * time.Millisecond
	// repeatAfter is that pause while the budget of repeats has no room: it frees with
	// time only.
	repeatAfter = 100 * time.Millisecond
	// secondAfter is that pause while an attempt runs that another is to join.
	secondAfter = 250 * time.Millisecond
	// promptRepicks is how many attempts in a row may fail without such a pause.
	promptRepicks = 2
	// maxHeld bounds the tokens held back during a move, which is given up then.
	maxHeld = 256
)

type attempt struct {
	number AttemptNumber
	target TargetID
	// suspected is set while the target may have failed.
	suspected bool
	// moving is set while the target drains. Tokens that come while another
	// attempt takes over are held: the other one began before them, and may go on
	// with different ones.
	moving bool
	held   []TokenID
}

// Recovery is the deciding core of one generation. It keeps at least one attempt
// running while that is possible, and ends the request truthfully when not.
//
// Invariants: the answer only grows, and only by tokens of a running attempt at
// the next position; at most two attempts run at once; after ActionEnd no
// action is returned.
type Recovery struct {
	policy  RecoveryPolicy
	answer  *Output
	running []attempt
	// picking is set between ActionPick and its answer.
	picking bool
	// avoid lists targets that failed this request, each once.
	avoid []TargetID
	// idleSince is when the last running attempt was lost, or the start; zero once
	// tokens came after it. Attempts that were refused leave it as it is.
	idleSince time.Time
	// repickAt is when another target is asked for; zero means not at all.
	repickAt time.Time
	// wake is the instant of the last ActionWake.
	wake    time.Time
	started AttemptNumber
	// fruitless counts the attempts that failed since the last accepted token, and
	// refusals those that were refused before they ran.
	fruitless, refusals int
	// mayHaveRun is set once an attempt was not refused before it ran, hasRun once
	// one came to its end.
	mayHaveRun bool
	hasRun     bool
	ended      bool
	lastKind   fault.Kind
	actions    []Action
}

// NewRecovery returns the machine of a request whose tokens go into answer.
func NewRecovery(policy RecoveryPolicy, answer *Output) *Recovery {
	return &Recovery{policy: policy, answer: answer}
}

// Output returns the answer as far as it has come.
func (r *Recovery) Output() *Output { return r.answer }

// Attempts returns how many attempts were started.
func (r *Recovery) Attempts() AttemptNumber { return r.started }

// Ended says whether ActionEnd was returned.
func (r *Recovery) Ended() bool { return r.ended }

// WasRun says, at any instant, whether the generation was run. Attempts that
// were refused were not; what became of a lost one is not known.
func (r *Recovery) WasRun() WasRun {
	switch {
	case r.answer.Len() > 0 || r.hasRun:
		return RunYes
	case r.mayHaveRun || len(r.running) > 0:
		return RunUnknown
	default:
		return RunNo
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
	if !r.ended {
		r.schedule()
	}
	return r.actions
}

func (r *Recovery) handle(now time.Time, event Event) {
	switch event.Type {
	case EventStart:
		r.idleSince = now
		r.pick()
	case EventAttached:
		r.onAttached(event)
	case EventTargetSelected:
		r.onPicked(now, event.Target)
	case EventNoTarget:
		r.onNoTarget(now, event.Kind)
	case EventTokens:
		r.onTokens(now, event)
	case EventEnded:
		r.onEnded(now, event)
	case EventFailed:
		r.onFailed(now, event.Attempt, event.Kind)
	case EventSuspected, EventMigrate:
		r.onLeaving(now, event)
	case EventCallerDisconnected:
		r.onCallerLeft(event.Kind)
	case EventTimer:
		r.onTick(now)
	}
}

func (r *Recovery) pastDeadline(now time.Time) bool {
	return !r.policy.Deadline.IsZero() && !now.Before(r.policy.Deadline)
}

// schedule asks to be woken at the earliest of the instants that matter.
func (r *Recovery) schedule() {
	next := earlier(r.policy.Deadline, r.repickAt)
	if r.idle() {
		next = earlier(next, r.idleSince.Add(r.policy.ResumeTimeout))
	}
	if next.IsZero() || next.Equal(r.wake) {
		return
	}
	r.wake = next
	r.actions = append(r.actions, Action{Type: ActionSetTimer, At: next})
}

// idle says that nothing runs after an attempt did.
func (r *Recovery) idle() bool {
	return r.started > 0 && len(r.running) == 0 && !r.idleSince.IsZero()
}

// earlier returns the earlier of two instants, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (r *Recovery) onAttached(event Event) {
	r.started = event.Attempt
	r.mayHaveRun = true
	r.running = append(r.running, attempt{number: event.Attempt, target: event.Target})
}

func (r *Recovery) onCallerLeft(kind fault.Kind) {
	if kind == fault.None {
		kind = fault.CallerGone
	}
	r.end(kind, "")
}

// onPicked starts an attempt, unless what it was wanted for is over.
func (r *Recovery) onPicked(now time.Time, target TargetID) {
	r.picking = false
	if len(r.running) > 0 && (!r.wantsSecond() || r.running[0].target == target) {
		r.actions = append(r.actions, Action{Type: ActionReleaseTarget, Target: target})
		r.repickAt = now.Add(secondAfter)
		return
	}
	if r.started == 0 {
		r.idleSince = time.Time{}
	}
	r.started++
	r.running = append(r.running, attempt{number: r.started, target: target})
	r.actions = append(r.actions, Action{Type: ActionStartAttempt, Attempt: r.started, Target: target})
}

// wantsSecond says whether the only running attempt is to be joined by another.
func (r *Recovery) wantsSecond() bool {
	if len(r.running) != 1 {
		return false
	}
	only := r.running[0]
	return only.moving || only.suspected && r.policy.Hedge
}

// onNoTarget gives up when no attempt was started, since the pick waited in the
// queue already, and else asks again until ResumeWithin is over.
func (r *Recovery) onNoTarget(now time.Time, kind fault.Kind) {
	r.picking = false
	if len(r.running) == 0 {
		r.lastKind = kind
		if r.started == 0 {
			r.end(kind, "")
			return
		}
	}
	if len(r.running) > 0 {
		r.repickAt = now.Add(secondAfter)
		return
	}
	if kind == fault.RetriesExhausted {
		r.repickAt = now.Add(repeatAfter)
		return
	}
	r.avoid = r.avoid[:0]
	r.repickAt = now.Add(repickAfter)
}

func (r *Recovery) onTokens(now time.Time, event Event) {
	i := r.find(event.Attempt)
	if i < 0 {
		return
	}
	if r.running[i].moving && len(r.running) > 1 {
		r.hold(now, i, event)
		return
	}
	fresh, verdict := r.answer.Append(event.Position, event.Tokens)
	switch verdict {
	case Accepted:
		r.win(i)
		r.deliver(event.Attempt, fresh)
	case Gap, Mismatch:
		r.cancel(event.Attempt)
		r.onFailed(now, event.Attempt, fault.Crossed)
	case Duplicate:
	}
}

func (r *Recovery) deliver(number AttemptNumber, fresh []TokenID) {
	r.fruitless, r.refusals = 0, 0
	r.idleSince = time.Time{}
	r.actions = append(r.actions, Action{Type: ActionDeliver, Attempt: number, Tokens: fresh})
}

// win ends the race between an attempt and the second one that was started
// beside it: the first next token decides.
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
	i := r.find(event.Attempt)
	if i < 0 {
		return
	}
	ended := r.running[i]
	if event.Position != r.answer.Len()+len(ended.held) {
		r.onFailed(now, event.Attempt, fault.Crossed)
		return
	}
	if fresh, verdict := r.answer.Append(r.answer.Len(), ended.held); verdict == Accepted {
		r.deliver(ended.number, fresh)
	}
	r.hasRun = true
	r.running = slices.Delete(r.running, i, i+1)
	r.end(fault.None, event.Finish)
}

func (r *Recovery) onFailed(now time.Time, number AttemptNumber, kind fault.Kind) {
	i := r.find(number)
	if i < 0 {
		return
	}
	r.lastKind = kind
	r.count(now, kind)
	r.avoidTarget(r.running[i].target)
	r.running = slices.Delete(r.running, i, i+1)
	switch {
	case r.complete():
		r.end(fault.None, FinishLength)
	case final(kind):
		r.end(kind, "")
	case len(r.running) > 0:
		r.release()
		r.second(now)
	case r.exhausted():
		r.end(fault.RetriesExhausted, "")
	default:
		r.again(now)
	}
}

// count notes a failed attempt. Refusals cost nothing and say nothing about the
// request, so they are bounded by time and not by number.
func (r *Recovery) count(now time.Time, kind fault.Kind) {
	if refused(kind) {
		r.refusals++
	} else {
		r.fruitless++
		r.mayHaveRun = true
	}
	if !refused(kind) || r.idleSince.IsZero() {
		r.idleSince = now
	}
}

// again asks for another target, after a pause when attempts fail in a row.
func (r *Recovery) again(now time.Time) {
	if r.fruitless+r.refusals <= promptRepicks {
		r.pick()
		return
	}
	r.repickAt = now.Add(repickAfter)
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

// refused says whether an attempt that failed with kind never ran.
func refused(kind fault.Kind) bool {
	switch kind {
	case fault.BadRequest, fault.TooLarge, fault.Overloaded, fault.Draining, fault.VersionGone, fault.Unreachable:
		return true
	default:
		return false
	}
}

func (r *Recovery) exhausted() bool {
	return r.policy.MaxAttempts > 0 && r.fruitless >= r.policy.MaxAttempts
}

// onLeaving notes that a target may have failed or that it drains.
func (r *Recovery) onLeaving(now time.Time, event Event) {
	for i := range r.running {
		if r.running[i].target != event.Target {
			continue
		}
		if event.Type == EventMigrate {
			r.running[i].moving = true
		} else {
			r.running[i].suspected = true
		}
		r.avoidTarget(event.Target)
	}
	r.second(now)
}

// second asks for a target beside the only running attempt when that is wanted.
func (r *Recovery) second(now time.Time) {
	switch {
	case !r.wantsSecond() || r.exhausted() || !r.repickAt.IsZero():
	case r.fruitless+r.refusals > promptRepicks:
		r.repickAt = now.Add(secondAfter)
	default:
		r.pick()
	}
}

func (r *Recovery) onTick(now time.Time) {
	r.wake = time.Time{}
	if r.idle() && now.Sub(r.idleSince) >= r.policy.ResumeTimeout {
		r.end(r.idleKind(), "")
		return
	}
	if r.repickAt.IsZero() || now.Before(r.repickAt) {
		return
	}
	r.repickAt = time.Time{}
	if len(r.running) == 0 || r.wantsSecond() {
		r.pick()
	}
}

func (r *Recovery) idleKind() fault.Kind {
	if r.lastKind == fault.None {
		return fault.NoTarget
	}
	return r.lastKind
}

func (r *Recovery) avoidTarget(target TargetID) {
	if !slices.Contains(r.avoid, target) {
		r.avoid = append(r.avoid, target)
	}
}

func (r *Recovery) pick() {
	if r.picking {
		return
	}
	r.picking = true
	r.actions = append(r.actions, Action{Type: ActionSelectTarget, Avoid: r.avoid, Resume: r.answer.Len() > 0})
}

func (r *Recovery) cancel(number AttemptNumber) {
	r.actions = append(r.actions, Action{Type: ActionCancelAttempt, Attempt: number})
}

func (r *Recovery) end(kind fault.Kind, finish FinishReason) {
	for _, a := range r.running {
		r.mayHaveRun = true
		r.cancel(a.number)
	}
	r.running = r.running[:0]
	r.ended = true
	r.actions = append(r.actions, Action{Type: ActionEnd, Kind: kind, Finish: finish})
}

func (r *Recovery) find(number AttemptNumber) int {
	return slices.IndexFunc(r.running, func(a attempt) bool { return a.number == number })
}
