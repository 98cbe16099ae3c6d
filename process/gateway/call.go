package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// answer is a whole answer of a target.
type answer struct {
	head *http.Response
	body []byte
}

// call serves a request whose answer is not a stream.
func (e *exchange) call(ctx context.Context) {
	ctx, cancel := e.withDeadline(ctx)
	defer cancel()
	repeat := request.Repeat{Repeatable: e.route.Kind == routes.Idempotent, MaxRuns: e.route.MaxAttempts}
	need := placement.Need{Service: e.service, FailureDomain: e.gateway.settings.FailureDomain}
	var kept *answer
	for attempts := 1; ; attempts++ {
		a, err := e.place(ctx, need)
		if err != nil {
			e.giveUp(kept, &repeat, fault.KindOf(err), attempts-1)
			return
		}
		got, outcome := e.attemptCall(a)
		e.gateway.metrics.attempt(outcome.String())
		if got != nil {
			kept = got
		}
		if ctx.Err() != nil && got == nil {
			e.giveUp(kept, &repeat, lateKind(ctx, &repeat, outcome), attempts)
			return
		}
		again, paid := repeat.Again(outcome)
		if again && paid && !e.gateway.spend(e.in.ID, e.service) {
			again = false
		}
		if !again {
			e.giveUp(kept, &repeat, repeat.Kind(outcome), attempts)
			return
		}
		e.gateway.log.Event("retried", "request", e.in.ID, "left", a.target.ID, "outcome", outcome.String())
		need.Avoid = append(need.Avoid, a.target.ID)
	}
}

// lateKind is the error kind of a call that ended with its deadline or caller.
func lateKind(ctx context.Context, repeat *request.Repeat, outcome request.AttemptOutcome) fault.Kind {
	sent := outcome == request.AttemptBroken || repeat.MayHaveRun()
	switch {
	case ctx.Err() == context.Canceled:
		return fault.CallerGone
	case sent:
		return fault.DeadlineExceeded
	default:
		return fault.DeadlineTooNear
	}
}

// attemptCall runs one attempt. The answer is nil unless it came whole and is of
// use to the caller.
func (e *exchange) attemptCall(a *attempt) (*answer, request.AttemptOutcome) {
	defer a.release()
	response, reply, outcome := a.do()
	if response == nil {
		return nil, outcome
	}
	body, err := a.body(response)
	switch {
	case outcome == request.AttemptRefused:
		return nil, outcome
	case err != nil:
		a.broke(err)
		return nil, request.AttemptBroken
	case outcome == request.AttemptBroken:
		return nil, outcome
	}
	if promises(reply.Status) {
		// The target did not say that it has not run the request, so neither may we.
		response.StatusCode = http.StatusBadGateway
	}
	return &answer{head: response, body: body}, outcome
}

// promises says whether a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// giveUp ends a call with the last answer there was, or else with an error.
func (e *exchange) giveUp(kept *answer, repeat *request.Repeat, kind fault.Kind, attempts int) {
	if kept != nil {
		err := e.send(kept.head, kept.body)
		record(e.gateway.metrics.latency, time.Since(e.arrived))
		e.ended(fault.None, attempts, "status", kept.head.StatusCode, "sent", err == nil)
		return
	}
	if repeat.MayHaveRun() && promises(kind.Answer().Status) {
		kind = fault.TargetLost
	}
	e.refuse(fault.New(kind, "after %d attempts", attempts))
}
