package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
)

const (
	requestCount = 72
	// arrivalSpan is the time over which requests arrive.
	arrivalSpan = 17 * time.Second
	minTokens   = 100
	maxTokens   = 500
	// driveTimeout ends the demonstration whatever happens.
	driveTimeout = 50 * time.Second
	reconnect    = 100 * time.Millisecond
	progressTick = time.Second
)

// exchange is one request and what came of it.
type exchange struct {
	ask    caller.CompletionRequest
	entry  int
	answer *caller.CompletionResponse
	// moved holds the instants at which the caller turned to another entry.
	moved []time.Time
	err   error
}

// driver sends the requests of one demonstration and brings about its faults.
type driver struct {
	plan      Plan
	signals   signaller
	client    *http.Client
	caller    *caller.Client
	exchanges []*exchange
	faults    []Fault
	work      *workMeter
	done      atomic.Int64
	errands   []calls.Verdict
	out       io.Writer
}

// Drive runs the requests and faults against the processes of the plan in
// directory, shows progress on out, and returns the report.
func Drive(ctx context.Context, directory string, out io.Writer) (Report, error) {
	plan, err := ReadPlan(directory)
	if err != nil {
		return Report{}, err
	}
	d := &driver{plan: plan, signals: signaller{directory}, client: &http.Client{}, faults: faultPlan(), out: out}
	d.caller = caller.New(d.client)
	ctx, cancel := context.WithTimeout(ctx, driveTimeout)
	defer cancel()
	if err := plan.AwaitReady(ctx, d.client); err != nil {
		return Report{}, err
	}
	if err := d.makeExchanges(); err != nil {
		return Report{}, err
	}
	d.work = newWorkMeter(d.client, d.plan.Engines)
	if err := d.run(ctx); err != nil {
		return Report{}, err
	}
	return d.report(), nil
}

func (d *driver) makeExchanges() error {
	texts, err := prompts(requestCount)
	if err != nil {
		return errors.Wrap(err, "prompts")
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i, text := range texts {
		d.exchanges = append(d.exchanges, &exchange{
			entry: i % len(d.plan.Entries),
			ask: caller.CompletionRequest{
				Model: fleet.TrialService, Prompt: text, BearerToken: fleet.TrialToken,
				MaxTokens:      minTokens + random.IntN(maxTokens-minTokens),
				IdempotencyKey: fmt.Sprintf("demo-%d", i),
			},
		})
	}
	return nil
}

// run sends all requests on their schedule while the faults happen.
func (d *driver) run(ctx context.Context) error {
	start := time.Now()
	var callers, others sync.WaitGroup
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, len(d.faults)+1)
	others.Go(func() { d.bringFaults(runCtx, start, failed) })
	others.Go(func() { d.showProgress(runCtx, start) })
	others.Go(func() { d.work.run(runCtx) })
	callers.Go(func() { failed <- d.makeCalls(ctx, start.Add(arrivalSpan)) })
	for i, x := range d.exchanges {
		due := start.Add(arrivalSpan * time.Duration(i) / time.Duration(len(d.exchanges)))
		callers.Go(func() { d.exchange(ctx, due, x) })
	}
	callers.Wait()
	d.work.poll(ctx)
	stop()
	others.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) bringFaults(ctx context.Context, start time.Time, failed chan<- error) {
	for i := range d.faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(d.faults[i].After))):
		}
		d.work.poll(ctx)
		at, err := d.signals.bring(d.faults[i])
		if err != nil {
			failed <- err
			return
		}
		d.faults[i].at = at
		_, _ = fmt.Fprintf(d.out, "%5.1fs  %s %s\n", at.Sub(start).Seconds(), d.faults[i].Kind, d.faults[i].Process)
	}
}

func (d *driver) showProgress(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(progressTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			_, _ = fmt.Fprintf(d.out, "%5.1fs  %d of %d answers complete\n", now.Sub(start).Seconds(), d.done.Load(), len(d.exchanges))
		}
	}
}

// exchange sends one request and, when its entry fails, goes on at the next one
// from the last event that came.
func (d *driver) exchange(ctx context.Context, due time.Time, x *exchange) {
	time.Sleep(time.Until(due))
	x.answer = &caller.CompletionResponse{}
	for {
		base := d.plan.Entries[x.entry]
		x.err = d.caller.Resume(ctx, base, x.ask, x.answer)
		if x.answer.Outcome != nil || ctx.Err() != nil {
			break
		}
		x.moved = append(x.moved, time.Now())
		x.ask.LastEventID = x.answer.LastEventID
		x.entry = (x.entry + 1) % len(d.plan.Entries)
		time.Sleep(reconnect)
	}
	d.done.Add(1)
}
