// Package kv is a small stand-in for the platform's key-value service: ranges,
// transactions, leases and watches, with switches for the faults of such a service. It
// speaks the published JSON gateway of etcd v3 and the protocol of the users' platform.
package kv

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// entry is the value of one key, with its revisions and lease.
type entry struct {
	value          []byte
	createRevision int64
	modRevision    int64
	version        int64
	lease          int64
}

// change is one event of the history.
type change struct {
	key     string
	entry   entry
	deleted bool
}

// lease is one lease that has not expired.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the state of the key-value service.
type Store struct {
	mu       sync.Mutex
	revision int64
	// era rises each time that the store goes back to an earlier state.
	era     int64
	entries map[string]entry
	leases  map[int64]lease
	lastID  int64
	// history holds the changes after the compacted revision, in order.
	history   []change
	compacted int64
	// recorded holds the changes of keys that begin with recordedPrefixes.
	recorded         []Change
	recordedPrefixes []string
	// entriesChanged is closed and replaced at every change.
	entriesChanged chan struct{}
	// watchesClosed is closed and replaced when running watches are closed.
	watchesClosed chan struct{}
	faults        Faults
	// writeTurn counts the writes that took a turn of the faults.
	writeTurn int
	random    *rand.Rand
	calls     Calls
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision:       1,
		era:            1,
		entries:        map[string]entry{},
		leases:         map[int64]lease{},
		entriesChanged: make(chan struct{}),
		watchesClosed:  make(chan struct{}),
		random:         rand.New(rand.NewPCG(1, 1)),
	}
}

// keysIn returns the keys in [key, end), or key alone when end is empty, in order.
func (s *Store) keysIn(key, end string) []string {
	var keys []string
	for k := range s.entries {
		if inRange(k, key, end) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (k < end || end == "\x00")
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.revision++
	e := s.entries[key]
	if e.createRevision == 0 {
		e.createRevision = s.revision
	}
	e.value = value
	e.modRevision = s.revision
	e.version++
	e.lease = leaseID
	key = strings.Clone(key)
	s.entries[key] = e
	s.appendChange(change{key: key, entry: e})
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.appendChange(change{key: key, entry: entry{modRevision: s.revision}, deleted: true})
}

func (s *Store) appendChange(c change) {
	s.history = append(s.history, c)
	if slices.ContainsFunc(s.recordedPrefixes, func(prefix string) bool { return strings.HasPrefix(c.key, prefix) }) {
		s.recorded = append(s.recorded, Change{Key: c.key, Value: c.entry.value, Revision: c.entry.modRevision, Removed: c.deleted, At: time.Now()})
	}
	close(s.entriesChanged)
	s.entriesChanged = make(chan struct{})
}

// Compact drops the history up to and including revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	at := sort.Search(len(s.history), func(i int) bool { return s.history[i].entry.modRevision > s.compacted })
	s.history = s.history[at:]
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Values returns the values of the keys that begin with prefix, in the order of the keys.
func (s *Store) Values(prefix string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	var values [][]byte
	for _, key := range s.keysIn("", "\x00") {
		if strings.HasPrefix(key, prefix) {
			values = append(values, s.entries[key].value)
		}
	}
	return values
}

// Put writes a key unconditionally.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Change is one change of a key. Value is empty if the key was removed.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
	At       time.Time
}

// RecordChanges makes Changes return the changes of all keys that begin with prefix from now on,
// compacted ones included.
func (s *Store) RecordChanges(prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedPrefixes = append(s.recordedPrefixes, prefixes...)
}

// Changes returns the recorded changes of all keys that begin with prefix, in order.
func (s *Store) Changes(prefix string) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for _, c := range s.recorded {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}
