// Package prompts records which engine has the prompt of a session cached, so that a caller
// that retries need not wait for prefill again. It does no I/O and reads no clock.
//
// It is designed for a crash of all entries at once, after which all their callers retry:
// within a second or, after a power failure, once their requests have timed out. The
// engines still have the prompts cached; entries that start ask them for a list.
package prompts

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

// LocationTTL is how long a location is kept: as long as the longest requests last. Engines
// evict the least recently used prompts, so the tokens of a location are discounted with
// age.
const LocationTTL = 30 * time.Second

// Location identifies the target that has the prompt of a session cached.
type Location struct {
	Target request.TargetID `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the target that cached the prompt; later ones do
	// not have it.
	Incarnation request.Incarnation `cbor:"2,keyasint"`
	// Tokens is how many tokens of the prompt are cached.
	Tokens int `cbor:"3,keyasint"`
}

type timedLocation struct {
	Location
	recordedAt time.Time
}

// Index maps sessions to the locations of their prompts.
type Index struct {
	locations map[string]timedLocation
}

// New returns an empty index.
func New() *Index { return &Index{locations: map[string]timedLocation{}} }

// Record records the location of the prompt of a session.
func (i *Index) Record(now time.Time, session string, location Location) {
	if session != "" && location.Tokens > 0 {
		i.locations[session] = timedLocation{Location: location, recordedAt: now}
	}
}

// Find returns the location of the prompt of a session, with the tokens that are estimated
// to be still cached. It returns the zero Location if there is none.
func (i *Index) Find(now time.Time, session string) Location {
	location, ok := i.locations[session]
	if !ok {
		return Location{}
	}
	remaining := 1 - float64(now.Sub(location.recordedAt))/float64(LocationTTL)
	if remaining <= 0 {
		return Location{}
	}
	location.Tokens = int(remaining * float64(location.Tokens))
	return location.Location
}

// RemoveExpired removes locations older than LocationTTL.
func (i *Index) RemoveExpired(now time.Time) {
	for session, location := range i.locations {
		if now.Sub(location.recordedAt) >= LocationTTL {
			delete(i.locations, session)
		}
	}
}

// IsResponsible reports whether the entry named self has to ask a target for its cached
// prompts: each entry asks its part of the targets and sends the result to its peers.
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
