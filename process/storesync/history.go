// Package storesync decides how an entry follows the changes of the store: which entry reads
// the store, whom the others ask for changes, when they read the store themselves, and what they
// pass on. It does no I/O and reads no clock.
//
// It is designed for fleets of hundreds of entries, in which the calls of all entries
// together would be a burden on the store, for readers and relays that fail, pause, or lose
// their way to the store while others still have one, and for a store that comes back from an
// older copy.
package storesync

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxKeptChanges and maxKeptBytes limit the changes that are kept for other entries: those of 1,600
	// targets that come back twice, and of a few of the largest values that a store takes (1 MB).
	maxKeptChanges = 4000
	maxKeptBytes   = 4 << 20
	// maxSpans limits the spans of earlier positions that are kept: two eras and two lists.
	maxSpans = 4
)

// Change is one change of a key in the store.
type Change struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Removed means that the key was removed at Revision and has no value.
	Removed bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of Revision. All changes of a message have the era of the message.
	Era int64 `cbor:"-"`
}

// Position returns the position of the change.
func (c *Change) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

func (c *Change) size() int { return len(c.Key) + len(c.Value) }

// keyState identifies the value of a key.
type keyState struct {
	revision int64
	hash     uint64
}

// span is a range of positions of one era, both ends included.
type span struct{ from, to Position }

func (s span) contains(p Position) bool {
	return !s.from.After(p) && !p.After(s.to)
}

// History is what an entry knows of the store: what each key holds, and the newest changes for
// entries that know less. When the store is listed anew, in the same era or in a new one, the
// difference is kept as a bridge, so that the others need not list it too.
//
// Invariants: changes holds the last change of every key after start up to position, in order, and may
// hold earlier ones; bridge holds the state at start of every key that differs between there and any
// position in spans. All of them are in the era of position.
type History struct {
	start, position Position
	keys            map[string]keyState
	changes         []Change
	bridge          []Change
	spans           []span
	bytes           int
	// lost holds the positions that a store without eras had before it went back: what an entry there
	// knows may be gone. It ends at the highest of them.
	lost span
}

// Position returns the position up to which changes are known.
func (h *History) Position() Position { return h.position }

// Holds reports whether a key is known to exist.
func (h *History) Holds(key string) bool {
	_, ok := h.keys[key]
	return ok
}

