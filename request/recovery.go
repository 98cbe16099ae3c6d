package request

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// RecoveryPolicy holds the recovery settings of a request, taken from its profile.
type RecoveryPolicy struct {
	// Deadline is when the response becomes useless to the caller; zero means never.
	Deadline time.Time
	// ResumeTimeout is how long the request may be without a running attempt.
	ResumeTimeout time.Duration
	// Hedge enables a second attempt when the target is suspected, before the first
	// attempt has failed.
	Hedge bool
	// ReplaceSuspected replaces the attempt at a suspected target: it goes on until another
	// attempt is about to be sent.
	ReplaceSuspected bool
	// MaxTokens is the requested length. An output of this length is complete even
	// when the end of its attempt was lost. Zero means unknown.
	MaxTokens int
	// MaxAttempts is the number of consecutive attempts without a new token after
	// which the request fails; zero means no limit.
	MaxAttempts int
}

const (
	// reselectDelay is the delay before another target selection when no target was
	// available, or when consecutive attempts fail without a token.
	reselectDelay = 25 * time.Millisecond
	// retryBudgetDelay replaces reselectDelay while the retry budget is exhausted: the
	// budget frees up only with time.
	retryBudgetDelay = 100 * time.Millisecond
	// secondAttemptDelay replaces reselectDelay while one attempt runs and a second is
	// wanted.
	secondAttemptDelay = 250 * time.Millisecond
	// maxImmediateRetries is how many consecutive attempts may fail before a delay is
	// applied.
	maxImmediateRetries = 2
	// maxHeldTokens bounds the tokens held during a migration. With more, the migration
	// is abandoned.
	maxHeldTokens = 256
)

type attempt struct {
	number AttemptNumber
	target TargetID
	// suspected is set while the target may have failed.
	suspected bool
	// migrating is set while the target drains. Tokens that arrive while another
	// attempt takes over are held: the other attempt started from the output before
	// them and may generate different tokens.
	migrating bool
	held      []TokenID
}

// Recovery is the state machine that decides the recovery of one generation. It keeps
// at least one attempt running while possible and otherwise ends the request with
// the error kind that describes the failure.
//
// Invariants: the output only grows, and only by tokens of a running attempt at
// the next position; at most two attempts run at once; after ActionEnd no
// action is returned.
type Recovery struct {
	policy  RecoveryPolicy
	output  *Output
	running []attempt
	// selecting is set between ActionSelectTarget and its reply.
	selecting bool
	// avoid lists the targets that failed this request or are suspected or draining,
	// without duplicates.
	avoid []TargetID
	// idleSince is when the request started or last lost a running attempt; zero once
	// tokens arrived after that. A refused attempt sets it only when it is zero.
	idleSince time.Time
	// reselectAt is when the next target selection is due; zero means none.
	reselectAt time.Time
	// timerAt is the time of the last ActionSetTimer.
	timerAt time.Time
	started AttemptNumber
	// failures counts the attempts that failed after they may have run, refusals those
	// that were refused before they ran. Both are reset by each accepted token.
	failures, refusals int
	// mayHaveRun is set once an attempt was not refused and so may have run, hasRun
	// once an attempt finished.
	mayHaveRun bool
	hasRun     bool
	ended      bool
	lastKind   fault.Kind
	actions    []Action
}

// NewRecovery returns the Recovery of a request whose tokens are appended to output.
func NewRecovery(policy RecoveryPolicy, output *Output) *Recovery {
	return &Recovery{policy: policy, output: output}
}

// Output returns the tokens accepted so far.
func (r *Recovery) Output() *Output { return r.output }

// Attempts returns how many attempts were started.
func (r *Recovery) Attempts() AttemptNumber { return r.started }

// Ended reports whether ActionEnd was returned.
func (r *Recovery) Ended() bool { return r.ended }

// WasRun reports whether the generation was run; it may be called at any time.
// Refused attempts did not run; whether a lost attempt ran is unknown.
func (r *Recovery) WasRun() WasRun {
	switch {
	case r.output.Len() > 0 || r.hasRun:
		return RunYes
	case r.mayHaveRun || len(r.running) > 0:
		return RunUnknown
	default:
		return RunNo
	}
}

// Step handles one event and returns the resulting actions. The slice is valid
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
		r.selectTarget()
	case EventAttached:
		r.onAttached(event)
	case EventTargetSelected:
		r.onTargetSelected(now, event.Target)
	case EventNoTarget:
		r.onNoTarget(now, event.Kind)
	case EventTokens:
		r.onTokens(now, event)
	case EventEnded:
		r.onEnded(now, event)
	case EventFailed:
		r.onFailed(now, event.Attempt, event.Kind)
	case EventSuspected, EventMigrate:
		r.onSuspectedOrMigrate(now, event)
	case EventTrusted:
		r.onTrusted(event.Target)
	case EventSending:
		r.onSending(now, event.Attempt)
	case EventCallerDisconnected:
		r.onCallerDisconnected(event.Kind)
	case EventTimer:
		r.onTimer(now)
	}
}

