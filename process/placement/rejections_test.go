package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

const usualCallTime = 60 * time.Millisecond

// newReplicaTable returns a table of application replicas in one failure domain.
func newReplicaTable(count int) *Table {
	t := NewTable()
	for i := range count {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: targetID(i), Address: "10.0.0.1:" + string(rune('1'+i))},
			Service:  "bookings", FailureDomain: "naxos", Slots: 6, Incarnation: 1,
		})
	}
	return t
}

func replicaRequirements() Requirements {
	return Requirements{Service: "bookings", FailureDomain: "naxos"}
}

// Full replicas that are asked again at once reject again, each time at the price of a retry.
func TestRejection_TargetIsNotAskedForAMoment(t *testing.T) {
	table := newReplicaTable(2)
	first, err := table.Pick(start, replicaRequirements())
	assert.NilError(t, err)
	table.RecordRejection(start, first.Target.ID, 1, usualCallTime)
	second, err := table.Pick(start, replicaRequirements())
	assert.NilError(t, err)
	assert.Assert(t, second.Target != first.Target)
	assert.Equal(t, table.FullFor(start, "bookings"), time.Duration(0))
	table.RecordRejection(start, second.Target.ID, 1, 2*usualCallTime)
	_, err = table.Pick(start, replicaRequirements())
	assert.Assert(t, err != nil)
	// Two of the six slots are free again on average after a third of the time of a call.
	wait := table.FullFor(start, "bookings")
	assert.Equal(t, wait, usualCallTime/3)
	choice, err := table.Pick(start.Add(wait), replicaRequirements())
	assert.NilError(t, err)
	assert.Equal(t, choice.Target, first.Target)
}

// A rejection says nothing about the next incarnation, and nothing while it is not known how
// long calls take.
func TestRejection_OfAnotherIncarnationIsIgnored(t *testing.T) {
	table := newReplicaTable(1)
	table.RecordRejection(start, targetID(0), 2, usualCallTime)
	table.RecordRejection(start, targetID(0), 1, 0)
	table.RecordRejection(start, "gone", 1, usualCallTime)
	_, err := table.Pick(start, replicaRequirements())
	assert.NilError(t, err)
}

// Slow targets must not be left alone for long: nothing says that they are still full.
func TestRejection_HoldIsBounded(t *testing.T) {
	table := newReplicaTable(1)
	table.RecordRejection(start, targetID(0), 1, time.Minute)
	assert.Equal(t, table.FullFor(start, "bookings"), maxRejectionHold)
}

// Callers of a service whose targets all asked for a backoff are refused at once, while those
// of one whose targets are full for a moment wait.
func TestRejection_IsNoBackoff(t *testing.T) {
	table := newReplicaTable(2)
	assert.Assert(t, !table.Reluctant(start, "bookings"))
	table.RecordRejection(start, targetID(0), 1, usualCallTime)
	table.RecordRejection(start, targetID(1), 1, usualCallTime)
	assert.Assert(t, !table.Reluctant(start, "bookings"))
	wait, unwilling := table.Unwilling(start, "bookings")
	assert.Assert(t, !unwilling && wait == 0)
	table.RecordBackoff(start, targetID(0), 1, time.Second)
	assert.Assert(t, !table.Reluctant(start, "bookings"))
	assert.Assert(t, table.FullFor(start, "bookings") > 0)
	table.RecordBackoff(start, targetID(1), 1, time.Second)
	assert.Assert(t, table.Reluctant(start, "bookings"))
	assert.Equal(t, table.FullFor(start, "bookings"), time.Duration(0))
}

// Slots of targets that are away are no part of the limit.
func TestUsableSlots_CountTargetsThatAreUp(t *testing.T) {
	table := newReplicaTable(4)
	assert.Equal(t, table.UsableSlots(start, "bookings"), 24)
	table.MarkDown(start, targetID(0))
	table.MarkDraining(start, targetID(1), 1)
	assert.Equal(t, table.UsableSlots(start, "bookings"), 12)
	// One that awaits its probe is a last resort.
	assert.Equal(t, table.UsableSlots(start.Add(time.Minute), "bookings"), 12)
	assert.Equal(t, table.UsableSlots(start, "writer"), 0)
}
