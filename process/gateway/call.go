package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// bufferedResponse is a whole answer of a target.
type bufferedResponse struct {
	head *http.Response
	body []byte
}

// hedgeDelayFraction is the part of a route's target latency after which an idempotent call
// without an answer is sent to a second target: late enough that few calls are, and
// early enough that the second answer may still be on time.
const hedgeDelayFraction = 0.6

// callResult is how one attempt of a call ended.
type callResult struct {
	attempt  *attempt
	response *bufferedResponse
	outcome  request.AttemptOutcome
}

// call is one request whose answer is not a stream.
type call struct {
	*exchange
	retry        request.RetryState
	requirements placement.Requirements
	results      chan callResult
	// running counts the attempts under way, attempts those that were started.
	running, attempts int
	// failedTargets lists the targets that answered with a failure of their own.
	failedTargets []request.TargetID
	// lastResponse is the last answer of a target that reports a failure of its own.
	lastResponse *bufferedResponse
	// mayHaveRun says that some attempt may have reached its target.
	mayHaveRun bool
}

// serveCall serves a request whose answer is not a stream.
func (e *exchange) serveCall(ctx context.Context) {
	ctx, cancel := e.withDeadline(ctx)
	defer cancel()
	idempotent := e.route.Kind == routes.Idempotent
	c := &call{
		exchange:     e,
		retry:        request.RetryState{Idempotent: idempotent, MaxExecutions: e.route.MaxAttempts},
		requirements: placement.Requirements{Service: e.service, FailureDomain: e.gateway.settings.FailureDomain},
		// Nobody reads the results of attempts that lost a race.
		results: make(chan callResult, maxAttempts),
	}
	if err := c.startAttempt(ctx, admission.Charge{}); err != nil {
		e.refuse(err, 0)
		return
	}
	hedge := time.NewTimer(time.Duration(hedgeDelayFraction * float64(e.route.LatencyObjective)))
	defer hedge.Stop()
	for {
		select {
		case result := <-c.results:
			if c.handleResult(ctx, result) {
				return
			}
		case <-hedge.C:
			c.hedge(ctx)
		}
	}
}

// maxAttempts bounds the attempts of one call, whatever comes of them.
const maxAttempts = 16

// startAttempt starts an attempt for which the budget was charged.
func (c *call) startAttempt(ctx context.Context, charge admission.Charge) error {
	a, err := c.placeAttempt(ctx, c.requirements)
	if err != nil {
		return err
	}
	a.charge = charge
	c.requirements.Avoid = append(c.requirements.Avoid, a.target.ID)
	c.running++
	c.attempts++
	go func() {
		response, outcome := c.runCallAttempt(a)
		c.gateway.metrics.countAttempt(outcome.String())
		c.results <- callResult{attempt: a, response: response, outcome: outcome}
	}()
	return nil
}

// hedge starts a second attempt beside one that has not answered.
func (c *call) hedge(ctx context.Context) {
	if c.running != 1 || !c.retry.MayHedge(c.running) || c.attempts >= maxAttempts {
		return
	}
	charge, ok := c.gateway.takeRetry(c.inbound.ID, c.service, false)
	if !ok {
		return
	}
	if err := c.startAttempt(ctx, charge); err == nil {
		c.gateway.log.Event("hedged", "request", c.inbound.ID, "after", time.Since(c.arrived))
	}
}

// handleResult takes the result of an attempt and says whether the call has ended.
func (c *call) handleResult(ctx context.Context, result callResult) bool {
	c.running--
	c.mayHaveRun = c.mayHaveRun || result.outcome != request.AttemptUnsent && result.outcome != request.AttemptRefused
	if result.response != nil {
		c.lastResponse = result.response
	}
	retry, charged := c.retry.ShouldRetry(result.outcome)
	switch result.outcome {
	case request.AttemptFailed:
		c.failedTargets = append(c.failedTargets, result.attempt.target.ID)
	case request.AttemptAnswered:
		// Where all targets fail a request, it is the request that is at fault.
		c.gateway.control.post(func() {
			for _, id := range c.failedTargets {
				c.gateway.control.table.RecordFailure(time.Now(), id)
			}
		})
		c.finish(fault.None)
		return true
	}
	if c.running > 0 {
		return false
	}
	if ctx.Err() != nil {
		c.finish(c.contextErrorKind(ctx))
		return true
	}
	retry = retry && c.attempts < maxAttempts
	var charge admission.Charge
	if retry && charged {
		charge, retry = c.gateway.takeRetry(c.inbound.ID, c.service, true)
	}
	if !retry {
		c.finish(c.retry.Kind(result.outcome))
		return true
	}
	c.gateway.log.Event("retried", "request", c.inbound.ID, "left", result.attempt.target.ID, "outcome", result.outcome.String())
	if err := c.startAttempt(ctx, charge); err != nil {
		c.finish(fault.KindOf(err))
		return true
	}
	return false
}

// contextErrorKind is the error kind of a call that ended with its deadline or caller.
func (c *call) contextErrorKind(ctx context.Context) fault.Kind {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.CallerGone
	case c.mayHaveRun:
		return fault.DeadlineExceeded
	default:
		return fault.DeadlineTooNear
	}
}

// runCallAttempt runs one attempt. The answer is nil unless it came whole and is of
// use to the caller.
func (e *exchange) runCallAttempt(a *attempt) (*bufferedResponse, request.AttemptOutcome) {
	defer a.release()
	response, reply, outcome := a.do()
	if response == nil {
		return nil, outcome
	}
	body, err := a.readBody(response)
	switch {
	case outcome == request.AttemptRefused:
		return nil, outcome
	case err != nil:
		a.responseFailed(err)
		return nil, request.AttemptBroken
	case outcome == request.AttemptBroken:
		return nil, outcome
	}
	if guaranteesNotRun(reply.Status) {
		// The target did not say that it has not run the request, so neither may we.
		response.StatusCode = http.StatusBadGateway
	}
	return &bufferedResponse{head: response, body: body}, outcome
}

// guaranteesNotRun says whether a status tells callers that the request has not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// finish ends a call with the last answer there was, or else with an error.
func (c *call) finish(kind fault.Kind) {
	if c.lastResponse != nil {
		err := c.writeResponse(c.lastResponse.head, c.lastResponse.body)
		recordDuration(c.gateway.metrics.callLatency, time.Since(c.arrived))
		c.recordEnd(fault.None, c.attempts, "status", c.lastResponse.head.StatusCode, "sent", err == nil)
		return
	}
	if c.mayHaveRun && guaranteesNotRun(kind.Response().Status) {
		kind = fault.TargetLost
	}
	c.refuse(fault.New(kind, "no target answered"), c.attempts)
}
