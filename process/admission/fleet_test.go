package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// catalogueKinds are the usual calls of the catalogue deployment, licencesKinds those of the
// other one: some may run at most once, the others are hedged.
var (
	catalogueKinds = []simKind{{name: "once", rate: 189}, {name: "repeatable", rate: 44, idempotent: true}}
	licencesKinds  = []simKind{{name: "once", rate: 202}, {name: "repeatable", rate: 81, idempotent: true}}
)

// calmLoad is the usual load, at which a fifth to half of the slots are in use.
func calmLoad() simLoad {
	return simLoad{
		seed: 1, entries: 32, targets: 6, kinds: catalogueKinds, duration: 34 * time.Second,
		minUpdate: 100 * time.Millisecond, maxUpdate: 500 * time.Millisecond,
	}
}

// crowdLoad is three times the usual demand for 8 s.
func crowdLoad() simLoad {
	l := calmLoad()
	l.demand = duringOverload(1.0, 3)
	return l
}

// halfAwayLoad is twice the usual demand for 8 s, while half of the targets are away.
func halfAwayLoad() simLoad {
	l := calmLoad()
	l.demand, l.away = duringOverload(1.0, 2), duringOverload(0, 3)
	return l
}

// slowLoad is the usual load while a third of the targets, in turns, are 3.5 times as slow.
func slowLoad() simLoad {
	l := calmLoad()
	l.slow, l.slowFactor, l.slowPeriod = 2, 3.5, 4*time.Second
	return l
}

// licences turns a load into that of the licences deployment.
func licences(l simLoad) simLoad {
	l.entries, l.targets, l.kinds = 21, 7, licencesKinds
	l.slow, l.slowFactor, l.slowPeriod = 1, 2.5, 600*time.Millisecond
	return l
}

func duringOverload[T any](otherwise, during T) func(at time.Duration) T {
	return func(at time.Duration) T {
		if at >= overloadFrom && at < overloadUntil {
			return during
		}
		return otherwise
	}
}

// Without queues at the entries, replicas reject two of five arrivals in an overload, and most
// responses are late. The bounds are the goals of docs/demands.md: under 5% of arrivals rejected
// and a fifth more calls on time. Of the overload of half the targets only the calls that are
// sent meanwhile are compared, since the others are on time anyway.
func TestFleet_OverloadIsServedOnTime(t *testing.T) {
	for name, load := range map[string]simLoad{
		"crowd": crowdLoad(), "half away": halfAwayLoad(),
		"crowd, licences": licences(crowdLoad()), "half away, licences": licences(halfAwayLoad()),
	} {
		t.Run(name, func(t *testing.T) {
			atOnce, queued := runSimulation(load, simPolicy{atOnce: true}), runSimulation(load, simPolicy{})
			t.Logf("at once: %s", atOnce)
			t.Logf("queued:  %s", queued)
			assert.Assert(t, float64(queued.rejections) < 0.05*float64(queued.arrivals))
			assert.Assert(t, float64(queued.overload.onTime) >= 1.2*float64(atOnce.overload.onTime),
				"%d of %d on time, %d when sent at once", queued.overload.onTime, queued.overload.calls, atOnce.overload.onTime)
			assert.Assert(t, queued.worth() > atOnce.worth())
			assert.Assert(t, queued.retries < atOnce.retries)
		})
	}
}

// At the usual load, or while some targets are slow, nothing may wait for its entry's part of
// the limit: 36 slots over 32 entries are 1.1 places each.
func TestFleet_NothingWaitsWhileThereIsRoom(t *testing.T) {
	for name, load := range map[string]simLoad{
		"calm": calmLoad(), "calm, licences": licences(calmLoad()), "slow targets": slowLoad(),
	} {
		t.Run(name, func(t *testing.T) {
			atOnce, queued := runSimulation(load, simPolicy{atOnce: true}), runSimulation(load, simPolicy{})
			t.Logf("at once: %s", atOnce)
			t.Logf("queued:  %s", queued)
			assert.Assert(t, queued.waited*1000 <= queued.calls, "%d of %d calls waited", queued.waited, queued.calls)
			assert.Equal(t, queued.refused+queued.lost, atOnce.refused+atOnce.lost)
		})
	}
}

