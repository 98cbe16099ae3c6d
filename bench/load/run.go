// Package load executes one experiment under one variant: it starts the processes,
// sends the planned requests at their planned times, injects the faults, and returns
// the records of callers and engines. Package measure evaluates them.
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/baseline"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Salt is the salt of the oracle in all runs.
const Salt = "load"

// EngineRecords holds the generations of one engine.
type EngineRecords struct {
	Target  string
	Records []engine.GenerationRecord
	// DrainStarted is when the target began to drain, or zero if it did not.
	DrainStarted time.Time
}

// Sample is the depth of every target at one instant: the number of generations that
// are waiting or running there.
type Sample struct {
	At    time.Time
	Depth []int
}

// Run holds the records of one run.
type Run struct {
	Experiment  *experiment.Experiment
	Variant     experiment.Variant
	Repetition  int
	Reference   bool
	Start       time.Time
	Results     []*Result
	FaultEvents []FaultEvent
	Engines     []EngineRecords
	Samples     []Sample
}

// Status is the progress of a run.
type Status struct {
	Sent, Ended, Running int
	Faults               int
	Elapsed              time.Duration
}

// runner executes one run.
type runner struct {
	experiment   *experiment.Experiment
	run          *Run
	fleet        *fleet.Fleet
	routers      []*baseline.Router
	entries      []*entryPoint
	entryCounter atomic.Int64
	client       *http.Client
	sent         atomic.Int64
	ended        atomic.Int64
	faults       sync.WaitGroup
	requests     sync.WaitGroup

	mu sync.Mutex
}

// entryPoint is an entry, or a baseline router, to which callers send requests.
type entryPoint struct {
	url  string
	down atomic.Bool
	kill func()
}

const (
	startTimeout   = 60 * time.Second
	sampleInterval = 250 * time.Millisecond
	statusInterval = time.Second
)

// Execute runs e under a variant and calls status once a second.
func Execute(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, repetition int, status func(Status)) (*Run, error) {
	r := &runner{
		experiment: e,
		run:        &Run{Experiment: e, Variant: variant, Repetition: repetition},
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
	}
	if err := r.start(ctx, variant); err != nil {
		return nil, err
	}
	defer r.close()
	r.runPlan(ctx, status)
	return r.run, ctx.Err()
}

func (r *runner) start(ctx context.Context, variant experiment.Variant) error {
	document, err := r.experiment.Document()
	if err != nil {
		return err
	}
	deployment := r.experiment.ResolveDeployment()
	layout := fleet.Layout{
		Document:       document,
		Service:        deployment.Service,
		Domains:        deployment.Domains,
		Entries:        deployment.Entries,
		Engines:        deployment.Replicas,
		Engine:         engineConfig(r.experiment),
		HostListLag:    r.experiment.HostListLag.Std(),
		RelayedEngines: r.relayedEngines(deployment),
	}
	if variant != experiment.Product {
		layout.Entries = 0
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.fleet, err = fleet.Start(startCtx, layout)
	if err != nil {
		return err
	}
	if variant == experiment.Product {
		r.addEntries()
		return nil
	}
	return r.startRouters(variant, deployment)
}

func engineConfig(e *experiment.Experiment) engine.Config {
	config := engine.DefaultConfig(Salt, e.ResolveDeployment().Version)
	config.StepTime = e.Engine.Step.Std()
	config.StepPerSequence = e.Engine.PerSequence.Std()
	config.PrefillPerToken = e.Engine.PrefillPerToken.Std()
	config.Batch = e.Engine.Batch
	config.Jitter = e.Engine.Jitter
	config.Seed = e.Seed
	config.KeepRecords = true
	return config
}

// relayedEngines returns the indexes of the targets that a fault makes unreachable.
func (r *runner) relayedEngines(deployment experiment.Deployment) []int {
	var indexes []int
	for _, f := range r.experiment.Faults {
		if f.Type == experiment.HostSilent || f.Type == experiment.DomainLoss {
			indexes = append(indexes, affectedTargets(r.experiment, f, deployment)...)
		}
	}
	return indexes
}

func (r *runner) addEntries() {
	for i, e := range r.fleet.Entries {
		r.entries = append(r.entries, &entryPoint{url: r.fleet.URL(i), kill: e.Kill})
	}
}

func (r *runner) startRouters(variant experiment.Variant, deployment experiment.Deployment) error {
	for i := range deployment.Entries {
		router, err := baseline.Start(baselinePolicy(variant), deployment.Version, r.experiment.Seed+uint64(i), r.baselineTargets)
		if err != nil {
			r.close()
			return err
		}
		r.routers = append(r.routers, router)
		r.entries = append(r.entries, &entryPoint{url: router.URL(), kill: router.Kill})
	}
	return nil
}

const (
	baselineTokenTimeout      = 2 * time.Second
	baselineFirstTokenTimeout = 30 * time.Second
	baselineMaxAttempts       = 20
)

// baselinePolicy returns the router policy of a baseline variant.
func baselinePolicy(variant experiment.Variant) baseline.Policy {
	policy := baseline.Policy{
		Strategy:          baseline.Random,
		TokenTimeout:      baselineTokenTimeout,
		FirstTokenTimeout: baselineFirstTokenTimeout,
		MaxAttempts:       baselineMaxAttempts,
	}
	switch variant {
	case experiment.RerunFromPrompt:
		policy.RerunFromPrompt = true
	case experiment.RoundRobin:
		policy.Strategy = baseline.RoundRobin
	case experiment.NoAdmission:
		policy.Strategy = baseline.LeastInFlight
	}
	return policy
}

// baselineTargets returns the current engines for the routers of a baseline.
func (r *runner) baselineTargets() []baseline.Target {
	members := r.fleet.CurrentMembers()
	list := make([]baseline.Target, 0, len(members))
	for _, m := range members {
		list = append(list, baseline.Target{Name: string(m.Placement.Target), URL: m.Engine.URL()})
	}
	return list
}

func (r *runner) close() {
	for _, router := range r.routers {
		router.Kill()
	}
	r.fleet.Close()
	r.client.CloseIdleConnections()
}

// runPlan sends the planned requests, injects the faults and waits for the responses.
func (r *runner) runPlan(ctx context.Context, status func(Status)) {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Duration.Std()+r.experiment.Drain.Std())
	defer cancel()
	r.run.Start = time.Now()
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	var monitor sync.WaitGroup
	monitor.Go(func() { r.monitor(monitorCtx, status) })
	r.scheduleFaults(ctx)
	r.sendPlan(ctx, r.experiment.Plan(r.run.Repetition))
	r.requests.Wait()
	cancel()
	r.faults.Wait()
	stopMonitor()
	monitor.Wait()
	r.addEngineRecords(time.Time{}, r.fleet.CurrentMembers()...)
}