// List learns of all items at a position, and returns those that are not as they were known before,
// with keys that are gone as removed. Items may be newer than the position.
func (h *History) List(items []Change, position Position) []Change {
	listed := make(map[string]struct{}, len(items))
	var different []Change
	for _, item := range items {
		listed[item.Key] = struct{}{}
		if known, ok := h.keys[item.Key]; !ok || known != stateOf(&item) {
			different = append(different, item)
		}
	}
	var gone []string
	for key := range h.keys {
		if _, ok := listed[key]; !ok {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		different = append(different, Change{Key: key, Revision: position.Revision, Removed: true, Era: position.Era})
	}
	h.Bridge(different, position)
	return different
}

// Bridge learns of all keys that are different at a position, to which no sequence of changes leads.
func (h *History) Bridge(different []Change, position Position) {
	spans := h.spans
	bridge := merge(slices.Concat(h.bridge, h.changes), different, position.Era)
	if position.After(h.position) && !h.position.IsZero() {
		spans = append(slices.Clone(spans), span{h.start, h.position})
	} else {
		spans, bridge = nil, nil
		if h.position.After(position) {
			h.lost = span{Position{Era: position.Era, Revision: position.Revision + 1}, h.position}
		}
	}
	h.start, h.position, h.changes = position, position, nil
	h.spans, h.bridge = spans[max(0, len(spans)-maxSpans):], bridge
	for _, change := range different {
		h.record(&change)
	}
	h.bytes = Size(h.bridge)
	h.limit()
}

// merge returns the last state of each key, of which those that are not different hold on in the era.
func merge(before, different []Change, era int64) []Change {
	at := make(map[string]int, len(before)+len(different))
	var merged []Change
	for _, change := range slices.Concat(before, different) {
		change.Era = era
		if i, ok := at[change.Key]; ok {
			merged[i] = change
			continue
		}
		at[change.Key] = len(merged)
		merged = append(merged, change)
	}
	return merged
}

func stateOf(c *Change) keyState {
	return keyState{revision: c.Revision, hash: xxhash.Sum64(c.Value)}
}

func (h *History) record(change *Change) {
	if h.keys == nil {
		h.keys = map[string]keyState{}
	}
	if change.Removed {
		delete(h.keys, change.Key)
		return
	}
	h.keys[change.Key] = stateOf(change)
}

// Newest returns the position of the newest change that is known; it may be ahead of Position.
func (h *History) Newest() Position {
	newest := h.position
	if n := len(h.changes); n > 0 && h.changes[n-1].Position().After(newest) {
		newest = h.changes[n-1].Position()
	}
	return newest
}

// Append adds all changes after the known position up to the given one of the same era. Some after that
// may be among them: they count as known once the position has passed them.
func (h *History) Append(changes []Change, position Position) {
	for _, change := range changes {
		if !change.Position().After(h.position) {
			continue
		}
		h.record(&change)
		h.changes = append(h.changes, change)
		h.bytes += change.size()
	}
	if position.After(h.position) {
		h.position = position
	}
	byPosition := func(a, b Change) int { return a.Position().Compare(b.Position()) }
	if !slices.IsSortedFunc(h.changes, byPosition) {
		slices.SortStableFunc(h.changes, byPosition)
	}
	h.limit()
}

// limit drops what is too much: changes that a later one of the same key supersedes, then the bridge, which
// leads to start, then the oldest changes. It makes room for more than one, since it looks at all.
func (h *History) limit() {
	if len(h.bridge)+len(h.changes) <= maxKeptChanges && h.bytes <= maxKeptBytes {
		return
	}
	h.changes = Latest(h.changes)
	h.bytes = Size(h.bridge) + Size(h.changes)
	if len(h.bridge)+len(h.changes) > maxKeptChanges || h.bytes > maxKeptBytes {
		h.bridge, h.spans = nil, nil
		h.bytes = Size(h.changes)
	}
	drop := 0
	for len(h.changes)-drop > maxKeptChanges-maxKeptChanges/4 || h.bytes > maxKeptBytes {
		h.start = h.changes[drop].Position()
		h.bytes -= h.changes[drop].size()
		drop++
	}
	h.changes = slices.Clone(h.changes[drop:])
}

// Size returns the size of changes in bytes, not counting what encodes them.
func Size(changes []Change) int {
	size := 0
	for _, change := range changes {
		size += change.size()
	}
	return size
}

// Latest returns the last change of each key, in order. An entry that applies them holds what one does that
// applies all changes: of a key that changes often, and is large, the earlier values are not worth their bytes.
func Latest(changes []Change) []Change {
	seen := make(map[string]struct{}, len(changes))
	var kept []Change
	for _, change := range slices.Backward(changes) {
		if _, ok := seen[change.Key]; !ok {
			seen[change.Key] = struct{}{}
			kept = append(kept, change)
		}
	}
	slices.Reverse(kept)
	return kept
}

// Lost reports whether an entry at a position may know what the store does not hold any more, since it went
// back without a new era.
func (h *History) Lost(p Position) bool { return !h.lost.to.IsZero() && h.lost.contains(p) }

// Since returns the last change after a position of each key that changed. complete is false if they are not
// known. Bridged is set if no sequence of changes leads on from there: the changes are then the states of
// all keys that may differ, at the known position.
func (h *History) Since(p Position) (changes []Change, bridged, complete bool) {
	switch {
	case h.position.IsZero() || h.Lost(p):
		return nil, false, false
	case p.Era == h.position.Era && !h.start.After(p):
		for i, change := range h.changes {
			if change.Position().After(p) {
				return Latest(h.changes[i:]), false, true
			}
		}
		return nil, false, true
	case slices.ContainsFunc(h.spans, func(s span) bool { return s.contains(p) }):
		return merge(h.bridge, h.changes, h.position.Era), true, true
	default:
		return nil, false, false
	}
}
