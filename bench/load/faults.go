package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// InterruptedGeneration is a generation that was active on an engine when a fault
// affected the engine.
type InterruptedGeneration struct {
	Target string
	Record engine.GenerationRecord
}

// FaultEvent is one injected fault.
type FaultEvent struct {
	At   time.Time
	Type experiment.FaultType
	// Targets and Entries identify the affected targets and entries.
	Targets     []string
	Entries     []int
	Interrupted []InterruptedGeneration
	// Until is when the fault ended, or zero if it did not end.
	Until time.Time
}

// affectedTargets returns the indexes of the targets that a fault affects. DomainLoss
// affects all targets of its failure domain; for other faults the targets are drawn from
// the seed, so that they are the same under every variant.
func affectedTargets(e *experiment.Experiment, f experiment.Fault, deployment experiment.Deployment) []int {
	if f.Type == experiment.DomainLoss {
		return indexesInDomain(deployment, f.Domain, deployment.Replicas)
	}
	random := rand.New(rand.NewPCG(e.Seed, uint64(f.At)))
	return random.Perm(deployment.Replicas)[:min(max(1, f.Count), deployment.Replicas)]
}

// indexesInDomain returns the indexes below n that belong to a failure domain.
func indexesInDomain(deployment experiment.Deployment, domain string, n int) []int {
	var indexes []int
	for i := range n {
		if deployment.Domains[i%len(deployment.Domains)] == domain {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (r *runner) scheduleFaults(ctx context.Context) {
	for _, f := range r.experiment.Faults {
		r.faults.Go(func() {
			if sleepUntil(ctx, r.run.Start.Add(f.At.Std())) {
				r.injectFault(ctx, f)
			}
		})
	}
}

func (r *runner) injectFault(ctx context.Context, f experiment.Fault) {
	deployment := r.experiment.ResolveDeployment()
	switch f.Type {
	case experiment.EngineDeath:
		r.injectEngineFault(f.Type, affectedTargets(r.experiment, f, deployment), func(_ int, m *fleet.Member) { m.Engine.Kill() })
	case experiment.HostSilent:
		r.injectEngineFault(f.Type, affectedTargets(r.experiment, f, deployment), func(i int, _ *fleet.Member) { r.fleet.SilenceHost(i, true) })
	case experiment.PauseReturn:
		r.pauseEngines(ctx, f, affectedTargets(r.experiment, f, deployment))
	case experiment.DomainLoss:
		r.failDomain(f, deployment)
	case experiment.RollingRestart:
		r.restartAll(ctx, f, affectedTargets(r.experiment, f, deployment))
	case experiment.StoreOutage:
		r.causeStoreOutage(ctx, f)
	case experiment.EntryDeath:
		r.killEntries(f, deployment)
	}
}

// injectEngineFault calls inject for each of the members at indexes, one directly
// after the other, and records the generations active on each. It returns the index
// of the fault event.
func (r *runner) injectEngineFault(faultType experiment.FaultType, indexes []int, inject func(int, *fleet.Member)) int {
	members := r.fleet.CurrentMembers()
	event := FaultEvent{At: time.Now(), Type: faultType}
	for _, i := range indexes {
		m := members[i]
		inject(i, m)
		event.Targets = append(event.Targets, string(m.Placement.Target))
		for _, record := range m.Engine.ActiveRecords() {
			event.Interrupted = append(event.Interrupted, InterruptedGeneration{Target: string(m.Placement.Target), Record: record})
		}
	}
	return r.addFaultEvent(event)
}

// addFaultEvent records a fault event and returns its index.
func (r *runner) addFaultEvent(event FaultEvent) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents = append(r.run.FaultEvents, event)
	return len(r.run.FaultEvents) - 1
}

func (r *runner) endFaultEvent(eventIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents[eventIndex].Until = time.Now()
}

func (r *runner) pauseEngines(ctx context.Context, f experiment.Fault, indexes []int) {
	eventIndex := r.injectEngineFault(f.Type, indexes, func(_ int, m *fleet.Member) { m.Engine.SetFaults(engine.Faults{Pause: true}) })
	sleepUntil(ctx, time.Now().Add(f.Duration.Std()))
	members := r.fleet.CurrentMembers()
	for _, i := range indexes {
		members[i].Engine.SetFaults(engine.Faults{})
	}
	r.endFaultEvent(eventIndex)
}

func (r *runner) failDomain(f experiment.Fault, deployment experiment.Deployment) {
	entries := indexesInDomain(deployment, f.Domain, len(r.entries))
	for _, i := range entries {
		r.entries[i].down.Store(true)
		go r.entries[i].kill()
	}
	eventIndex := r.injectEngineFault(f.Type, affectedTargets(r.experiment, f, deployment), func(i int, _ *fleet.Member) { r.fleet.SilenceHost(i, true) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents[eventIndex].Entries = entries
}

func (r *runner) killEntries(f experiment.Fault, deployment experiment.Deployment) {
	event := FaultEvent{At: time.Now(), Type: f.Type}
	random := rand.New(rand.NewPCG(r.experiment.Seed, uint64(f.At)))
	for _, i := range random.Perm(deployment.Entries)[:min(max(1, f.Count), deployment.Entries-1)] {
		r.entries[i].down.Store(true)
		r.entries[i].kill()
		event.Entries = append(event.Entries, i)
	}
	r.addFaultEvent(event)
}

func (r *runner) causeStoreOutage(ctx context.Context, f experiment.Fault) {
	eventIndex := r.addFaultEvent(FaultEvent{At: time.Now(), Type: f.Type})
	r.fleet.SetStoreOutage(true)
	sleepUntil(ctx, time.Now().Add(f.Duration.Std()))
	r.fleet.SetStoreOutage(false)
	r.endFaultEvent(eventIndex)
}

// restartAll drains and restarts the targets in batches of f.Concurrency.
func (r *runner) restartAll(ctx context.Context, f experiment.Fault, indexes []int) {
	var group sync.WaitGroup
	for batch := range slices.Chunk(indexes, max(1, f.Concurrency)) {
		for _, i := range batch {
			group.Go(func() { r.restart(ctx, f, i) })
		}
		group.Wait()
	}
}

func (r *runner) restart(ctx context.Context, f experiment.Fault, i int) {
	if ctx.Err() != nil {
		return
	}
	old := r.fleet.CurrentMembers()[i]
	drainStarted := time.Now()
	eventIndex := r.addFaultEvent(FaultEvent{At: drainStarted, Type: f.Type, Targets: []string{string(old.Placement.Target)}})
	if _, err := r.fleet.Restart(ctx, i); err != nil {
		return
	}
	r.addEngineRecords(drainStarted, old)
	r.endFaultEvent(eventIndex)
}
