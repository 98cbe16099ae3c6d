package calls

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxAttempts bounds the attempts of one idempotent call.
const maxAttempts = 4

// attemptResult is the result of one attempt of an idempotent call.
type attemptResult struct {
	target request.TargetID
	reply  *request.CallReply
	sent   bool
	err    error
}

// idempotentCall is an idempotent call and the state of its attempts.
type idempotentCall struct {
	executor *Executor
	call     Call
	budget   *budget
	results  chan attemptResult
	avoid    []request.TargetID
	attempts int
	running  int
	sent     bool
}

// submitIdempotent executes an idempotent call. It retries a failed attempt at another
// target and hedges a slow one, within the retry budget of the service.
func (e *Executor) submitIdempotent(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	c := &idempotentCall{executor: e, call: call, budget: e.budgets.forService(call.Service), results: make(chan attemptResult, maxAttempts)}
	c.budget.addCredit(call.RetryBudget)
	result := c.run(ctx)
	result.Request = call.ID
	result.Attempts = request.AttemptNumber(c.attempts)
	return result
}

func (c *idempotentCall) run(ctx context.Context) Result {
	started := time.Now()
	if err := c.startAttempt(ctx); err != nil {
		return notRunResult(err)
	}
	hedge := c.hedgeTimer()
	for {
		select {
		case <-ctx.Done():
			return c.failure(fault.New(fault.KindOf(ctx.Err()), ""))
		case <-hedge:
			hedge = nil
			if c.budget.takeRetry() {
				_ = c.startAttempt(ctx)
			}
		case result := <-c.results:
			c.running--
			c.sent = c.sent || result.sent
			if result.err == nil {
				c.budget.recordLatency(time.Since(started))
				return Result{Reply: result.reply, Digest: result.reply.Digest(), WasRun: request.RunYes}
			}
			if err := c.retry(ctx, result); err != nil {
				return c.failure(err)
			}
		}
	}
}

// hedgeTimer returns a channel that fires when the call is slow enough to be hedged,
// or nil if it must not be hedged.
func (c *idempotentCall) hedgeTimer() <-chan time.Time {
	delay := c.budget.hedgeDelay()
	if !c.call.Hedge || delay == 0 {
		return nil
	}
	return time.After(delay)
}

// retry starts another attempt after a failed one. It returns an error if it cannot
// and no other attempt is running.
func (c *idempotentCall) retry(ctx context.Context, failed attemptResult) error {
	c.avoid = append(c.avoid, failed.target)
	if c.attempts < maxAttempts && c.budget.takeRetry() && c.startAttempt(ctx) == nil {
		return nil
	}
	if c.running > 0 {
		return nil
	}
	if c.attempts > 1 {
		return fault.Wrap(fault.RetriesExhausted, failed.err, "")
	}
	return failed.err
}

// failure returns the result of a call that got no reply.
func (c *idempotentCall) failure(err error) Result {
	if c.sent || c.running > 0 {
		return Result{WasRun: request.RunUnknown, Err: err}
	}
	return notRunResult(err)
}

// startAttempt picks a target and starts an attempt there.
func (c *idempotentCall) startAttempt(ctx context.Context) error {
	target, err := c.executor.targets.Pick(ctx, c.call.Service, c.avoid)
	if err != nil {
		return err
	}
	c.attempts++
	c.running++
	go func() {
		defer target.Release()
		c.results <- c.send(ctx, target)
	}()
	return nil
}

func (c *idempotentCall) send(ctx context.Context, target Target) attemptResult {
	reply, sent, err := target.Agent.Call(ctx, wire.Call{
		Request: c.call.ID, Body: c.call.Body,
		Deadline: c.call.Deadline.UnixMilli(), MaxReplyBytes: c.call.MaxReplyBytes,
	})
	result := attemptResult{target: target.ID, reply: reply.Reply, sent: sent, err: err}
	if err == nil && reply.Reply == nil {
		result.err = fault.New(reply.Kind, "%s", reply.Message)
		result.sent = reply.State == request.GateForwarded
	}
	return result
}
