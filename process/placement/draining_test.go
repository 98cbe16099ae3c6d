package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// pickedTargets returns the targets that get work when some thousand prompts are placed,
// last resort included.
func pickedTargets(t *Table, now time.Time) map[request.TargetID]int {
	picked := map[request.TargetID]int{}
	for range 2000 {
		if choice, err := t.Pick(now, promptRequirements("")); err == nil {
			picked[choice.Target.ID]++
			t.AddAttempt(choice.Target.ID, promptRequirements(""))
		}
	}
	return picked
}

// A fleet is restarted in turn while the store is away: the responses alone say which
// incarnations drain.
func TestDraining_RollingRestartDuringStoreOutage(t *testing.T) {
	const targets = 6
	table := newEngineTable(targets)
	now := start
	for i := range targets {
		id := targetID(i)
		assert.Assert(t, table.MarkDraining(now, id, 1))
		assert.Assert(t, !table.MarkDraining(now, id, 1), "known twice")
		picked := pickedTargets(table, now)
		assert.Equal(t, picked[id], 0)
		assert.Equal(t, len(picked), targets-1)
		next := table.Get(id).Registration
		next.Incarnation = 2
		table.Register(next)
		assert.Equal(t, len(pickedTargets(table, now)), targets)
		now = now.Add(time.Second)
	}
}

// Registrations are read late, in any order, and expire while their targets run.
func TestDraining_CountsForOneIncarnation(t *testing.T) {
	table := newEngineTable(1)
	registration := table.Get(targetID(0)).Registration
	register := func(incarnation request.Incarnation) *Target {
		registration.Incarnation = incarnation
		return table.Register(registration)
	}
	assert.Assert(t, !table.MarkDraining(start, targetID(0), 2), "an incarnation that is not known")
	assert.Assert(t, !table.Get(targetID(0)).IsDraining())
	register(2)
	assert.Assert(t, table.MarkDraining(start, targetID(0), 2))
	assert.Assert(t, register(2).IsDraining(), "the registration of the same incarnation")
	assert.Assert(t, register(1).IsDraining(), "an earlier registration, read late")
	table.Remove(targetID(0))
	assert.Assert(t, register(2).IsDraining(), "a registration that expired and returned")
	registration.Address = "10.0.0.9:80"
	assert.Assert(t, register(2).IsDraining(), "another address")
	assert.Assert(t, !register(3).IsDraining(), "the next incarnation")
	assert.Assert(t, !table.MarkDraining(start, targetID(0), 2), "a late response of an earlier incarnation")
	assert.Assert(t, !table.Get(targetID(0)).IsDraining())
}

// The incarnation of a target that is not registered yet may be assumed.
func TestDraining_OfAssumedIncarnationCountsForTheTrueOne(t *testing.T) {
	table := newEngineTable(1)
	registration := table.Get(targetID(0)).Registration
	register := func(incarnation request.Incarnation, assumed bool) *Target {
		registration.Incarnation, registration.AssumedIncarnation = incarnation, assumed
		return table.Register(registration)
	}
	register(2, true)
	assert.Assert(t, table.MarkDraining(start, targetID(0), 2))
	assert.Assert(t, register(2, true).IsDraining(), "the same, adopted again")
	assert.Assert(t, register(70, false).IsDraining(), "its first registration")
	assert.Assert(t, register(70, false).IsDraining(), "a later registration")
	assert.Assert(t, !register(71, false).IsDraining(), "the next incarnation")
}

// A target that names no incarnation cannot be told from its successor.
func TestDraining_OfUnknownIncarnationEndsWithRegistration(t *testing.T) {
	table := newEngineTable(1)
	registration := table.Get(targetID(0)).Registration
	registration.Incarnation = 0
	table.Remove(targetID(0))
	table.Register(registration)
	assert.Assert(t, table.MarkDraining(start, targetID(0), 0))
	assert.Assert(t, table.Register(registration).IsDraining())
	table.Remove(targetID(0))
	assert.Assert(t, !table.Register(registration).IsDraining())
}

func TestDraining_TargetGetsNeitherCopiesNorProbes(t *testing.T) {
	table := newEngineTable(2)
	source, other := table.Get(targetID(0)), table.Get(targetID(1))
	assert.Equal(t, table.PickKVCopyTarget(start, source, promptRequirements("")), other)
	table.MarkDraining(start, other.ID, 1)
	assert.Assert(t, table.PickKVCopyTarget(start, source, promptRequirements("")) == nil)
	table.MarkDown(start, other.ID)
	assert.Equal(t, len(table.ProbeDue(start.Add(time.Minute))), 0)
	assert.Equal(t, len(table.Engines()), 1)
}

// What targets that are gone announced must not grow without bound.
func TestDraining_MemoryIsBounded(t *testing.T) {
	table := NewTable()
	now := start
	for i := range 2 * maxAnnouncements {
		now = now.Add(time.Millisecond)
		r := Registration{Endpoint: request.Endpoint{ID: targetID(i), Address: "10.0.0.1:80"}, Service: "writer", Incarnation: 1}
		table.Register(r)
		table.MarkDraining(now, r.ID, 1)
		if i > 0 {
			table.Remove(r.ID)
		}
	}
	assert.Equal(t, len(table.announcements), maxAnnouncements)
	assert.Assert(t, table.Get(targetID(0)).IsDraining())
	last := targetID(2*maxAnnouncements - 1)
	assert.Assert(t, table.Register(Registration{Endpoint: request.Endpoint{ID: last}, Service: "writer", Incarnation: 1}).IsDraining())
}

// The registration of a sound target is overwritten, and written again.
func TestSuspend_LastsUntilTargetRegisters(t *testing.T) {
	table := newEngineTable(2)
	registration := table.Get(targetID(0)).Registration
	table.AddAttempt(targetID(0), promptRequirements(""))
	assert.Assert(t, table.Suspend(targetID(0)))
	assert.Assert(t, !table.Suspend(targetID(0)), "suspended twice")
	assert.Assert(t, !table.Suspend("unknown"))
	assert.Equal(t, pickedTargets(table, start)[targetID(0)], 0)
	assert.Equal(t, table.Get(targetID(0)).InFlight, 1)
	table.Register(registration)
	assert.Assert(t, pickedTargets(table, start)[targetID(0)] > 0)
	assert.Equal(t, table.Get(targetID(0)).Incarnation, registration.Incarnation)
}
