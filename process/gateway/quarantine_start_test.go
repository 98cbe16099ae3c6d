package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Fault: all entries end before the quarantine of a sound part that has been released has left
// the store. No request with it would be admitted that could show that it is sound.
func TestStart_StoredQuarantineOfASoundPartDoesNotLast(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	d.startEngine("e2", "paros")
	first := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: sharedPart}, From: now, Until: now.Add(10 * time.Minute)}
	assert.NilError(t, first.tryStoreQuarantine(record))
	next := d.startEntryWithTargets("entry-2", 2)
	d.waitUntil(func() bool { return len(next.quarantinedParts()) == 1 })
	served := 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.send(next, streamRequest()).status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served > 0, "sound requests are still refused 6 s after the start")
}

// All entries start anew while a part that engines crash on is in quarantine: one of them sends
// one request with it.
func TestStart_StoredQuarantineIsTriedOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	engines := d.startDeadlyEngines()
	first := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: deadlyPart}, From: now, Until: now.Add(10 * time.Minute)}
	assert.NilError(t, first.tryStoreQuarantine(record))
	entries := []*Gateway{first, d.startEntryWithTargets("entry-2", engineCount), d.startEntryWithTargets("entry-3", engineCount)}
	for _, g := range entries {
		d.waitUntil(func() bool { return len(g.quarantinedParts()) == 1 })
	}
	time.Sleep(trialDelay + 500*time.Millisecond)
	for i := range 12 {
		assert.Assert(t, d.send(entries[i%3], deadlyRequest()).status != http.StatusOK)
	}
	assert.Equal(t, crashedEngines(engines), 1)
	req := streamRequest()
	assert.Equal(t, d.send(first, req).status, http.StatusOK)
}

// trialOfSharedPart has an entry hold a quarantine of the shared part from the store and the
// trial of it.
func (g *Gateway) trialOfSharedPart() {
	now := time.Now()
	part := quarantine.Part{Service: "writer", ID: sharedPart}
	g.control.do(func() {
		g.control.quarantine.Adopt(now, quarantine.Record{Part: part, From: now, Until: now.Add(time.Minute), Stored: true})
		g.control.trials[part] = struct{}{}
	})
}

// Load: the first request after the start has a part that engines crash on besides the one that
// may be tried.
func TestStart_TrialIsNotSpentOnARequestWithAnotherQuarantinedPart(t *testing.T) {
	d := newDeployment(t)
	engines := d.startDeadlyEngines()
	g := d.startReadyEntry("entry-1")
	g.trialOfSharedPart()
	now := time.Now()
	g.control.do(func() {
		deadly := quarantine.Part{Service: "writer", ID: deadlyPart}
		g.control.quarantine.Adopt(now, quarantine.Record{Part: deadly, From: now, Until: now.Add(time.Minute)})
	})
	assert.Equal(t, d.send(g, deadlyRequest()).status, http.StatusServiceUnavailable)
	assert.Equal(t, crashedEngines(engines), 0)
	assert.Equal(t, d.send(g, streamRequest()).status, http.StatusOK)
	assert.Equal(t, len(g.quarantinedParts()), 1)
}

// Fault: no engine is known yet when the first request with the part arrives.
func TestStart_TrialIsNotSpentOnARequestWithoutATarget(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	g.trialOfSharedPart()
	assert.Equal(t, d.send(g, streamRequest()).status, http.StatusServiceUnavailable)
	d.startEngine("e1", "naxos")
	d.waitUntil(func() bool { return g.targetCount() == 1 })
	assert.Equal(t, d.send(g, streamRequest()).status, http.StatusOK)
}

// Load: one entry knows the quarantine long before the others and gets no requests with the part.
func TestStart_TrialIsLeftToAnEntryThatHasRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	idle := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: sharedPart}, From: now, Until: now.Add(10 * time.Minute)}
	assert.NilError(t, idle.tryStoreQuarantine(record))
	d.waitUntil(func() bool { return len(idle.quarantinedParts()) == 1 })
	time.Sleep(trialDelay + 500*time.Millisecond)
	busy := d.startEntryWithTargets("entry-2", 1)
	d.waitUntil(func() bool { return len(busy.quarantinedParts()) == 1 })
	served := false
	for end := time.Now().Add(6 * time.Second); !served && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served = d.send(busy, streamRequest()).status == http.StatusOK
	}
	assert.Assert(t, served)
}

// Load: another part is quarantined while the request that is the trial waits at its engine.
func TestStart_TrialIsNotEndedByAnotherQuarantine(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: time.Second, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	g.trialOfSharedPart()
	req := streamRequest()
	done := make(chan callerResponse, 1)
	go func() { done <- d.send(g, req) }()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0 })
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: deadlyPart}, From: now, Until: now.Add(time.Minute)}
	g.control.do(func() {
		assert.Assert(t, g.control.quarantine.Adopt(now, record))
		g.control.quarantineParts([]quarantine.Record{record})
	})
	assert.Equal(t, (<-done).status, http.StatusOK)
	assert.Equal(t, len(g.quarantinedParts()), 1)
}