// sendPlan sends every request at its planned time, regardless of the state of earlier
// ones (open loop).
func (r *runner) sendPlan(ctx context.Context, plan []experiment.Request) {
	for i, request := range plan {
		intended := r.run.Start.Add(request.At)
		if !sleepUntil(ctx, intended) {
			return
		}
		result := &Result{Request: request, IntendedStart: intended, IdempotencyKey: fmt.Sprintf("load-%d-%d", r.run.Start.UnixNano(), i)}
		r.run.Results = append(r.run.Results, result)
		r.sent.Add(1)
		r.requests.Go(func() {
			r.sendRequest(ctx, result)
			r.ended.Add(1)
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// monitor samples the depth of the targets and reports progress until ctx ends.
func (r *runner) monitor(ctx context.Context, status func(Status)) {
	samples := time.NewTicker(sampleInterval)
	defer samples.Stop()
	reports := time.NewTicker(statusInterval)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-samples.C:
			r.sample()
		case <-reports.C:
			status(r.status())
		}
	}
}

func (r *runner) sample() {
	members := r.fleet.CurrentMembers()
	sample := Sample{At: time.Now(), Depth: make([]int, 0, len(members))}
	for _, m := range members {
		sample.Depth = append(sample.Depth, m.Engine.ActiveGenerations())
	}
	r.run.Samples = append(r.run.Samples, sample)
}

func (r *runner) status() Status {
	r.mu.Lock()
	faults := len(r.run.FaultEvents)
	r.mu.Unlock()
	sent, ended := int(r.sent.Load()), int(r.ended.Load())
	return Status{Sent: sent, Ended: ended, Running: sent - ended, Faults: faults, Elapsed: time.Since(r.run.Start)}
}

// addEngineRecords saves the records of members that are about to be closed or were
// replaced. drainStarted is when they began to drain, or zero.
func (r *runner) addEngineRecords(drainStarted time.Time, members ...*fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		records := EngineRecords{Target: string(m.Placement.Target), Records: m.Engine.Records(), DrainStarted: drainStarted}
		r.run.Engines = append(r.run.Engines, records)
	}
}

// Text returns the status as one line.
func (s Status) Text() string {
	return fmt.Sprintf("%3.0fs sent=%d ended=%d running=%d faults=%d", s.Elapsed.Seconds(), s.Sent, s.Ended, s.Running, s.Faults)
}

// ResultsByRequestID returns the results by the request ID assigned by the system.
func (r *Run) ResultsByRequestID() map[string]*Result {
	results := make(map[string]*Result, len(r.Results))
	for _, result := range r.Results {
		if id := result.ID(); id != "" {
			results[id] = result
		}
	}
	return results
}

// errUnreachable is the error of a request that found every entry down.
var errUnreachable = errors.New("all entries are down")
