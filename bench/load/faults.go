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

// InterruptedGeneration is a generation that was on an engine when a fault struck it.
type InterruptedGeneration struct {
	Target string
	Record engine.GenerationRecord
}

// FaultEvent is one fault that happened.
type FaultEvent struct {
	At   time.Time
	Type experiment.FaultType
	// Targets and Entries name the parts that it struck.
	Targets     []string
	Entries     []int
	Interrupted []InterruptedGeneration
	// Until is when it was over, or zero.
	Until time.Time
}

// victims returns the places of the targets that a fault strikes. The seed
// decides, so they are the same under every variant.
func victims(e *experiment.Experiment, f experiment.Fault, place experiment.Deployment) []int {
	if f.Type == experiment.DomainLoss {
		return inDomain(place, f.Domain, place.Replicas)
	}
	random := rand.New(rand.NewPCG(e.Seed, uint64(f.At)))
	return random.Perm(place.Replicas)[:min(max(1, f.Count), place.Replicas)]
}

// inDomain lists the places below n that are in a failure domain.
func inDomain(place experiment.Deployment, domain string, n int) []int {
	var list []int
	for i := range n {
		if place.Domains[i%len(place.Domains)] == domain {
			list = append(list, i)
		}
	}
	return list
}

func (r *runner) scheduleFaults(ctx context.Context) {
	for _, f := range r.e.Faults {
		r.faults.Go(func() {
			if sleepUntil(ctx, r.run.Start.Add(f.At.Std())) {
				r.strike(ctx, f)
			}
		})
	}
}

func (r *runner) strike(ctx context.Context, f experiment.Fault) {
	place := r.e.ResolveDeployment()
	switch f.Type {
	case experiment.EngineDeath:
		r.stopEngines(f.Type, victims(r.e, f, place), func(_ int, m *fleet.Member) { m.Engine.Kill() })
	case experiment.HostSilent:
		r.stopEngines(f.Type, victims(r.e, f, place), func(i int, _ *fleet.Member) { r.fleet.SilenceHost(i, true) })
	case experiment.PauseReturn:
		r.pause(ctx, f, victims(r.e, f, place))
	case experiment.DomainLoss:
		r.loseDomain(f, place)
	case experiment.RollingRestart:
		r.restartAll(ctx, f, victims(r.e, f, place))
	case experiment.StoreOutage:
		r.storeOutage(ctx, f)
	case experiment.EntryDeath:
		r.killEntries(f, place)
	}
}

// stopEngines strikes the engines one right after the other and notes what was
// on each.
func (r *runner) stopEngines(kind experiment.FaultType, places []int, stop func(int, *fleet.Member)) int {
	members := r.fleet.CurrentMembers()
	strike := FaultEvent{At: time.Now(), Type: kind}
	for _, i := range places {
		m := members[i]
		stop(i, m)
		strike.Targets = append(strike.Targets, string(m.Placement.Target))
		for _, record := range m.Engine.ActiveRecords() {
			strike.Interrupted = append(strike.Interrupted, InterruptedGeneration{Target: string(m.Placement.Target), Record: record})
		}
	}
	return r.addStrike(strike)
}

// addStrike returns the index of the strike.
func (r *runner) addStrike(strike FaultEvent) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents = append(r.run.FaultEvents, strike)
	return len(r.run.FaultEvents) - 1
}

func (r *runner) endStrike(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents[index].Until = time.Now()
}

func (r *runner) pause(ctx context.Context, f experiment.Fault, places []int) {
	index := r.stopEngines(f.Type, places, func(_ int, m *fleet.Member) { m.Engine.SetFaults(engine.Faults{Pause: true}) })
	sleepUntil(ctx, time.Now().Add(f.Duration.Std()))
	members := r.fleet.CurrentMembers()
	for _, i := range places {
		members[i].Engine.SetFaults(engine.Faults{})
	}
	r.endStrike(index)
}

func (r *runner) loseDomain(f experiment.Fault, place experiment.Deployment) {
	entries := inDomain(place, f.Domain, len(r.entries))
	for _, i := range entries {
		r.entries[i].dead.Store(true)
		go r.entries[i].kill()
	}
	index := r.stopEngines(f.Type, victims(r.e, f, place), func(i int, _ *fleet.Member) { r.fleet.SilenceHost(i, true) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run.FaultEvents[index].Entries = entries
}

func (r *runner) killEntries(f experiment.Fault, place experiment.Deployment) {
	strike := FaultEvent{At: time.Now(), Type: f.Type}
	random := rand.New(rand.NewPCG(r.e.Seed, uint64(f.At)))
	for _, i := range random.Perm(place.Entries)[:min(max(1, f.Count), place.Entries-1)] {
		r.entries[i].dead.Store(true)
		r.entries[i].kill()
		strike.Entries = append(strike.Entries, i)
	}
	r.addStrike(strike)
}

func (r *runner) storeOutage(ctx context.Context, f experiment.Fault) {
	index := r.addStrike(FaultEvent{At: time.Now(), Type: f.Type})
	r.fleet.SetStoreOutage(true)
	sleepUntil(ctx, time.Now().Add(f.Duration.Std()))
	r.fleet.SetStoreOutage(false)
	r.endStrike(index)
}

// restartAll restarts the targets as planned, a few at a time.
func (r *runner) restartAll(ctx context.Context, f experiment.Fault, places []int) {
	var group sync.WaitGroup
	for batch := range slices.Chunk(places, max(1, f.Concurrency)) {
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
	leaving := time.Now()
	index := r.addStrike(FaultEvent{At: leaving, Type: f.Type, Targets: []string{string(old.Placement.Target)}})
	if _, err := r.fleet.Restart(ctx, i); err != nil {
		return
	}
	r.account(leaving, old)
	r.endStrike(index)
}
