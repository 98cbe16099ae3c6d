package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/eventlog"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// settleTime is how long a response that was received may take to be processed.
const settleTime = 50 * time.Millisecond

// requestsAfter returns how many requests reached a target after the given time.
func (d *deployment) requestsAfter(target string, after time.Time) int {
	count := 0
	for _, arrival := range d.fleet.ExecutionLog.ArrivalsAt(target, true) {
		if arrival.At.After(after) {
			count++
		}
	}
	return count
}

// sendCalls sends idempotent calls for a while, several at a time, and returns their
// responses by status.
func (d *deployment) sendCalls(g *Gateway, parallel int, period time.Duration) map[int]int {
	d.t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	end := time.Now().Add(period)
	for range parallel {
		group.Go(func() {
			for time.Now().Before(end) {
				status := d.send(g, statusRequest()).status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return statuses
}

// newLeavingTest returns an entry that prefers a1, which announces that it is leaving, over
// a2, after it has learned of it by a call. The registration of a1 says that it is ready.
func newLeavingTest(t *testing.T, faults replica.Faults) (*deployment, *Gateway, *replica.Replica, *replica.Replica) {
	t.Helper()
	d := newDeployment(t)
	leaving, other := d.startApplication("a1", "naxos"), d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	faults.Leaving = true
	leaving.SetFaults(faults)
	d.send(g, statusRequest())
	assert.Assert(t, d.requestsAfter("a1", time.Time{}) >= 2, "a1 is not preferred")
	time.Sleep(settleTime)
	return d, g, leaving, other
}

// Under load, with hedges and retries, a target that announced in a response or a refusal
// that it is leaving gets no request any more.
func TestLeaving_TargetGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]struct{ leaving, other replica.Faults }{
		"kept connections":  {},
		"new connections":   {leaving: replica.Faults{CloseConnections: true}, other: replica.Faults{CloseConnections: true}},
		"refusal":           {leaving: replica.Faults{RejectRequests: true}},
		"failure":           {leaving: replica.Faults{RespondWithError: true}},
		"retry of refusals": {other: replica.Faults{RejectRequests: true}},
		"retry of losses":   {other: replica.Faults{DropResponses: true}},
	} {
		t.Run(name, func(t *testing.T) {
			d, g, _, other := newLeavingTest(t, faults.leaving)
			other.SetFaults(faults.other)
			known := time.Now()
			d.sendCalls(g, 8, 500*time.Millisecond)
			assert.Equal(t, d.requestsAfter("a1", known), 0)
			assert.Assert(t, d.requestsAfter("a2", known) > 0)
		})
	}
}

// A call that is slow at one target is not hedged at one that is leaving.
func TestLeaving_NoHedges(t *testing.T) {
	d := newDeployment(t)
	leaving := d.startApplication("a1", "naxos")
	d.startReplica(replica.Config{ID: "a2", Service: "bookings", FailureDomain: "paros", CallTime: 400 * time.Millisecond, Slots: 6})
	g := d.startReadyEntry("entry-1")
	leaving.SetFaults(replica.Faults{Leaving: true})
	d.send(g, statusRequest())
	time.Sleep(settleTime)
	known := time.Now()
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
}

// Neither an outage of the store nor a registration that is read later changes what a
// response said.
func TestLeaving_OutlastsLaterRegistrationAndStoreOutage(t *testing.T) {
	t.Parallel()
	d, g, leaving, _ := newLeavingTest(t, replica.Faults{})
	known := time.Now()
	d.register(leaving, "ready")
	d.sendCalls(g, 2, pollInterval+200*time.Millisecond)
	d.store.SetFaults(kv.Faults{Outage: true})
	d.sendCalls(g, 2, 500*time.Millisecond)
	// The registration expires during the outage and returns after it.
	d.store.Delete(platform.TargetPrefix + "a1")
	d.store.SetFaults(kv.Faults{})
	d.sendCalls(g, 2, pollInterval+200*time.Millisecond)
	d.register(leaving, "ready")
	d.sendCalls(g, 2, pollInterval+200*time.Millisecond)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
}

// An entry learns during an outage of the store that a target is leaving.
func TestLeaving_IsLearnedDuringStoreOutage(t *testing.T) {
	d := newDeployment(t)
	leaving := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	leaving.SetFaults(replica.Faults{Leaving: true})
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	time.Sleep(settleTime)
	known := time.Now()
	statuses := d.sendCalls(g, 4, 500*time.Millisecond)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
	assert.Equal(t, statuses[http.StatusOK], d.requestsAfter("a2", known))
}

// A process that began to end does not return, whatever its later responses say.
func TestLeaving_LaterResponsesWithoutItChangeNothing(t *testing.T) {
	d, g, leaving, _ := newLeavingTest(t, replica.Faults{})
	leaving.SetFaults(replica.Faults{})
	known := time.Now()
	d.sendCalls(g, 2, 300*time.Millisecond)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
}

// The next target at the address, under another ID or as a later incarnation, starts anew.
func TestLeaving_NextTargetAtAddressGetsRequests(t *testing.T) {
	for _, id := range []string{"a1", "a3"} {
		t.Run(id, func(t *testing.T) {
			d, g, leaving, _ := newLeavingTest(t, replica.Faults{})
			known := time.Now()
			assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
			assert.Equal(t, d.requestsAfter("a1", known), 0)
			leaving.Crash()
			if id != "a1" {
				d.store.Delete(platform.TargetPrefix + "a1")
			}
			d.register(d.restart(leaving, id, "bookings"), "ready")
			started := time.Now()
			d.waitWithin(applyTimeout, func() bool {
				assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
				return d.requestsAfter(id, started) > 0
			})
		})
	}
}

// The incarnation of an application that was adopted during an outage of the store is assumed.
// Its registration, which tells the true one, is read later.
func TestLeaving_OutlastsRegistrationOfAdoptedTarget(t *testing.T) {
	d := newDeployment(t)
	previous := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	d.store.SetFaults(kv.Faults{Outage: true})
	previous.Crash()
	config := previous.Config()
	config.ID, config.Incarnation = "a3", config.Incarnation+60000
	leaving, err := d.fleet.Start(config)
	assert.NilError(t, err)
	t.Cleanup(leaving.Crash)
	_, incarnation, err := g.identifyTarget(config.AdvertisedAddress, "bookings", 0)
	assert.NilError(t, err)
	g.control.do(func() {
		g.control.adoptSuccessor(peers.Successor{Old: "a1", ID: "a3", Incarnation: incarnation})
	})
	leaving.SetFaults(replica.Faults{Leaving: true})
	d.waitUntil(func() bool {
		assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
		return d.requestsAfter("a3", time.Time{}) > 0
	})
	time.Sleep(settleTime)
	known := time.Now()
	d.store.SetFaults(kv.Faults{})
	d.register(leaving, "ready")
	d.waitWithin(applyTimeout, func() bool {
		assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
		registered := false
		g.control.do(func() {
			registered = g.control.table.Get("a3").Incarnation == request.Incarnation(config.Incarnation)
		})
		return registered
	})
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	assert.Equal(t, d.requestsAfter("a3", known), 0)
}

// A restarted entry knows what the registration says.
func TestLeaving_IsForgottenByRestartedEntry(t *testing.T) {
	d, g, _, _ := newLeavingTest(t, replica.Faults{})
	known := time.Now()
	assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
	g.ingress.close()
	g.cancel()
	assert.NilError(t, g.peers.Close())
	restarted := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(restarted, statusRequest()).status, http.StatusOK)
	assert.Equal(t, d.requestsAfter("a1", known), 1)
}

// If all targets are leaving, callers are refused at once, and truly not run.
func TestLeaving_OfAllTargetsRefusesAtOnce(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"a1", "a2"} {
		d.startApplication(id, "naxos").SetFaults(replica.Faults{Leaving: true})
	}
	g := d.startReadyEntry("entry-1")
	for range 2 {
		assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
		time.Sleep(settleTime)
	}
	req, start := bookingRequest(), time.Now()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Assert(t, response.header.Get("Retry-After") != "")
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 0)
}

