package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
	"github.com/mulberrylane/mulberrylane/version"
)

// startVersion starts three application replicas of a version.
func (d *deployment) startVersion(name string) {
	d.t.Helper()
	for i := range 3 {
		d.startReplica(replica.Config{
			ID: fmt.Sprintf("%s-%d", name, i), Service: "bookings", FailureDomain: "naxos", CallTime: 20 * time.Millisecond,
			Slots: 6, Version: name,
		})
	}
}

// startRolloutEntries starts entries that serve roll-outs, and waits until they know each other.
func (d *deployment) startRolloutEntries(count int) []*Gateway {
	d.t.Helper()
	var entries []*Gateway
	for i := range count {
		settings := d.entrySettings(fmt.Sprintf("entry-%d", i))
		settings.Bounds.CanaryShare, settings.Bounds.CanarySlack = 0.1, 50
		// Requests with keys are served during an outage of the store.
		settings.Bounds.RevokeWithin = version.Duration(time.Minute)
		settings.Bounds.RollbackWithin = version.Duration(5 * time.Second)
		entries = append(entries, d.startEntryWith(settings))
	}
	for _, g := range entries {
		d.waitUntil(func() bool {
			heard := 0
			g.control.do(func() { heard = len(g.control.peerLastSeen) })
			return g.ready() && heard == count-1 && g.targetCount() > 0
		})
	}
	return entries
}

// order orders a service to be moved to v2.
func (d *deployment) order(service string, duration time.Duration) {
	d.t.Helper()
	value, err := json.Marshal(map[string]any{"Service": service, "Target": "v2", "DurationS": duration.Seconds()})
	assert.NilError(d.t, err)
	d.store.Put(platform.RolloutOrderPrefix+service, value)
}

// rolloutState returns the state in the status of a service, or "".
func (d *deployment) rolloutState(service string) string {
	for _, value := range d.storeValues(platform.RolloutStatusPrefix + service) {
		status, err := platform.DecodeRolloutStatus(platform.Item{Value: value})
		assert.NilError(d.t, err)
		return status.State
	}
	return ""
}

