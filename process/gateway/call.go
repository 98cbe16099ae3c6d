package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	head *http.Response
	body *heldBody
}

// hedgeDelayFraction is the part of a route's latency objective after which an
// idempotent call without a response is hedged: late enough that few calls are, and
// early enough that the second response may still be on time.
const hedgeDelayFraction = 0.6

// callResult is the result of one attempt of a call.
type callResult struct {
	attempt  *attempt
	response *bufferedResponse
	outcome  request.AttemptOutcome
}

// call is one request whose response is not a stream.
type call struct {
	*exchange
	retry        request.RetryState
	requirements placement.Requirements
	results      chan callResult
	// running holds the attempts in progress; attempts counts those that were started.
	running  []*attempt
	attempts int
	// notRetried is set if an attempt ended that must not be followed by another.
	notRetried bool
	// failedTargets lists the targets that responded with an error.
	failedTargets []request.TargetID
	// lastResponse is the last response that can be forwarded, which may be an error
	// response.
	lastResponse *bufferedResponse
	// mayHaveRun is set if the request may have reached a target that did not refuse
	// it.
	mayHaveRun bool
}

// serveCall serves a request whose response is not a stream.
func (e *exchange) serveCall(ctx context.Context) {
	ctx, cancel := e.withDeadline(ctx)
	defer cancel()
	idempotent := e.route.Kind == routes.Idempotent
	c := &call{
		exchange:     e,
		retry:        request.RetryState{Idempotent: idempotent, MaxExecutions: e.route.MaxAttempts},
		requirements: e.callRequirements(),
		// The buffer lets attempts finish whose results nobody reads.
		results: make(chan callResult, maxAttempts),
	}
	if err := c.startQueued(ctx, admission.Charge{}); err != nil {
		e.refuse(err, 0)
		return
	}
	var replaceTimer <-chan time.Time
	objective := e.route.LatencyObjective
	if objective <= 0 {
		objective = time.Until(e.deadline)
	}
	hedgeTimer := time.NewTimer(time.Duration(hedgeDelayFraction * float64(objective)))
	defer hedgeTimer.Stop()
	for {
		select {
		case result := <-c.results:
			if c.handleResult(ctx, result) {
				return
			}
		case <-hedgeTimer.C:
			if len(c.running) == 1 {
				c.hedge(ctx, false)
			}
		case <-c.suspicionChanged:
		case <-replaceTimer:
		}
		if replaceTimer = nil; c.allSuspected() && !c.hedge(ctx, true) {
			replaceTimer = time.After(replaceDelay)
		}
	}
}

// callRequirements returns what the first attempt of a call requires.
func (e *exchange) callRequirements() placement.Requirements {
	return placement.Requirements{Service: e.service, FailureDomain: e.gateway.settings.FailureDomain}
}

// replaceDelay is how long after no other target could be tried beside a suspected one that
// is tried again.
const replaceDelay = 100 * time.Millisecond

// allSuspected reports whether the targets of all attempts in progress are suspected. They go
// on, since their targets may.
func (c *call) allSuspected() bool {
	return !slices.ContainsFunc(c.running, func(a *attempt) bool { return !a.suspected.Load() })
}

// maxAttempts limits the attempts of one call, whatever their results.
const maxAttempts = 16

// startQueued starts an attempt once the call queue gives it a place. charge is what the retry
// budget was charged for it, zero for a first attempt and for a retry of an unsent one.
func (c *call) startQueued(ctx context.Context, charge admission.Charge) error {
	for {
		place, err := c.waitForPlace(ctx)
		if err == nil {
			err = c.startAttempt(ctx, charge, place)
		}
		if err == nil || fault.KindOf(err) != fault.NoTarget || !c.targetsFull() {
			if err != nil {
				c.refundRetry(charge)
			}
			return err
		}
	}
}

// startAttempt starts an attempt that has a place.
func (c *call) startAttempt(ctx context.Context, charge admission.Charge, place *callPlace) error {
	a, err := c.placeAttempt(ctx, c.requirements)
	if err != nil {
		place.release()
		return err
	}
	a.charge = charge
	a.sentBefore = slices.Contains(c.requirements.Avoid, a.target.ID)
	c.requirements.Avoid = append(c.requirements.Avoid, a.target.ID)
	c.running = append(c.running, a)
	c.attempts++
	go func() {
		result := callResult{attempt: a, outcome: request.AttemptBroken}
		c.gateway.protect("attempt", func() { result.response, result.outcome = c.runCallAttempt(a) })
		c.gateway.metrics.countAttempt(result.outcome.String())
		place.end(a, result.outcome)
		c.results <- result
	}()
	return nil
}

