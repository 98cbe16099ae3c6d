// Package directory implements a soft-state directory that maps an idempotency key
// to the target that runs its request. Each location is kept by the agents that
// rank first for the key and is stored nowhere else. If a location is lost, a
// caller that reconnects by key alone gets a new generation.
package directory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// ReplicationFactor is how many agents keep the location of a key.
	ReplicationFactor = 2
	// LookupFanout is how many agents are asked for a location; it is larger than
	// ReplicationFactor because processes may know different sets of agents.
	LookupFanout = 3
	// Retention is how long a location is kept.
	Retention = 10 * time.Minute
	// maxLocations bounds the number of locations at one agent.
	maxLocations = 1 << 16
)

// Rank returns targets ordered by their rendezvous hash for a key, highest first.
func Rank(workspace, key string, targets []request.TargetID) []request.TargetID {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b request.TargetID) int {
		x, y := score(workspace, key, a), score(workspace, key, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return ranked
}

func score(workspace, key string, target request.TargetID) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + key + "\x00" + string(target))
}

type lookupKey struct{ workspace, service, key string }

type storedLocation struct {
	location  wire.Location
	expiresAt time.Time
}

// Table holds the locations that one agent keeps. It is not safe for concurrent use.
type Table struct {
	locations map[lookupKey]storedLocation
	// insertionOrder lists keys by the time of their first Put, oldest first.
	insertionOrder []lookupKey
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{locations: map[lookupKey]storedLocation{}} }

// Put stores location unless a newer one is known for its key.
func (t *Table) Put(now time.Time, location wire.Location) {
	key := lookupKey{location.Workspace, location.Service, location.Key}
	existing, ok := t.locations[key]
	if ok && isNewer(existing.location, location) {
		return
	}
	t.locations[key] = storedLocation{location: location, expiresAt: now.Add(Retention)}
	if !ok {
		t.insertionOrder = append(t.insertionOrder, key)
	}
	t.evict(now)
}

// isNewer reports whether a belongs to a later attachment than b, or to a later
// attempt of the same request and attachment.
func isNewer(a, b wire.Location) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Request == b.Request && a.Attempt > b.Attempt
}

// evict removes the oldest locations that have expired or exceed maxLocations.
func (t *Table) evict(now time.Time) {
	for len(t.insertionOrder) > 0 {
		oldest := t.insertionOrder[0]
		if len(t.locations) <= maxLocations && now.Before(t.locations[oldest].expiresAt) {
			return
		}
		delete(t.locations, oldest)
		t.insertionOrder = t.insertionOrder[1:]
	}
}

// Find returns the location of a key, if it is known and has not expired.
func (t *Table) Find(now time.Time, lookup wire.Lookup) (location wire.Location, ok bool) {
	stored, ok := t.locations[lookupKey{lookup.Workspace, lookup.Service, lookup.Key}]
	if !ok || !now.Before(stored.expiresAt) {
		return wire.Location{}, false
	}
	return stored.location, true
}

// Newest returns the newest of the given locations, skipping nil ones, or nil if
// there is none.
func Newest(locations []*wire.Location) *wire.Location {
	var newest *wire.Location
	for _, location := range locations {
		if location != nil && (newest == nil || isNewer(*location, *newest)) {
			newest = location
		}
	}
	return newest
}
