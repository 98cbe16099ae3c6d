package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

// testEntry is an entry whose streams start and end at random.
type testEntry struct {
	random *rand.Rand
	Update
}

func newTestEntry(seed uint64, streams int) *testEntry {
	e := &testEntry{random: rand.New(rand.NewPCG(seed, 1)), Update: Update{
		Entry: "entry", Incarnation: 1, Work: map[request.TargetID][3]int{}, Runs: map[kvcopies.Number]kvcopies.Run{},
	}}
	for range streams {
		e.change()
	}
	return e
}

// change starts or ends a stream at a random target.
func (e *testEntry) change() {
	id := request.TargetID(fmt.Sprintf("i-%08x", e.random.IntN(94)))
	run := e.random.IntN(40)
	if e.random.IntN(2) == 0 {
		delete(e.Work, id)
		delete(e.Runs, kvcopies.Number(run))
		return
	}
	e.Work[id] = [3]int{e.random.IntN(8000), 1 + e.random.IntN(3), 8000}
	requestID := request.ID(fmt.Sprintf("%08x", run))
	e.Runs[kvcopies.Number(run)] = kvcopies.Run{
		ID: requestID, Identity: request.Identity{byte(run)}, Copy: kvcopies.Copy{RequestID: requestID, Target: id, Incarnation: 7},
	}
}

func (e *testEntry) update() Update {
	update := e.Update
	update.Work, update.Runs = maps.Clone(e.Work), maps.Clone(e.Runs)
	return update
}

func TestCompose_LaterUpdatesRepairLostOnes(t *testing.T) {
	for seed := range uint64(50) {
		e := newTestEntry(seed, 20)
		scheduler, received := NewUpdateScheduler(), Update{}
		now := start
		deliver := func(lost bool) {
			if update := scheduler.Compose(now, e.update()); !lost {
				received = Merge(received, update)
			}
		}
		for range 400 {
			now = now.Add(time.Duration(e.random.IntN(60)) * time.Millisecond)
			e.change()
			deliver(e.random.IntN(3) == 0)
		}
		for range 3 {
			now = now.Add(fullUpdateInterval / 2)
			deliver(false)
		}
		assert.DeepEqual(t, received.Work, e.Work)
		assert.DeepEqual(t, received.Runs, e.Runs)
	}
}

func TestMerge_NewIncarnationDiscardsPreviousState(t *testing.T) {
	before := Update{Incarnation: 1, Work: map[request.TargetID][3]int{"e1": {1, 1, 1}}}
	after := Merge(before, Update{Incarnation: 2, Work: map[request.TargetID][3]int{"e2": {1, 1, 1}}})
	assert.DeepEqual(t, after.Work, map[request.TargetID][3]int{"e2": {1, 1, 1}})
}

// After the failure of a failure domain, all of 26 entries have changes every few
// milliseconds for a second. One of them has a link of 10 megabits a second.
func TestCompose_BurstStaysWithinShareOfSlowestLink(t *testing.T) {
	const entries, slowestMbps = 26, 10.0
	totalBits := 0
	for entry := range entries - 1 {
		e := newTestEntry(uint64(entry), 20)
		scheduler := NewUpdateScheduler()
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
			e.change()
			if scheduler.Delay(now) > 0 {
				continue
			}
			update := scheduler.Compose(now, e.update())
			data, err := cbor.Marshal(update)
			assert.NilError(t, err)
			scheduler.RecordSent(now, update, len(data)+datagramOverhead, entries-1, slowestMbps)
			totalBits += 8 * (len(data) + datagramOverhead)
		}
	}
	// Each sender may be one update ahead of its share.
	assert.Assert(t, float64(totalBits) < 1.5*updateLinkShare*slowestMbps*1e6, "%d bits", totalBits)
}

func TestMerge_PartialUpdateChangesOnlyNamedWork(t *testing.T) {
	before := Update{
		Entry: "entry", Incarnation: 1, Sequence: 3, Ready: true, LinkMbps: 10, Usage: map[string][2]int{"writer": {5, 1}},
		Work: map[request.TargetID][3]int{"e1": {0, 1, 8000}, "e2": {0, 2, 9000}},
		Runs: map[kvcopies.Number]kvcopies.Run{1: {ID: "r", Copy: kvcopies.Copy{RequestID: "r", Target: "e3"}}},
	}
	after := Merge(before, Update{
		Entry: "entry", Incarnation: 1, Sequence: 4, Partial: true, Work: map[request.TargetID][3]int{"e2": {7000, 2, 16000}},
	})
	want := before
	want.Work = map[request.TargetID][3]int{"e1": {0, 1, 8000}, "e2": {7000, 2, 16000}}
	assert.DeepEqual(t, after, want)
	assert.DeepEqual(t, before.Work["e2"], [3]int{0, 2, 9000})
}