// Other entries learn of it before the registration says so.
func TestLeaving_IsReportedToOtherEntries(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	leaving := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitUntil(func() bool { return len(d.storeValues(platform.EntryPrefix)) == 2 })
	time.Sleep(pollInterval + updateInterval)
	d.store.SetFaults(kv.Faults{Outage: true})
	leaving.SetFaults(replica.Faults{Leaving: true})
	assert.Equal(t, d.send(first, statusRequest()).status, http.StatusOK)
	time.Sleep(2 * updateInterval)
	known := time.Now()
	assert.Equal(t, d.send(second, statusRequest()).status, http.StatusOK)
	assert.Equal(t, d.requestsAfter("a1", known), 0)
}

// An engine that announces in the first bytes of a stream that it is leaving completes it,
// and gets no other one.
func TestLeaving_RunningStreamGoesOn(t *testing.T) {
	d := newDeployment(t)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros")}
	g := d.startReadyEntry("entry-1")
	// The entry has asked them for their cached prompts before they begin to leave.
	req := streamRequest()
	d.openStream(context.Background(), g, req).expectRest(t, req.AttemptID, 0)
	for _, engine := range engines {
		engine.SetFaults(replica.Faults{Leaving: true})
	}
	req = streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 1)
	leaving := d.executingReplica(req.AttemptID, engines...).Config().ID
	for _, engine := range engines {
		engine.SetFaults(replica.Faults{Leaving: engine.Config().ID == leaving})
	}
	time.Sleep(settleTime)
	known := time.Now()
	for range 6 {
		other := streamRequest()
		d.openStream(context.Background(), g, other).skipTo(t, 1)
	}
	assert.Equal(t, d.requestsAfter(leaving, known), 0)
	r.expectRest(t, req.AttemptID, 1)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(req.AttemptID)), 1)
}

