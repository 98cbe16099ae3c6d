// Package registry is the deciding core that says which registered targets exist.
// It does no I/O and reads no clock.
//
// It answers a store that was away: registrations may lapse meanwhile though their
// targets live, and are back soon after the store is.
package registry

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// LeaseExpiryGrace is how long after the store's return a registration that went while
// it was away is still believed; living targets are back within about two seconds.
const LeaseExpiryGrace = 2200 * time.Millisecond

// Registry holds the ids of the registered targets.
type Registry struct {
	present map[request.TargetID]bool
	// lapsed maps targets that may have lapsed to when they are dropped.
	lapsed map[request.TargetID]time.Time
	// adopted lists the targets that are believed without a registration.
	adopted map[request.TargetID]bool
	away    bool
	// believe is until when missing targets may only have lapsed.
	believe time.Time
	// reuse is how long the address of an ended target stays with its service.
	reuse time.Duration
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		present: map[request.TargetID]bool{},
		lapsed:  map[request.TargetID]time.Time{},
		adopted: map[request.TargetID]bool{},
	}
}

// MarkStoreUnavailable notes that the store does not answer.
func (r *Registry) MarkStoreUnavailable() { r.away = true }

// StoreUnavailable says whether the store does not answer.
func (r *Registry) StoreUnavailable() bool { return r.away }

// MarkStoreAvailable notes that the store answers, and returns whether it was away.
func (r *Registry) MarkStoreAvailable(now time.Time) bool {
	was := r.away
	if was {
		r.away = false
		r.believe = now.Add(LeaseExpiryGrace)
		r.settleAdopted()
	}
	return was
}

// Register notes a registration.
func (r *Registry) Register(id request.TargetID) {
	r.present[id] = true
	delete(r.lapsed, id)
	delete(r.adopted, id)
}

// Deregister notes that a registration went, and says whether its target is to be
// dropped at once.
func (r *Registry) Deregister(now time.Time, id request.TargetID) bool {
	if !r.present[id] {
		return false
	}
	if now.Before(r.believe) {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.believe
		}
		return false
	}
	r.drop(id)
	return true
}

// Reconcile notes all registrations there are, and returns the targets to drop.
func (r *Registry) Reconcile(now time.Time, ids []request.TargetID) []request.TargetID {
	var missing []request.TargetID
	for id := range r.present {
		if !slices.Contains(ids, id) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	for _, id := range ids {
		r.Register(id)
	}
	return slices.DeleteFunc(missing, func(id request.TargetID) bool { return !r.Deregister(now, id) })
}

// TakeExpired returns the lapsed targets whose time is over, and forgets them.
func (r *Registry) TakeExpired(now time.Time) []request.TargetID {
	var due []request.TargetID
	for id, until := range r.lapsed {
		if !now.Before(until) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		r.drop(id)
	}
	return due
}

func (r *Registry) drop(id request.TargetID) {
	delete(r.present, id)
	delete(r.lapsed, id)
	delete(r.adopted, id)
}
