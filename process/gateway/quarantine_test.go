package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

const (
	deadlyPart  = "dead"
	sharedPart  = "aa"
	engineCount = 12
)

// startDeadlyEngines starts engines that crash on a part.
func (d *deployment) startDeadlyEngines() []*replica.Replica {
	engines := make([]*replica.Replica, engineCount)
	for i := range engines {
		engines[i] = d.startEngine(fmt.Sprint("e", i), []string{"naxos", "paros", "syros"}[i%3])
		engines[i].SetFaults(replica.Faults{CrashOnPart: deadlyPart})
	}
	return engines
}

func deadlyRequest() *callerRequest {
	req := streamRequest()
	req.SharedParts = []string{sharedPart, deadlyPart}
	return req
}

// crashedEngines returns how many engines no longer respond.
func crashedEngines(engines []*replica.Replica) int {
	crashed := 0
	for _, e := range engines {
		response, err := http.Get("http://" + e.Config().Address + replica.HealthPath)
		if err != nil {
			crashed++
			continue
		}
		_ = response.Body.Close()
	}
	return crashed
}

func (g *Gateway) quarantinedParts() []quarantine.Record {
	var parts []quarantine.Record
	g.control.do(func() { parts = g.control.quarantine.Quarantined(time.Now()) })
	return parts
}

// Callers send requests with the part to two entries, and retry them; the entries retry them,
// too.
func TestStream_PartThatCrashesEnginesEndsFewEngines(t *testing.T) {
	d := newDeployment(t)
	engines := d.startDeadlyEngines()
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitForPeers(first, second)
	for i := range 8 {
		g := []*Gateway{first, second}[i%2]
		response := d.send(g, deadlyRequest())
		assert.Assert(t, response.status != http.StatusOK, response.status)
		if response.status == http.StatusServiceUnavailable {
			// The refusal says that the request has not run and when to come back.
			after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 60, after)
		}
		time.Sleep(100 * time.Millisecond)
	}
	crashed := crashedEngines(engines)
	assert.Assert(t, crashed <= 5, "%d of %d engines crashed", crashed, len(engines))
	// Requests of the same caller with the same first part are served.
	for _, g := range []*Gateway{first, second} {
		req := streamRequest()
		response := d.send(g, req)
		assert.Equal(t, response.status, http.StatusOK)
		assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
	}
	// An entry that starts later learns of the part from the others.
	third := d.startReadyEntry("entry-3")
	d.waitUntil(func() bool { return len(third.quarantinedParts()) > 0 })
	req := deadlyRequest()
	assert.Equal(t, d.send(third, req).status, http.StatusServiceUnavailable)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 0)
}

// A request that reached an engine is not told that it has not run.
func TestStream_RequestThatCrashedEnginesIsNotRefusedAsNotRun(t *testing.T) {
	d := newDeployment(t)
	d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	for range 6 {
		req := deadlyRequest()
		response := d.send(g, req)
		ran := d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0
		assert.Equal(t, response.status == http.StatusServiceUnavailable, !ran, "status %d", response.status)
	}
}

// Sound requests run and wait at the engines that requests with the part crash.
func TestStream_NeighboursOfPartThatCrashesEnginesAreServed(t *testing.T) {
	d := newDeployment(t)
	d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	var group sync.WaitGroup
	responses := make(chan callerResponse, 40)
	for i := range cap(responses) {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			responses <- d.send(g, streamRequest())
		})
	}
	for range 5 {
		d.send(g, deadlyRequest())
	}
	group.Wait()
	close(responses)
	for response := range responses {
		assert.Equal(t, response.status, http.StatusOK)
		assert.Assert(t, response.complete)
	}
	for _, part := range g.quarantinedParts() {
		assert.Assert(t, part.ID != sharedPart)
	}
}