// The engine that holds the KV copy of a stream announces in its report that it is leaving:
// the copy is moved, and the stream does not resume there.
func TestLeaving_StreamResumesElsewhereThanFromCopyThere(t *testing.T) {
	d := newCopyTest(t)
	leaving, _ := d.copyTargets()
	address := ""
	for _, engine := range d.engines {
		if engine.Config().ID == leaving {
			engine.SetFaults(replica.Faults{Leaving: true})
			address = engine.Config().AdvertisedAddress
		}
	}
	alive := d.gateway.probeAddress(address, true).alive
	assert.Assert(t, alive)
	d.reader.skipTo(t, 25)
	moved, _ := d.copyTargets()
	d.source.Crash()
	d.reader.skipTo(t, 40)
	assert.Equal(t, d.requestsAfter(leaving, time.Time{}), 0)
	assert.Assert(t, moved != "" && moved != leaving, "the copy is at %q", moved)
	executions := d.fleet.ExecutionLog.Executions(d.req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
}

// A stream that is lost before its first event, or without a usable copy, is not restarted
// at an engine that is leaving.
func TestLeaving_LostStreamIsNotRestartedThere(t *testing.T) {
	d := newDeployment(t)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "naxos"), d.startEngine("e3", "naxos")}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	source := d.executingReplica(req.AttemptID, engines...)
	leaving := map[string]bool{}
	for _, engine := range engines {
		if engine != source && len(leaving) == 0 {
			leaving[engine.Config().ID] = true
			engine.SetFaults(replica.Faults{Leaving: true})
			_ = g.probeAddress(engine.Config().AdvertisedAddress, true)
		}
	}
	time.Sleep(settleTime)
	source.Crash()
	r.expectRest(t, req.AttemptID, 5)
	for range 4 {
		d.openStream(context.Background(), g, streamRequest()).skipTo(t, 1)
	}
	for id := range leaving {
		assert.Equal(t, d.requestsAfter(id, time.Time{}), 0)
	}
}

// An entry learns it from each call that it makes on its own behalf.
func TestLeaving_IsLearnedFromOwnCalls(t *testing.T) {
	t.Parallel()
	for name, call := range map[string]func(g *Gateway, address string){
		"report":          func(g *Gateway, address string) { _ = g.probeAddress(address, true) },
		"identification":  func(g *Gateway, address string) { _, _, _ = g.identifyTarget(address, "writer", 0) },
		"list of prompts": func(g *Gateway, _ string) { g.discoverCachedPrompts() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros")}
			g := d.startReadyEntry("entry-1")
			warmUp := streamRequest()
			d.openStream(context.Background(), g, warmUp).expectRest(t, warmUp.AttemptID, 0)
			// Among idle engines the one that has the prompt cached is preferred.
			leaving := d.executingReplica(warmUp.AttemptID, engines...)
			leaving.SetFaults(replica.Faults{Leaving: true})
			call(g, leaving.Config().AdvertisedAddress)
			time.Sleep(settleTime)
			known := time.Now()
			again := streamRequest()
			again.PromptID = warmUp.AttemptID
			d.openStream(context.Background(), g, again).expectRest(t, again.AttemptID, 0)
			assert.Equal(t, d.requestsAfter(leaving.Config().ID, known), 0)
		})
	}
}

