package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Bounds of the duration of a fault. Most faults last longer than the interval between two
// of them, so that they overlap.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// fault is one type of fault. inject returns a function that reverts the fault, to be
// called when its duration has passed, or nil if there is nothing to revert.
type fault struct {
	name   string
	inject func(p *faultPlan) (revert func())
}

// faultList lists faults from which a plan chooses, and bounds the interval between two.
type faultList struct {
	minInterval, maxInterval time.Duration
	faults                   []fault
}

// faultPlan chooses faults from a list at random and injects them.
type faultPlan struct {
	deployment *deployment
	list       faultList
	random     *rand.Rand
	schedule   *schedule
	nextFault  time.Time
	// pending holds what is still to be done, numbered in order of injection.
	pending     map[int]pendingAction
	nextPending int
}

// schedule records the faults that the plans of a run have injected.
type schedule struct {
	start time.Time

	mu     sync.Mutex
	counts map[string]int
	log    []string
}

// add records a fault that begins now.
func (s *schedule) add(name string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	s.log = append(s.log, fmt.Sprintf("%.2f %s for %.2f", time.Since(s.start).Seconds(), name, duration.Seconds()))
}

// count counts a variant of a fault.
func (s *schedule) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

type pendingAction struct {
	at     time.Time
	action func()
}

func newFaultPlan(d *deployment, list faultList, random *rand.Rand, s *schedule) *faultPlan {
	return &faultPlan{deployment: d, list: list, random: random, schedule: s, pending: map[int]pendingAction{}}
}

func (p *faultPlan) randomEntry() *process {
	return p.deployment.entries[p.random.IntN(len(p.deployment.entries))]
}

func (p *faultPlan) randomEndpoint() *endpoint {
	return p.deployment.endpoints[p.random.IntN(len(p.deployment.endpoints))]
}

func (p *faultPlan) randomDuration() time.Duration {
	return randomBetween(p.random, minFaultDuration, maxFaultDuration)
}

func randomBetween(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// after does something when a delay has passed, or when the plan ends.
func (p *faultPlan) after(delay time.Duration, action func()) {
	p.pending[p.nextPending] = pendingAction{time.Now().Add(delay), action}
	p.nextPending++
}

// runPlans injects faults by several plans until total has passed, then reverts them.
func runPlans(ctx context.Context, total time.Duration, plans ...*faultPlan) {
	end := time.Now().Add(total)
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		next := end
		for _, p := range plans {
			if due := p.step(now); due.Before(next) {
				next = due
			}
		}
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
	}
	for _, p := range plans {
		p.doDue(time.Now().Add(time.Hour))
	}
}

// step does what is due and returns when something is due next.
func (p *faultPlan) step(now time.Time) time.Time {
	p.doDue(now)
	if !now.Before(p.nextFault) {
		p.inject(now)
	}
	next := p.nextFault
	for _, a := range p.pending {
		if a.at.Before(next) {
			next = a.at
		}
	}
	return next
}

func (p *faultPlan) inject(now time.Time) {
	chosen := p.list.faults[p.random.IntN(len(p.list.faults))]
	duration := p.randomDuration()
	p.schedule.add(chosen.name, duration)
	if revert := chosen.inject(p); revert != nil {
		p.after(duration, revert)
	}
	p.nextFault = now.Add(randomBetween(p.random, p.list.minInterval, p.list.maxInterval))
}

// doDue does what is due, in the order of injection.
func (p *faultPlan) doDue(now time.Time) {
	for i := range p.nextPending {
		if a, ok := p.pending[i]; ok && !now.Before(a.at) {
			delete(p.pending, i)
			a.action()
		}
	}
}

