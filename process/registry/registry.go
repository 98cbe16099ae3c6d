// Package registry determines which registered targets exist. It does no I/O and reads no
// clock.
//
// It tolerates outages of the store: the leases of registrations may expire meanwhile
// although their targets are up, and the targets register again soon after the store is
// available.
package registry

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// LeaseExpiryGrace is how long after an outage of the store a target whose registration
// expired meanwhile is kept; targets that are up register again within about two seconds.
const LeaseExpiryGrace = 2200 * time.Millisecond

// Registry holds the IDs of the registered targets.
type Registry struct {
	present map[request.TargetID]bool
	// expiring maps targets without a registration to the time at which they are removed.
	expiring map[request.TargetID]time.Time
	// adopted holds the targets that were adopted without a registration during an outage.
	adopted          map[request.TargetID]bool
	storeUnavailable bool
	// graceUntil is the end of the grace period for targets without a registration.
	graceUntil time.Time
	// copyUntil is until when the store may hold the registrations of an older copy. statements holds
	// what registered targets last said of themselves, removed what targets said that were removed
	// lately, and withheld the targets whose registrations do not count.
	copyUntil  time.Time
	statements map[request.TargetID]Statement
	removed    map[request.TargetID]removedTarget
	withheld   map[request.TargetID]struct{}
	// addressReuse is how long the address of an ended target is not given to a target of
	// another service.
	addressReuse time.Duration
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		present:    map[request.TargetID]bool{},
		expiring:   map[request.TargetID]time.Time{},
		adopted:    map[request.TargetID]bool{},
		statements: map[request.TargetID]Statement{},
		removed:    map[request.TargetID]removedTarget{},
		withheld:   map[request.TargetID]struct{}{},
	}
}

// MarkStoreUnavailable records that the store is unavailable.
func (r *Registry) MarkStoreUnavailable() { r.storeUnavailable = true }

// StoreUnavailable reports whether the store is unavailable.
func (r *Registry) StoreUnavailable() bool { return r.storeUnavailable }

// MarkStoreAvailable records that the store is available, and reports whether it was
// unavailable before.
func (r *Registry) MarkStoreAvailable(now time.Time) bool {
	wasUnavailable := r.storeUnavailable
	if wasUnavailable {
		r.storeUnavailable = false
		r.graceUntil = now.Add(LeaseExpiryGrace)
		r.startAdoptedGrace()
	}
	return wasUnavailable
}

// Register records a registration.
func (r *Registry) Register(id request.TargetID) {
	r.present[id] = true
	delete(r.expiring, id)
	delete(r.adopted, id)
}

// Deregister records that a registration was removed, and reports whether the caller has to
// remove its target at once.
func (r *Registry) Deregister(now time.Time, id request.TargetID) bool {
	delete(r.withheld, id)
	if !r.present[id] {
		return false
	}
	if now.Before(r.graceUntil) {
		if _, ok := r.expiring[id]; !ok {
			r.expiring[id] = r.graceUntil
		}
		return false
	}
	r.remove(now, id)
	return true
}

// Reconcile records the complete list of registrations, and returns the targets to remove.
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

// TakeExpired removes and returns the targets whose grace period is over.
func (r *Registry) TakeExpired(now time.Time) []request.TargetID {
	var expired []request.TargetID
	for id, until := range r.expiring {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		r.remove(now, id)
	}
	return expired
}

func (r *Registry) remove(now time.Time, id request.TargetID) {
	r.remember(now, id)
	delete(r.present, id)
	delete(r.expiring, id)
	delete(r.adopted, id)
}
