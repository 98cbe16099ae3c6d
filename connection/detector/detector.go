// Package detector decides from the silence of a target whether it may have
// failed. It does no I/O and reads no clock: every call is given the time.
//
// A target gives signs of life: tokens of any of its answers, and heartbeats by
// which its agent says how long ago the target itself gave one. The threshold of
// suspicion adapts to the longest recent gap between signs, within the bounds of
// the profile. A gap is only learnt while work runs, since an idle link is
// silent on purpose.
package detector

import (
	"math"
	"time"
)

// State is what a detector believes of its target.
type State uint8

// The states.
const (
	// Trusted means that the target was heard lately.
	Trusted State = iota
	// Suspected means that the target is silent for longer than it should be.
	Suspected
	// Failed means that the target is given up until it is heard again.
	Failed
)

// Bounds limits the silence after which a target is suspected.
type Bounds struct {
	Min, Max time.Duration
}

const (
	// failAfter is how many times the suspicion threshold a silence lasts until
	// the target is given up.
	failAfter = 2
	// gapFactor is how many times the longest recent gap is waited for.
	gapFactor = 2
	// gapHalfLife is the time in which a long gap counts for half.
	gapHalfLife = 30 * time.Second
)

// Detector watches one target.
type Detector struct {
	bounds Bounds
	// idle is the silence that is suspicious while no work runs.
	idle  time.Duration
	heard time.Time
	busy  bool
	// peak is the longest recent gap, as it counted at peakAt.
	peak   time.Duration
	peakAt time.Time
	// stalled is how long no stream that had begun has moved.
	stalled time.Duration
}

// New returns a detector that trusts its target from now on. While no work runs
// there, a silence of idle is suspicious, or of bounds.Max if that is longer.
func New(now time.Time, bounds Bounds, idle time.Duration) *Detector {
	return &Detector{bounds: bounds, idle: idle, heard: now, peakAt: now}
}

// SetBounds replaces the bounds.
func (d *Detector) SetBounds(bounds Bounds) { d.bounds = bounds }

// SetBusy notes whether work runs on the target. The first work on an idle
// target gives it a whole threshold to answer. A target whose work was taken away
// because it is silent is not trusted for being idle: it has to be heard first.
func (d *Detector) SetBusy(now time.Time, busy bool) {
	if !busy && d.State(now) != Trusted {
		return
	}
	if busy && !d.busy && now.After(d.heard) {
		d.heard = now
	}
	d.busy = busy
}

// Observe notes a sign of life that the target gave at the instant at.
func (d *Detector) Observe(at time.Time) {
	if !at.After(d.heard) {
		return
	}
	if gap := at.Sub(d.heard); d.busy && gap > d.gap(at) {
		d.peak = min(gap, d.bounds.Max)
		d.peakAt = at
	}
	d.heard = at
}

// SetStalled notes for how long all streams that had begun have stood still, though
// the target answers; zero when one moves or none had begun.
func (d *Detector) SetStalled(stalled time.Duration) { d.stalled = stalled }

// DiscountPause takes a pause of the watching process itself out of the silence.
func (d *Detector) DiscountPause(pause time.Duration) { d.heard = d.heard.Add(pause) }

// gap returns the longest recent gap as it counts at now.
func (d *Detector) gap(now time.Time) time.Duration {
	age := max(0, now.Sub(d.peakAt))
	return time.Duration(float64(d.peak) * math.Exp2(-float64(age)/float64(gapHalfLife)))
}

// Threshold returns the silence after which the target is suspected at now.
func (d *Detector) Threshold(now time.Time) time.Duration {
	if !d.busy {
		return max(d.idle, d.bounds.Max)
	}
	return min(max(gapFactor*d.gap(now), d.bounds.Min), d.bounds.Max)
}

// State returns what the detector believes at now.
func (d *Detector) State(now time.Time) State {
	return max(
		judge(now.Sub(d.heard), d.Threshold(now)),
		judge(d.stalled, d.bounds.Max),
	)
}

func judge(silence, threshold time.Duration) State {
	switch {
	case silence < threshold:
		return Trusted
	case silence < failAfter*threshold:
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
