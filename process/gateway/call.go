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

// answer is a whole answer of a target.
type answer struct {
	head *http.Response
	body []byte
}

// hedgeShare is the part of a route's target latency after which an idempotent call
// without an answer is sent to a second target: late enough that few calls are, and
// early enough that the second answer may still be on time.
const hedgeShare = 0.6

// callResult is how one attempt of a call ended.
type callResult struct {
	attempt *attempt
	answer  *answer
	outcome request.AttemptOutcome
}

// call is one request whose answer is not a stream.
type call struct {
	*exchange
	repeat  request.RetryState
	need    placement.Requirements
	results chan callResult
	// running counts the attempts under way, attempts those that were started.
	running, attempts int
	// failed lists the targets that answered with a failure of their own.
	failed []request.TargetID
	// kept is the last answer of a target that reports a failure of its own.
	kept *answer
	// sent says that some attempt may have reached its target.
	sent bool
}

// call serves a request whose answer is not a stream.
func (e *exchange) call(ctx context.Context) {
	ctx, cancel := e.withDeadline(ctx)
	defer cancel()
	idempotent := e.route.Kind == routes.Idempotent
	c := &call{
		exchange: e,
		repeat:   request.RetryState{Idempotent: idempotent, MaxExecutions: e.route.MaxAttempts},
		need:     placement.Requirements{Service: e.service, FailureDomain: e.gateway.settings.FailureDomain},
		// Nobody reads the results of attempts that lost a race.
		results: make(chan callResult, mostAttempts),
	}
	if err := c.launch(ctx, admission.Charge{}); err != nil {
		e.refuse(err, 0)
		return
	}
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(e.route.LatencyObjective)))
	defer hedge.Stop()
	for {
		select {
		case result := <-c.results:
			if c.over(ctx, result) {
				return
			}
		case <-hedge.C:
			c.hedge(ctx)
		}
	}
}

// mostAttempts bounds the attempts of one call, whatever comes of them.
const mostAttempts = 16

// launch starts an attempt for which the budget was charged.
func (c *call) launch(ctx context.Context, charge admission.Charge) error {
	a, err := c.placeAttempt(ctx, c.need)
	if err != nil {
		return err
	}
	a.charge = charge
	c.need.Avoid = append(c.need.Avoid, a.target.ID)
	c.running++
	c.attempts++
	go func() {
		got, outcome := c.attemptCall(a)
		c.gateway.metrics.attempt(outcome.String())
		c.results <- callResult{attempt: a, answer: got, outcome: outcome}
	}()
	return nil
}

// hedge starts a second attempt beside one that has not answered.
func (c *call) hedge(ctx context.Context) {
	if c.running != 1 || !c.repeat.MayHedge(c.running) || c.attempts >= mostAttempts {
		return
	}
	charge, ok := c.gateway.takeRetry(c.in.ID, c.service, false)
	if !ok {
		return
	}
	if err := c.launch(ctx, charge); err == nil {
		c.gateway.log.Event("hedged", "request", c.in.ID, "after", time.Since(c.arrived))
	}
}

// over takes the result of an attempt and says whether the call has ended.
func (c *call) over(ctx context.Context, result callResult) bool {
	c.running--
	c.sent = c.sent || result.outcome != request.AttemptUnsent && result.outcome != request.AttemptRefused
	if result.answer != nil {
		c.kept = result.answer
	}
	again, paid := c.repeat.ShouldRetry(result.outcome)
	switch result.outcome {
	case request.AttemptFailed:
		c.failed = append(c.failed, result.attempt.target.ID)
	case request.AttemptAnswered:
		// Where all targets fail a request, it is the request that is at fault.
		c.gateway.control.post(func() {
			for _, id := range c.failed {
				c.gateway.control.table.RecordFailure(time.Now(), id)
			}
		})
		c.giveUp(fault.None)
		return true
	}
	if c.running > 0 {
		return false
	}
	if ctx.Err() != nil {
		c.giveUp(c.lateKind(ctx))
		return true
	}
	again = again && c.attempts < mostAttempts
	var charge admission.Charge
	if again && paid {
		charge, again = c.gateway.takeRetry(c.in.ID, c.service, true)
	}
	if !again {
		c.giveUp(c.repeat.Kind(result.outcome))
		return true
	}
	c.gateway.log.Event("retried", "request", c.in.ID, "left", result.attempt.target.ID, "outcome", result.outcome.String())
	if err := c.launch(ctx, charge); err != nil {
		c.giveUp(fault.KindOf(err))
		return true
	}
	return false
}

// lateKind is the error kind of a call that ended with its deadline or caller.
func (c *call) lateKind(ctx context.Context) fault.Kind {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.CallerGone
	case c.sent:
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
func (c *call) giveUp(kind fault.Kind) {
	if c.kept != nil {
		err := c.send(c.kept.head, c.kept.body)
		record(c.gateway.metrics.latency, time.Since(c.arrived))
		c.ended(fault.None, c.attempts, "status", c.kept.head.StatusCode, "sent", err == nil)
		return
	}
	if c.sent && promises(kind.Response().Status) {
		kind = fault.TargetLost
	}
	c.refuse(fault.New(kind, "no target answered"), c.attempts)
}