// hedge starts another attempt beside those that have not responded, and reports whether it
// could or no other may be started any more.
func (c *call) hedge(ctx context.Context, urgent bool) bool {
	if !c.retry.MayHedge(len(c.running)) || c.attempts >= maxAttempts || c.notRetried {
		return true
	}
	place := c.takePlace(urgent)
	if place == nil {
		return false
	}
	charge, ok := c.gateway.takeRetry(c.inbound.ID, c.service, urgent)
	if !ok {
		place.release()
		return false
	}
	if err := c.startAttempt(ctx, charge, place); err != nil {
		c.refundRetry(charge)
		return false
	}
	c.gateway.log.Event("hedged", "request", c.inbound.ID, "after", time.Since(c.arrived))
	return true
}

// handleResult handles the result of an attempt and reports whether the call has ended.
func (c *call) handleResult(ctx context.Context, result callResult) bool {
	c.running = slices.DeleteFunc(c.running, func(a *attempt) bool { return a == result.attempt })
	c.mayHaveRun = c.mayHaveRun || result.outcome != request.AttemptUnsent && result.outcome != request.AttemptRefused
	if result.response != nil {
		c.lastResponse = result.response
	}
	retry, charged := c.retry.ShouldRetry(result.outcome)
	switch result.outcome {
	case request.AttemptFailed:
		c.failedTargets = append(c.failedTargets, result.attempt.target.ID)
	case request.AttemptAnswered:
		// If all targets fail a request, the request is at fault, so failures are
		// recorded only once one target has served it.
		c.gateway.control.post(func() {
			for _, id := range c.failedTargets {
				c.gateway.control.table.RecordFailure(time.Now(), id)
			}
		})
		c.respond(fault.None)
		return true
	}
	c.notRetried = !retry
	if len(c.running) > 0 {
		return false
	}
	if ctx.Err() != nil {
		c.respond(c.contextErrorKind(ctx))
		return true
	}
	retry = retry && c.attempts < maxAttempts
	var charge admission.Charge
	if retry && charged {
		charge, retry = c.gateway.takeRetry(c.inbound.ID, c.service, true)
	}
	if !retry {
		c.respond(c.retry.Kind(result.outcome))
		return true
	}
	c.gateway.log.Event("retried", "request", c.inbound.ID, "left", result.attempt.target.ID, "outcome", result.outcome.String())
	if err := c.startQueued(ctx, charge); err != nil {
		c.respond(fault.KindOf(err))
		return true
	}
	return false
}

// contextErrorKind returns the error kind of a call whose deadline passed, whose caller
// disconnected, or which a planned stop ended.
func (c *call) contextErrorKind(ctx context.Context) fault.Kind {
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		c.cutOff = true
		return fault.Draining
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.CallerGone
	case c.mayHaveRun:
		return fault.DeadlineExceeded
	default:
		return fault.DeadlineTooNear
	}
}

// runCallAttempt runs one attempt. The response is nil unless it is complete and can be
// forwarded to the caller.
func (e *exchange) runCallAttempt(a *attempt) (*bufferedResponse, request.AttemptOutcome) {
	defer a.release()
	response, reply, outcome := a.do()
	switch {
	case response == nil:
		return nil, outcome
	case outcome == request.AttemptBroken:
		a.conn.Close()
		return nil, outcome
	case outcome == request.AttemptRefused, request.GuaranteesNotRun(reply.Status):
		// If the target does not guarantee that it has not run the request, neither may the
		// entry, and the target's signature holds for its own status only.
		a.discardBody(response)
		return nil, outcome
	}
	body, err := a.readBody(response)
	if err != nil {
		a.responseFailed(err)
		return nil, request.AttemptBroken
	}
	a.answeredAt = time.Now()
	if reply.Status < http.StatusMultipleChoices {
		a.responseStartedAt = time.Now()
		a.recordSurvival()
	}
	return &bufferedResponse{head: response, body: body}, outcome
}

// respond ends a call with the last response, or with an error if there is none.
func (c *call) respond(kind fault.Kind) {
	if c.lastResponse != nil {
		err := c.writeResponse(c.lastResponse)
		recordDuration(c.gateway.metrics.callLatency, time.Since(c.arrived))
		c.finish(fault.None, c.attempts, "status", c.lastResponse.head.StatusCode, "sent", err == nil)
		return
	}
	if c.mayHaveRun && request.GuaranteesNotRun(kind.Response().Status) {
		kind = fault.TargetLost
	}
	c.refuse(fault.New(kind, "no target answered"), c.attempts)
}
