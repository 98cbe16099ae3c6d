// Package detector implements an adaptive failure detector: it decides from the
// time since the last activity of a target whether the target may have failed. It
// does no I/O and reads no clock; callers pass the current time.
//
// Activity is any token that the target streams, and any heartbeat of its agent,
// which reports how long ago the target itself was last active. The suspicion
// threshold adapts to the longest recent gap between activities, within the bounds
// of the profile. Gaps are only measured while work runs, since an idle link is
// expected to be silent.
package detector

import (
	"math"
	"time"
)

// State is the detector's assessment of its target.
type State uint8

// The detector states, in order of increasing severity.
const (
	// Trusted means that the target was active within the threshold.
	Trusted State = iota
	// Suspected means that the target has been silent for at least the threshold.
	Suspected
	// Failed means that the target is considered failed until its next activity.
	Failed
)

// Bounds limits the suspicion threshold.
type Bounds struct {
	Min, Max time.Duration
}

const (
	// failFactor times the suspicion threshold is the silence after which the target
	// is considered failed.
	failFactor = 2
	// gapFactor times the longest recent gap is the suspicion threshold before it is
	// limited by the bounds.
	gapFactor = 2
	// gapHalfLife is the half-life of the exponential decay of the longest gap.
	gapHalfLife = 30 * time.Second
)

// Detector monitors one target. It is not safe for concurrent use.
type Detector struct {
	bounds Bounds
	// idleThreshold is the suspicion threshold while no work runs, unless bounds.Max is
	// longer.
	idleThreshold time.Duration
	lastSeen      time.Time
	busy          bool
	// peak is the longest recent gap, before any decay since peakAt.
	peak   time.Duration
	peakAt time.Time
	// stalled is how long all started streams have made no progress.
	stalled time.Duration
}

// New returns a detector whose target counts as active at now. While no work runs on
// the target, the suspicion threshold is idleThreshold or bounds.Max, whichever is
// longer.
func New(now time.Time, bounds Bounds, idleThreshold time.Duration) *Detector {
	return &Detector{bounds: bounds, idleThreshold: idleThreshold, lastSeen: now, peakAt: now}
}

// SetBounds replaces the bounds.
func (d *Detector) SetBounds(bounds Bounds) { d.bounds = bounds }

// SetBusy records whether work runs on the target. When work starts on an idle
// target, the silence is measured from now, so that the target has a full threshold
// to respond. A target that is not trusted stays busy until its next activity:
// otherwise it would become trusted as soon as its work was moved elsewhere.
func (d *Detector) SetBusy(now time.Time, busy bool) {
	if !busy && d.State(now) != Trusted {
		return
	}
	if busy && !d.busy && now.After(d.lastSeen) {
		d.lastSeen = now
	}
	d.busy = busy
}

// Observe records that the target was active at the given time.
func (d *Detector) Observe(at time.Time) {
	if !at.After(d.lastSeen) {
		return
	}
	if gap := at.Sub(d.lastSeen); d.busy && gap > d.gap(at) {
		d.peak = min(gap, d.bounds.Max)
		d.peakAt = at
	}
	d.lastSeen = at
}

// SetStalled records for how long all started streams have made no progress although
// the target responds; zero when a stream makes progress or none has started.
func (d *Detector) SetStalled(stalled time.Duration) { d.stalled = stalled }

// DiscountPause excludes a pause of the monitoring process itself from the silence.
func (d *Detector) DiscountPause(pause time.Duration) { d.lastSeen = d.lastSeen.Add(pause) }

// gap returns the longest recent gap, decayed to now.
func (d *Detector) gap(now time.Time) time.Duration {
	age := max(0, now.Sub(d.peakAt))
	return time.Duration(float64(d.peak) * math.Exp2(-float64(age)/float64(gapHalfLife)))
}

// Threshold returns the silence after which the target is suspected at now.
func (d *Detector) Threshold(now time.Time) time.Duration {
	if !d.busy {
		return max(d.idleThreshold, d.bounds.Max)
	}
	return min(max(gapFactor*d.gap(now), d.bounds.Min), d.bounds.Max)
}

// State returns the state of the target at now.
func (d *Detector) State(now time.Time) State {
	return max(
		classify(now.Sub(d.lastSeen), d.Threshold(now)),
		classify(d.stalled, d.bounds.Max),
	)
}

func classify(silence, threshold time.Duration) State {
	switch {
	case silence < threshold:
		return Trusted
	case silence < failFactor*threshold:
		return Suspected
	default:
		return Failed
	}
}

// String returns the name of s for logs.
func (s State) String() string {
	switch s {
	case Trusted:
		return "trusted"
	case Suspected:
		return "suspected"
	default:
		return "failed"
	}
}
