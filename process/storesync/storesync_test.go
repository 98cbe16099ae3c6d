package storesync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestLog_SinceIsCompleteOrSaysSo(t *testing.T) {
	var l Log
	_, complete := l.Since(5)
	assert.Assert(t, !complete, "an empty log knows nothing")
	l.Reset(10)
	for revision := int64(11); revision <= 10+2*maxLogChanges; revision++ {
		l.Append([]Change{{Key: "k", Revision: revision}}, revision)
	}
	_, complete = l.Since(10)
	assert.Assert(t, !complete, "changes were dropped")
	changes, complete := l.Since(l.Revision() - 3)
	assert.Assert(t, complete)
	assert.Equal(t, len(changes), 3)
	changes, complete = l.Since(l.Revision() + 5)
	assert.Assert(t, complete, "a newer revision lacks nothing that this log knows")
	assert.Equal(t, len(changes), 0)
}

func TestLog_LargeValuesAreDropped(t *testing.T) {
	var l Log
	l.Reset(1)
	for revision := int64(2); revision < 12; revision++ {
		l.Append([]Change{{Key: "k", Value: make([]byte, maxLogBytes/4), Revision: revision}}, revision)
	}
	assert.Assert(t, l.bytes <= maxLogBytes)
	_, complete := l.Since(1)
	assert.Assert(t, !complete)
}

// fleet returns the entries of failure domains by domain.
func fleet(domains, perDomain int) map[string][]string {
	entries := map[string][]string{}
	for d := range domains {
		for e := range perDomain {
			domain := fmt.Sprintf("d%d", d)
			entries[domain] = append(entries[domain], fmt.Sprintf("edge-%d-%d", d, e))
		}
	}
	return entries
}

func TestView_OneReaderWhateverTheSize(t *testing.T) {
	for _, perDomain := range []int{1, 2, 20, 200} {
		domains := fleet(5, perDomain)
		readers, relays := 0, 0
		asks, told := map[string]string{}, map[string]string{}
		for domain, entries := range domains {
			for _, self := range entries {
				v := NewView(self, domain, domains)
				if v.ReadsStore() {
					readers++
				}
				if v.isRelay {
					relays++
				} else {
					asks[self] = v.upstream
				}
				for _, entry := range v.Downstream() {
					if slices.Contains(entries, entry) && !slices.Contains(relaysOf(entries), entry) {
						told[entry] = self
					}
				}
			}
		}
		assert.Equal(t, readers, 1)
		assert.Equal(t, relays, len(domains)*((perDomain+entriesPerRelay-1)/entriesPerRelay))
		assert.DeepEqual(t, asks, told)
	}
}

// Guards against a relay that sends each change to all entries of a large failure domain: at 300
// entries one of them sent nine times the mean.
func TestView_EntriesOfARelayAreBounded(t *testing.T) {
	for _, perDomain := range []int{10, 33, 100, 300, 1000} {
		domains := fleet(3, perDomain)
		most := 0
		for domain, entries := range domains {
			for _, self := range relaysOf(entries) {
				v := NewView(self, domain, domains)
				most = max(most, len(v.Downstream()))
			}
		}
		t.Logf("%d entries: a relay has at most %d", 3*perDomain, most)
		relays := 3 * ((perDomain + entriesPerRelay - 1) / entriesPerRelay)
		assert.Assert(t, most <= 3*entriesPerRelay/2+relays)
	}
}

func TestSchedule_FailedRelayIsReplacedByAnotherThenByTheStore(t *testing.T) {
	domains := fleet(3, 4)
	relay := relaysOf(domains["d0"])[0]
	self := domains["d0"][(slices.Index(domains["d0"], relay)+1)%4]
	v := NewView(self, "d0", domains)
	var s Schedule
	assert.Equal(t, s.Next(v), relay)
	s.RecordNoAnswer()
	assert.Assert(t, slices.Contains(v.otherRelays, s.Next(v)))
	s.RecordNoAnswer()
	assert.Equal(t, s.Next(v), "")
	s.RecordRead(true)
	assert.Equal(t, s.Next(v), relay)
}

// The other relays ask the same entry, so their knowledge does not replace its answer.
func TestSchedule_RelayWithoutAnswerReadsTheStoreAtOnce(t *testing.T) {
	domains := fleet(3, 4)
	for domain := range domains {
		v := NewView(relaysOf(domains[domain])[0], domain, domains)
		if v.ReadsStore() {
			continue
		}
		var s Schedule
		assert.Equal(t, s.Next(v), v.upstream)
		s.RecordNoAnswer()
		assert.Equal(t, s.Next(v), "")
	}
}

