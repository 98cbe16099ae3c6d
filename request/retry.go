package request

import "github.com/mulberrylane/mulberrylane/fault"

// AttemptOutcome is how one attempt of a call ended.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// AttemptAnswered means that the target responded to the request.
	AttemptAnswered AttemptOutcome = iota
	// AttemptFailed means that the target responded with a server error.
	AttemptFailed
	// AttemptRefused means that the target reported that it has not run the request.
	AttemptRefused
	// AttemptUnsent means that no part of the request left this process.
	AttemptUnsent
	// AttemptBroken means that the request was sent and its outcome is unknown.
	AttemptBroken
)

// String returns the name of o for logs and metrics.
func (o AttemptOutcome) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken"}[o]
}

const (
	// maxRefusals is how many refusals of one request are followed by a retry. After
	// more, the service is assumed to be full and another target no better.
	maxRefusals = 2
	// maxUnsent is how many attempts at unreachable targets are followed by a retry.
	maxUnsent = 5
)

// RetryState decides whether a call is retried after targets failed, refused it or
// disappeared while it was in flight.
//
// Invariant: a call that is not idempotent is retried only while no attempt can
// have run.
type RetryState struct {
	// Idempotent calls may run more than once.
	Idempotent bool
	// MaxExecutions is the maximum number of targets that may run the call.
	MaxExecutions int

	executions, refusals, unsent int
}

// MayHaveRun reports whether an attempt ran or may have run.
func (r *RetryState) MayHaveRun() bool { return r.executions > 0 }

// ShouldRetry reports whether to retry the call at another target after an attempt
// ended with outcome. If so, charged reports whether the retry counts against the
// retry budget, as it does when the attempt reached a target.
func (r *RetryState) ShouldRetry(outcome AttemptOutcome) (retry, charged bool) {
	switch outcome {
	case AttemptUnsent:
		r.unsent++
		return r.unsent <= maxUnsent && r.mayExecuteAgain(), false
	case AttemptRefused:
		r.refusals++
		return r.refusals <= maxRefusals && r.mayExecuteAgain(), true
	case AttemptFailed, AttemptBroken:
		r.executions++
		return r.mayExecuteAgain(), true
	default:
		r.executions++
		return false, false
	}
}

func (r *RetryState) mayExecuteAgain() bool {
	return r.executions == 0 || r.Idempotent && r.executions < max(1, r.MaxExecutions)
}

// MayHedge reports whether the call may be sent to one more target while the given
// number of attempts are running.
func (r *RetryState) MayHedge(running int) bool {
	return r.Idempotent && r.executions+running < max(1, r.MaxExecutions)
}

// Kind returns the error kind of a call whose last attempt ended with outcome and
// that is not retried.
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