// A sound engine is silent for a second, others are cut off or leave as announced, under
// requests that share a part and that have not got an event yet.
func TestStream_SilentAndLeavingEnginesBlameNoPart(t *testing.T) {
	d := newDeployment(t)
	var engines []*replica.Replica
	for i := range 6 {
		engines = append(engines, d.startReplica(replica.Config{
			ID: fmt.Sprint("e", i), Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
			PrefillTime: 300 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
		}))
	}
	g := d.startReadyEntry("entry-1")
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			req := streamRequest()
			req.SharedParts = []string{sharedPart, "sound"}
			d.send(g, req)
		})
	}
	for _, engine := range engines[:4] {
		time.Sleep(400 * time.Millisecond)
		engine.SetFaults(replica.Faults{Silent: true})
		time.AfterFunc(time.Second, func() { engine.SetFaults(replica.Faults{}) })
	}
	leaving := engines[4]
	d.register(leaving, "draining")
	d.waitUntil(func() bool {
		draining := false
		g.control.do(func() { draining = g.control.table.Get("e4").Draining })
		return draining
	})
	leaving.Crash()
	group.Wait()
	crashes := 0
	g.control.do(func() { crashes = len(g.control.quarantine.Suspected("writer", []string{"sound"})) })
	assert.Equal(t, crashes, 0)
}

// waitForPeers waits until entries have received updates of each other.
func (d *deployment) waitForPeers(entries ...*Gateway) {
	d.t.Helper()
	d.waitUntil(func() bool {
		for _, g := range entries {
			known := 0
			g.control.do(func() { known = len(g.control.peerLastSeen) })
			if known < len(entries)-1 {
				return false
			}
		}
		return true
	})
}

// Errors of targets say nothing about the parts of the request.
func TestCall_FailureIsNoSurvivedRequest(t *testing.T) {
	d := newDeployment(t)
	application := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	survivals := func() int {
		n := 0
		g.control.do(func() { n = len(g.control.quarantine.Survivals(time.Now(), "bookings", []string{sharedPart})) })
		return n
	}
	application.SetFaults(replica.Faults{RespondWithError: true})
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusInternalServerError)
	assert.Equal(t, survivals(), 0)
	application.SetFaults(replica.Faults{})
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	assert.Equal(t, survivals(), 1)
}

// Load: a target that stays up breaks off one response after the other.
func TestCall_BrokenAttemptsOfALiveTargetAreForgotten(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{DropResponses: true})
	g := d.startReadyEntry("entry-1")
	remembered := func() int {
		n := 0
		g.control.do(func() { n = len(g.control.monitors["a1"].broken) })
		return n
	}
	for range 20 {
		d.send(g, bookingRequest())
	}
	assert.Assert(t, remembered() > 0)
	time.Sleep(crashConfirmationTime)
	d.send(g, bookingRequest())
	assert.Equal(t, remembered(), 1)
}

// A request with the part waits at an engine while the part is quarantined.
func TestStream_WaitingRequestIsEndedWhenItsPartIsQuarantined(t *testing.T) {
	d := newDeployment(t)
	slow := d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: 4 * time.Second, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	req := deadlyRequest()
	done := make(chan callerResponse, 1)
	go func() { done <- d.send(g, req) }()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0 })
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: deadlyPart}, From: now, Until: now.Add(time.Minute)}
	g.control.do(func() {
		assert.Assert(t, g.control.quarantine.Adopt(now, record))
		g.control.quarantineParts([]quarantine.Record{record})
	})
	select {
	case response := <-done:
		assert.Equal(t, response.status, http.StatusBadGateway)
	case <-time.After(2 * time.Second):
		t.Fatal("the request still waits")
	}
	d.waitUntil(func() bool { return slow.AbandonedRequests() == 1 })
}

// storesQuarantine reports whether the store holds the quarantine of a part.
func (d *deployment) storesQuarantine(part string) bool {
	return slices.ContainsFunc(d.storeValues(platform.QuarantinePrefix), func(value []byte) bool {
		return bytes.Contains(value, []byte(`"`+part+`"`))
	})
}