// The store turns one host away and serves all others.
func TestSchedule_EntryTurnedAwayAsksRelays(t *testing.T) {
	domains := fleet(3, 4)
	relay := relaysOf(domains["d0"])[0]
	v := NewView(domains["d0"][(slices.Index(domains["d0"], relay)+1)%4], "d0", domains)
	only := NewView(v.self, "d0", map[string][]string{"d0": domains["d0"]})
	single := Schedule{}
	single.RecordRead(false)
	assert.Equal(t, single.Next(only), relay, "the only failure domain")
	var s Schedule
	reads := 0
	for range 50 {
		s.RecordRead(false)
		reads++
		for s.Next(v) != "" {
			s.RecordAnswer()
		}
	}
	assert.Equal(t, reads, 50)
	s.RecordRead(false)
	for range maxAsksAfterFailure {
		assert.Assert(t, s.Next(v) != "")
	}
	assert.Equal(t, s.Next(v), "", "the store is tried again")
}

func TestAnswer_AgeLimitFollowsTheRevocationBound(t *testing.T) {
	domains := fleet(2, 3)
	for domain, entries := range domains {
		for _, self := range entries {
			v := NewView(self, domain, domains)
			a := Answer{Age: 900 * time.Millisecond}
			assert.Assert(t, a.Usable(v.MaxAge(0)))
			assert.Assert(t, a.Usable(v.MaxAge(5*time.Second)))
			assert.Assert(t, !a.Usable(v.MaxAge(2*time.Second)))
			a.Age = -time.Millisecond
			assert.Assert(t, !a.Usable(v.MaxAge(0)), "an age below zero")
		}
	}
}

// modelEntry is an entry of the model: its copy of the store and when that was confirmed, on
// its own clock, which has an offset from the model's time.
type modelEntry struct {
	log         Log
	keys        map[string]int64
	confirmedAt time.Duration
	clockOffset time.Duration
}

func (e *modelEntry) apply(changes []Change, revision int64, confirmedAt time.Duration) {
	for _, change := range changes {
		if change.Revision <= e.log.Revision() {
			continue
		}
		if change.Removed {
			delete(e.keys, change.Key)
		} else {
			e.keys[change.Key] = change.Revision
		}
	}
	if e.log.Revision() == 0 {
		e.log.Reset(revision)
	}
	e.log.Append(changes, revision)
	e.confirmedAt = max(e.confirmedAt, confirmedAt)
}

// question is a question under way, or its answer.
type question struct {
	from, to int
	revision int64
	asked    time.Duration
	answer   *Answer
}

// Entries read the store, ask each other with any delay, and are suspended at any moment. No
// entry may take its knowledge for newer than it is: what was removed before the time of the
// confirmation is gone.
func TestModel_ConfirmedKnowledgeHoldsAllEarlierChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Change
		var committed []time.Duration
		now := time.Duration(0)
		entries := make([]*modelEntry, 4)
		for i := range entries {
			entries[i] = &modelEntry{keys: map[string]int64{}, clockOffset: time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "offset"))}
			entries[i].confirmedAt = -1 << 62
		}
		var underWay []question
		entryIndex := rapid.IntRange(0, len(entries)-1)
		commit := func() {
			history = append(history, Change{
				Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Revision: int64(len(history) + 1),
				Removed: rapid.Bool().Draw(t, "removed"),
			})
			committed = append(committed, now)
		}
		commit()
		check := func(e *modelEntry) {
			want := map[string]int64{}
			for i, change := range history {
				if committed[i] > e.confirmedAt-e.clockOffset {
					break
				}
				if change.Removed {
					delete(want, change.Key)
				} else {
					want[change.Key] = change.Revision
				}
				if change.Revision > e.log.Revision() {
					t.Fatalf("confirmed at %s without revision %d of %s", e.confirmedAt-e.clockOffset, change.Revision, committed[i])
				}
			}
			for key, revision := range e.keys {
				if revision < want[key] {
					t.Fatalf("%s is held at revision %d, older than %d", key, revision, want[key])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(1, 5e9).Draw(t, "time")) },
			"commit": func(*rapid.T) {
				now++
				commit()
			},
			"read": func(t *rapid.T) {
				e := entries[entryIndex.Draw(t, "reader")]
				after := e.log.Revision()
				e.apply(history[after:], int64(len(history)), now+e.clockOffset)
				check(e)
			},
			"ask": func(t *rapid.T) {
				from, to := entryIndex.Draw(t, "from"), entryIndex.Draw(t, "to")
				if entries[from].log.Revision() > 0 {
					underWay = append(underWay, question{
						from: from, to: to, revision: entries[from].log.Revision(), asked: now + entries[from].clockOffset,
					})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(underWay) == 0 {
					return
				}
				i := rapid.IntRange(0, len(underWay)-1).Draw(t, "message")
				q := &underWay[i]
				if q.answer == nil {
					to := entries[q.to]
					changes, complete := to.log.Since(q.revision)
					q.answer = &Answer{
						Revision: to.log.Revision(), Age: now + to.clockOffset - to.confirmedAt,
						Changes: slices.Clone(changes), Incomplete: !complete,
					}
					return
				}
				e := entries[q.from]
				if !q.answer.Incomplete {
					e.apply(q.answer.Changes, q.answer.Revision, q.answer.ConfirmedAt(q.asked))
					check(e)
				}
				underWay = slices.Delete(underWay, i, i+1)
			},
		})
	})
}
