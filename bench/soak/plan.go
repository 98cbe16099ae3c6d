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

// between bounds the pause between two faults; most last longer, so that they
// overlap.
const (
	leastBetween = 80 * time.Millisecond
	mostBetween  = 700 * time.Millisecond
	leastLasting = 200 * time.Millisecond
	mostLasting  = 4 * time.Second
)

// fault is one kind of trouble. It returns what mends it, which is called after a
// while, or nil.
type fault struct {
	name  string
	begin func(p *plan) (mend func())
}

// plan draws and carries out the faults of a run.
type plan struct {
	site   *site
	random *rand.Rand
	counts map[string]int
	log    []string
	// mends holds what is still to be mended, by when.
	mends map[int]due
	next  int
}

type due struct {
	at   time.Time
	mend func()
}

func newPlan(s *site, random *rand.Rand) *plan {
	return &plan{site: s, random: random, counts: map[string]int{}, mends: map[int]due{}}
}

func (p *plan) entry() *process { return p.site.entries[p.random.IntN(len(p.site.entries))] }

func (p *plan) place() *place { return p.site.places[p.random.IntN(len(p.site.places))] }

func (p *plan) lasting() time.Duration {
	return leastLasting + time.Duration(p.random.Int64N(int64(mostLasting-leastLasting)))
}

// play brings faults about for a time.
func (p *plan) play(ctx context.Context, faulty time.Duration) {
	begun := time.Now()
	for time.Since(begun) < faulty && ctx.Err() == nil {
		chosen := faults[p.random.IntN(len(faults))]
		until := p.lasting()
		p.counts[chosen.name]++
		p.log = append(p.log, fmt.Sprintf("%.2f %s for %.2f", time.Since(begun).Seconds(), chosen.name, until.Seconds()))
		if mend := chosen.begin(p); mend != nil {
			p.mends[p.next] = due{time.Now().Add(until), mend}
			p.next++
		}
		pause := leastBetween + time.Duration(p.random.Int64N(int64(mostBetween-leastBetween)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		p.mendDue(time.Now())
	}
}

func (p *plan) mendDue(now time.Time) {
	for i := range p.next {
		if d, ok := p.mends[i]; ok && !now.Before(d.at) {
			d.mend()
			delete(p.mends, i)
		}
	}
}

// mend ends all faults.
func (p *plan) mend() { p.mendDue(time.Now().Add(time.Hour)) }

// faults lists every kind of trouble.
var faults = []fault{
	{"kill", func(p *plan) func() { p.entry().signal(syscall.SIGKILL); return nil }},
	{"kill-all", func(p *plan) func() {
		for _, e := range p.site.entries {
			e.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"stop", func(p *plan) func() { p.entry().signal(syscall.SIGTERM); return nil }},
	{"pause", func(p *plan) func() {
		e := p.entry()
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT) }
	}},
	{"reload", func(p *plan) func() { p.entry().signal(syscall.SIGHUP); return nil }},
	{"store-outage", storeFault(kv.Faults{Outage: true})},
	{"store-silent", storeFault(kv.Faults{Silent: true})},
	{"store-slow", storeFault(kv.Faults{Delay: 200 * time.Millisecond})},
	{"store-loses-answers", storeFault(kv.Faults{ResponseLossRate: 0.5, WriteLossRate: 0.2})},
	{"store-compacts", func(p *plan) func() { p.site.store.Compact(p.site.store.Revision()); return nil }},
	{"leases-lapse", func(p *plan) func() { p.site.store.ExpireLeases(); return nil }},
	{"store-cut", func(p *plan) func() {
		e := p.entry()
		e.toStore.SetFaults(network.TCPFaults{HoldBothDirections: true})
		return func() { e.toStore.SetFaults(network.TCPFaults{}) }
	}},
	{"store-one-way", func(p *plan) func() {
		e := p.entry()
		e.toStore.SetFaults(network.TCPFaults{HoldResponses: true})
		return func() { e.toStore.SetFaults(network.TCPFaults{}) }
	}},
	{"store-reset", func(p *plan) func() { p.entry().toStore.ResetConnections(); return nil }},
	{"crash", func(p *plan) func() { return p.crash(p.place()) }},
	{"crash-domain", func(p *plan) func() {
		zone := p.place().zone
		var mends []func()
		for _, place := range p.site.places {
			if place.zone == zone && place.service == "writer" {
				mends = append(mends, p.crash(place))
			}
		}
		return func() {
			for _, mend := range mends {
				mend()
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
	{"target-reset", func(p *plan) func() { p.place().relay.ResetConnections(); return nil }},
	{"drain", func(p *plan) func() {
		place := p.place()
		drained := place.current
		key := platform.TargetPrefix + drained.Config().ID
		p.site.store.Put(key, drained.RegistrationValue("draining"))
		return func() {
			if place.current == drained {
				p.site.store.Delete(key)
				drained.Crash()
				p.rebear(place)
			}
		}
	}},
	{"rotate-key", func(p *plan) func() { p.site.rotateKey(); return nil }},
	{"add-route", func(p *plan) func() { p.site.addRoute(); return nil }},
}

func storeFault(f kv.Faults) func(p *plan) func() {
	return func(p *plan) func() {
		f.Seed = p.random.Uint64()
		p.site.store.SetFaults(f)
		return func() { p.site.store.SetFaults(kv.Faults{}) }
	}
}

func targetFault(f replica.Faults) func(p *plan) func() {
	return func(p *plan) func() {
		current := p.place().current
		current.SetFaults(f)
		return func() { current.SetFaults(replica.Faults{}) }
	}
}

func relayFault(f network.TCPFaults) func(p *plan) func() {
	return func(p *plan) func() {
		relay := p.place().relay
		relay.SetFaults(f)
		return func() { relay.SetFaults(network.TCPFaults{}) }
	}
}

// crash ends a target; its next life comes later at the same address, and the
// registration of the one before goes then.
func (p *plan) crash(place *place) func() {
	crashed := place.current
	crashed.Crash()
	return func() {
		if place.current == crashed {
			p.rebear(place)
			p.site.store.Delete(platform.TargetPrefix + crashed.Config().ID)
		}
	}
}

func (p *plan) rebear(place *place) {
	if err := p.site.bear(place); err != nil {
		p.log = append(p.log, "no next life: "+err.Error())
	}
}
