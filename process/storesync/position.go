package storesync

import (
	"cmp"
	"fmt"
	"sync/atomic"
)

// Position is a point in the history of the store. When the store comes back from an older copy, it
// gives revisions out again in a new era, so a revision alone orders nothing. A store without eras is
// in era 0.
type Position struct {
	Era, Revision int64
}

// Compare returns a negative number if p is before other, a positive one if it is after it, and zero
// if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is before all changes.
func (p Position) IsZero() bool { return p == Position{} }

// String returns p for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// EraChange is what a response says about the era of the store.
type EraChange int

// What a response may say about the era.
const (
	// SameEra means that the store is in the era that was known.
	SameEra EraChange = iota
	// NewEra means that the store has gone back since.
	NewEra
	// EarlierEra means that the response is older than one that was received before.
	EarlierEra
	// NoEra means that the response states no era that can be used. It is taken for one of the
	// known era.
	NoEra
)

// String returns the name of c for logs and metrics.
func (c EraChange) String() string { return [...]string{"same", "new", "earlier", "none"}[c] }

// maxEraStep is by how much the era may rise between two responses that a process receives: a process
// that is cut off misses a few, and a number that is far off is no era.
const maxEraStep = 1000

// Eras follows the era of the store through its responses.
type Eras struct {
	current int64
	known   bool
}

// Current returns the latest era that a response stated, or 0.
func (e *Eras) Current() int64 { return e.current }

// Observe learns of a response, which states an era if stated is set.
func (e *Eras) Observe(era int64, stated bool) EraChange {
	first := !e.known
	e.known = true
	switch {
	case !stated || era < 0 || e.current > 0 && era > e.current+maxEraStep:
		return NoEra
	case era < e.current:
		return EarlierEra
	case era == e.current:
		return SameEra
	}
	e.current = era
	if first {
		return SameEra
	}
	return NewEra
}

// EraFollower decides which responses of the store count.
type EraFollower interface {
	// Observe learns of the era that a response states; unreadable is why it states none. It returns
	// the era of the response, or an error if the response must not be used.
	Observe(era int64, unreadable error) (int64, error)
	// Current returns the latest era.
	Current() int64
}

// StatedEra is an EraFollower for which all responses count, and the present era is the one that was
// stated last.
type StatedEra struct{ last atomic.Int64 }

// Observe implements EraFollower.
func (e *StatedEra) Observe(era int64, unreadable error) (int64, error) {
	if unreadable == nil {
		e.last.Store(era)
	}
	return e.last.Load(), nil
}

// Current implements EraFollower.
func (e *StatedEra) Current() int64 { return e.last.Load() }
