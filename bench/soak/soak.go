// Package soak runs the gateway as separate processes against the stand-ins of the
// users' platform, brings about faults from outside, and checks the promises to
// callers from what callers and targets see. Everything random comes from a seed.
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

// Options describes one run.
type Options struct {
	// GatewayPath is the path of the mlgateway program.
	GatewayPath string
	// Directory holds the settings and logs of the processes.
	Directory string
	Seed      uint64
	// FaultDuration is how long faults come, after which everything is mended and Calm
	// passes before the system must serve again.
	FaultDuration time.Duration
	RecoveryTime  time.Duration
	// Entries is the number of gateway processes, Engines and Applications those of
	// targets, Callers the number of callers at once.
	Entries, Engines, Applications, Callers int
}

// DefaultOptions is the usual size: some dozen processes and targets.
func DefaultOptions() Options {
	return Options{
		FaultDuration: 12 * time.Second, RecoveryTime: 5 * time.Second,
		Entries: 4, Engines: 9, Applications: 3, Callers: 24,
	}
}

// Report is what a run found.
type Report struct {
	Seed uint64
	// Violations lists the promises that were broken, empty in a good run.
	Violations []string
	// RequestsByStatus counts what callers sent by outcome, Faults what was done by kind.
	RequestsByStatus map[string]int
	Faults           map[string]int
	// Schedule lists the faults in order.
	Schedule []string
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	s, err := startSite(options)
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	book := newBook()
	traffic, endTraffic := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range options.Callers {
		source := rand.New(rand.NewPCG(options.Seed, uint64(i)+1))
		callers.Go(func() { newClient(s, book, source).run(traffic) })
	}
	plan := newPlan(s, rand.New(rand.NewPCG(options.Seed, 0)))
	plan.play(ctx, options.FaultDuration)
	plan.mend()
	select {
	case <-time.After(options.RecoveryTime):
	case <-ctx.Done():
	}
	book.mark()
	select {
	case <-time.After(recoveryWindow):
	case <-ctx.Done():
	}
	endTraffic()
	callers.Wait()
	report := Report{
		Seed: options.Seed, RequestsByStatus: book.counts(), Faults: plan.counts, Schedule: plan.log,
		Violations: book.check(s.fleet.ExecutionLog, s.revocations()),
	}
	s.mu.Lock()
	report.Violations = append(report.Violations, s.unclean...)
	s.mu.Unlock()
	slices.Sort(report.Violations)
	return report, ctx.Err()
}

// recoveryWindow is how long callers are watched after everything was mended. The
// requests of its first half have time to end.
const recoveryWindow = 4 * time.Second
