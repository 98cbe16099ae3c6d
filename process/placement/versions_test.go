package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// newVersionTable returns a table of old and new targets of a service, added in an order that
// depends on seed, as entries learn of them.
func newVersionTable(oldCount, newCount, seed int) *Table {
	table := NewTable()
	for i := range oldCount + newCount {
		n := (i + seed) % (oldCount + newCount)
		version := "v1"
		if n >= oldCount {
			version = "v2"
		}
		table.Register(Registration{
			Endpoint: request.Endpoint{ID: request.TargetID(fmt.Sprintf("i-%03d", n)), Address: fmt.Sprintf("10.0.0.%d:1", n)},
			Service:  callService, FailureDomain: failureDomain(n), Slots: 6, Version: version, Incarnation: 1,
		})
	}
	return table
}

// picked returns the targets that picks choose while attempts pile up, in order.
func picked(t *testing.T, table *Table, filter VersionFilter) []request.TargetID {
	t.Helper()
	var ids []request.TargetID
	for i := range 200 {
		requirements := Requirements{Service: callService, Session: fmt.Sprint(i), Version: filter}
		choice, err := table.Pick(start, requirements)
		assert.NilError(t, err)
		table.AddAttempt(choice.Target.ID, requirements)
		if !slices.Contains(ids, choice.Target.ID) {
			ids = append(ids, choice.Target.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func idsOf(targets []*Target) []request.TargetID {
	var ids []request.TargetID
	for _, target := range targets {
		ids = append(ids, target.ID)
	}
	return ids
}

// Traffic meant for one version must reach no other.
func TestPick_VersionFilter(t *testing.T) {
	for _, c := range []struct {
		filter VersionFilter
		want   []request.TargetID
	}{
		{VersionFilter{}, []request.TargetID{"i-000", "i-001", "i-002", "i-003", "i-004", "i-005", "i-006", "i-900"}},
		{VersionFilter{Versions: []string{"v2"}}, []request.TargetID{"i-004", "i-005", "i-006"}},
		{VersionFilter{Versions: []string{"v2"}, Except: true}, []request.TargetID{"i-000", "i-001", "i-002", "i-003", "i-900"}},
		{VersionFilter{Versions: []string{""}}, []request.TargetID{"i-900"}},
		{VersionFilter{Except: true}, []request.TargetID{"i-000", "i-001", "i-002", "i-003", "i-004", "i-005", "i-006", "i-900"}},
	} {
		table := newVersionTable(4, 3, 0)
		table.Register(Registration{Endpoint: request.Endpoint{ID: "i-900", Address: "10.0.1.1:1"}, Service: callService, Slots: 6})
		assert.DeepEqual(t, picked(t, table, c.filter), c.want)
		assert.DeepEqual(t, table.Versions(callService), []string{"", "v1", "v2"})
		assert.Equal(t, len(table.Versions("other")), 0)
	}
}

// An attempt must not fall back on another version when the targets of its own are down, also not
// as a last resort, and a target must follow the version of its latest registration.
func TestPick_OtherVersionIsNoLastResort(t *testing.T) {
	table := newVersionTable(2, 1, 0)
	newOnly := Requirements{Service: callService, Version: VersionFilter{Versions: []string{"v2"}}}
	table.MarkDown(start, "i-002")
	_, err := table.Pick(start, newOnly)
	assert.ErrorContains(t, err, "of 1 targets, 0 are leaving, 1 down")
	choice, err := table.Pick(start.Add(maxDownPeriod), newOnly)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, request.TargetID("i-002"))
	assert.Equal(t, choice.RunnerUp, request.TargetID(""))
	changed := table.Get("i-000").Registration
	changed.Version = "v2"
	table.Register(changed)
	choice, err = table.Pick(start, newOnly)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, request.TargetID("i-000"))
}

// Entries that learned of the targets in any order must send to the same part of a version, of the
// size asked for; otherwise their sum covers all of it.
func TestPick_FractionIsTheSameInAllEntries(t *testing.T) {
	for fraction, want := range map[float64]int{0.001: 1, 0.1: 3, 0.101: 4, 0.5: 15, 0.99: 30, 1: 30, 0: 30} {
		filter := VersionFilter{Versions: []string{"v2"}, Fraction: fraction}
		first := picked(t, newVersionTable(10, 30, 0), filter)
		assert.Equal(t, len(first), want, "fraction %g", fraction)
		for seed := 7; seed < 40; seed += 11 {
			assert.DeepEqual(t, picked(t, newVersionTable(10, 30, seed), filter), first)
		}
	}
}

// A canary must come to all targets in turns: one that is at fault for its host may be any.
func TestPick_RotationUsesAllTargetsInTurns(t *testing.T) {
	table := newVersionTable(10, 30, 0)
	uses := map[request.TargetID]int{}
	for rotation := range int64(20) {
		targets := idsOf(table.allowed(callService, &VersionFilter{Versions: []string{"v2"}, Fraction: 0.1, Rotation: rotation}))
		assert.Equal(t, len(targets), 3)
		assert.DeepEqual(t, targets, idsOf(newVersionTable(10, 30, 7).allowed(callService, &VersionFilter{Versions: []string{"v2"}, Fraction: 0.1, Rotation: rotation})))
		for _, id := range targets {
			uses[id]++
		}
	}
	assert.Equal(t, len(uses), 30)
	for id, count := range uses {
		assert.Equal(t, count, 2, "target %s", id)
	}
	assert.Equal(t, len(table.allowed(callService, &VersionFilter{Fraction: 0.1, Rotation: math.MaxInt64})), 4)
	assert.Equal(t, len(table.allowed(callService, &VersionFilter{Fraction: 0.1, Rotation: -1})), 4)
}

// A larger part must hold the smaller one, and a restart under another ID must not move it: else a
// ramp would send to targets that have no warm caches.
func TestPick_FractionGrowsAndOutlastsRestarts(t *testing.T) {
	table := newVersionTable(0, 30, 0)
	var smaller []*Target
	for _, fraction := range []float64{0.1, 0.3, 0.6, 1} {
		larger := table.allowed(callService, &VersionFilter{Fraction: fraction})
		for _, target := range smaller {
			assert.Assert(t, slices.Contains(larger, target))
		}
		smaller = larger
	}
	filter := VersionFilter{Fraction: 0.1}
	before := table.allowed(callService, &filter)
	restarted := before[0].Registration
	restarted.ID, restarted.Incarnation = "i-500", 2
	table.Register(restarted)
	after := idsOf(table.allowed(callService, &filter))
	assert.Assert(t, slices.Contains(after, "i-500"), "%v, before %v", after, idsOf(before))
	for _, target := range before[1:] {
		assert.Assert(t, slices.Contains(after, target.ID))
	}
	draining := table.Get("i-500").Registration
	draining.Draining = true
	table.Register(draining)
	inUse := 0
	for _, target := range table.allowed(callService, &filter) {
		if !target.Draining && !target.replaced {
			inUse++
		}
	}
	assert.Equal(t, inUse, 3, "a target that drains must not take the place of one that serves")
}

// A copy that another version produced must not be gone on from. Where versions are unknown, as
// in registrations without one, copies are kept as before.
func TestPickKVCopyTarget_SameVersion(t *testing.T) {
	for _, c := range []struct {
		source, copy string
		want         bool
	}{{"v1", "v1", true}, {"v1", "v2", false}, {"v2", "v1", false}, {"", "v1", true}, {"v1", "", true}, {"", "", true}} {
		table := newEngineTable(2)
		for i, version := range []string{c.source, c.copy} {
			registration := table.Get(targetID(i)).Registration
			registration.Version = version
			table.Register(registration)
		}
		requirements := promptRequirements("s")
		requirements.Version = VersionFilter{Versions: []string{c.source}}
		target := table.PickKVCopyTarget(start, table.Get(targetID(0)), requirements)
		assert.Equal(t, target != nil, c.want, "from %q to %q", c.source, c.copy)
	}
}

// A request that only one version may get is refused at once when all targets of that version
// asked for none, whatever the others want.
func TestUnwillingAmong(t *testing.T) {
	table := newVersionTable(2, 2, 0)
	for _, id := range []request.TargetID{"i-002", "i-003"} {
		table.RecordBackoff(start, id, 1, time.Second)
	}
	_, unwilling := table.Unwilling(start, callService)
	assert.Assert(t, !unwilling)
	wait, unwilling := table.UnwillingAmong(start, callService, VersionFilter{Versions: []string{"v2"}, Fraction: 0.5})
	assert.Assert(t, unwilling)
	assert.Equal(t, wait, time.Second)
	_, unwilling = table.UnwillingAmong(start, callService, VersionFilter{Versions: []string{"v2"}, Except: true})
	assert.Assert(t, !unwilling)
}

func BenchmarkPick_VersionFilter(b *testing.B) {
	for name, filter := range map[string]VersionFilter{
		"all": {}, "one version": {Versions: []string{"v2"}}, "a tenth": {Versions: []string{"v2"}, Fraction: 0.1},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			table := newVersionTable(58, 58, 0)
			for b.Loop() {
				_, _ = table.Pick(start, Requirements{Service: callService, Version: filter})
			}
		})
	}
}
