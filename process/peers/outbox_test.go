package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

// state is that of an entry with so many streams, which change at random.
type state struct {
	random *rand.Rand
	Update
}

func newState(seed uint64, streams int) *state {
	s := &state{random: rand.New(rand.NewPCG(seed, 1)), Update: Update{
		Entry: "entry", Incarnation: 1, Work: map[request.TargetID][3]int{}, KVCopies: map[string]KVCopy{},
	}}
	for range streams {
		s.change()
	}
	return s
}

// change begins a stream, or ends one, at some target.
func (s *state) change() {
	id := request.TargetID(fmt.Sprintf("i-%08x", s.random.IntN(94)))
	session := fmt.Sprintf("%08x", s.random.IntN(40))
	if s.random.IntN(2) == 0 {
		delete(s.Work, id)
		delete(s.KVCopies, session)
		return
	}
	s.Work[id] = [3]int{s.random.IntN(8000), 1 + s.random.IntN(3), 8000}
	s.KVCopies[session] = KVCopy{RequestID: request.ID(session), Target: id, Incarnation: 7}
}

func (s *state) message() Update {
	m := s.Update
	m.Work, m.KVCopies = maps.Clone(s.Work), maps.Clone(s.KVCopies)
	return m
}

func TestLostMessagesAreMadeGoodByThoseThatFollow(t *testing.T) {
	for seed := range uint64(50) {
		s := newState(seed, 20)
		outbox, known := NewUpdateScheduler(), Update{}
		now := start
		deliver := func(lost bool) {
			if m := outbox.Compose(now, s.message()); !lost {
				known = Merge(known, m)
			}
		}
		for range 400 {
			now = now.Add(time.Duration(s.random.IntN(60)) * time.Millisecond)
			s.change()
			deliver(s.random.IntN(3) == 0)
		}
		for range 3 {
			now = now.Add(wholeEvery / 2)
			deliver(false)
		}
		assert.DeepEqual(t, known.Work, s.Work)
		assert.DeepEqual(t, known.KVCopies, s.KVCopies)
	}
}

func TestNextLifeOfASenderStartsAnew(t *testing.T) {
	before := Update{Incarnation: 1, Work: map[request.TargetID][3]int{"e1": {1, 1, 1}}}
	after := Merge(before, Update{Incarnation: 2, Work: map[request.TargetID][3]int{"e2": {1, 1, 1}}})
	assert.DeepEqual(t, after.Work, map[request.TargetID][3]int{"e2": {1, 1, 1}})
}

// A failure domain is lost: for a second all of 26 entries have something new every
// few milliseconds. One of them has a link of 10 megabits a second.
func TestBurstOfChangesLeavesTheSlowestLinkFree(t *testing.T) {
	const entries, slowest = 26, 10.0
	total := 0
	for entry := range entries - 1 {
		s := newState(uint64(entry), 20)
		outbox := NewUpdateScheduler()
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
			s.change()
			if outbox.Delay(now) > 0 {
				continue
			}
			m := outbox.Compose(now, s.message())
			data, err := cbor.Marshal(m)
			assert.NilError(t, err)
			outbox.RecordSent(now, m, len(data)+datagramOverhead, entries-1, slowest)
			total += 8 * (len(data) + datagramOverhead)
		}
	}
	// Each sender may be one message ahead.
	assert.Assert(t, float64(total) < 1.5*linkShare*slowest*1e6, "%d bits", total)
}

func TestBriefMessageChangesNothingButTheWorkItNames(t *testing.T) {
	before := Update{
		Entry: "entry", Incarnation: 1, Sequence: 3, Ready: true, LinkMbps: 10, Usage: map[string][2]int{"writer": {5, 1}},
		Work:     map[request.TargetID][3]int{"e1": {0, 1, 8000}, "e2": {0, 2, 9000}},
		KVCopies: map[string]KVCopy{"s": {RequestID: "r", Target: "e3"}},
	}
	after := Merge(before, Update{
		Entry: "entry", Incarnation: 1, Sequence: 4, Partial: true, Work: map[request.TargetID][3]int{"e2": {7000, 2, 16000}},
	})
	want := before
	want.Work = map[request.TargetID][3]int{"e1": {0, 1, 8000}, "e2": {7000, 2, 16000}}
	assert.DeepEqual(t, after, want)
	assert.DeepEqual(t, before.Work["e2"], [3]int{0, 2, 9000})
}

// Brief messages go ahead of the share of the link, but not without end.
func TestBriefMessagesTakeTheirShareOfTheLink(t *testing.T) {
	const bytes, entries, linkMbps = 110, 25, 10
	outbox, now := NewUpdateScheduler(), start
	sent := 0
	for range 1000 {
		if outbox.PartialAllowed(now) {
			outbox.RecordSent(now, Update{Partial: true}, bytes, entries, linkMbps)
			sent++
		}
		now = now.Add(time.Millisecond)
	}
	bits := float64(8 * sent * bytes * entries)
	assert.Assert(t, bits <= linkMbps*1e6*briefShare*(1+2*briefAhead.Seconds()), "%d messages", sent)
	assert.Assert(t, sent > 15)
}
