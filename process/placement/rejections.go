package placement

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// rejectionSlotTimes is for how many of the intervals at which a full target frees a slot
	// it gets no requests of this entry after it rejected one: other entries send theirs, too.
	rejectionSlotTimes = 2
	// maxRejectionHold limits that time. It is short since nothing says that the target is
	// still full.
	maxRejectionHold = 50 * time.Millisecond
)

// RecordRejection records that an incarnation of a target rejected a request because it is
// full, without saying for how long. Requests usually take the given time there. Until a slot
// is likely to be free the target gets no requests of this entry.
//
// It is designed for an overload in which the entries fill the queues of all targets: to ask
// again at once costs a retry and is in vain.
func (t *Table) RecordRejection(now time.Time, id request.TargetID, incarnation request.Incarnation, usual time.Duration) {
	target, ok := t.targets[id]
	if !ok || target.Incarnation != incarnation || usual <= 0 {
		return
	}
	hold := rejectionSlotTimes * usual / time.Duration(max(1, target.Slots))
	t.announcementOf(now, target).backoff.fullUntil = now.Add(min(maxRejectionHold, hold))
}

// UsableSlots returns how many slots the targets of a service have that may get requests now
// or as soon as they are less full.
func (t *Table) UsableSlots(now time.Time, service string) int {
	slots := 0
	for _, target := range t.services[service] {
		if !target.IsDraining() && !target.Down(now) && !target.AwaitingProbe() {
			slots += max(1, target.Slots)
		}
	}
	return slots
}

// FullFor returns the time until the first target of a service is asked again, if all that are
// up and asked for no backoff have just rejected a request, and otherwise zero.
func (t *Table) FullFor(now time.Time, service string) time.Duration {
	least := time.Duration(0)
	for _, target := range t.services[service] {
		if target.IsDraining() || target.Down(now) {
			continue
		}
		if target.acceptsAttempt(now) {
			return 0
		}
		if left := target.announced.backoff.fullUntil.Sub(now); left > 0 && !target.announced.backoff.delays(now) && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// Reluctant reports whether no target of a service accepts an attempt now, and none will soon:
// all that are up asked for no requests.
func (t *Table) Reluctant(now time.Time, service string) bool {
	for _, target := range t.services[service] {
		if !target.IsDraining() && !target.Down(now) && (target.announced == nil || !target.announced.backoff.delays(now)) {
			return false
		}
	}
	return true
}
