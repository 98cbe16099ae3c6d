package rollout

import (
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

const (
	// duration is the time limit of the orders.
	duration = 12 * time.Second
	// longDuration is that of orders whose roll-outs are disturbed.
	longDuration = 20 * time.Second
	// callRate and streamRate are the requests a second of the loads.
	callRate   = 100
	streamRate = 16
)

// newCallDeployment returns a deployment with old and new replicas of the service of calls.
func newCallDeployment(t *testing.T, entryCount int) *deployment {
	t.Helper()
	d := newDeployment(t, entryCount)
	d.startReplicas(calls, oldVersion)
	d.startEntries()
	d.startReplicas(calls, newVersion)
	return d
}

// takeoverTime is how much longer a roll-out may take in which no entry lives to see the answer to its
// write: two seconds for each of the five takeovers.
const takeoverTime = 10 * time.Second

// completeCalls waits until the roll-out of the calls is completed, ends the old replicas and checks
// that this has cut off nothing and that nothing is written or sent to them any more.
func (d *deployment) completeCalls(load *load, limit time.Duration) {
	d.t.Helper()
	completedAt := d.awaitStateWithin(calls, platform.RolloutCompleted, limit)
	d.stopOldReplicas(calls)
	time.Sleep(3 * time.Second)
	d.checkNoneAtOldAfter(calls, completedAt)
	d.checkAllServed(load.stop())
	assert.Equal(d.t, len(d.statuses(calls)), 2, "%v", d.statuses(calls))
	d.t.Logf("stages %v, completed %s after the order", d.stages(calls), completedAt.Sub(d.orderedAt[calls]).Round(time.Millisecond))
}

// killActingEntry kills the entry that writes a record while due holds, before it has the answer, and
// starts it again a second later. It returns a counter of these.
func (d *deployment) killActingEntry(due func() bool) *atomic.Int64 {
	killed := &atomic.Int64{}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.afterCommit = func(e *entry) {
		if due() {
			killed.Add(1)
			e.signal(syscall.SIGKILL)
			time.AfterFunc(time.Second, e.start)
		}
	}
	return killed
}

// A roll-out of a good version must complete in time and cut off nothing: neither a call nor a
// stream that runs on an old replica when the status says that these may stop.
func TestGoodVersion_CompletesAndCutsOffNothing(t *testing.T) {
	d := newDeployment(t, 3)
	for _, version := range []string{oldVersion, newVersion} {
		d.startReplicas(calls, version)
		d.startReplicas(streams, version)
		if version == oldVersion {
			d.startEntries()
		}
	}
	load := d.startLoad(callRate, "/status/", "/book/", "/status/", "/status/", "/report/")
	time.Sleep(time.Second)
	d.order(calls, duration)
	d.order(streams, duration)
	for _, service := range []string{calls, streams} {
		completedAt := d.awaitState(service, platform.RolloutCompleted)
		d.stopOldReplicas(service)
		time.Sleep(time.Second)
		d.checkNoneAtOldAfter(service, completedAt)
	}
	d.checkAllServed(load.stop())
	d.checkPinned()
	for _, service := range []string{calls, streams} {
		assert.Equal(t, len(d.statuses(service)), 2)
	}
}

// A bad version must be rolled back, whatever its fault shows under, and stay within the bounds.
func TestBadVersion_IsRolledBackWithinBounds(t *testing.T) {
	for name, faults := range map[string]replica.VersionFaults{
		"fails on one route": {FailureShare: 0.5, PathPrefix: "/book/", Seed: 1},
		"slow":               {SlowShare: 0.5, SlowFactor: 6, Seed: 2},
		"fails later":        {FailureShare: 0.4, After: 4 * time.Second, Seed: 3},
		"fails under load":   {FailureShare: 0.6, AboveRunning: 1, Seed: 4},
	} {
		t.Run(name, func(t *testing.T) {
			d := newCallDeployment(t, 3)
			load := d.startLoad(callRate, "/status/", "/book/")
			time.Sleep(time.Second)
			d.fleet.SetVersionFaults(newVersion, faults)
			d.order(calls, duration)
			d.awaitState(calls, platform.RolloutRolledBack)
			time.Sleep(2 * time.Second)
			// All entries show operators the end, and why.
			shown := d.rollouts()
			t.Log(shown)
			assert.Equal(t, strings.Count(shown, rollout.RolledBack.String()+" "), len(d.entries))
			assert.Assert(t, strings.Contains(shown, "sends nothing to the new version: "))
			requests := load.stop()
			d.checkShare(calls)
			d.checkRolledBackInTime(calls, requests)
			assert.Equal(t, len(d.statuses(calls)), 2)
		})
	}
}

// A storm that hits both versions alike must roll nothing back.
func TestStorm_RollsNothingBack(t *testing.T) {
	d := newCallDeployment(t, 3)
	load := d.startLoad(callRate, "/status/", "/book/")
	time.Sleep(time.Second)
	d.order(calls, duration)
	for _, version := range []string{oldVersion, newVersion} {
		d.fleet.SetVersionFaults(version, replica.VersionFaults{FailureShare: 0.4, SlowShare: 0.3, SlowFactor: 4, Seed: 5})
	}
	d.awaitState(calls, platform.RolloutCompleted)
	load.stop()
}

// A stream that began on the old version must go on there when its engine crashes, also when all new
// streams go to the new version.
func TestStream_GoesOnAtItsVersionAfterCrash(t *testing.T) {
	d := newDeployment(t, 3)
	d.startReplicas(streams, oldVersion)
	d.startEntries()
	d.startReplicas(streams, newVersion)
	load := d.startLoad(streamRate, "/report/")
	time.Sleep(2 * time.Second)
	d.order(streams, duration)
	d.waitUntil(duration, "traffic moves", func() bool { return len(d.stages(streams)) > 1 })
	d.mu.Lock()
	crashed := d.replicas[streams+"-"+oldVersion+"-0"]
	d.mu.Unlock()
	crashed.Crash()
	d.store.Delete(platform.TargetPrefix + crashed.Config().ID)
	d.awaitState(streams, platform.RolloutCompleted)
	d.stopOldReplicas(streams)
	time.Sleep(time.Second)
	d.checkAllServed(load.stop())
	d.checkPinned()
	resumed := 0
	for _, execution := range d.fleet.ExecutionLog.Executions("") {
		if execution.Position > 0 && execution.Version == oldVersion {
			resumed++
		}
	}
	t.Logf("%d streams went on at the old version", resumed)
	assert.Assert(t, resumed > 0)
}

// The entry that acts is killed after one of its writes, before it has the answer. Others must take
// over from any stage in time, and the killed one, which starts again in the middle, must follow.
func TestActingEntry_DiesAfterAWrite(t *testing.T) {
	for _, stage := range []string{"canary 0", "ramping 1", "moved 0"} {
		t.Run(stage, func(t *testing.T) {
			d := newCallDeployment(t, 3)
			killed := d.killActingEntry(func() bool { return d.stage(calls) == stage })
			load := d.startLoad(callRate, "/status/", "/book/")
			time.Sleep(time.Second)
			d.order(calls, longDuration)
			d.completeCalls(load, longDuration)
			assert.Equal(t, killed.Load(), int64(1))
		})
	}
}

// An entry is killed after each write of the roll-out. However long the others need to take over, the
// roll-out must go on, and its guarantees hold.
func TestActingEntry_DiesAfterEachWrite(t *testing.T) {
	d := newCallDeployment(t, 4)
	killed := d.killActingEntry(func() bool { return true })
	load := d.startLoad(callRate, "/status/", "/book/")
	time.Sleep(time.Second)
	d.order(calls, longDuration)
	d.completeCalls(load, longDuration+takeoverTime)
	t.Logf("%d entries were killed", killed.Load())
	assert.Assert(t, killed.Load() >= 4)
}

// The entry that acts is paused after its first write and goes on when others have gone on with the
// roll-out: nothing it does then may set that back.
func TestActingEntry_PausedAfterItsFirstWrite(t *testing.T) {
	d := newCallDeployment(t, 3)
	paused := make(chan *entry, 1)
	d.mu.Lock()
	d.afterCommit = func(e *entry) {
		select {
		case paused <- e:
			e.signal(syscall.SIGSTOP)
			time.AfterFunc(5*time.Second, func() { e.signal(syscall.SIGCONT) })
		default:
		}
	}
	d.mu.Unlock()
	load := d.startLoad(callRate, "/status/", "/book/")
	time.Sleep(time.Second)
	d.order(calls, longDuration)
	d.completeCalls(load, longDuration)
	assert.Equal(t, len(paused), 1)
}

// The store is away in the middle. A good version must complete in time once it is back, and a bad
// one must lose its requests although nothing can be written.
func TestStoreOutage_Halfway(t *testing.T) {
	for name, bad := range map[string]bool{"good version": false, "bad version": true} {
		t.Run(name, func(t *testing.T) {
			d := newCallDeployment(t, 3)
			load := d.startLoad(callRate, "/status/", "/book/")
			time.Sleep(time.Second)
			d.order(calls, longDuration)
			d.waitUntil(duration, "the canary runs", func() bool { return len(d.stages(calls)) > 0 })
			time.Sleep(time.Second)
			d.store.SetFaults(kv.Faults{Outage: true})
			time.AfterFunc(4*time.Second, func() { d.store.SetFaults(kv.Faults{}) })
			if !bad {
				d.completeCalls(load, longDuration)
				return
			}
			d.fleet.SetVersionFaults(newVersion, replica.VersionFaults{FailureShare: 0.8, Seed: 6})
			d.awaitState(calls, platform.RolloutRolledBack)
			requests := load.stop()
			d.checkShare(calls)
			d.checkRolledBackInTime(calls, requests)
		})
	}
}

// Every second write is lost, or its answer, or it is applied 1.5 seconds after its connection broke.
// Each state must still be written once, and none after the last.
func TestStore_LostAndLateAnswers(t *testing.T) {
	d := newCallDeployment(t, 3)
	load := d.startLoad(callRate, "/status/", "/book/")
	time.Sleep(time.Second)
	d.store.SetFaults(kv.Faults{
		WriteTurns:    []kv.WriteFault{kv.AnswerLost, kv.WriteSound, kv.WriteLate, kv.WriteSound, kv.WriteLost, kv.WriteSound},
		WriteLateness: 1500 * time.Millisecond, OnlyKeys: platform.RolloutRecordPrefix,
	})
	d.order(calls, longDuration)
	d.completeCalls(load, longDuration)
}
