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

// restart starts the successor of a target without registering it in the store.
func (d *deployment) restart(previous *replica.Replica, id, service string) *replica.Replica {
	d.t.Helper()
	config := previous.Config()
	config.ID, config.Service = id, service
	config.Incarnation++
	r, err := d.fleet.Start(config)
	assert.NilError(d.t, err)
	d.t.Cleanup(r.Crash)
	return r
}

func (g *Gateway) knowsTarget(id request.TargetID) bool {
	found := false
	g.control.do(func() { found = g.control.table.Get(id) != nil })
	return found
}

// All engines crash and restart during a store outage.
func TestStoreOutage_AdoptsRestartedTarget(t *testing.T) {
	d := newDeployment(t)
	previous := d.startEngine("e1", "naxos")
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitUntil(func() bool { return len(d.storeValues(platform.EntryPrefix)) == 2 })
	time.Sleep(pollInterval + updateInterval)
	req := streamRequest()
	d.openStream(context.Background(), first, req).expectRest(t, req.AttemptID, 0)
	d.store.SetFaults(kv.Faults{Outage: true})
	req = streamRequest()
	r := d.openStream(context.Background(), first, req)
	r.skipTo(t, 5)
	previous.Crash()
	d.restart(previous, "e2", "writer")
	for _, g := range []*Gateway{first, second} {
		d.waitWithin(addressReuse, func() bool { return g.knowsTarget("e2") })
	}
	r.expectRest(t, req.AttemptID, 5)
	req = streamRequest()
	d.openStream(context.Background(), second, req).expectRest(t, req.AttemptID, 0)

	// The store still does not list the successor two seconds after the outage, so it
	// is removed.
	d.store.SetFaults(kv.Faults{})
	d.store.Delete(platform.TargetPrefix + "e1")
	d.waitWithin(registry.LeaseExpiryGrace+applyTimeout, func() bool { return !first.knowsTarget("e2") && !second.knowsTarget("e2") })
}

// What the previous target announced does not keep its successor from being found.
func TestStoreOutage_AdoptsSuccessorOfTargetThatWantedNoRequests(t *testing.T) {
	for name, faults := range map[string]replica.Faults{
		"leaving":  {Leaving: true},
		"shedding": {Shedding: true, RetryAfter: "30"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			previous := d.startEngine("e1", "naxos")
			g := d.startReadyEntry("entry-1")
			d.store.SetFaults(kv.Faults{Outage: true})
			r := d.openStream(context.Background(), g, streamRequest())
			r.skipTo(t, 2)
			previous.SetFaults(faults)
			d.openStream(context.Background(), g, streamRequest())
			assert.Equal(t, d.send(g, streamRequest()).status, http.StatusServiceUnavailable)
			assert.Equal(t, d.requestsAfter("e1", time.Time{}), 2)
			previous.Crash()
			d.restart(previous, "e2", "writer")
			d.waitWithin(addressReuse, func() bool { return g.knowsTarget("e2") })
			req := streamRequest()
			d.openStream(context.Background(), g, req).expectRest(t, req.AttemptID, 0)
		})
	}
}

// addressReuse is how long an address stays with its service on both deployments.
const addressReuse = 2 * time.Second

// A target that responds at an address after addressReuse may belong to another service.
func TestStoreOutage_LateTargetAtAddressIsNotAdopted(t *testing.T) {
	d := newDeployment(t)
	previous := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	d.store.SetFaults(kv.Faults{Outage: true})
	previous.Crash()
	d.send(g, bookingRequest())
	time.Sleep(addressReuse)
	d.restart(previous, "b1", "writer")
	time.Sleep(2 * successorProbeInterval)
	assert.Assert(t, !g.knowsTarget("b1"))
}

// A target that this entry never identified may have ended before its address was
// reused.
func TestStoreOutage_NeverIdentifiedTargetHasNoSuccessor(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	previous := d.startEngine("e2", "paros")
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	d.waitUntil(func() bool {
		unavailable := false
		g.control.do(func() { unavailable = g.control.registry.StoreUnavailable() })
		return unavailable
	})
	previous.Crash()
	g.control.do(func() {
		a := &attempt{target: g.control.table.Get("e2").Registration}
		g.control.addAttempt(a)
		g.control.removeAttempt(a)
		g.control.markDown("e2", "test")
	})
	d.restart(previous, "e3", "writer")
	time.Sleep(4 * successorProbeInterval)
	assert.Assert(t, !g.knowsTarget("e3"))
}

// The address of an engine is given to an application earlier than allowed.
func TestStoreOutage_TargetOfOtherServiceIsNotAdopted(t *testing.T) {
	d := newDeployment(t)
	previous := d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	config := previous.Config()
	previous.Crash()
	d.waitWithin(addressReuse/2, func() bool {
		down := false
		g.control.do(func() { down = g.control.table.Get("e1").AwaitingProbe() })
		return down
	})
	other, err := d.fleet.Start(replica.Config{ID: "b1", Service: "bookings", Address: config.Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	time.Sleep(4 * successorProbeInterval)
	assert.Assert(t, !g.knowsTarget("b1"))
}