// Partial updates may exceed their share of the link, but only by a bounded backlog.
func TestPartialAllowed_StaysWithinLinkShare(t *testing.T) {
	const bytes, entries, linkMbps = 110, 25, 10
	scheduler, now := NewUpdateScheduler(), start
	sent := 0
	for range 1000 {
		if scheduler.PartialAllowed(now) {
			scheduler.RecordSent(now, Update{Partial: true}, bytes, entries, linkMbps)
			sent++
		}
		now = now.Add(time.Millisecond)
	}
	bits := float64(8 * sent * bytes * entries)
	assert.Assert(t, bits <= linkMbps*1e6*partialLinkShare*(1+2*maxPartialBacklog.Seconds()), "%d messages", sent)
	assert.Assert(t, sent > 15)
}

// Guards against less urgent prompts that are remembered at a target after they have been read, and
// against deltas that hold those of all targets.
func TestMerge_DeferredTokensFollowTheWork(t *testing.T) {
	scheduler, received, now := NewUpdateScheduler(), Update{}, start
	state := func(work ...placement.Work) Update {
		update := Update{Entry: "entry", Incarnation: 1, Work: map[request.TargetID][3]int{}}
		for i, w := range work {
			update.SetWork(request.TargetID(fmt.Sprint("e", i)), w)
		}
		return update
	}
	waiting := placement.Work{PrefillTokens: 8000, Deferred: [2]int{8000, 8000}}
	begun := placement.Work{PrefillTokens: 8000}
	for i, test := range []struct {
		work []placement.Work
		// sent is how many targets the update names with deferred tokens.
		sent int
	}{
		{[]placement.Work{waiting, waiting}, 2}, {[]placement.Work{waiting, {Decoding: 1}}, 2}, {[]placement.Work{begun, waiting}, 1}, {nil, 0},
	} {
		now = now.Add(3 * fullUpdateInterval)
		scheduler.lastFull = now
		if i == 0 {
			scheduler.lastFull = time.Time{}
		}
		update := scheduler.Compose(now, state(test.work...))
		assert.Assert(t, len(update.Deferred) <= test.sent, "update %d", i)
		received = Merge(received, update)
		want := map[request.TargetID]placement.Work{}
		for j, w := range test.work {
			// Deferred tokens that change alone are told with the next full update.
			if w != begun {
				want[request.TargetID(fmt.Sprint("e", j))] = w
			}
		}
		got := received.PeerState().Work
		if len(test.work) > 0 && test.work[0] == begun {
			delete(got, "e0")
		}
		assert.DeepEqual(t, got, want)
	}
	partial := Merge(received, Update{Entry: "entry", Incarnation: 1, Partial: true, Work: map[request.TargetID][3]int{"e5": {8000, 0, 0}}, Deferred: map[request.TargetID][2]int{"e5": {8000, 0}}})
	assert.DeepEqual(t, partial.PeerState().Work["e5"], placement.Work{PrefillTokens: 8000, Deferred: [2]int{8000, 0}})
}

// previousUpdate is the part of Update that the previous build had.
type previousUpdate struct {
	Full  bool                        `cbor:"13,keyasint,omitempty"`
	Entry string                      `cbor:"1,keyasint"`
	Work  map[request.TargetID][3]int `cbor:"4,keyasint,omitempty"`
}

// Guards against updates that entries of the previous build cannot read during a change of builds,
// and against bytes for engines that are not news.
func TestUpdate_PreviousBuildReadsIt(t *testing.T) {
	update := Update{Entry: "entry", Full: true, Work: map[request.TargetID][3]int{}}
	update.SetWork("e1", placement.Work{PrefillTokens: 8000, Deferred: [2]int{8000, 0}})
	before, err := cbor.Marshal(update)
	assert.NilError(t, err)
	update.SetSpeeds(map[request.TargetID]float64{})
	same, err := cbor.Marshal(update)
	assert.NilError(t, err)
	assert.DeepEqual(t, same, before)
	update.SetSpeeds(map[request.TargetID]float64{"e1": 0.55, "e2": 3.449})
	data, err := cbor.Marshal(update)
	assert.NilError(t, err)
	var previous previousUpdate
	assert.NilError(t, cbor.Unmarshal(data, &previous))
	assert.DeepEqual(t, previous, previousUpdate{Full: true, Entry: "entry", Work: map[request.TargetID][3]int{"e1": {8000, 0, 0}}})
	var received Update
	assert.NilError(t, cbor.Unmarshal(data, &received))
	speeds := map[request.TargetID]float64{}
	received.EachSpeed(func(id request.TargetID, relativeTime float64) { speeds[id] = relativeTime })
	assert.DeepEqual(t, speeds, map[request.TargetID]float64{"e1": 0.55, "e2": 3.45})
}
