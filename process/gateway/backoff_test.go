package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// newBackoffTest returns an entry that prefers a1, which sheds, over a2, after it has learned
// of it by a call, and the time at which a1 shed it.
func newBackoffTest(t *testing.T, faults replica.Faults) (*deployment, *Gateway, *replica.Replica, time.Time) {
	t.Helper()
	d := newDeployment(t)
	shedding := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	faults.Shedding = true
	shedding.SetFaults(faults)
	d.send(g, statusRequest())
	shed := d.lastShed("a1")
	assert.Assert(t, !shed.IsZero(), "a1 is not preferred")
	return d, g, shedding, shed
}

// lastShed returns when the target last shed a request.
func (d *deployment) lastShed(target string) time.Time {
	var last time.Time
	for _, arrival := range d.fleet.ExecutionLog.ArrivalsAt(target, true) {
		if arrival.Shed {
			last = arrival.At
		}
	}
	return last
}

// A target that sheds with Retry-After gets nothing until its end, under load and without
// the store, and then work again.
func TestBackoff_TargetGetsNothingUntilItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		faults replica.Faults
		outage bool
	}{
		"kept connections": {},
		"new connections":  {faults: replica.Faults{CloseConnections: true}},
		"store away":       {outage: true},
		"without promise":  {faults: replica.Faults{OmitNotExecuted: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c.faults.RetryAfter = "1.25"
			d, g, shedding, shed := newBackoffTest(t, c.faults)
			d.store.SetFaults(kv.Faults{Outage: c.outage})
			shedding.SetFaults(replica.Faults{CloseConnections: c.faults.CloseConnections})
			statuses := d.sendCalls(g, 8, time.Until(shed.Add(time.Second)))
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			d.waitWithin(time.Second, func() bool {
				assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
				return d.requestsAfter("a1", shed) > 0
			})
			assert.Equal(t, d.requestsAfter("a1", shed)-d.requestsAfter("a1", shed.Add(1250*time.Millisecond)), 0)
		})
	}
}

// Targets that shed again and again, as the load that was turned away returns, get no more
// than two requests within each time for which they want none.
func TestBackoff_RepeatedSheddingUnderLoad(t *testing.T) {
	d := newDeployment(t)
	targets := []*replica.Replica{d.startApplication("a1", "naxos"), d.startApplication("a2", "paros")}
	g := d.startReadyEntry("entry-1")
	for _, target := range targets {
		target.SetFaults(replica.Faults{Shedding: true, RetryAfter: "0.9"})
	}
	d.sendCalls(g, 8, 3*time.Second)
	for _, target := range targets {
		arrivals := d.fleet.ExecutionLog.ArrivalsAt(target.Config().ID, true)
		assert.Assert(t, len(arrivals) >= 3, "%d requests reached the target", len(arrivals))
		for _, shed := range arrivals {
			within := 0
			for _, arrival := range arrivals {
				if arrival.At.After(shed.At.Add(500*time.Millisecond)) && arrival.At.Before(shed.At.Add(900*time.Millisecond)) {
					within++
				}
			}
			assert.Assert(t, within <= 2, "%d requests", within)
		}
	}
}

// Values that ask for no time, or are malformed, delay nothing.
func TestBackoff_UnsoundValuesDelayNothing(t *testing.T) {
	for _, value := range []string{"", "0", "-3", "soon", "1e9"} {
		d, g, shedding, shed := newBackoffTest(t, replica.Faults{RetryAfter: value})
		shedding.SetFaults(replica.Faults{})
		assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
		assert.Equal(t, d.requestsAfter("a1", shed), 1, "%q", value)
	}
}

// However long, it ends with the incarnation.
func TestBackoff_NextTargetAtAddressGetsRequests(t *testing.T) {
	for _, id := range []string{"a1", "a3"} {
		t.Run(id, func(t *testing.T) {
			d, g, shedding, shed := newBackoffTest(t, replica.Faults{RetryAfter: "99999999999"})
			shedding.SetFaults(replica.Faults{})
			d.register(shedding, "ready")
			d.sendCalls(g, 2, pollInterval+200*time.Millisecond)
			assert.Equal(t, d.requestsAfter("a1", shed), 0)
			shedding.Crash()
			if id != "a1" {
				d.store.Delete(platform.TargetPrefix + "a1")
			}
			d.register(d.restart(shedding, id, "bookings"), "ready")
			started := time.Now()
			d.waitWithin(applyTimeout, func() bool {
				assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
				return d.requestsAfter(id, started) > 0
			})
		})
	}
}

