// Package directory is the deciding core of the soft directory, which says where
// the request of an idempotency key runs. Each key is kept by the agents that
// rank first for it. Nothing is stored elsewhere: a lost place only costs a
// caller that comes back by key alone a new generation.
package directory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// ReplicationFactor is how many agents keep the place of a key.
	ReplicationFactor = 2
	// LookupFanout is how many agents are asked for it, in case processes know of
	// different ones.
	LookupFanout = 3
	// Retention is how long a place is kept.
	Retention = 10 * time.Minute
	// maxPlaces bounds the places of one agent.
	maxPlaces = 1 << 16
)

// Rank returns targets in the order of their rendezvous hash for a key, best first.
func Rank(workspace, key string, targets []request.TargetID) []request.TargetID {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b request.TargetID) int {
		x, y := weight(workspace, key, a), weight(workspace, key, b)
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

func weight(workspace, key string, target request.TargetID) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + key + "\x00" + string(target))
}

type name struct{ workspace, service, key string }

type kept struct {
	place wire.Location
	until time.Time
}

// Table holds the places that one agent keeps. It is not safe for concurrent use.
type Table struct {
	places map[name]kept
	// order lists names by the time of their first put, oldest first.
	order []name
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{places: map[name]kept{}} }

// Put keeps place unless a newer one is known.
func (t *Table) Put(now time.Time, place wire.Location) {
	key := name{place.Workspace, place.Service, place.Key}
	known, ok := t.places[key]
	if ok && newer(known.place, place) {
		return
	}
	t.places[key] = kept{place: place, until: now.Add(Retention)}
	if !ok {
		t.order = append(t.order, key)
	}
	t.trim(now)
}

// newer says whether a was put by a later attachment or attempt than b.
func newer(a, b wire.Location) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Request == b.Request && a.Attempt > b.Attempt
}

// trim drops the oldest places that are over their time or over the bound.
func (t *Table) trim(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if len(t.places) <= maxPlaces && now.Before(t.places[oldest].until) {
			return
		}
		delete(t.places, oldest)
		t.order = t.order[1:]
	}
}

// Find returns the place of a key.
func (t *Table) Find(now time.Time, find wire.Lookup) (place wire.Location, ok bool) {
	known, ok := t.places[name{find.Workspace, find.Service, find.Key}]
	if !ok || !now.Before(known.until) {
		return wire.Location{}, false
	}
	return known.place, true
}

// Newest returns the newest of places that answers gave, or nil.
func Newest(places []*wire.Location) *wire.Location {
	var best *wire.Location
	for _, place := range places {
		if place != nil && (best == nil || newer(*place, *best)) {
			best = place
		}
	}
	return best
}
