// Package soak runs gateways as separate processes against stand-ins for the users'
// platform, injects faults from outside, and checks the guarantees to callers against
// what callers and targets observe. All random choices are derived from a seed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configures a run.
type Options struct {
	// GatewayPath is the path of the mlgateway program.
	GatewayPath string
	// Directory holds the settings and logs of the processes.
	Directory string
	Seed      uint64
	// FaultDuration is how long faults are injected. All faults are reverted then, and
	// the system must serve again once RecoveryTime has passed.
	FaultDuration time.Duration
	RecoveryTime  time.Duration
	// PlannedOnly leaves out all faults but planned work. Then no request that has reached a
	// target may be left without a response.
	PlannedOnly bool
	// Drills makes the store come back from an older copy once or twice.
	Drills bool
	// Growth makes the configuration grow by many routes and change in series, behind slow links to the store.
	Growth bool
	// Entries is the number of gateway processes, Engines and Applications are the
	// numbers of targets of each kind, and Callers is the number of concurrent callers.
	Entries, Engines, Applications, Callers int
}

// DefaultOptions returns the usual size: a few entries and a dozen targets.
func DefaultOptions() Options {
	return Options{
		FaultDuration: 12 * time.Second, RecoveryTime: 5 * time.Second,
		Entries: 4, Engines: 9, Applications: 3, Callers: 24,
	}
}

// calm returns whether planned work comes at long intervals and no target leaves. Streams have
// few attempts then, since none is needed.
func (o Options) calm() bool { return o.PlannedOnly && o.Seed%2 == 0 }

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations lists the violated guarantees. It is empty if the run passed.
	Violations []string
	// RequestsByStatus counts requests by HTTP status, Faults counts injected faults by
	// type.
	RequestsByStatus map[string]int
	Faults           map[string]int
	// Covered counts the cases that the checks of what targets saw have looked at.
	Covered map[string]int
	// Schedule lists the faults in the order of injection.
	Schedule []string
}

// crashingCallers is the number of callers whose prompts crash engines.
const crashingCallers = 2

// Streams of random numbers of a seed. The callers have those from 1 on, the basic faults
// that of 0, so that these stay as they are for the seeds that failed before.
const (
	replyFaultStream uint64 = 1<<32 + iota
	crashingStream
	connectionFaultStream
	keepingStream
	rolloutStream
	rolloutCallerStream
	drillStream
	growthStream
)

// Run runs the soak with one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	d, err := startDeployment(options)
	if err != nil {
		return Report{}, err
	}
	defer d.stop()
	rollout, err := d.startRollout(rand.New(rand.NewPCG(options.Seed, rolloutStream)))
	if err != nil {
		return Report{}, err
	}
	defer rollout.end()
	log := newRequestLog()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	callers := d.startCallers(trafficCtx, log, rollout.service)
	rolloutCtx, stopRollout := context.WithCancel(ctx)
	defer stopRollout()
	injected := &schedule{start: time.Now(), counts: map[string]int{}}
	var rolloutDone sync.WaitGroup
	rolloutDone.Go(func() { rollout.run(rolloutCtx, injected) })
	wait := d.startStoreChanges(ctx, injected)
	runPlans(ctx, options.FaultDuration, newPlans(d, injected)...)
	wait()
	d.recover(ctx, log)
	stopTraffic()
	callers.Wait()
	stopRollout()
	rolloutDone.Wait()
	view := newTargetView(d, log)
	report := Report{
		Seed: options.Seed, RequestsByStatus: log.countByStatus(), Faults: injected.counts, Schedule: injected.log,
		Violations: slices.Concat(log.check(d.fleet.ExecutionLog, d.revocations()), view.check(), rollout.view(view).check()), Covered: view.covered,
	}
	if options.PlannedOnly {
		report.Violations = append(report.Violations, view.checkPlannedWork(log.stoppedAt)...)
		report.Violations = append(report.Violations, view.checkClosings(log.closings)...)
	}
	d.mu.Lock()
	report.Violations = append(report.Violations, d.failures...)
	d.mu.Unlock()
	slices.Sort(report.Violations)
	return report, ctx.Err()
}

// startCallers starts the callers, which send requests until the context ends.
func (d *deployment) startCallers(ctx context.Context, log *requestLog, rolloutService string) *sync.WaitGroup {
	callers := &sync.WaitGroup{}
	for i := range d.options.Callers {
		random := rand.New(rand.NewPCG(d.options.Seed, uint64(i)+1))
		callers.Go(func() {
			c := newClient(d, log, random)
			c.crew = fmt.Sprintf("crew%d", i%crewCount)
			c.run(ctx)
		})
	}
	for i := range d.options.Callers / 2 {
		random := rand.New(rand.NewPCG(d.options.Seed, keepingStream+uint64(i)<<32))
		callers.Go(func() { newKeepingClient(d, log, random).run(ctx) })
	}
	if !d.options.PlannedOnly {
		for i := range crashingCallers {
			random := rand.New(rand.NewPCG(d.options.Seed, crashingStream+uint64(i)))
			callers.Go(func() { newClient(d, log, random).runCrashing(ctx) })
		}
	}
	for i := range rolloutCallers {
		random := rand.New(rand.NewPCG(d.options.Seed, rolloutCallerStream+uint64(i)<<32))
		callers.Go(func() { newClient(d, log, random).runRollout(ctx, rolloutService) })
	}
	return callers
}

// recover waits for the recovery and for the observation of what is served then. Nothing ends
// connections meanwhile, so that they outlast a change of the limit.
func (d *deployment) recover(ctx context.Context, log *requestLog) {
	d.setIdleLimit(minIdleLimit)
	growth := time.AfterFunc(d.options.RecoveryTime/2, func() { d.setIdleLimit(maxIdleLimit) })
	defer growth.Stop()
	d.stalls.awaitCalm(ctx, d.options.RecoveryTime)
	log.markRecovered()
	select {
	case <-time.After(observationPeriod):
	case <-ctx.Done():
	}
	log.markStopped()
}

func newPlans(d *deployment, s *schedule) []*faultPlan {
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(d.options.Seed, stream)) }
	connection := newFaultPlan(d, connectionFaults, random(connectionFaultStream), s)
	if d.options.PlannedOnly {
		work := plannedWork
		if d.options.calm() {
			work = calmWork
		}
		return []*faultPlan{newFaultPlan(d, work, random(0), s), connection}
	}
	return []*faultPlan{newFaultPlan(d, basicFaults, random(0), s), newFaultPlan(d, replyFaults, random(replyFaultStream), s), connection}
}

// observationPeriod is how long callers continue after the recovery time. Only requests
// sent in its first half must succeed, so that they have time to complete.
const observationPeriod = 4 * time.Second

// startStoreChanges starts what changes the store beside the faults, and returns a function that waits for its end.
func (d *deployment) startStoreChanges(ctx context.Context, s *schedule) (wait func()) {
	var running sync.WaitGroup
	if d.options.Growth {
		random := rand.New(rand.NewPCG(d.options.Seed, growthStream))
		running.Go(func() { d.runGrowth(ctx, random, s) })
	}
	if d.options.Drills {
		random := rand.New(rand.NewPCG(d.options.Seed, drillStream))
		running.Go(func() { d.runDrills(ctx, random, s) })
	}
	return running.Wait
}
