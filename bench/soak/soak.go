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
	// Gateway is the path of the mlgateway program.
	Gateway string
	// Folder holds the settings and logs of the processes.
	Folder string
	Seed   uint64
	// Faulty is how long faults come, after which everything is mended and Calm
	// passes before the system must serve again.
	Faulty time.Duration
	Calm   time.Duration
	// Entries is the number of gateway processes, Engines and Applications those of
	// targets, Callers the number of callers at once.
	Entries, Engines, Applications, Callers int
}

// DefaultOptions is the usual size: some dozen processes and targets.
func DefaultOptions() Options {
	return Options{
		Faulty: 12 * time.Second, Calm: 5 * time.Second,
		Entries: 4, Engines: 9, Applications: 3, Callers: 24,
	}
}

// Report is what a run found.
type Report struct {
	Seed uint64
	// Broken lists the promises that were broken, empty in a good run.
	Broken []string
	// Requests counts what callers sent by outcome, Faults what was done by kind.
	Requests map[string]int
	Faults   map[string]int
	// Schedule lists the faults in order.
	Schedule []string
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
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
	plan.play(ctx, options.Faulty)
	plan.mend()
	select {
	case <-time.After(options.Calm):
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
		Seed: options.Seed, Requests: book.counts(), Faults: plan.counts, Schedule: plan.log,
		Broken: book.check(s.fleet.ExecutionLog, s.revocations()),
	}
	s.mu.Lock()
	report.Broken = append(report.Broken, s.unclean...)
	s.mu.Unlock()
	slices.Sort(report.Broken)
	return report, ctx.Err()
}

// recoveryWindow is how long callers are watched after everything was mended. The
// requests of its first half have time to end.
const recoveryWindow = 4 * time.Second
