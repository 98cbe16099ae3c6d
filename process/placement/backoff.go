package placement

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// reservedResumes is how many requests may be sent to a target that asked for none, all of
	// them resumes from a KV copy there, which is lost otherwise. Targets bear two; the
	// second is left for a request that was on its way.
	reservedResumes = 1
	// recoveryInterval is the least time between two attempts at a target whose backoff has
	// ended, until it accepts one.
	recoveryInterval = 50 * time.Millisecond
)

// backoff is the state of a target that asked for no requests for a while.
//
// It is designed for targets that are full while callers press on: further requests would
// be refused again, each at the price of a retry. What was held back meanwhile must not
// come back at once, neither after the end nor when a paused entry wakes up beyond it.
type backoff struct {
	// until is the end of the time; zero if the target accepted a request after it.
	until time.Time
	// reserved is how many resumes may still be sent before the end.
	reserved int
	// nextAttempt is when an attempt may be sent after the end.
	nextAttempt time.Time
	// fullUntil is the end of the time for which the target gets no requests because it
	// rejected one without asking for none.
	fullUntil time.Time
}

// delays reports whether requests are held back because the target asked for none.
func (b *backoff) delays(now time.Time) bool {
	return now.Before(b.until) || now.Before(b.nextAttempt)
}

// RecordBackoff records that an incarnation of a target asked for no requests for d, and
// reports whether that begins a new backoff. The latest end counts. The health of the target
// is not affected.
func (t *Table) RecordBackoff(now time.Time, id request.TargetID, incarnation request.Incarnation, d time.Duration) bool {
	target, ok := t.targets[id]
	if !ok || target.Incarnation != incarnation || d <= 0 {
		return false
	}
	a := t.announcementOf(now, target)
	begins := !now.Before(a.backoff.until)
	if begins {
		a.backoff.reserved = reservedResumes
		t.backoffs[id] = a
	}
	if end := now.Add(d); end.After(a.backoff.until) {
		a.backoff.until = end
	}
	return begins
}

// RecordAccepted records that a target responded to an attempt that was started at the given
// time, and did not refuse it.
func (t *Table) RecordAccepted(startedAt time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok && target.announced != nil && !startedAt.Before(target.announced.backoff.until) {
		target.announced.backoff = backoff{fullUntil: target.announced.backoff.fullUntil}
	}
}

// BackingOff reports whether the target asked for no requests at this time.
func (t *Target) BackingOff(now time.Time) bool {
	return t.announced != nil && now.Before(t.announced.backoff.until)
}

// acceptsAttempt reports whether an attempt may be sent to the target, as far as its backoff and
// its rejections go.
func (t *Target) acceptsAttempt(now time.Time) bool {
	return t.announced == nil || !t.announced.backoff.delays(now) && !now.Before(t.announced.backoff.fullUntil)
}

// recordAttempt records that an attempt is sent to the target.
func (t *Target) recordAttempt(now time.Time) {
	if t.announced != nil && !t.announced.backoff.until.IsZero() {
		t.announced.backoff.nextAttempt = now.Add(recoveryInterval)
	}
}

// TakeResume reports whether a stream may resume at the target from its KV copy there.
// reserved is set if that uses up a reserved request.
func (t *Target) TakeResume(now time.Time) (ok, reserved bool) {
	if !t.BackingOff(now) {
		t.recordAttempt(now)
		return true, false
	}
	if t.announced.backoff.reserved <= 0 {
		return false, false
	}
	t.announced.backoff.reserved--
	return true, true
}

// TakeEndedBackoffs returns the targets whose backoff has ended since the last call, ordered
// by ID.
func (t *Table) TakeEndedBackoffs(now time.Time) []*Target {
	var ended []*Target
	for id, a := range t.backoffs {
		target := t.targets[id]
		if current := target != nil && target.announced == a; current && target.BackingOff(now) {
			continue
		} else if current {
			ended = append(ended, target)
		}
		delete(t.backoffs, id)
	}
	slices.SortFunc(ended, func(a, b *Target) int { return compareIDs(a.ID, b.ID) })
	return ended
}

// Unwilling reports whether all targets of a service drain or asked for no requests, and
// how long that lasts at least: zero if it is not known. It is false if one is merely down,
// since it may be back sooner.
func (t *Table) Unwilling(now time.Time, service string) (time.Duration, bool) {
	return t.UnwillingAmong(now, service, VersionFilter{})
}

// UnwillingAmong is Unwilling for those targets of the service that a filter allows.
func (t *Table) UnwillingAmong(now time.Time, service string, filter VersionFilter) (time.Duration, bool) {
	wait, unwilling := time.Duration(0), false
	for _, target := range t.allowed(service, &filter) {
		switch {
		case target.replaced:
		case target.IsDraining():
			unwilling = true
		case !target.BackingOff(now):
			return 0, false
		default:
			unwilling = true
			if left := target.announced.backoff.until.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		}
	}
	return wait, unwilling
}
