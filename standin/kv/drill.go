package kv

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// eraHeader is the header in which the users' platform states the store's era.
const eraHeader = "Store-Era"

// Copy is the state of a store at a moment, to which it can go back.
type Copy struct {
	takenAt             time.Time
	revision, compacted int64
	entries             map[string]entry
	leases              map[int64]lease
	lastID              int64
	history             []change
}

// Copy returns the present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	return &Copy{
		takenAt: time.Now(), revision: s.revision, compacted: s.compacted, entries: maps.Clone(s.entries),
		leases: maps.Clone(s.leases), lastID: s.lastID, history: slices.Clone(s.history),
	}
}

// GoBack makes the store go back to an earlier state. What was written since is gone; revisions and
// lease IDs are given out again, and the era rises by one. Running watches are closed. Leases of the
// copy have the time left that they had when it was taken.
func (s *Store) GoBack(to *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compacted, s.lastID = to.revision, to.compacted, to.lastID
	s.entries, s.history = maps.Clone(to.entries), slices.Clone(to.history)
	away := time.Since(to.takenAt)
	s.leases = make(map[int64]lease, len(to.leases))
	for id, granted := range to.leases {
		granted.expires = granted.expires.Add(away)
		s.leases[id] = granted
	}
	s.era++
	close(s.watchesClosed)
	s.watchesClosed = make(chan struct{})
	close(s.entriesChanged)
	s.entriesChanged = make(chan struct{})
}

// GoBackAfter makes the store go back to an earlier state after an outage. Other faults end.
func (s *Store) GoBackAfter(outage time.Duration, to *Copy) {
	s.SetFaults(Faults{Outage: true})
	time.Sleep(outage)
	s.GoBack(to)
	s.SetFaults(Faults{})
}

// Items returns the values of the keys that begin with prefix, by key.
func (s *Store) Items(prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	items := map[string][]byte{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			items[key] = e.value
		}
	}
	return items
}

// Era returns the era, which rises by one each time that the store goes back.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// setEraHeader states an era in a response, unless the faults replace or leave out the header.
func setEraHeader(header http.Header, era int64, faults Faults) {
	text := strconv.FormatInt(era, 10)
	if len(faults.EraTexts) > 0 {
		text = faults.EraTexts[faults.eraTurn%len(faults.EraTexts)]
	}
	if text != "" {
		header.Set(eraHeader, text)
	}
}
