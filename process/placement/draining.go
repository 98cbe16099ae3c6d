package placement

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// maxAnnouncements is how many incarnations may be remembered by what they announced. It
// is several times the targets that a fleet of thousands replaces in a day.
const maxAnnouncements = 4096

// announcement is what one incarnation of a target said about itself in its responses. It
// outlasts the registration, which may expire and return while the target runs.
type announcement struct {
	incarnation request.Incarnation
	// assumed is set until a registration tells the incarnation.
	assumed  bool
	draining bool
	backoff  backoff
	// recordedAt is when the target last announced something.
	recordedAt time.Time
}

// IsDraining reports whether the target takes no new work: its registration or one of its
// responses said so.
//
// It is designed for planned restarts under load, where the registration is read a second
// late, and for outages of the store, where it is not read at all.
func (t *Target) IsDraining() bool {
	return t.Draining || t.announced != nil && t.announced.draining
}

// MarkDraining records that an incarnation of a target announced that it drains, and
// reports whether that was not known before. It is final for that incarnation: responses
// of different connections overtake each other, and a process that ends does not return.
func (t *Table) MarkDraining(now time.Time, id request.TargetID, incarnation request.Incarnation) bool {
	target, ok := t.targets[id]
	if !ok || target.Incarnation != incarnation {
		return false
	}
	known := target.IsDraining()
	t.announcementOf(now, target).draining = true
	return !known
}

// TargetAt returns the target that uses an address now, or nil.
func (t *Table) TargetAt(address string) *Target {
	for _, target := range t.addresses[address] {
		if !target.replaced {
			return target
		}
	}
	return nil
}

// announcementOf returns the announcement of a target's incarnation, for an update of it.
func (t *Table) announcementOf(now time.Time, target *Target) *announcement {
	if target.announced == nil {
		t.limitAnnouncements()
		target.announced = &announcement{incarnation: target.Incarnation, assumed: target.AssumedIncarnation}
		t.announcements[target.ID] = target.announced
	}
	target.announced.recordedAt = now
	return target.announced
}

// limitAnnouncements forgets the oldest announcement of a target that is not registered if
// there are too many.
func (t *Table) limitAnnouncements() {
	if len(t.announcements) < maxAnnouncements {
		return
	}
	var oldest request.TargetID
	for id, a := range t.announcements {
		if _, registered := t.targets[id]; !registered && (oldest == "" || a.recordedAt.Before(t.announcements[oldest].recordedAt)) {
			oldest = id
		}
	}
	delete(t.announcements, oldest)
}

// attachAnnouncement gives a target that was just registered what its incarnation announced
// before. A new incarnation starts without; the late registration of an earlier one, which
// has ended, does not hide what the later one announced. The first registration of a target
// whose incarnation was assumed tells the true one.
func (t *Table) attachAnnouncement(target *Target) {
	target.announced = t.announcements[target.ID]
	if target.announced == nil || target.Incarnation < target.announced.incarnation {
		return
	}
	if target.Incarnation > target.announced.incarnation && !target.announced.assumed {
		delete(t.announcements, target.ID)
		target.announced = nil
		return
	}
	target.announced.incarnation, target.announced.assumed = target.Incarnation, target.AssumedIncarnation
}

// detachAnnouncement forgets what a target announced that is no longer registered, if its
// incarnation is unknown: a later one under its ID could not be told apart.
func (t *Table) detachAnnouncement(target *Target) {
	if target.Incarnation == 0 {
		delete(t.announcements, target.ID)
	}
}
