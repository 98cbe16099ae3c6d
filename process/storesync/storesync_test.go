package storesync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns a position in the first era.
func at(revision int64) Position { return Position{Era: 1, Revision: revision} }

func TestHistory_SinceIsCompleteOrSaysSo(t *testing.T) {
	var h History
	_, _, complete := h.Since(at(5))
	assert.Assert(t, !complete, "an empty history knows nothing")
	h.List(nil, at(10))
	for revision := int64(11); revision <= 10+2*maxKeptChanges; revision++ {
		h.Append([]Change{{Key: fmt.Sprint(revision), Revision: revision, Era: 1}}, at(revision))
	}
	_, _, complete = h.Since(at(10))
	assert.Assert(t, !complete, "changes were dropped")
	changes, _, complete := h.Since(at(h.Position().Revision - 3))
	assert.Assert(t, complete)
	assert.Equal(t, len(changes), 3)
	changes, _, complete = h.Since(at(h.Position().Revision + 5))
	assert.Assert(t, complete, "a newer revision lacks nothing that this history knows")
	assert.Equal(t, len(changes), 0)
}

// A store without eras goes back. Entries at positions that it had before may know what is gone.
func TestHistory_PositionsBeforeAStoreWithoutErasWentBackAreLost(t *testing.T) {
	none := func(revision int64) Position { return Position{Revision: revision} }
	var h History
	h.List([]Change{{Key: "a", Revision: 90}}, none(100))
	h.List([]Change{{Key: "a", Revision: 70}}, none(80))
	h.Append([]Change{{Key: "b", Revision: 110}}, none(110))
	for revision, known := range map[int64]bool{79: false, 80: true, 81: false, 100: false, 101: true, 110: true} {
		_, _, complete := h.Since(none(revision))
		assert.Equal(t, complete, known, "revision %d", revision)
	}
}

func TestHistory_LargeValuesAreDropped(t *testing.T) {
	var h History
	h.List(nil, at(1))
	for revision := int64(2); revision < 12; revision++ {
		h.Append([]Change{{Key: fmt.Sprint(revision), Value: make([]byte, maxKeptBytes/4), Revision: revision, Era: 1}}, at(revision))
	}
	assert.Assert(t, h.bytes <= maxKeptBytes)
	_, _, complete := h.Since(at(1))
	assert.Assert(t, !complete)
}

// A configuration changes several times a second. Its earlier values must neither displace the changes of
// targets nor be sent.
func TestHistory_SupersededValuesAreDroppedFirst(t *testing.T) {
	var h History
	h.List(nil, at(1))
	h.Append([]Change{{Key: "target", Value: []byte("leaving"), Revision: 2, Era: 1}}, at(2))
	for revision := int64(3); revision < 60; revision++ {
		h.Append([]Change{{Key: "configuration", Value: make([]byte, maxKeptBytes/4), Revision: revision, Era: 1}}, at(revision))
	}
	assert.Assert(t, h.bytes <= maxKeptBytes)
	changes, bridged, complete := h.Since(at(1))
	assert.Assert(t, complete && !bridged)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Key, "target")
	assert.Equal(t, changes[1].Revision, int64(59))
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
				v := NewView(self, domain, domains, nil)
				if v.ReadsStore() {
					readers++
				}
				if v.isRelay {
					relays++
				} else {
					asks[self] = v.upstream
				}
				for _, entry := range v.Downstream() {
					if slices.Contains(entries, entry) && !slices.Contains(relaysOf(entries, nil), entry) {
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
			for _, self := range relaysOf(entries, nil) {
				v := NewView(self, domain, domains, nil)
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
	relay := relaysOf(domains["d0"], nil)[0]
	self := domains["d0"][(slices.Index(domains["d0"], relay)+1)%4]
	v := NewView(self, "d0", domains, nil)
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
		v := NewView(relaysOf(domains[domain], nil)[0], domain, domains, nil)
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
	relay := relaysOf(domains["d0"], nil)[0]
	v := NewView(domains["d0"][(slices.Index(domains["d0"], relay)+1)%4], "d0", domains, nil)
	only := NewView(v.self, "d0", map[string][]string{"d0": domains["d0"]}, nil)
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
			v := NewView(self, domain, domains, nil)
			a := Answer{Age: 900 * time.Millisecond}
			assert.Assert(t, a.Usable(v.MaxAge(0)))
			assert.Assert(t, a.Usable(v.MaxAge(5*time.Second)))
			assert.Assert(t, !a.Usable(v.MaxAge(2*time.Second)))
			a.Age = -time.Millisecond
			assert.Assert(t, !a.Usable(v.MaxAge(0)), "an age below zero")
		}
	}
}

// The relays and the reader of the incident had links of 10 megabits a second, beside entries with 200.
func TestView_SlowLinksNeitherReadNorRelay(t *testing.T) {
	domains, links := fleet(4, 6), Links{}
	for _, entries := range domains {
		for i, entry := range entries {
			links[entry] = 10
			if i%3 == 0 {
				links[entry] = 200
			}
		}
	}
	readers := 0
	for domain, entries := range domains {
		for _, self := range entries {
			v := NewView(self, domain, domains, links)
			if v.ReadsStore() {
				readers++
			}
			assert.Equal(t, links[v.upstream], 200.0)
			assert.Assert(t, !v.isRelay || links[self] == 200)
		}
	}
	assert.Equal(t, readers, 1)
}

// With a fleet of slow links, of ample ones or of unknown ones the choice is that of the hash alone, and a domain
// that has only slow links keeps a relay.
func TestView_LinksThatAreMuchAlikeDoNotCount(t *testing.T) {
	domains := fleet(3, 90)
	for name, links := range map[string]Links{"unknown": {}, "slow": {}, "ample": {}, "one domain": {}} {
		for domain, entries := range domains {
			for i, entry := range entries {
				switch name {
				case "slow":
					links[entry] = float64(10 + i%10)
				case "ample":
					links[entry] = float64(ampleLinkMbps * (1 + i%5))
				case "one domain":
					if links[entry] = 10; domain != "d0" {
						links[entry] = 200
					}
				}
			}
		}
		for domain, entries := range domains {
			assert.DeepEqual(t, relaysOf(entries, links), relaysOf(entries, nil))
			assert.Equal(t, len(relaysOf(entries, links)), 3)
			v := NewView(entries[0], domain, domains, links)
			if name == "one domain" {
				assert.Assert(t, domain == "d0" || !slices.Contains(domains["d0"], v.upstream), "a relay with a slow link reads the store")
				continue
			}
			assert.Equal(t, v.upstream, NewView(entries[0], domain, domains, nil).upstream)
		}
	}
	// Fewer fast links than relays.
	links := Links{domains["d1"][5]: 200}
	relays := relaysOf(domains["d1"], links)
	assert.Equal(t, len(relays), 3)
	assert.Equal(t, relays[0], domains["d1"][5])
}
