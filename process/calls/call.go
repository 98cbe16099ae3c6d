// Package calls drives the calls to application services at the entry. Calls that
// may not be repeated are recorded on call pages before an agent may see them and
// run at most once; idempotent calls are retried and hedged within the retry
// budget of their service. Every answer says truthfully whether the call was run.
package calls

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/request"
)

// Call is one submission of a call by a caller.
type Call struct {
	ID      request.ID
	Service string
	Name    callpage.CallKey
	Body    request.CallBody
	// Idempotent says that the service declares the call as idempotent.
	Idempotent bool
	// FirstSubmission says that this is the first submission of the key: the key was made
	// for it, or the caller marked it so.
	FirstSubmission bool
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// UnavailableTimeout bounds how long a lost store or agent is waited for.
	UnavailableTimeout time.Duration
	// Pages and Retention are those of the service.
	Pages     int
	Retention time.Duration
	// MaxReplyBytes bounds the body of the reply.
	MaxReplyBytes int64
	// RetryBudget is the share of extra attempts, and Hedge allows them before the
	// first attempt is given up.
	RetryBudget float64
	Hedge       bool
}

// Result is what the caller is told. It has either a Reply or an Err.
type Result struct {
	Reply *request.CallReply
	// Digest identifies the whole reply, also when its body is not kept.
	Digest string
	// Request is the id of the submission that ran.
	Request request.ID
	WasRun  request.WasRun
	// Attempts counts the attempts that this submission made.
	Attempts request.AttemptNumber
	Err      error
}

// Target is a target that was chosen for an attempt.
type Target struct {
	ID    request.TargetID
	Agent AgentClient
	// Release gives the choice back.
	Release func()
}

// AgentClient is the link to the gate beside one target.
type AgentClient interface {
	// Incarnation is the life of the agent at the other end of the link.
	Incarnation() request.Incarnation
	// Call passes a call. sent is false when the agent cannot have seen it.
	Call(ctx context.Context, call wire.Call) (reply wire.CallReply, sent bool, err error)
	// Seal asks that a reservation never be passed on.
	Seal(ctx context.Context, seal wire.Seal) (wire.CallReply, error)
}

// TargetSelector chooses and finds targets.
type TargetSelector interface {
	// Pick chooses a target of a service, not one of avoid if there is another.
	Pick(ctx context.Context, service string, avoid []request.TargetID) (Target, error)
	// Find returns the link to a target, if there is one.
	Find(target request.TargetID) (AgentClient, bool)
}

func unknown(message string) Result {
	return Result{WasRun: request.RunUnknown, Err: fault.New(fault.OutcomeUnknown, "%s", message)}
}

func notRun(err error) Result { return Result{WasRun: request.RunNo, Err: err} }
