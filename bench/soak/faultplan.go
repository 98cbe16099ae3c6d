package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Bounds of the interval between two faults and of the duration of a fault. Most
// faults last longer than the interval, so that they overlap.
const (
	minFaultInterval = 80 * time.Millisecond
	maxFaultInterval = 700 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// fault is one type of fault. inject returns a function that reverts the fault, to be
// called when its duration has passed, or nil if there is nothing to revert.
type fault struct {
	name   string
	inject func(p *faultPlan) (revert func())
}

// faultPlan chooses the faults of a run at random and injects them.
type faultPlan struct {
	deployment *deployment
	random     *rand.Rand
	counts     map[string]int
	log        []string
	// pending holds the faults that are not reverted yet, numbered in order of injection.
	pending     map[int]pendingRevert
	nextPending int
}

type pendingRevert struct {
	at     time.Time
	revert func()
}

func newFaultPlan(d *deployment, random *rand.Rand) *faultPlan {
	return &faultPlan{deployment: d, random: random, counts: map[string]int{}, pending: map[int]pendingRevert{}}
}

func (p *faultPlan) randomEntry() *process {
	return p.deployment.entries[p.random.IntN(len(p.deployment.entries))]
}

func (p *faultPlan) randomEndpoint() *endpoint {
	return p.deployment.endpoints[p.random.IntN(len(p.deployment.endpoints))]
}

func (p *faultPlan) randomDuration() time.Duration {
	return minFaultDuration + time.Duration(p.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// run injects faults until total has passed.
func (p *faultPlan) run(ctx context.Context, total time.Duration) {
	start := time.Now()
	for time.Since(start) < total && ctx.Err() == nil {
		chosen := faults[p.random.IntN(len(faults))]
		duration := p.randomDuration()
		p.counts[chosen.name]++
		p.log = append(p.log, fmt.Sprintf("%.2f %s for %.2f", time.Since(start).Seconds(), chosen.name, duration.Seconds()))
		if revert := chosen.inject(p); revert != nil {
			p.pending[p.nextPending] = pendingRevert{time.Now().Add(duration), revert}
			p.nextPending++
		}
		interval := minFaultInterval + time.Duration(p.random.Int64N(int64(maxFaultInterval-minFaultInterval)))
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
		p.revertDue(time.Now())
	}
}

func (p *faultPlan) revertDue(now time.Time) {
	for i := range p.nextPending {
		if d, ok := p.pending[i]; ok && !now.Before(d.at) {
			d.revert()
			delete(p.pending, i)
		}
	}
}

// revertAll reverts all faults.
func (p *faultPlan) revertAll() { p.revertDue(time.Now().Add(time.Hour)) }

// faults lists all types of faults.
var faults = []fault{
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
	{"store-compacts", func(p *faultPlan) func() { p.deployment.store.Compact(p.deployment.store.Revision()); return nil }},
	{"leases-lapse", func(p *faultPlan) func() { p.deployment.store.ExpireLeases(); return nil }},
	{"store-cut", func(p *faultPlan) func() {
		e := p.randomEntry()
		e.storeRelay.SetFaults(network.TCPFaults{HoldBothDirections: true})
		return func() { e.storeRelay.SetFaults(network.TCPFaults{}) }
	}},
	{"store-one-way", func(p *faultPlan) func() {
		e := p.randomEntry()
		e.storeRelay.SetFaults(network.TCPFaults{HoldResponses: true})
		return func() { e.storeRelay.SetFaults(network.TCPFaults{}) }
	}},
	{"store-reset", func(p *faultPlan) func() { p.randomEntry().storeRelay.ResetConnections(); return nil }},
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
	{"target-reset", func(p *faultPlan) func() { p.randomEndpoint().relay.ResetConnections(); return nil }},
	{"drain", func(p *faultPlan) func() {
		e := p.randomEndpoint()
		drained := e.current
		key := platform.TargetPrefix + drained.Config().ID
		p.deployment.store.Put(key, drained.RegistrationValue("draining"))
		return func() {
			if e.current == drained {
				p.deployment.store.Delete(key)
				drained.Crash()
				p.restartTarget(e)
			}
		}
	}},
	{"rotate-key", func(p *faultPlan) func() { p.deployment.rotateKey(); return nil }},
	{"add-route", func(p *faultPlan) func() { p.deployment.addRoute(); return nil }},
}

func storeFault(f kv.Faults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() {
		seeded := f
		seeded.Seed = p.random.Uint64()
		p.deployment.store.SetFaults(seeded)
		return func() { p.deployment.store.SetFaults(kv.Faults{}) }
	}
}

func targetFault(f replica.Faults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() {
		current := p.randomEndpoint().current
		current.SetFaults(f)
		return func() { current.SetFaults(replica.Faults{}) }
	}
}

func relayFault(f network.TCPFaults) func(p *faultPlan) func() {
	return func(p *faultPlan) func() {
		relay := p.randomEndpoint().relay
		relay.SetFaults(f)
		return func() { relay.SetFaults(network.TCPFaults{}) }
	}
}

// crash ends a target without deregistering it. The returned function starts its
// successor at the same address and then removes the old registration.
func (p *faultPlan) crash(e *endpoint) func() {
	crashed := e.current
	crashed.Crash()
	return func() {
		if e.current == crashed {
			p.restartTarget(e)
			p.deployment.store.Delete(platform.TargetPrefix + crashed.Config().ID)
		}
	}
}

func (p *faultPlan) restartTarget(e *endpoint) {
	if err := p.deployment.startTarget(e); err != nil {
		p.log = append(p.log, "no next life: "+err.Error())
	}
}