// All entries end after a part was quarantined.
func TestStart_QuarantineOutlivesAllEntries(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	for !g.quarantines(quarantine.Part{Service: "writer", ID: deadlyPart}) {
		d.send(g, deadlyRequest())
	}
	d.waitUntil(func() bool { return d.storesQuarantine(deadlyPart) })
	assert.NilError(t, g.Stop(context.Background()))
	next := d.startEntryWithTargets("entry-1", 1)
	arrivals := 0
	for range 8 {
		req := deadlyRequest()
		arrived := func() int { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) }
		assert.Equal(t, d.send(next, req).status == http.StatusServiceUnavailable, arrived() == 0)
		arrivals += arrived()
	}
	assert.Assert(t, arrivals <= 1, "%d requests reached engines, the trial included", arrivals)
}

// The store is away while a part is quarantined, and holds the quarantine afterwards.
func TestStoreOutage_QuarantineIsStoredAfterwards(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	d.store.SetFaults(kv.Faults{Outage: true})
	for !g.quarantines(quarantine.Part{Service: "writer", ID: deadlyPart}) {
		d.send(g, deadlyRequest())
	}
	d.store.SetFaults(kv.Faults{})
	d.waitUntil(func() bool { return d.storesQuarantine(deadlyPart) })
}

// A part that an engine survives leaves the store, too.
func TestStore_ReleasedPartIsRemoved(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: sharedPart}, From: now, Until: now.Add(time.Minute)}
	assert.NilError(t, g.tryStoreQuarantine(record))
	d.waitUntil(func() bool { return len(g.quarantinedParts()) == 1 })
	g.control.do(func() { g.control.recordSurvival(time.Now().Add(time.Second), "writer", []string{sharedPart, "last"}) })
	assert.Equal(t, len(g.quarantinedParts()), 0)
	d.waitUntil(func() bool { return len(d.storeValues(platform.QuarantinePrefix)) == 0 })
}

// Load: a failure domain ends many engines, each with many requests of long prompts, while as
// many parts as possible are in quarantine.
func TestPeerUpdate_WithManyCrashesFitsIntoADatagram(t *testing.T) {
	d := newDeployment(t)
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitForPeers(first, second)
	now := time.Now()
	id := func(i int) string { return fmt.Sprintf("%032d", i) }
	first.control.do(func() {
		c := first.control
		for i := range 200 {
			crash := quarantine.Crash{Service: "writer", Target: request.TargetID(fmt.Sprint("e", i)), Incarnation: 1}
			for j := range quarantine.MaxSuspects {
				parts := make([]string, 16)
				for k := range parts {
					parts[k] = id(1000*i + 20*j + k)
				}
				crash.Suspects = append(crash.Suspects, quarantine.Suspect{Parts: parts})
			}
			c.recentCrashes[crashID{crash.Target, 1}] = sentCrash{Crash: crash, at: now}
			c.quarantine.Adopt(now, quarantine.Record{Part: quarantine.Part{Service: "writer", ID: id(i)}, From: now, Until: now.Add(time.Minute)})
			c.recentSurvivals[quarantine.Part{Service: "writer", ID: id(i)}] = sentSurvival{startedAt: now}
		}
	})
	for range 50 {
		first.control.do(func() {
			update := peers.Update{Entry: "entry-1"}
			first.control.addQuarantine(time.Now(), &update)
			size, err := first.peers.Send(update, nil)
			assert.NilError(t, err)
			assert.Assert(t, size < 16<<10, "%d bytes", size)
		})
	}
}

// Load: many callers are refused because of a part while it is in quarantine. At its end, engines
// may still crash on the part.
func TestQuarantine_RefusedCallersDoNotReturnTogether(t *testing.T) {
	d := newDeployment(t)
	engines := d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: deadlyPart}, From: now, Until: now.Add(10 * time.Minute)}
	g.control.do(func() { assert.Assert(t, g.control.quarantine.Adopt(now, record)) })
	var returns []float64
	for range 20 {
		after, err := strconv.ParseFloat(d.send(g, deadlyRequest()).header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > time.Until(record.Until).Seconds()-1, after)
		returns = append(returns, after)
	}
	assert.Assert(t, slices.Max(returns)-slices.Min(returns) > 60, "%v", returns)
	assert.Equal(t, crashedEngines(engines), 0)
}
