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
	// arrivalPeriod is the period over which the requests are spread.
	arrivalPeriod = 17 * time.Second
	minTokens     = 100
	maxTokens     = 500
	// driveTimeout bounds the whole demonstration.
	driveTimeout     = 50 * time.Second
	reconnectDelay   = 100 * time.Millisecond
	progressInterval = time.Second
)

// exchange is one request and its response.
type exchange struct {
	request  caller.CompletionRequest
	entry    int
	response *caller.CompletionResponse
	// failovers holds the instants at which the caller switched to another entry.
	failovers []time.Time
	err       error
}

// driver sends the requests of one demonstration and injects its faults.
type driver struct {
	plan         Plan
	signals      signaller
	client       *http.Client
	caller       *caller.Client
	exchanges    []*exchange
	faults       []Fault
	work         *workMeter
	completed    atomic.Int64
	callVerdicts []calls.Verdict
	out          io.Writer
}

// Drive runs the requests and faults against the processes of the plan in
// directory, writes progress to out, and returns the report.
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
			request: caller.CompletionRequest{
				Model: fleet.TrialService, Prompt: text, BearerToken: fleet.TrialToken,
				MaxTokens:      minTokens + random.IntN(maxTokens-minTokens),
				IdempotencyKey: fmt.Sprintf("demo-%d", i),
			},
		})
	}
	return nil
}

// run sends all requests on schedule while the faults are injected.
func (d *driver) run(ctx context.Context) error {
	start := time.Now()
	var callers, background sync.WaitGroup
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	errs := make(chan error, len(d.faults)+1)
	background.Go(func() { d.injectFaults(runCtx, start, errs) })
	background.Go(func() { d.showProgress(runCtx, start) })
	background.Go(func() { d.work.run(runCtx) })
	callers.Go(func() { errs <- d.runWorkloads(ctx, start.Add(arrivalPeriod)) })
	for i, x := range d.exchanges {
		due := start.Add(arrivalPeriod * time.Duration(i) / time.Duration(len(d.exchanges)))
		callers.Go(func() { d.runExchange(ctx, due, x) })
	}
	callers.Wait()
	d.work.poll(ctx)
	stop()
	background.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) injectFaults(ctx context.Context, start time.Time, errs chan<- error) {
	for i := range d.faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(d.faults[i].After))):
		}
		d.work.poll(ctx)
		at, err := d.signals.inject(d.faults[i])
		if err != nil {
			errs <- err
			return
		}
		d.faults[i].injectedAt = at
		_, _ = fmt.Fprintf(d.out, "%5.1fs  %s %s\n", at.Sub(start).Seconds(), d.faults[i].Kind, d.faults[i].Process)
	}
}

func (d *driver) showProgress(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			_, _ = fmt.Fprintf(d.out, "%5.1fs  %d of %d answers complete\n", now.Sub(start).Seconds(), d.completed.Load(), len(d.exchanges))
		}
	}
}

// runExchange sends one request. If its entry fails, it resumes the response at the next
// entry after the last event received.
func (d *driver) runExchange(ctx context.Context, due time.Time, x *exchange) {
	time.Sleep(time.Until(due))
	x.response = &caller.CompletionResponse{}
	for {
		base := d.plan.Entries[x.entry]
		x.err = d.caller.Resume(ctx, base, x.request, x.response)
		if x.response.Outcome != nil || ctx.Err() != nil {
			break
		}
		x.failovers = append(x.failovers, time.Now())
		x.request.LastEventID = x.response.LastEventID
		x.entry = (x.entry + 1) % len(d.plan.Entries)
		time.Sleep(reconnectDelay)
	}
	d.completed.Add(1)
}