// An entry whose peers are silent serves as if it were alone, no worse than without a queue.
func TestFleet_SilentPeersCostLittle(t *testing.T) {
	for name, load := range map[string]simLoad{"calm": calmLoad(), "crowd": crowdLoad()} {
		t.Run(name, func(t *testing.T) {
			load.maxUpdate = 0
			atOnce, queued := runSimulation(load, simPolicy{atOnce: true}), runSimulation(load, simPolicy{})
			t.Logf("at once: %s", atOnce)
			t.Logf("queued:  %s", queued)
			assert.Assert(t, float64(queued.onTime) >= 0.95*float64(atOnce.onTime))
		})
	}
}

// While the entries are upgraded, peers of the previous build report their demand alone.
func TestFleet_PeersOfPreviousBuild(t *testing.T) {
	for name, load := range map[string]simLoad{"calm": calmLoad(), "crowd": crowdLoad(), "half away": halfAwayLoad()} {
		t.Run(name, func(t *testing.T) {
			load.previousBuild = true
			atOnce, queued := runSimulation(load, simPolicy{atOnce: true}), runSimulation(load, simPolicy{})
			t.Logf("at once: %s", atOnce)
			t.Logf("queued:  %s", queued)
			assert.Assert(t, float64(queued.onTime) >= 0.99*float64(atOnce.onTime))
		})
	}
}

// In an overload no kind of call is served less than a quarter as often as all together, and
// none more often than a more urgent one.
func TestFleet_LessUrgentCallsAreNotStarved(t *testing.T) {
	load := crowdLoad()
	load.kinds = []simKind{{name: "urgent", rank: 0, rate: 80}, {name: "usual", rank: 1, rate: 80}, {name: "background", rank: 2, rate: 70}}
	// The whole run is an overload, so that no kind is served before or after it.
	load.duration = overloadUntil
	load.demand = func(time.Duration) float64 { return 5 }
	r := runSimulation(load, simPolicy{})
	all := simKindResult{calls: r.calls, served: r.onTime + r.late}
	urgent, usual, background := r.kinds["urgent"], r.kinds["usual"], r.kinds["background"]
	t.Logf("%s; served: urgent %.3f usual %.3f background %.3f", r, urgent.servedShare(), usual.servedShare(), background.servedShare())
	assert.Assert(t, background.servedShare() >= all.servedShare()/4)
	assert.Assert(t, usual.servedShare() >= background.servedShare())
	assert.Assert(t, urgent.servedShare() >= usual.servedShare())
}

// Compares the alternatives of docs/design/admission.md. None of them may be better than what is
// used by more than runs differ.
func TestFleet_Alternatives(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison for the design note")
	}
	always := func(newest bool) func(*urgencyQueue) bool { return func(*urgencyQueue) bool { return newest } }
	alternatives := []struct {
		name   string
		policy simPolicy
	}{
		{"first come, first served", simPolicy{fifo: true, newest: always(false)}},
		{"earliest start first", simPolicy{newest: always(false)}},
		{"newest first", simPolicy{newest: always(true)}},
		{"own part only", simPolicy{noBorrowing: true}},
		{"late calls alike", simPolicy{lateAlike: true}},
		{"returns unknown", simPolicy{unknownReturns: true}},
	}
	for name, load := range map[string]simLoad{"crowd": crowdLoad(), "half away": halfAwayLoad()} {
		used := runSimulation(load, simPolicy{})
		t.Logf("%s, used: %s", name, used)
		for _, alternative := range alternatives {
			r := runSimulation(load, alternative.policy)
			t.Logf("%s, %s: %s", name, alternative.name, r)
			assert.Assert(t, used.worth() >= 0.98*r.worth(), "%s", alternative.name)
		}
	}
}
