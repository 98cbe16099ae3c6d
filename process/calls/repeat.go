package calls

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxAttempts bounds the attempts at one idempotent call.
const maxAttempts = 4

// attempt is what came of one attempt at an idempotent call.
type attempt struct {
	target request.TargetID
	reply  *request.CallReply
	sent   bool
	err    error
}

// repeating is one idempotent call with its attempts.
type repeating struct {
	driver   *Executor
	call     Call
	budget   *budget
	results  chan attempt
	avoid    []request.TargetID
	attempts int
	running  int
	sent     bool
}

// repeat serves an idempotent call: a failed attempt is retried elsewhere, and a
// slow one hedged, while the retry budget of the service lasts.
func (d *Executor) repeat(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	r := &repeating{driver: d, call: call, budget: d.budgets.of(call.Service), results: make(chan attempt, maxAttempts)}
	r.budget.earn(call.RetryBudget)
	answer := r.run(ctx)
	answer.Request = call.ID
	answer.Attempts = request.AttemptNumber(r.attempts)
	return answer
}

func (r *repeating) run(ctx context.Context) Result {
	started := time.Now()
	if err := r.start(ctx); err != nil {
		return notRun(err)
	}
	hedge := r.hedgeTimer()
	for {
		select {
		case <-ctx.Done():
			return r.failed(fault.New(fault.KindOf(ctx.Err()), ""))
		case <-hedge:
			hedge = nil
			if r.budget.spend() {
				_ = r.start(ctx)
			}
		case result := <-r.results:
			r.running--
			r.sent = r.sent || result.sent
			if result.err == nil {
				r.budget.observe(time.Since(started))
				return Result{Reply: result.reply, Digest: result.reply.Digest(), WasRun: request.RunYes}
			}
			if err := r.retry(ctx, result); err != nil {
				return r.failed(err)
			}
		}
	}
}

// hedgeTimer fires when the call takes longer than most.
func (r *repeating) hedgeTimer() <-chan time.Time {
	after := r.budget.hedgeAfter()
	if !r.call.Hedge || after == 0 {
		return nil
	}
	return time.After(after)
}

// retry starts another attempt after a failed one. It returns an error when none
// is left.
func (r *repeating) retry(ctx context.Context, failed attempt) error {
	r.avoid = append(r.avoid, failed.target)
	if r.attempts < maxAttempts && r.budget.spend() && r.start(ctx) == nil {
		return nil
	}
	if r.running > 0 {
		return nil
	}
	if r.attempts > 1 {
		return fault.Wrap(fault.RetriesExhausted, failed.err, "")
	}
	return failed.err
}

// failed is the answer when no attempt gave a reply.
func (r *repeating) failed(err error) Result {
	if r.sent || r.running > 0 {
		return Result{WasRun: request.RunUnknown, Err: err}
	}
	return notRun(err)
}

// start sends the call to another target.
func (r *repeating) start(ctx context.Context) error {
	target, err := r.driver.targets.Pick(ctx, r.call.Service, r.avoid)
	if err != nil {
		return err
	}
	r.attempts++
	r.running++
	go func() {
		defer target.Release()
		r.results <- r.send(ctx, target)
	}()
	return nil
}

func (r *repeating) send(ctx context.Context, target Target) attempt {
	reply, sent, err := target.Agent.Call(ctx, wire.Call{
		Request: r.call.ID, Body: r.call.Body,
		Deadline: r.call.Deadline.UnixMilli(), MaxReplyBytes: r.call.MaxReplyBytes,
	})
	result := attempt{target: target.ID, reply: reply.Reply, sent: sent, err: err}
	if err == nil && reply.Reply == nil {
		result.err = fault.New(reply.Kind, "%s", reply.Message)
		result.sent = reply.State == request.GatePassed
	}
	return result
}
