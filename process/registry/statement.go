package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// copyPeriod is how long after the store came back from an older copy registrations may be those of
	// the copy. A target that is up writes its own again within about two seconds, and the store removes
	// that of one that is not after three reports are missing.
	copyPeriod = 10 * time.Second
	// removedTTL is how long it is remembered that a target was removed: many times the age of a copy.
	removedTTL = 2 * time.Minute
	// maxRemoved limits the targets of which it is remembered.
	maxRemoved = 4096
)

// Statement is what a target says of itself in a registration.
type Statement struct {
	Incarnation request.Incarnation `cbor:"1,keyasint,omitempty"`
	// Sequence counts the registrations of the incarnation.
	Sequence int64 `cbor:"2,keyasint,omitempty"`
	Draining bool  `cbor:"3,keyasint,omitempty"`
}

// compare orders statements of one target by when it made them.
func (s Statement) compare(other Statement) int {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Sequence, other.Sequence))
}

// TargetKnowledge is what is known of a target against the copy that the store came back from.
type TargetKnowledge struct {
	ID        request.TargetID `cbor:"1,keyasint"`
	Statement Statement        `cbor:"2,keyasint"`
	// Removed is set if the target was removed after the statement.
	Removed bool `cbor:"3,keyasint,omitempty"`
}

// removedTarget is the last statement of a target that was removed.
type removedTarget struct {
	Statement
	at time.Time
}

// BeginEra records that the store has come back from an older copy. Targets whose registrations are not
// in the copy are kept while they register again.
func (r *Registry) BeginEra(now time.Time) {
	r.graceUntil = now.Add(LeaseExpiryGrace)
	r.copyUntil = now.Add(copyPeriod)
}

// MayBeCopied reports whether registrations may still be those of an older copy.
func (r *Registry) MayBeCopied(now time.Time) bool { return now.Before(r.copyUntil) }

// Admit learns of a registration in the store. It reports whether the registration counts: while the
// store may hold those of an older copy, one that the target has superseded since does not, nor does
// that of a target that was removed since.
func (r *Registry) Admit(now time.Time, id request.TargetID, s Statement) bool {
	if r.MayBeCopied(now) && r.supersedes(id, s) {
		r.withheld[id] = struct{}{}
		return false
	}
	r.admit(id, s)
	return true
}

// supersedes reports whether what is known of a target is later than a statement.
func (r *Registry) supersedes(id request.TargetID, s Statement) bool {
	if known, ok := r.statements[id]; ok {
		order := known.compare(s)
		return order > 0 || order == 0 && known.Draining && !s.Draining
	}
	removed, ok := r.removed[id]
	return ok && removed.compare(s) >= 0
}

func (r *Registry) admit(id request.TargetID, s Statement) {
	r.statements[id] = s
	delete(r.removed, id)
	delete(r.withheld, id)
	r.Register(id)
}

// TakeConfirmed returns the targets whose registrations did not count and that the store still holds
// when all those of a copy have been replaced or removed. They count from then on, except that an
// incarnation that drains does not stop draining.
func (r *Registry) TakeConfirmed(now time.Time) []request.TargetID {
	if len(r.withheld) == 0 || r.MayBeCopied(now) {
		return nil
	}
	confirmed := slices.Sorted(maps.Keys(r.withheld))
	clear(r.withheld)
	return confirmed
}

// Confirm makes the registration of a target that TakeConfirmed returned count, and reports whether it
// does.
func (r *Registry) Confirm(id request.TargetID, s Statement) bool {
	known, ok := r.statements[id]
	if ok && known.Draining && !s.Draining && s.Incarnation != 0 && known.Incarnation == s.Incarnation {
		return false
	}
	r.admit(id, s)
	return true
}

// Knowledge returns what is known against the copy.
func (r *Registry) Knowledge() []TargetKnowledge {
	var knowledge []TargetKnowledge
	for _, id := range slices.Sorted(maps.Keys(r.withheld)) {
		if s, ok := r.statements[id]; ok {
			knowledge = append(knowledge, TargetKnowledge{ID: id, Statement: s})
		} else if removed, ok := r.removed[id]; ok {
			knowledge = append(knowledge, TargetKnowledge{ID: id, Statement: removed.Statement, Removed: true})
		}
	}
	return knowledge
}

// Learn learns what another entry knows against the copy, and reports whether it is news for a target
// that is registered: it then drains, or is to be removed.
func (r *Registry) Learn(now time.Time, k TargetKnowledge) bool {
	known, registered := r.statements[k.ID]
	if !registered || !r.MayBeCopied(now) {
		return false
	}
	order := k.Statement.compare(known)
	if order < 0 || order == 0 && !k.Removed && known.Draining == k.Statement.Draining {
		return false
	}
	r.withheld[k.ID] = struct{}{}
	if !k.Removed {
		r.statements[k.ID] = k.Statement
		return k.Statement.Draining
	}
	r.statements[k.ID] = k.Statement
	r.remove(now, k.ID)
	return true
}

// remember records the last statement of a target that is removed.
func (r *Registry) remember(now time.Time, id request.TargetID) {
	s, ok := r.statements[id]
	delete(r.statements, id)
	if !ok {
		return
	}
	for other, removed := range r.removed {
		if now.Sub(removed.at) > removedTTL || len(r.removed) >= maxRemoved {
			delete(r.removed, other)
		}
	}
	r.removed[id] = removedTarget{Statement: s, at: now}
}
