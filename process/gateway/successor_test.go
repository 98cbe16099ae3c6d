package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// restart starts the next life of a target, which the store does not hear of.
func (s *site) restart(old *replica.Replica, id, service string) *replica.Replica {
	s.t.Helper()
	config := old.Config()
	config.ID, config.Service = id, service
	config.Incarnation++
	r, err := s.fleet.Start(config)
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Crash)
	return r
}

func (g *Gateway) knows(id request.TargetID) bool {
	known := false
	g.control.do(func() { known = g.control.table.Get(id) != nil })
	return known
}

// All engines crash in the middle of an outage of the store and start anew.
func TestNextLifeOfATargetServesWhileTheStoreIsAway(t *testing.T) {
	s := newSite(t)
	old := s.engine("e1", "naxos")
	first, second := s.entry("entry-1"), s.entry("entry-2")
	s.eventually(func() bool { return len(s.items(platform.EntryPrefix)) == 2 })
	time.Sleep(pollInterval + updateInterval)
	a := report()
	s.open(context.Background(), first, a).events(t, a.AttemptID, 0)
	s.store.SetFaults(kv.Faults{Outage: true})
	a = report()
	r := s.open(context.Background(), first, a)
	r.skip(t, 5)
	old.Crash()
	s.restart(old, "e2", "writer")
	for _, g := range []*Gateway{first, second} {
		s.within(reuseOfAddresses, func() bool { return g.knows("e2") })
	}
	r.events(t, a.AttemptID, 5)
	a = report()
	s.open(context.Background(), second, a).events(t, a.AttemptID, 0)

	// The store does not know it two seconds after its return: it is gone.
	s.store.SetFaults(kv.Faults{})
	s.store.Delete(platform.TargetPrefix + "e1")
	s.within(registry.LeaseExpiryGrace+applyWithin, func() bool { return !first.knows("e2") && !second.knows("e2") })
}

// reuseOfAddresses is for how long an address stays with its service on both
// deployments.
const reuseOfAddresses = 2 * time.Second

// What answers at an address later than that may belong to another service.
func TestTargetThatAppearsLateAtAnAddressIsNotUsed(t *testing.T) {
	s := newSite(t)
	old := s.application("a1", "naxos")
	g := s.entry("entry-1")
	assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
	s.store.SetFaults(kv.Faults{Outage: true})
	old.Crash()
	s.send(g, booking())
	time.Sleep(reuseOfAddresses)
	s.restart(old, "b1", "writer")
	time.Sleep(2 * successorProbeInterval)
	assert.Assert(t, !g.knows("b1"))
}

// A target that this entry never heard may have ended before its address was given away.
func TestTargetThatWasNeverHeardHasNoNextLife(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	old := s.engine("e2", "paros")
	g := s.entry("entry-1")
	s.store.SetFaults(kv.Faults{Outage: true})
	s.eventually(func() bool {
		away := false
		g.control.do(func() { away = g.control.registry.StoreUnavailable() })
		return away
	})
	old.Crash()
	g.control.do(func() {
		a := &attempt{target: g.control.table.Get("e2").Registration}
		g.control.addAttempt(a)
		g.control.removeAttempt(a)
		g.control.markDown("e2", "test")
	})
	s.restart(old, "e3", "writer")
	time.Sleep(4 * successorProbeInterval)
	assert.Assert(t, !g.knows("e3"))
}

// The address of an engine is given to an application sooner than it should be.
func TestTargetOfAnotherKindIsNoNextLife(t *testing.T) {
	s := newSite(t)
	old := s.engine("e1", "naxos")
	g := s.entry("entry-1")
	s.store.SetFaults(kv.Faults{Outage: true})
	a := report()
	r := s.open(context.Background(), g, a)
	r.skip(t, 5)
	config := old.Config()
	old.Crash()
	s.within(reuseOfAddresses/2, func() bool {
		lost := false
		g.control.do(func() { lost = g.control.table.Get("e1").AwaitingProbe() })
		return lost
	})
	other, err := s.fleet.Start(replica.Config{ID: "b1", Service: "bookings", Address: config.Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	time.Sleep(4 * successorProbeInterval)
	assert.Assert(t, !g.knows("b1"))
}