// awaitRolloutState waits until the status of a service has a state, for longer than the limit of
// the order in the test.
func (d *deployment) awaitRolloutState(service, state string, limit time.Duration) {
	d.t.Helper()
	deadline := time.Now().Add(limit)
	for d.rolloutState(service) != state {
		if time.Now().After(deadline) {
			d.t.Fatalf("the roll-out of %s is %q, not %q, after %s", service, d.rolloutState(service), state, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// executions returns how many requests targets of a version have run.
func (d *deployment) executions(version string) int {
	count := 0
	for _, execution := range d.fleet.ExecutionLog.Executions("") {
		if execution.Version == version {
			count++
		}
	}
	return count
}

// rolloutSummary returns what an entry knows of the only roll-out.
func (g *Gateway) rolloutSummary() rollout.Summary {
	summary := rollout.Summary{}
	g.control.do(func() {
		for _, s := range g.control.rollouts.Summaries(time.Now()) {
			summary = s
		}
	})
	return summary
}

// callLoad sends calls to entries in turns until it is stopped.
type callLoad struct {
	stop           context.CancelFunc
	done           sync.WaitGroup
	sent, newSent  atomic.Int64
	failed, others atomic.Int64
}

// startLoad sends a hundred calls a second.
func (d *deployment) startLoad(entries []*Gateway) *callLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &callLoad{stop: cancel}
	ticker := time.NewTicker(10 * time.Millisecond)
	l.done.Go(func() {
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			g := entries[i%len(entries)]
			l.done.Go(func() {
				req := statusRequest()
				response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
				if err != nil {
					l.failed.Add(1)
					return
				}
				defer func() { _ = response.Body.Close() }()
				l.sent.Add(1)
				if response.StatusCode != http.StatusOK {
					l.others.Add(1)
				}
				if replica.ResponseVersion(response.Header) == "v2" {
					l.newSent.Add(1)
				}
			})
		}
	})
	d.t.Cleanup(l.end)
	return l
}

func (l *callLoad) end() {
	l.stop()
	l.done.Wait()
}

// TestRollout_GoodVersionIsCompleted guards against a good version that is not completed in time,
// calls that fail meanwhile, and old replicas that still get requests.
func TestRollout_GoodVersionIsCompleted(t *testing.T) {
	d := newDeployment(t)
	d.startVersion("v1")
	entries := d.startRolloutEntries(3)
	load := d.startLoad(entries)
	d.startVersion("v2")
	time.Sleep(time.Second)
	const limit = 10 * time.Second
	d.order("bookings", limit)
	d.awaitRolloutState("bookings", platform.RolloutRunning, 3*time.Second)
	d.awaitRolloutState("bookings", platform.RolloutCompleted, limit)
	before := d.executions("v1")
	time.Sleep(time.Second)
	load.end()
	assert.Equal(t, load.failed.Load()+load.others.Load(), int64(0))
	assert.Equal(t, d.executions("v1"), before, "an old replica got a request after the end")
}

// TestRollout_BadVersionIsRolledBack guards against too many requests to a bad version and calls
// that fail although the old version is well.
func TestRollout_BadVersionIsRolledBack(t *testing.T) {
	d := newDeployment(t)
	d.startVersion("v1")
	entries := d.startRolloutEntries(3)
	load := d.startLoad(entries)
	d.fleet.SetVersionFaults("v2", replica.VersionFaults{FailureShare: 0.5, Seed: 1})
	const limit = 20 * time.Second
	d.order("bookings", limit)
	time.Sleep(2 * time.Second)
	d.startVersion("v2")
	d.awaitRolloutState("bookings", platform.RolloutRolledBack, limit)
	time.Sleep(time.Second)
	load.end()
	before := load.newSent.Load()
	again := d.startLoad(entries)
	time.Sleep(time.Second)
	again.end()
	assert.Equal(t, again.newSent.Load(), int64(0), "a version that was rolled back got a request")
	assert.Equal(t, load.others.Load(), int64(0), "a call of which a retry was possible failed")
	assert.Assert(t, before <= 50+load.sent.Load()/10, "%d of %d", before, load.sent.Load())
}

// TestRollout_StoreOutage guards against requests to a bad version while no status can be written.
func TestRollout_BadVersionGetsNothingDuringStoreOutage(t *testing.T) {
	d := newDeployment(t)
	d.startVersion("v1")
	entries := d.startRolloutEntries(3)
	load := d.startLoad(entries)
	d.startVersion("v2")
	time.Sleep(time.Second)
	const limit = 40 * time.Second
	d.order("bookings", limit)
	for _, g := range entries {
		d.waitUntil(func() bool { return g.rolloutSummary().Stage == rollout.Canary })
	}
	d.store.SetFaults(kv.Faults{Outage: true})
	d.fleet.SetVersionFaults("v2", replica.VersionFaults{FailureShare: 1, Seed: 1})
	for _, g := range entries {
		deadline := time.Now().Add(15 * time.Second)
		for g.rolloutSummary().Rejected == "" {
			assert.Assert(t, time.Now().Before(deadline), "the entry found nothing against the version")
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(100 * time.Millisecond)
	before := d.executions("v2")
	time.Sleep(2 * time.Second)
	assert.Equal(t, d.executions("v2"), before)
	assert.Equal(t, d.rolloutState("bookings"), platform.RolloutRunning)
	d.store.SetFaults(kv.Faults{})
	d.awaitRolloutState("bookings", platform.RolloutRolledBack, 10*time.Second)
	load.end()
	assert.Equal(t, load.others.Load(), int64(0))
}

// TestRollout_StreamStaysWithItsVersion guards against a stream that resumes on another version, or
// is cut off because its version is replaced.
func TestRollout_StreamStaysWithItsVersion(t *testing.T) {
	d := newDeployment(t)
	d.configure(func(config map[string]any) { config["Routes"].([]any)[0].(map[string]any)["TimeoutMs"] = 20000 })
	engine := func(id, failureDomain, name string) *replica.Replica {
		return d.startReplica(replica.Config{
			ID: id, Service: "writer", FailureDomain: failureDomain, Engine: true, EventCount: testEvents, Version: name,
			PrefillTime: 60 * time.Millisecond, EventInterval: 400 * time.Millisecond, Slots: 128,
		})
	}
	first, second := engine("old-1", "naxos", "v1"), engine("old-2", "paros", "v1")
	g := d.startRolloutEntries(1)[0]
	engine("new-1", "naxos", "v2")
	engine("new-2", "paros", "v2")
	const limit = 12 * time.Second
	d.order("writer", limit)
	d.awaitRolloutState("writer", platform.RolloutRunning, 3*time.Second)
	// Its 8 s begin before the move and end after it.
	time.Sleep(2 * time.Second)
	var req *callerRequest
	var reader *streamReader
	var source *replica.Replica
	for source == nil {
		// The canary gets some.
		req = streamRequest()
		req.DeadlineRemaining = 20 * time.Second
		reader = d.openStream(context.Background(), g, req)
		reader.skipTo(t, 2)
		switch d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target {
		case "old-1":
			source = first
		case "old-2":
			source = second
		}
	}
	d.waitUntil(func() bool { return g.rolloutSummary().Stage >= rollout.Moved })
	assert.Equal(t, d.rolloutState("writer"), platform.RolloutRunning, "completed with a running stream")
	source.Crash()
	reader.expectRest(t, req.AttemptID, 2)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 2)
	for _, execution := range executions {
		assert.Equal(t, execution.Version, "v1")
	}
	d.awaitRolloutState("writer", platform.RolloutCompleted, limit)
	req = streamRequest()
	reader = d.openStream(context.Background(), g, req)
	reader.skipTo(t, 1)
	assert.Equal(t, d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Version, "v2")
}
