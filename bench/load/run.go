// Package load runs one experiment under one policy: it starts the parts, sends
// the planned requests at their instants, brings about the faults, and returns
// what callers and engines saw. It judges nothing.
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

// Salt is the oracle's salt of all runs.
const Salt = "load"

// EngineRecords is what one engine did.
type EngineRecords struct {
	Target  string
	Records []engine.GenerationRecord
	// DrainStarted is when the engine was told to leave, or zero.
	DrainStarted time.Time
}

// Sample is the depth of every target at one instant: the generations that wait
// or run there.
type Sample struct {
	At    time.Time
	Depth []int
}

// Run is what came of one run.
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

// runner is a run under way.
type runner struct {
	e        *experiment.Experiment
	run      *Run
	fleet    *fleet.Fleet
	routers  []*baseline.Router
	entries  []*entryPoint
	turn     atomic.Int64
	client   *http.Client
	sent     atomic.Int64
	ended    atomic.Int64
	faults   sync.WaitGroup
	requests sync.WaitGroup

	mu sync.Mutex
}

// entryPoint is one entry or router, as the balancer sees it.
type entryPoint struct {
	url  string
	dead atomic.Bool
	kill func()
}

const (
	startTimeout = 60 * time.Second
	sampleEvery  = 250 * time.Millisecond
	statusEvery  = time.Second
)

// Execute runs e under a variant. It calls status once a second.
func Execute(ctx context.Context, e *experiment.Experiment, variant experiment.Variant, repetition int, status func(Status)) (*Run, error) {
	r := &runner{
		e:      e,
		run:    &Run{Experiment: e, Variant: variant, Repetition: repetition},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
	}
	if err := r.start(ctx, variant); err != nil {
		return nil, err
	}
	defer r.close()
	r.drive(ctx, status)
	return r.run, ctx.Err()
}

func (r *runner) start(ctx context.Context, variant experiment.Variant) error {
	document, err := r.e.Document()
	if err != nil {
		return err
	}
	place := r.e.ResolveDeployment()
	layout := fleet.Layout{
		Document:       document,
		Service:        place.Service,
		Domains:        place.Domains,
		Entries:        place.Entries,
		Engines:        place.Replicas,
		Engine:         engineConfig(r.e),
		HostListLag:    r.e.HostListLag.Std(),
		RelayedEngines: r.relayed(place),
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
		r.useEntries()
		return nil
	}
	return r.startRouters(variant, place)
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

// relayed lists the targets that a fault may cut off.
func (r *runner) relayed(place experiment.Deployment) []int {
	var list []int
	for _, f := range r.e.Faults {
		if f.Type == experiment.HostSilent || f.Type == experiment.DomainLoss {
			list = append(list, victims(r.e, f, place)...)
		}
	}
	return list
}

func (r *runner) useEntries() {
	for i, e := range r.fleet.Entries {
		r.entries = append(r.entries, &entryPoint{url: r.fleet.URL(i), kill: e.Kill})
	}
}

func (r *runner) startRouters(variant experiment.Variant, place experiment.Deployment) error {
	for i := range place.Entries {
		router, err := baseline.Start(policyOf(variant), place.Version, r.e.Seed+uint64(i), r.targets)
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
	baselineSilence    = 2 * time.Second
	baselineFirstToken = 30 * time.Second
	baselineAttempts   = 20
)

// policyOf returns the router policy of a baseline.
func policyOf(variant experiment.Variant) baseline.Policy {
	policy := baseline.Policy{
		Strategy:          baseline.Random,
		TokenTimeout:      baselineSilence,
		FirstTokenTimeout: baselineFirstToken,
		MaxAttempts:       baselineAttempts,
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

// targets lists the engines for the baselines' routers.
func (r *runner) targets() []baseline.Target {
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

// drive sends the plan, runs the faults and waits for the answers.
func (r *runner) drive(ctx context.Context, status func(Status)) {
	ctx, cancel := context.WithTimeout(ctx, r.e.Duration.Std()+r.e.Drain.Std())
	defer cancel()
	r.run.Start = time.Now()
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { r.watch(watchCtx, status) })
	r.scheduleFaults(ctx)
	r.sendPlan(ctx, r.e.Plan(r.run.Repetition))
	r.requests.Wait()
	cancel()
	r.faults.Wait()
	stopWatch()
	watch.Wait()
	r.account(time.Time{}, r.fleet.CurrentMembers()...)
}

// sendPlan starts every request at its instant, whatever became of earlier ones.
func (r *runner) sendPlan(ctx context.Context, plan []experiment.Request) {
	for i, request := range plan {
		intended := r.run.Start.Add(request.At)
		if !sleepUntil(ctx, intended) {
			return
		}
		reply := &Result{Request: request, IntendedStart: intended, IdempotencyKey: fmt.Sprintf("load-%d-%d", r.run.Start.UnixNano(), i)}
		r.run.Results = append(r.run.Results, reply)
		r.sent.Add(1)
		r.requests.Go(func() {
			r.ask(ctx, reply)
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

// watch samples the load of the targets and reports progress.
func (r *runner) watch(ctx context.Context, status func(Status)) {
	samples := time.NewTicker(sampleEvery)
	defer samples.Stop()
	reports := time.NewTicker(statusEvery)
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
		sample.Depth = append(sample.Depth, m.Engine.QueueDepth())
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

// account keeps the records of members that are about to go. Leaving is when they
// were told to, or zero.
func (r *runner) account(leaving time.Time, members ...*fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		account := EngineRecords{Target: string(m.Placement.Target), Records: m.Engine.Records(), DrainStarted: leaving}
		r.run.Engines = append(r.run.Engines, account)
	}
}

// Text returns the status as one line.
func (s Status) Text() string {
	return fmt.Sprintf("%3.0fs sent=%d ended=%d running=%d faults=%d", s.Elapsed.Seconds(), s.Sent, s.Ended, s.Running, s.Faults)
}

// ResultsByRequestID returns the reply to a request, by the id that the system gave it.
func (r *Run) ResultsByRequestID() map[string]*Result {
	found := make(map[string]*Result, len(r.Results))
	for _, reply := range r.Results {
		if id := reply.ID(); id != "" {
			found[id] = reply
		}
	}
	return found
}

// errUnreachable says that no entry took the connection.
var errUnreachable = errors.New("no entry can be reached")
