package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

const callService = "bookings"

// newCallTable returns a table of application targets.
func newCallTable(count int) *Table {
	t := NewTable()
	for i := range count {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: targetID(i), Address: "10.0.1.1:" + string(targetID(i))}, Service: callService,
			FailureDomain: failureDomain(i), Slots: 6, Incarnation: 1,
		})
	}
	return t
}

// loadReplay replays calls to targets of which some are full and shed for a while.
type loadReplay struct {
	table *Table
	// shedUntil and retryAfter describe when targets shed and what they then ask for.
	shedUntil  map[request.TargetID]time.Time
	retryAfter time.Duration
	arrivals   map[request.TargetID][]time.Time
	// refusals holds the times of responses that asked for no requests.
	refusals map[request.TargetID][]time.Time
	refused  int
	running  []replayedCall
}

type replayedCall struct {
	target            request.TargetID
	startedAt, endsAt time.Time
	shed              bool
}

const callTime, refusalTime = 40 * time.Millisecond, 5 * time.Millisecond

// advance ends the calls that end before now.
func (r *loadReplay) advance(now time.Time) {
	var running []replayedCall
	for _, call := range r.running {
		if now.Before(call.endsAt) {
			running = append(running, call)
			continue
		}
		r.table.RemoveAttempt(call.target, Requirements{}, false)
		if call.shed {
			r.table.RecordBackoff(call.endsAt, call.target, 1, r.retryAfter)
			r.refusals[call.target] = append(r.refusals[call.target], call.endsAt)
		} else {
			r.table.RecordAccepted(call.startedAt, call.target)
		}
	}
	r.running = running
}

// arrive places a call.
func (r *loadReplay) arrive(now time.Time) {
	r.advance(now)
	choice, err := r.table.Pick(now, Requirements{Service: callService, FailureDomain: failureDomain(0)})
	if err != nil {
		r.refused++
		return
	}
	id := choice.Target.ID
	r.table.AddAttempt(id, Requirements{})
	r.arrivals[id] = append(r.arrivals[id], now)
	call := replayedCall{target: id, startedAt: now, endsAt: now.Add(callTime), shed: now.Before(r.shedUntil[id])}
	if call.shed {
		call.endsAt = now.Add(refusalTime)
	}
	r.running = append(r.running, call)
}

func newLoadReplay(targets int, retryAfter time.Duration) *loadReplay {
	return &loadReplay{
		table: newCallTable(targets), retryAfter: retryAfter, shedUntil: map[request.TargetID]time.Time{},
		arrivals: map[request.TargetID][]time.Time{}, refusals: map[request.TargetID][]time.Time{},
	}
}

// between counts the times after one moment and before another.
func between(times []time.Time, after, before time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) && at.Before(before) {
			count++
		}
	}
	return count
}

// Some or all targets shed for six seconds while 300 calls a second arrive.
func TestBackoff_SheddingTargetsUnderLoad(t *testing.T) {
	const targets = 4
	for _, shedding := range []int{1, targets} {
		r := newLoadReplay(targets, 1700*time.Millisecond)
		for i := range shedding {
			r.shedUntil[targetID(i)] = start.Add(6 * time.Second)
		}
		end := start.Add(9 * time.Second)
		for now := start; now.Before(end); now = now.Add(time.Second / 300) {
			r.arrive(now)
		}
		for i := range shedding {
			id := targetID(i)
			assert.Assert(t, len(r.refusals[id]) >= 4, "%s answered %d times", id, len(r.refusals[id]))
			for _, refusal := range r.refusals[id] {
				count := between(r.arrivals[id], refusal.Add(refusalTime), refusal.Add(r.retryAfter))
				assert.Assert(t, count == 0, "%d requests reached %s after it asked for none", count, id)
			}
			assert.Assert(t, between(r.arrivals[id], start.Add(8*time.Second), end) > 10, "%s gets no work again", id)
		}
		assert.Equal(t, r.refused > 0, shedding == targets)
	}
}

// An entry is paused until after the end of the backoff. When it wakes up, what waited there
// is not sent to the target at once, and work returns when the target accepts a request.
func TestBackoff_WokenEntryReturnsGradually(t *testing.T) {
	r := newLoadReplay(1, 500*time.Millisecond)
	r.shedUntil[targetID(0)] = start.Add(time.Millisecond)
	r.arrive(start)
	wake := start.Add(10 * time.Second)
	for range 100 {
		r.arrive(wake)
	}
	assert.Equal(t, len(r.arrivals[targetID(0)]), 2)
	assert.Equal(t, r.refused, 99)
	for range 3 {
		r.arrive(wake.Add(callTime))
	}
	assert.Equal(t, len(r.arrivals[targetID(0)]), 5)
}

// Until the target accepts a request it gets one at intervals, not only one.
func TestBackoff_OneAttemptPerIntervalUntilOneIsAccepted(t *testing.T) {
	table := newCallTable(1)
	table.RecordBackoff(start, targetID(0), 1, time.Second)
	placed := 0
	for now := start.Add(time.Second); now.Before(start.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		if _, err := table.Pick(now, Requirements{Service: callService}); err == nil {
			placed++
		}
	}
	assert.Equal(t, placed, int(time.Second/recoveryInterval))
	table.RecordAccepted(start, targetID(0))
	now := start.Add(2 * time.Second)
	_, err := table.Pick(now, Requirements{Service: callService})
	assert.NilError(t, err)
	_, err = table.Pick(now, Requirements{Service: callService})
	assert.ErrorContains(t, err, "of 1 targets, 0 are leaving, 0 down and 1 backing off")
	table.RecordAccepted(now, targetID(0))
	for range 3 {
		_, err = table.Pick(now, Requirements{Service: callService})
		assert.NilError(t, err)
	}
}

