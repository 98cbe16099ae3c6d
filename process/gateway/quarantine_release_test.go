package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// Fault: a part is released while the store is away. Its record must not stay: entries that
// start later would refuse the requests with it.
func TestStoreOutage_ReleasedPartIsRemovedAfterwards(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: sharedPart}, From: now, Until: now.Add(time.Minute)}
	assert.NilError(t, g.tryStoreQuarantine(record))
	d.waitUntil(func() bool { return len(g.quarantinedParts()) == 1 })
	d.store.SetFaults(kv.Faults{Outage: true})
	g.control.do(func() { g.control.recordSurvival(time.Now().Add(time.Second), "writer", []string{sharedPart, "last"}) })
	time.Sleep(200 * time.Millisecond)
	d.store.SetFaults(kv.Faults{})
	d.waitUntil(func() bool { return len(d.storeValues(platform.QuarantinePrefix)) == 0 })
}

// A part is released by the time its quarantine is stored.
func TestStore_QuarantineReleasedMeanwhileIsNotKept(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	now := time.Now()
	part := quarantine.Part{Service: "writer", ID: sharedPart}
	g.control.do(func() { g.control.recordSurvival(now.Add(time.Second), "writer", []string{sharedPart, "last"}) })
	g.storeQuarantine(quarantine.Record{Part: part, From: now, Until: now.Add(time.Minute)})
	assert.Equal(t, len(d.storeValues(platform.QuarantinePrefix)), 0)
}

// Fault: an entry is out of reach while a part is released, and goes on refusing requests with it.
func TestPeerUpdate_EntryThatMissedAReleaseIsToldAgain(t *testing.T) {
	d := newDeployment(t)
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitForPeers(first, second)
	now := time.Now()
	record := quarantine.Record{Part: quarantine.Part{Service: "writer", ID: sharedPart}, From: now.Add(-time.Second), Until: now.Add(time.Minute)}
	second.control.do(func() { second.control.quarantine.RecordSurvival(now, "writer", []string{sharedPart, "last"}) })
	first.control.do(func() { assert.Assert(t, first.control.quarantine.Adopt(now, record)) })
	d.waitUntil(func() bool { return len(first.quarantinedParts()) == 0 })
	assert.Equal(t, len(second.quarantinedParts()), 0)
}

// Load: ever new parts are quarantined and forgotten.
func TestQuarantine_NothingIsKeptOfPartsAfterTheEnd(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	now := time.Now()
	kept := func() int {
		n := 0
		g.control.do(func() { n = len(g.control.storedParts) + len(g.control.trials) + len(g.control.trialsDue) })
		return n
	}
	g.control.do(func() {
		c := g.control
		part := quarantine.Part{Service: "writer", ID: sharedPart}
		record := quarantine.Record{Part: part, From: now, Until: now.Add(300 * time.Millisecond), Stored: true}
		assert.Assert(t, c.quarantine.Adopt(now, record))
		c.quarantineParts([]quarantine.Record{record})
		c.storedParts[part], c.trials[part] = struct{}{}, struct{}{}
	})
	assert.Equal(t, kept(), 3)
	d.waitUntil(func() bool { return kept() == 0 })
}
