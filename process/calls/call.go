// Package calls executes calls to application services for an entry. Non-idempotent
// calls are recorded on call pages before they are sent to an agent, and run at most
// once. Idempotent calls are retried and hedged within the retry budget of their
// service. Every result states whether the call was run, was not run, or may have been
// run, and states one of the first two only if it is certain.
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
	Key     callpage.CallKey
	Body    request.CallBody
	// Idempotent means that the service declares the call as idempotent.
	Idempotent bool
	// FirstSubmission means that this is the first submission of the key: the key was
	// generated for it, or the caller marked it as the first.
	FirstSubmission bool
	// Deadline is the time after which the caller has no use for the result.
	Deadline time.Time
	// UnavailableTimeout bounds the wait for an unavailable store or agent.
	UnavailableTimeout time.Duration
	// Pages is the number of call pages that the service declares, and Retention how
	// long it keeps outcomes.
	Pages     int
	Retention time.Duration
	// MaxReplyBytes bounds the body of the reply.
	MaxReplyBytes int64
	// RetryBudget is the share of an extra attempt that each call adds to the retry
	// budget. Hedge allows an extra attempt while the first one is still running.
	RetryBudget float64
	Hedge       bool
}

// Result is the result of a call for its caller. It has either a Reply or an Err.
type Result struct {
	Reply *request.CallReply
	// Digest identifies the complete reply, even if its body is not kept.
	Digest string
	// Request is the ID of the submission that ran.
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
	// Release must be called when the attempt has ended.
	Release func()
}

// AgentClient is a client of the agent beside one target, whose gate admits and seals
// calls.
type AgentClient interface {
	// Incarnation returns the incarnation of the agent at the other end of the link.
	Incarnation() request.Incarnation
	// Call sends a call. sent is false if the agent cannot have received it.
	Call(ctx context.Context, call wire.Call) (reply wire.CallReply, sent bool, err error)
	// Seal requests that the call of a reservation never be forwarded.
	Seal(ctx context.Context, seal wire.Seal) (wire.CallReply, error)
}

// TargetSelector chooses and finds targets.
type TargetSelector interface {
	// Pick chooses a target of a service, preferring targets that are not in avoid.
	Pick(ctx context.Context, service string, avoid []request.TargetID) (Target, error)
	// Find returns the client of a target's agent, if there is a link to it.
	Find(target request.TargetID) (AgentClient, bool)
}

func unknownResult(message string) Result {
	return Result{WasRun: request.RunUnknown, Err: fault.New(fault.OutcomeUnknown, "%s", message)}
}

func notRunResult(err error) Result { return Result{WasRun: request.RunNo, Err: err} }
