package request

import "github.com/mulberrylane/mulberrylane/fault"

// AttemptOutcome is how one attempt of a call ended.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// AttemptAnswered means that the target answered the request.
	AttemptAnswered AttemptOutcome = iota
	// AttemptFailed means that the target answered with a failure of its own.
	AttemptFailed
	// AttemptRefused means that the target said it has not run the request.
	AttemptRefused
	// AttemptUnsent means that nothing of the request left this process.
	AttemptUnsent
	// AttemptBroken means that the request was sent and what became of it is not known.
	AttemptBroken
)

// String returns the name of o for logs and metrics.
func (o AttemptOutcome) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken"}[o]
}

const (
	// maxRefusals is how many targets may refuse one request: with more, the service
	// is full and another target is no better.
	maxRefusals = 2
	// maxUnsent is how many targets that cannot be reached are tried.
	maxUnsent = 5
)

// RetryState decides whether a call is sent once more. It answers targets that fail,
// refuse or vanish while requests are under way.
//
// Invariant: a call that may not be repeated is sent again only while no attempt
// can have run.
type RetryState struct {
	// Idempotent calls may run more than once.
	Idempotent bool
	// MaxExecutions bounds the targets that the call may run on.
	MaxExecutions int

	runs, refusals, unsent int
}

// MayHaveRun says that some attempt ran, or that it is not known that none did.
func (r *RetryState) MayHaveRun() bool { return r.runs > 0 }

// ShouldRetry says whether the call is to be sent to another target. When it is, paid
// says whether that counts as a repeat of something that reached a target.
func (r *RetryState) ShouldRetry(outcome AttemptOutcome) (again, paid bool) {
	switch outcome {
	case AttemptUnsent:
		r.unsent++
		return r.unsent <= maxUnsent && r.mayRunAgain(), false
	case AttemptRefused:
		r.refusals++
		return r.refusals <= maxRefusals && r.mayRunAgain(), true
	case AttemptFailed, AttemptBroken:
		r.runs++
		return r.mayRunAgain(), true
	default:
		r.runs++
		return false, false
	}
}

func (r *RetryState) mayRunAgain() bool {
	return r.runs == 0 || r.Idempotent && r.runs < max(1, r.MaxExecutions)
}

// MayHedge says whether the call may be sent to one more target while so many
// attempts are under way.
func (r *RetryState) MayHedge(running int) bool {
	return r.Idempotent && r.runs+running < max(1, r.MaxExecutions)
}

// Kind returns the error kind of a call that ended with outcome and is not sent
// again.
func (r *RetryState) Kind(outcome AttemptOutcome) fault.Kind {
	switch {
	case r.MayHaveRun():
		return fault.TargetLost
	case outcome == AttemptRefused:
		return fault.Overloaded
	default:
		return fault.Unreachable
	}
}
