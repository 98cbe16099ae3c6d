// Package soak runs gateways as separate processes against stand-ins for the users'
// platform, injects faults from outside, and checks the guarantees to callers against
// what callers and targets observe. All random choices are derived from a seed.
package soak

import (
	"context"
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

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations lists the violated guarantees. It is empty if the run passed.
	Violations []string
	// RequestsByStatus counts requests by HTTP status, Faults counts injected faults by
	// type.
	RequestsByStatus map[string]int
	Faults           map[string]int
	// Schedule lists the faults in the order of injection.
	Schedule []string
}

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
	log := newRequestLog()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)+1))
		callers.Go(func() { newClient(d, log, random).run(trafficCtx) })
	}
	plan := newFaultPlan(d, rand.New(rand.NewPCG(options.Seed, 0)))
	plan.run(ctx, options.FaultDuration)
	plan.revertAll()
	select {
	case <-time.After(options.RecoveryTime):
	case <-ctx.Done():
	}
	log.markRecovered()
	select {
	case <-time.After(observationPeriod):
	case <-ctx.Done():
	}
	stopTraffic()
	callers.Wait()
	report := Report{
		Seed: options.Seed, RequestsByStatus: log.countByStatus(), Faults: plan.counts, Schedule: plan.log,
		Violations: log.check(d.fleet.ExecutionLog, d.revocations()),
	}
	d.mu.Lock()
	report.Violations = append(report.Violations, d.unexpectedExits...)
	d.mu.Unlock()
	slices.Sort(report.Violations)
	return report, ctx.Err()
}

// observationPeriod is how long callers continue after the recovery time. Only requests
// sent in its first half must succeed, so that they have time to complete.
const observationPeriod = 4 * time.Second