func (r *Recovery) pastDeadline(now time.Time) bool {
	return !r.policy.Deadline.IsZero() && !now.Before(r.policy.Deadline)
}

// schedule sets the timer to the earliest of the deadline, the next target selection
// and the resume timeout.
func (r *Recovery) schedule() {
	next := earlier(r.policy.Deadline, r.reselectAt)
	if r.idle() {
		next = earlier(next, r.idleSince.Add(r.policy.ResumeTimeout))
	}
	if next.IsZero() || next.Equal(r.timerAt) {
		return
	}
	r.timerAt = next
	r.actions = append(r.actions, Action{Type: ActionSetTimer, At: next})
}

// idle reports whether no attempt is running although one was started.
func (r *Recovery) idle() bool {
	return r.started > 0 && len(r.running) == 0 && !r.idleSince.IsZero()
}

// earlier returns the earlier of two times; a zero time means never.
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

func (r *Recovery) onCallerDisconnected(kind fault.Kind) {
	if kind == fault.None {
		kind = fault.CallerGone
	}
	r.end(kind, "")
}

// onTargetSelected starts an attempt on target, or releases target when it is no
// longer needed.
func (r *Recovery) onTargetSelected(now time.Time, target TargetID) {
	r.selecting = false
	if len(r.running) > 0 && (!r.wantsSecondAttempt() || r.running[0].target == target) {
		r.actions = append(r.actions, Action{Type: ActionReleaseTarget, Target: target})
		r.reselectAt = now.Add(secondAttemptDelay)
		return
	}
	if r.started == 0 {
		r.idleSince = time.Time{}
	}
	r.started++
	r.running = append(r.running, attempt{number: r.started, target: target})
	r.actions = append(r.actions, Action{Type: ActionStartAttempt, Attempt: r.started, Target: target})
}

// wantsSecondAttempt reports whether a second attempt is to run beside the only
// running one.
func (r *Recovery) wantsSecondAttempt() bool {
	if len(r.running) != 1 {
		return false
	}
	only := r.running[0]
	return only.migrating || only.suspected && (r.policy.Hedge || r.mayReplace())
}

// mayReplace reports whether a suspected attempt may be replaced: the last one that the
// request has goes on instead, since its target may.
func (r *Recovery) mayReplace() bool {
	return r.policy.ReplaceSuspected && (r.policy.MaxAttempts == 0 || r.failures+1 < r.policy.MaxAttempts)
}

// onNoTarget ends the request when no attempt was started yet, since the selection
// already waited in the queue, or when the reason stays. Otherwise it schedules another
// selection; ResumeTimeout bounds these retries.
func (r *Recovery) onNoTarget(now time.Time, kind fault.Kind) {
	r.selecting = false
	if len(r.running) == 0 {
		r.lastKind = kind
		if r.started == 0 || isFinal(kind) {
			r.end(kind, "")
			return
		}
	}
	if len(r.running) > 0 && !r.policy.ReplaceSuspected {
		r.reselectAt = now.Add(secondAttemptDelay)
		return
	}
	if kind == fault.RetriesExhausted {
		r.reselectAt = now.Add(retryBudgetDelay)
		return
	}
	if len(r.running) == 0 {
		r.avoid = r.avoid[:0]
	}
	r.reselectAt = now.Add(reselectDelay)
}

func (r *Recovery) onTokens(now time.Time, event Event) {
	i := r.indexOf(event.Attempt)
	if i < 0 {
		return
	}
	if r.running[i].migrating && len(r.running) > 1 {
		r.holdTokens(now, i, event)
		return
	}
	fresh, result := r.output.Append(event.Position, event.Tokens)
	switch result {
	case Accepted:
		r.keepOnly(i)
		r.deliver(event.Attempt, fresh)
	case Gap, Mismatch:
		r.cancel(event.Attempt)
		r.onFailed(now, event.Attempt, fault.Crossed)
	case Duplicate:
	}
}

func (r *Recovery) deliver(number AttemptNumber, fresh []TokenID) {
	r.failures, r.refusals = 0, 0
	r.idleSince = time.Time{}
	r.actions = append(r.actions, Action{Type: ActionDeliver, Attempt: number, Tokens: fresh})
}

// keepOnly cancels the other running attempt, if any: when two attempts run, the one
// that delivers the next token first is kept.
func (r *Recovery) keepOnly(i int) {
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
	i := r.indexOf(event.Attempt)
	if i < 0 {
		return
	}
	ended := r.running[i]
	if event.Position != r.output.Len()+len(ended.held) {
		r.onFailed(now, event.Attempt, fault.Crossed)
		return
	}
	if fresh, result := r.output.Append(r.output.Len(), ended.held); result == Accepted {
		r.deliver(ended.number, fresh)
	}
	r.hasRun = true
	r.running = slices.Delete(r.running, i, i+1)
	r.end(fault.None, event.Finish)
}

