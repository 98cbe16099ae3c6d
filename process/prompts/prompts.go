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

// Place is where the prompt of a session was read.
type Place struct {
	Target request.TargetID `cbor:"1,keyasint"`
	// Incarnation is the life of the target that read it; a later one knows nothing.
	Incarnation request.Incarnation `cbor:"2,keyasint"`
	// Tokens is how much of the prompt the target holds.
	Tokens int `cbor:"3,keyasint"`
}

type noted struct {
	Place
	at time.Time
}

// Book maps sessions to places.
type Book struct {
	places map[string]noted
}

// New returns an empty book.
func New() *Book { return &Book{places: map[string]noted{}} }

// Note remembers where the prompt of a session was read.
func (b *Book) Note(now time.Time, session string, place Place) {
	if session != "" && place.Tokens > 0 {
		b.places[session] = noted{Place: place, at: now}
	}
}

// Find returns where the prompt of a session was read, with the tokens that are
// reckoned to be held still; none is the zero Place.
func (b *Book) Find(now time.Time, session string) Place {
	found, ok := b.places[session]
	if !ok {
		return Place{}
	}
	left := 1 - float64(now.Sub(found.at))/float64(Life)
	if left <= 0 {
		return Place{}
	}
	found.Tokens = int(left * float64(found.Tokens))
	return found.Place
}

// Sweep forgets places that are too old.
func (b *Book) Sweep(now time.Time) {
	for session, place := range b.places {
		if now.Sub(place.at) >= Life {
			delete(b.places, session)
		}
	}
}

// Asks says whether the entry named self is the one that asks a target what it
// holds: each of the entries asks its share and tells the others.
func Asks(self string, entries []string, target request.TargetID) bool {
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
