package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/admission"
)

// observeCalls makes a limit learn that calls take 60 ms, for an objective of 300 ms.
func observeCalls(l *admission.Limit) {
	for range 64 {
		l.RecordObjective(start, 300*time.Millisecond)
		l.RecordResponse(start, 60*time.Millisecond, false)
	}
}

// Without the short queue the fleet would idle whenever the entries' parts do not match the
// arrivals; a longer one would make calls late. Its wait is two fifths of the objective.
func TestLimit_ShortQueueWaitsTwoFifthsOfTheObjective(t *testing.T) {
	l := admission.NewLimit()
	l.SetFleet(admission.Fleet{Slots: 36, Entries: 1})
	assert.Equal(t, l.Total(), 72.0)
	observeCalls(l)
	queued := l.Total() - 36
	wait := time.Duration(queued / 36 * float64(60*time.Millisecond))
	assert.Assert(t, wait <= 120*time.Millisecond+time.Microsecond && wait > 115*time.Millisecond, "%s", wait)
}

// Whatever the demand of the entries, each has a place, and all together have no more than the
// limit, up to rounding, while the fleet is busy.
func TestLimit_IsDividedByDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 32).Draw(t, "demands")
		total := 0
		for _, demand := range demands {
			total += demand
		}
		places, limit := 0, 0.0
		for _, demand := range demands {
			l := admission.NewLimit()
			observeCalls(l)
			l.SetFleet(admission.Fleet{Slots: 36, Entries: len(demands), Demand: demand, PeerDemand: total - demand, PeersInFlight: 200})
			assert.Assert(t, l.Places(start) >= 1)
			places += l.Places(start)
			limit = l.Total()
		}
		assert.Assert(t, float64(places) <= limit+float64(len(demands)))
	})
}

// A part of one place must not make a burst wait while the fleet is idle.
func TestLimit_BurstUsesWhatOthersLeave(t *testing.T) {
	l := admission.NewLimit()
	observeCalls(l)
	fleet := admission.Fleet{Slots: 36, Entries: 32, Demand: 10, PeerDemand: 310, PeersInFlight: 14}
	l.SetFleet(fleet)
	assert.Assert(t, l.Places(start) > 36)
	fleet.PeersInFlight = 100
	l.SetFleet(fleet)
	assert.Assert(t, l.Places(start) <= 3)
	// A rejection is newer than what is known of the peers.
	fleet.PeersInFlight = 14
	l.SetFleet(fleet)
	l.RecordRejection(start)
	assert.Assert(t, l.Places(start.Add(100*time.Millisecond)) <= 3)
	assert.Assert(t, l.Places(start.Add(300*time.Millisecond)) > 36)
}

// An entry that knows nothing of its peers serves: it has the whole limit.
func TestLimit_EntryWithoutPeersServes(t *testing.T) {
	l := admission.NewLimit()
	l.SetFleet(admission.Fleet{Slots: 6, Entries: 1})
	assert.Equal(t, l.Places(start), 15)
}

func TestLimit_ShrinksWithRejectionsAndGrowsWithResponses(t *testing.T) {
	l := admission.NewLimit()
	observeCalls(l)
	l.SetFleet(admission.Fleet{Slots: 36, Entries: 4, Demand: 100, PeerDemand: 300, PeersInFlight: 100})
	before := l.Places(start)
	l.RecordRejection(start)
	// Rejections of calls that were under way together count once.
	once := l.Places(start)
	l.RecordRejection(start.Add(time.Millisecond))
	assert.Assert(t, once < before)
	assert.Equal(t, l.Places(start), once)
	for i := range 200 {
		l.RecordRejection(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	assert.Assert(t, l.Places(start) >= 1)
	for range 500 {
		l.RecordResponse(start, 60*time.Millisecond, false)
	}
	assert.Equal(t, l.Places(start), before)
}

// Targets that registered one slot but serve many calls at a time must not be throttled, and
// those whose responses slow down must not be overrun.
func TestLimit_GrowsWhileResponsesAreFast(t *testing.T) {
	l := admission.NewLimit()
	observeCalls(l)
	l.SetFleet(admission.Fleet{Slots: 1, Entries: 1})
	for range 2000 {
		l.RecordResponse(start, 60*time.Millisecond, true)
	}
	assert.Assert(t, l.Places(start) > 50, "%d places", l.Places(start))
	for range 100000 {
		l.RecordResponse(start, 160*time.Millisecond, true)
	}
	assert.Equal(t, l.Places(start), 3)
}

// Late calls take one and a half times the slots at most: the rest of the short queue is for those
// that can be on time.
func TestLimit_LateCallsTakeFreeSlots(t *testing.T) {
	l := admission.NewLimit()
	observeCalls(l)
	l.SetFleet(admission.Fleet{Slots: 36, Entries: 2, Demand: 100, PeerDemand: 100, PeersInFlight: 40})
	for range 27 {
		l.Start()
	}
	assert.Assert(t, l.Free(start) > 10)
	assert.Equal(t, l.FreeForLate(start), 0)
	l.End()
	assert.Equal(t, l.FreeForLate(start), 1)
}

// Targets that are slower than the objective make no request late at its arrival.
func TestLimit_LatestStart(t *testing.T) {
	l := admission.NewLimit()
	assert.Assert(t, l.LatestStart(start, 0).IsZero())
	observeCalls(l)
	latest := l.LatestStart(start, 300*time.Millisecond).Sub(start)
	assert.Assert(t, latest > 200*time.Millisecond && latest <= 240*time.Millisecond, "%s", latest)
	for range 200 {
		l.RecordResponse(start, 2*time.Second, false)
	}
	assert.Equal(t, l.LatestStart(start, 300*time.Millisecond).Sub(start), 75*time.Millisecond)
}

// A caller that was refused returns with what is left of its time.
func TestFirstAttempts_TellsReturningCallers(t *testing.T) {
	f := admission.NewFirstAttempts()
	assert.Equal(t, f.Elapsed(0), time.Duration(0))
	for i := range 100 {
		assert.Equal(t, f.Elapsed(3*time.Second-time.Duration(i%8)*time.Millisecond), time.Duration(0))
	}
	assert.Equal(t, f.Elapsed(2500*time.Millisecond), 500*time.Millisecond)
	// Half of the callers give another limit; the nearest counts.
	for range 64 {
		f.Elapsed(time.Second)
		f.Elapsed(3 * time.Second)
	}
	assert.Equal(t, f.Elapsed(time.Second), time.Duration(0))
	assert.Equal(t, f.Elapsed(700*time.Millisecond), 300*time.Millisecond)
}

// Where callers give all sorts of limits, as when they pass on what is left of their own
// callers' time, a short one says nothing.
func TestFirstAttempts_NothingIsKnownOfMixedLimits(t *testing.T) {
	f := admission.NewFirstAttempts()
	for i := range 1000 {
		limit := time.Duration(100+i*37%2900) * time.Millisecond
		if i%10 == 0 {
			limit = 3 * time.Second
		}
		assert.Equal(t, f.Elapsed(limit), time.Duration(0))
	}
}