// basicFaults lists the faults of the platform, the links and the targets.
var basicFaults = faultList{80 * time.Millisecond, 700 * time.Millisecond, []fault{
	{"kill", func(p *faultPlan) func() { p.randomEntry().signal(syscall.SIGKILL); return nil }},
	{"kill-all", func(p *faultPlan) func() {
		for _, e := range p.deployment.entries {
			e.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"stop", func(p *faultPlan) func() { p.randomEntry().signal(syscall.SIGTERM); return nil }},
	{"pause", func(p *faultPlan) func() {
		e := p.randomEntry()
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT) }
	}},
	{"reload", func(p *faultPlan) func() { p.randomEntry().signal(syscall.SIGHUP); return nil }},
	{"store-outage", storeFault(kv.Faults{Outage: true})},
	{"store-silent", storeFault(kv.Faults{Silent: true})},
	{"store-slow", storeFault(kv.Faults{Delay: 200 * time.Millisecond})},
	{"store-loses-answers", storeFault(kv.Faults{ResponseLossRate: 0.5, WriteLossRate: 0.2})},
	{"store-compacts", func(p *faultPlan) func() {
		p.deployment.storeDisruptions.add(storeFaulty)
		p.deployment.store.Compact(p.deployment.store.Revision())
		return nil
	}},
	{"leases-lapse", func(p *faultPlan) func() {
		p.deployment.storeDisruptions.add(storeFaulty)
		p.deployment.store.ExpireLeases()
		return nil
	}},
	{"store-cut", func(p *faultPlan) func() {
		return cutStore(p.randomEntry(), network.TCPFaults{HoldBothDirections: true})
	}},
	{"store-one-way", func(p *faultPlan) func() {
		return cutStore(p.randomEntry(), network.TCPFaults{HoldResponses: true})
	}},
	{"store-reset", func(p *faultPlan) func() {
		e := p.randomEntry()
		e.disruptions.add(storeCut)
		e.storeRelay.ResetConnections()
		return nil
	}},
	{"crash", func(p *faultPlan) func() { return p.crash(p.randomEndpoint()) }},
	{"crash-domain", func(p *faultPlan) func() {
		domain := p.randomEndpoint().failureDomain
		var reverts []func()
		for _, e := range p.deployment.endpoints {
			if e.failureDomain == domain && e.service == "writer" {
				reverts = append(reverts, p.crash(e))
			}
		}
		return func() {
			for _, revert := range reverts {
				revert()
			}
		}
	}},
	{"target-silent", targetFault(replica.Faults{Silent: true})},
	{"target-full", targetFault(replica.Faults{RejectRequests: true})},
	{"target-fails", targetFault(replica.Faults{RespondWithError: true, TruncateStreamAfter: 7})},
	{"target-loses-answers", targetFault(replica.Faults{DropResponses: true, TruncateStreamAfter: 11})},
	{"target-unsigned", targetFault(replica.Faults{OmitSignature: true})},
	{"target-crossed", targetFault(replica.Faults{WrongAttemptID: true})},
	{"target-extra", targetFault(replica.Faults{TrailingBytes: true})},
	{"target-without-copies", targetFault(replica.Faults{DisableKVCopies: true})},
	{"target-cut", relayFault(network.TCPFaults{HoldBothDirections: true})},
	{"target-one-way", relayFault(network.TCPFaults{HoldResponses: true})},
	{"target-delayed", relayFault(network.TCPFaults{Delay: 60 * time.Millisecond})},
	{"target-reset", func(p *faultPlan) func() {
		e := p.randomEndpoint()
		e.disruptions.add(linkFault)
		e.relay.ResetConnections()
		return nil
	}},
	{"drain", func(p *faultPlan) func() {
		e := p.randomEndpoint()
		drained := e.target()
		key := platform.TargetPrefix + drained.Config().ID
		p.deployment.put(key, drained.RegistrationValue("draining"))
		return func() {
			p.deployment.remove(key)
			e.end(drained)
			p.startSuccessor(e, drained)
		}
	}},
	{"rotate-key", func(p *faultPlan) func() { p.deployment.rotateKey(); return nil }},
	{"add-route", func(p *faultPlan) func() { p.deployment.addRoute(); return nil }},
}}

func storeFault(f kv.Faults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() {
		seeded := f
		seeded.Seed = p.random.Uint64()
		end := p.deployment.storeDisruptions.begin(storeFaulty)
		p.deployment.store.SetFaults(seeded)
		return func() {
			p.deployment.store.SetFaults(kv.Faults{})
			end()
		}
	}
}

func cutStore(e *process, f network.TCPFaults) func() {
	end := e.disruptions.begin(storeCut)
	e.setStoreFaults(f)
	return func() {
		e.setStoreFaults(network.TCPFaults{})
		end()
	}
}

func targetFault(f replica.Faults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() {
		e := p.randomEndpoint()
		current := e.target()
		e.setFaults(current, f)
		return func() { e.setFaults(current, replica.Faults{}) }
	}
}

func relayFault(f network.TCPFaults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() { return holdRelay(p.randomEndpoint(), f) }
}

func holdRelay(e *endpoint, f network.TCPFaults) func() {
	end := e.disruptions.begin(linkFault)
	e.relay.SetFaults(f)
	return func() {
		e.relay.SetFaults(network.TCPFaults{})
		end()
	}
}

// crash ends a target without deregistering it. The returned function starts its
// successor at the same address and then removes the old registration.
func (p *faultPlan) crash(e *endpoint) func() {
	crashed := e.target()
	e.end(crashed)
	return func() {
		p.startSuccessor(e, crashed)
		p.deployment.remove(platform.TargetPrefix + crashed.Config().ID)
	}
}

func (p *faultPlan) startSuccessor(e *endpoint, previous *replica.Replica) {
	if err := p.deployment.startSuccessor(e, previous); err != nil {
		p.deployment.addFailure("%s has no successor: %v", previous.Config().ID, err)
	}
}