// If no target wants requests, callers are refused at once, and return spread out after the
// earliest end.
func TestBackoff_OfAllTargetsRefusesAtOnce(t *testing.T) {
	d := newDeployment(t)
	for id, retryAfter := range map[string]string{"a1": "4", "a2": "6"} {
		d.startApplication(id, "naxos").SetFaults(replica.Faults{Shedding: true, RetryAfter: retryAfter})
	}
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusServiceUnavailable)
	known := time.Now()
	earliest := d.lastShed("a1").Add(4 * time.Second)
	var first, last time.Duration
	for i := range 40 {
		sent := time.Now()
		response, err := http.DefaultClient.Do(bookingRequest().httpRequest(context.Background(), g))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(sent) < 200*time.Millisecond)
		returns := time.Now().Add(caller.RetryAfter(response)).Sub(earliest)
		assert.Assert(t, returns > 0 && returns < 2500*time.Millisecond, "the caller returns %s after the earliest end", returns)
		if i == 0 || returns < first {
			first = returns
		}
		last = max(last, returns)
	}
	assert.Assert(t, last-first > 400*time.Millisecond, "all callers return within %s", last-first)
	assert.Equal(t, d.requestsAfter("a1", known)+d.requestsAfter("a2", known), 0)
}

// A stream of which nothing has run does not wait at the entry for targets that want none.
func TestBackoff_StreamIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t)
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros"} {
		d.startEngine(id, failureDomain).SetFaults(replica.Faults{Shedding: true, RetryAfter: "3"})
	}
	g := d.startReadyEntry("entry-1")
	for range 2 {
		req, start := streamRequest(), time.Now()
		response := d.send(g, req)
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(start) < 400*time.Millisecond, "refused after %s", time.Since(start))
		assert.Assert(t, response.header.Get("Retry-After") >= "2.5", response.header.Get("Retry-After"))
	}
	assert.Equal(t, d.requestsAfter("e1", time.Time{})+d.requestsAfter("e2", time.Time{}), 2)
}

// The same while no retries are left, as when many requests are shed.
func TestBackoff_StreamWithoutRetriesIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos").SetFaults(replica.Faults{Shedding: true, RetryAfter: "3"})
	g := d.startReadyEntry("entry-1")
	for {
		if _, ok := g.takeRetry("test", "writer", true); !ok {
			break
		}
	}
	req, start := streamRequest(), time.Now()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < 400*time.Millisecond, "refused after %s", time.Since(start))
	assert.Assert(t, response.header.Get("Retry-After") >= "2.5", response.header.Get("Retry-After"))
	assert.Equal(t, d.requestsAfter("e1", time.Time{}), 1)
}

// What runs at an engine that sheds goes on, and its health is not in question.
func TestBackoff_RunningStreamGoesOn(t *testing.T) {
	d := newDeployment(t)
	engine := d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 2)
	engine.SetFaults(replica.Faults{Shedding: true, RetryAfter: "2"})
	assert.Equal(t, d.send(g, streamRequest()).status, http.StatusServiceUnavailable)
	r.expectRest(t, req.AttemptID, 2)
	g.control.do(func() {
		e1 := g.control.table.Get("e1")
		assert.Assert(t, !e1.Down(time.Now()) && !e1.AwaitingProbe())
	})
	assert.Equal(t, d.requestsAfter("e1", time.Time{}), 2)
}

// A stream that was lost resumes from its copy at an engine that wants no requests.
func TestBackoff_LostStreamResumesFromItsCopy(t *testing.T) {
	d := newCopyTest(t)
	copyTarget, _ := d.copyTargets()
	for _, engine := range d.engines {
		if engine.Config().ID != copyTarget {
			continue
		}
		engine.SetFaults(replica.Faults{Shedding: true, RetryAfter: "30"})
		for d.lastShed(copyTarget).IsZero() {
			ctx, disconnect := context.WithCancel(context.Background())
			d.openStream(ctx, d.gateway, streamRequest()).skipTo(t, 1)
			disconnect()
		}
		engine.SetFaults(replica.Faults{})
	}
	shed := d.lastShed(copyTarget)
	d.reader.skipTo(t, 20)
	d.source.Crash()
	d.reader.skipTo(t, 40)
	executions := d.fleet.ExecutionLog.Executions(d.req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Equal(t, executions[1].Target, copyTarget)
	assert.Assert(t, executions[1].FromKVCopy)
	for range 6 {
		d.openStream(context.Background(), d.gateway, streamRequest()).skipTo(t, 1)
	}
	assert.Equal(t, d.requestsAfter(copyTarget, shed), 1)
}

// An entry that was paused until after the end does not send all at once what it held back.
func TestBackoff_WokenEntryReturnsGradually(t *testing.T) {
	d := newDeployment(t)
	shedding := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	shedding.SetFaults(replica.Faults{Shedding: true, RetryAfter: "0.6"})
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusServiceUnavailable)
	shed := d.lastShed("a1")
	shedding.SetFaults(replica.Faults{})
	wake := make(chan struct{})
	g.control.post(func() { <-wake })
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { d.send(g, statusRequest()) })
	}
	time.Sleep(time.Second)
	woken := time.Now()
	close(wake)
	group.Wait()
	assert.Assert(t, d.requestsAfter("a1", shed) <= int(time.Since(woken)/(50*time.Millisecond))+2,
		"%d requests within %s", d.requestsAfter("a1", shed), time.Since(woken))
	d.waitWithin(time.Second, func() bool { return d.send(g, statusRequest()).status == http.StatusOK })
}