func TestBackoff_LatestEndCountsForOneIncarnation(t *testing.T) {
	table := newCallTable(1)
	id := targetID(0)
	registration := table.Get(id).Registration
	assert.Assert(t, table.RecordBackoff(start, id, 1, 4*time.Second))
	assert.Assert(t, !table.RecordBackoff(start, id, 1, time.Second), "it has begun before")
	assert.Assert(t, !table.RecordBackoff(start, id, 1, 0))
	assert.Assert(t, !table.RecordBackoff(start, id, 1, -time.Second))
	assert.Assert(t, !table.RecordBackoff(start, id, 2, time.Hour), "an incarnation that is not known")
	assert.Assert(t, table.Get(id).BackingOff(start.Add(4*time.Second-1)))
	assert.Assert(t, !table.Get(id).BackingOff(start.Add(4*time.Second)))
	table.RecordBackoff(start.Add(time.Second), id, 1, 100*365*24*time.Hour)
	assert.Assert(t, table.Register(registration).BackingOff(start.AddDate(90, 0, 0)), "registered again")
	table.Remove(id)
	assert.Assert(t, table.Register(registration).BackingOff(start.AddDate(90, 0, 0)), "expired and returned")
	registration.Incarnation = 2
	assert.Assert(t, !table.Register(registration).BackingOff(start.Add(2*time.Second)), "the next incarnation")
	assert.Assert(t, !table.RecordBackoff(start, id, 1, time.Hour), "a late response of the earlier one")
	next := registration
	next.ID = "next"
	assert.Assert(t, !table.Register(next).BackingOff(start), "another target at the address")
	assert.Equal(t, len(table.TakeEndedBackoffs(start.Add(3*time.Second))), 0, "the incarnation has ended")
}

func TestBackoff_EndIsTakenOnce(t *testing.T) {
	table := newCallTable(2)
	for i := range 2 {
		table.RecordBackoff(start, targetID(i), 1, time.Duration(i+1)*time.Second)
	}
	assert.Equal(t, len(table.TakeEndedBackoffs(start)), 0)
	for i := range 2 {
		now := start.Add(time.Duration(i+1) * time.Second)
		ended := table.TakeEndedBackoffs(now)
		assert.Equal(t, len(ended), 1)
		assert.Equal(t, ended[0].ID, targetID(i))
		assert.Equal(t, len(table.TakeEndedBackoffs(now)), 0)
	}
}

// A stream that was lost resumes from its KV copy at a target that is full, but not many.
func TestBackoff_ReservedForResumes(t *testing.T) {
	table := newEngineTable(2)
	target := table.Get(targetID(0))
	for range 2 {
		ok, reserved := target.TakeResume(start)
		assert.Assert(t, ok && !reserved)
	}
	table.RecordBackoff(start, target.ID, 1, time.Minute)
	ok, reserved := target.TakeResume(start)
	assert.Assert(t, ok && reserved)
	table.RecordBackoff(start.Add(time.Second), target.ID, 1, time.Minute)
	ok, _ = target.TakeResume(start.Add(2 * time.Second))
	assert.Assert(t, !ok)
	assert.Equal(t, pickedTargets(table, start)[target.ID], 0)
}

// A target that is full has not failed.
func TestBackoff_LeavesHealthAlone(t *testing.T) {
	table := newEngineTable(2)
	source, target := table.Get(targetID(0)), table.Get(targetID(1))
	table.RecordBackoff(start, target.ID, 1, time.Minute)
	assert.Assert(t, !target.Down(start) && !target.AwaitingProbe())
	assert.Equal(t, table.DownCount(start), 0)
	assert.Equal(t, len(table.FailureRates(start)), 0)
	assert.Assert(t, table.PickKVCopyTarget(start, source, promptRequirements("")) == nil)
	table.MarkDown(start, target.ID)
	assert.Equal(t, len(table.ProbeDue(start.Add(30*time.Second))), 0)
	assert.Equal(t, len(table.ProbeDue(start.Add(time.Minute))), 1)
}

func TestUnwilling_NamesEarliestEnd(t *testing.T) {
	table := newCallTable(3)
	expect := func(wait time.Duration, unwilling bool) {
		t.Helper()
		gotWait, got := table.Unwilling(start, callService)
		assert.Equal(t, gotWait, wait)
		assert.Equal(t, got, unwilling)
	}
	expect(0, false)
	table.RecordBackoff(start, targetID(0), 1, 3*time.Second)
	table.RecordBackoff(start, targetID(1), 1, 2*time.Second)
	expect(0, false)
	table.MarkDraining(start, targetID(2), 1)
	expect(2*time.Second, true)
	table.MarkDown(start, targetID(1))
	expect(2*time.Second, true)
	table.MarkReplaced(targetID(1))
	expect(3*time.Second, true)
	table.MarkDraining(start, targetID(0), 1)
	expect(0, true)
}