// An engine announces it in its response to a KV copy call: the stream that it runs goes on.
func TestLeaving_IsLearnedFromKVCopyCall(t *testing.T) {
	d := newCopyTest(t)
	d.source.SetFaults(replica.Faults{Leaving: true})
	copyTarget, _ := d.copyTargets()
	d.gateway.control.post(func() { d.gateway.control.markDown(request.TargetID(copyTarget), "test") })
	source := d.source.Config().ID
	d.reader.skipTo(t, 25)
	known := time.Now()
	for range 8 {
		d.openStream(context.Background(), d.gateway, streamRequest()).skipTo(t, 1)
	}
	assert.Equal(t, d.requestsAfter(source, known), 0)
	d.reader.skipTo(t, 40)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(d.req.AttemptID)), 1)
}

// No new KV copies are sent to an engine that is leaving.
func TestLeaving_GetsNoKVCopies(t *testing.T) {
	d := newDeployment(t)
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		d.startEngine(id, failureDomain)
	}
	leaving := d.startEngine("e4", "milos")
	g := d.startReadyEntry("entry-1")
	leaving.SetFaults(replica.Faults{Leaving: true})
	alive := g.probeAddress(leaving.Config().AdvertisedAddress, true).alive
	assert.Assert(t, alive)
	time.Sleep(settleTime)
	for range 12 {
		d.openStream(context.Background(), g, streamRequest()).skipTo(t, 1)
	}
	g.control.do(func() {
		copies := 0
		for _, m := range g.control.monitors {
			for a := range m.attempts {
				assert.Assert(t, a.kvCopy.Target != "e4")
				copies++
			}
		}
		assert.Assert(t, copies > 0)
	})
}

// A connection that takes long to open must not carry a request to a target that announced
// meanwhile that it takes none, unless it is the one that is reserved for a resume.
func TestAnnouncement_AttemptThatWaitedIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		announced request.Announcement
		event     string
		reserved  bool
		arrivals  int
	}{
		{announced: request.Announcement{Draining: true}, event: "target_leaving"},
		{announced: request.Announcement{Backoff: time.Minute}, event: "target_backoff"},
		{announced: request.Announcement{Backoff: time.Minute}, event: "target_backoff", reserved: true, arrivals: 1},
	} {
		d := newDeployment(t)
		d.startApplication("a1", "naxos")
		var out strings.Builder
		d.log = eventlog.New(&out)
		g := d.startReadyEntry("entry-1")
		e := &exchange{gateway: g, inbound: request.Inbound{ID: "r1", Method: http.MethodGet, Target: "/status/7", Host: testHost, Header: http.Header{"Attempt-Id": {"r1"}}}}
		e.route, e.service, e.deadline = g.table.Load().Match(testHost, "/status/7"), "bookings", time.Now().Add(time.Second)
		a, err := e.placeAttempt(context.Background(), placement.Requirements{Service: e.service})
		assert.NilError(t, err)
		a.reserved = c.reserved
		time.Sleep(placementMaxAge)
		g.control.do(func() { g.control.recordAnnouncement("r0", a.target, c.announced) })
		_, _, outcome := a.do()
		a.release()
		d.log.Close()
		assert.Equal(t, outcome == request.AttemptUnsent, c.arrivals == 0)
		assert.Equal(t, d.requestsAfter("a1", time.Time{}), c.arrivals)
		assert.Assert(t, strings.Contains(out.String(), `"`+c.event+`" request="r0" target="a1"`), out.String())
		assert.Equal(t, strings.Contains(out.String(), `"withdrawn" request="r1" target="a1"`), c.arrivals == 0)
	}
}
