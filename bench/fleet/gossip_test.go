package fleet_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// await polls until condition holds. Its timeout of 1 minute allows for a busy machine.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after a minute: %s", what)
}

func activeEverywhere(f *fleet.Fleet, revision int64) bool {
	for _, member := range f.Members {
		if member.Agent.Status().Revision < revision {
			return false
		}
	}
	for _, e := range f.Entries {
		if e.Status().Revision < revision {
			return false
		}
	}
	return true
}

func TestRevisionGossip_ReachesLateEntryDuringStoreOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService,
		Domains: []string{"naxos", "paros", "syros"}, Entries: 5, Engines: 2,
		Engine: engine.DefaultConfig(salt, fleet.TrialVersion),
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	await(t, "three entries watch", func() bool { return f.Store.Calls().Watching == 3 })
	before := f.Entries[0].Status().Revision
	assert.NilError(t, f.Apply(ctx, fleet.TrialDocument()))
	await(t, "the new revision is active everywhere", func() bool { return activeEverywhere(f, before+1) })
	assert.Equal(t, f.Members[0].Agent.Status().StoreCalls.Total(), int64(0))

	f.Store.SetFaults(kv.Faults{Outage: true})
	active := f.Entries[0].Status().Revision
	lateEntry, err := f.AddEntry(ctx)
	assert.NilError(t, err)
	await(t, "the late entry has the active revision of its peers", func() bool { return lateEntry.Status().Revision == active })
	status := lateEntry.Status()
	assert.Assert(t, status.Source != "store")
	f.Store.SetFaults(kv.Faults{})
	await(t, "the store is watched again", func() bool { return f.Store.Calls().Watching == 3 && !lateEntry.Status().Stale })
}
