// Package prompts is the deciding core that remembers which engine has read the
// prompt of a session, so that a caller who comes back need not wait until it is read
// again. It does no I/O and reads no clock.
//
// The load pattern that it answers: all entries die at once, and all their callers
// come back, within a second or, after a loss of power, once they have waited in vain.
// The engines still hold the prompts; entries that start ask them for a list.
package prompts

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

// Life is how long a place is remembered: as long as the longest requests last.
// Engines let go of the prompts that were used least lately, so what is remembered
// counts for less with age.
const Life = 30 * time.Second

// Location is where the prompt of a session was read.
type Location struct {
	Target request.TargetID `cbor:"1,keyasint"`
	// Incarnation is the life of the target that read it; a later one knows nothing.
	Incarnation request.Incarnation `cbor:"2,keyasint"`
	// Tokens is how much of the prompt the target holds.
	Tokens int `cbor:"3,keyasint"`
}

type noted struct {
	Location
	at time.Time
}

// Index maps sessions to places.
type Index struct {
	places map[string]noted
}

// New returns an empty book.
func New() *Index { return &Index{places: map[string]noted{}} }

// Record remembers where the prompt of a session was read.
func (b *Index) Record(now time.Time, session string, place Location) {
	if session != "" && place.Tokens > 0 {
		b.places[session] = noted{Location: place, at: now}
	}
}

// Find returns where the prompt of a session was read, with the tokens that are
// reckoned to be held still; none is the zero Place.
func (b *Index) Find(now time.Time, session string) Location {
	found, ok := b.places[session]
	if !ok {
		return Location{}
	}
	left := 1 - float64(now.Sub(found.at))/float64(Life)
	if left <= 0 {
		return Location{}
	}
	found.Tokens = int(left * float64(found.Tokens))
	return found.Location
}

// RemoveExpired forgets places that are too old.
func (b *Index) RemoveExpired(now time.Time) {
	for session, place := range b.places {
		if now.Sub(place.at) >= Life {
			delete(b.places, session)
		}
	}
}

// IsResponsible says whether the entry named self is the one that asks a target what it
// holds: each of the entries asks its share and tells the others.
func IsResponsible(self string, entries []string, target request.TargetID) bool {
	best, highest := self, rank(self, target)
	for _, entry := range entries {
		if r := rank(entry, target); r > highest || r == highest && entry > best {
			best, highest = entry, r
		}
	}
	return best == self
}

func rank(entry string, target request.TargetID) uint64 {
	return xxhash.Sum64(slices.Concat([]byte(entry), []byte{'/'}, []byte(target)))
}