func (r *Recovery) onFailed(now time.Time, number AttemptNumber, kind fault.Kind) {
	i := r.indexOf(number)
	if i < 0 {
		return
	}
	r.lastKind = kind
	r.countFailure(now, kind)
	r.avoidTarget(r.running[i].target)
	r.running = slices.Delete(r.running, i, i+1)
	switch {
	case r.complete():
		r.end(fault.None, FinishLength)
	case isFinal(kind):
		r.end(kind, "")
	case len(r.running) > 0:
		r.deliverHeldTokens()
		r.selectSecondTarget(now)
	case r.attemptsExhausted():
		r.end(fault.RetriesExhausted, "")
	default:
		r.retry(now)
	}
}

// countFailure records a failed attempt. Refusals cost nothing and are not evidence
// against the request, so they are bounded by time and not by number.
func (r *Recovery) countFailure(now time.Time, kind fault.Kind) {
	if isRefusal(kind) {
		r.refusals++
	} else {
		r.failures++
		r.mayHaveRun = true
	}
	if !isRefusal(kind) || r.idleSince.IsZero() {
		r.idleSince = now
	}
}

// retry selects another target, after a delay when consecutive attempts failed.
func (r *Recovery) retry(now time.Time) {
	if r.failures+r.refusals <= maxImmediateRetries {
		r.selectTarget()
		return
	}
	r.reselectAt = now.Add(reselectDelay)
}

func (r *Recovery) complete() bool {
	return r.policy.MaxTokens > 0 && r.output.Len() >= r.policy.MaxTokens
}

// isFinal reports whether a failure of this kind would recur at any other target.
func isFinal(kind fault.Kind) bool {
	switch kind {
	case fault.BadRequest, fault.NotFound, fault.TooLarge, fault.DeadlineExceeded, fault.Superseded, fault.Quarantined:
		return true
	default:
		return false
	}
}

// isRefusal reports whether an attempt that failed with kind never ran.
func isRefusal(kind fault.Kind) bool {
	switch kind {
	case fault.BadRequest, fault.TooLarge, fault.Overloaded, fault.Draining, fault.VersionGone, fault.Unreachable:
		return true
	default:
		return false
	}
}

func (r *Recovery) attemptsExhausted() bool {
	return r.policy.MaxAttempts > 0 && r.failures >= r.policy.MaxAttempts
}

// onSuspectedOrMigrate records that a target is suspected or draining.
func (r *Recovery) onSuspectedOrMigrate(now time.Time, event Event) {
	for i := range r.running {
		if r.running[i].target != event.Target {
			continue
		}
		if event.Type == EventMigrate {
			r.running[i].migrating = true
		} else {
			r.running[i].suspected = true
		}
		r.avoidTarget(event.Target)
	}
	r.selectSecondTarget(now)
}

// onTrusted records that a suspected target was active.
func (r *Recovery) onTrusted(target TargetID) {
	for i := range r.running {
		if r.running[i].target == target {
			r.running[i].suspected = false
		}
	}
}

// onSending decides which attempt goes on when one of two is about to be sent: the other if
// its target is no longer suspected.
func (r *Recovery) onSending(now time.Time, number AttemptNumber) {
	i := r.indexOf(number)
	if i < 0 || len(r.running) < 2 || !r.policy.ReplaceSuspected {
		return
	}
	other := r.running[1-i]
	if other.migrating {
		return
	}
	if !other.suspected {
		r.cancel(number)
		r.running = append(r.running[:0], other)
		return
	}
	r.cancel(other.number)
	r.countFailure(now, fault.TargetLost)
	r.running = append(r.running[:0], r.running[i])
}

// selectSecondTarget selects a target for a second attempt if one is wanted.
func (r *Recovery) selectSecondTarget(now time.Time) {
	switch {
	case !r.wantsSecondAttempt() || r.attemptsExhausted() || !r.reselectAt.IsZero():
	case r.failures+r.refusals <= maxImmediateRetries:
		r.selectTarget()
	case r.policy.ReplaceSuspected:
		r.reselectAt = now.Add(reselectDelay)
	default:
		r.reselectAt = now.Add(secondAttemptDelay)
	}
}

func (r *Recovery) onTimer(now time.Time) {
	r.timerAt = time.Time{}
	if r.idle() && now.Sub(r.idleSince) >= r.policy.ResumeTimeout {
		r.end(r.idleKind(), "")
		return
	}
	if r.reselectAt.IsZero() || now.Before(r.reselectAt) {
		return
	}
	r.reselectAt = time.Time{}
	if len(r.running) == 0 || r.wantsSecondAttempt() {
		r.selectTarget()
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

func (r *Recovery) selectTarget() {
	if r.selecting {
		return
	}
	r.selecting = true
	r.actions = append(r.actions, Action{Type: ActionSelectTarget, Avoid: r.avoid, Resume: r.output.Len() > 0})
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

func (r *Recovery) indexOf(number AttemptNumber) int {
	return slices.IndexFunc(r.running, func(a attempt) bool { return a.number == number })
}
