package detector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/connection/detector"
)

const idleThreshold = 3 * time.Second

var (
	startTime = time.Unix(1000, 0)
	bounds    = detector.Bounds{Min: 100 * time.Millisecond, Max: 800 * time.Millisecond}
)

func newBusyDetector() *detector.Detector {
	d := detector.New(startTime, bounds, idleThreshold)
	d.SetBusy(startTime, true)
	return d
}

// Activity at intervals that grow by half at each step from half the minimum bound, and
// then vary by up to half, never raises suspicion, however long it lasts. A silence of
// the maximum bound always does.
func TestRegularActivity_IsTrustedAndSilenceIsNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newBusyDetector()
		now := startTime
		observeAfter := func(gap time.Duration) {
			now = now.Add(gap)
			assert.Equal(t, d.State(now), detector.Trusted)
			d.Observe(now)
		}
		period := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(bounds.Max/3)).Draw(t, "period"))
		for gap := bounds.Min / 2; gap < period; gap = gap * 3 / 2 {
			observeAfter(gap)
		}
		observeAfter(period)
		for range rapid.IntRange(1, 400).Draw(t, "signs") {
			observeAfter(time.Duration(rapid.Int64Range(int64(period), int64(period*3/2)).Draw(t, "gap")))
		}
		assert.Assert(t, d.State(now.Add(bounds.Max)) != detector.Trusted)
		assert.Equal(t, d.State(now.Add(2*bounds.Max)), detector.Failed)
	})
}

// The threshold stays within the bounds for any sequence of observations.
func TestThreshold_StaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newBusyDetector()
		now := startTime
		for range rapid.IntRange(1, 50).Draw(t, "signs") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap")))
			d.Observe(now)
			threshold := d.Threshold(now)
			assert.Assert(t, threshold >= bounds.Min && threshold <= bounds.Max, "%v", threshold)
		}
	})
}

func TestLongGap_DecaysToMinimumThreshold(t *testing.T) {
	d := newBusyDetector()
	now := startTime.Add(300 * time.Millisecond)
	d.Observe(now)
	assert.Equal(t, d.Threshold(now), 600*time.Millisecond)
	assert.Equal(t, d.Threshold(now.Add(30*time.Second)), 300*time.Millisecond)
	assert.Equal(t, d.Threshold(now.Add(10*time.Minute)), bounds.Min)
}

func TestIdleSilence_IsNeitherLearnedNorSuspected(t *testing.T) {
	d := detector.New(startTime, bounds, idleThreshold)
	now := startTime.Add(2 * time.Second)
	assert.Equal(t, d.State(now), detector.Trusted)
	d.SetBusy(now, true)
	assert.Equal(t, d.State(now), detector.Trusted)
	d.Observe(now.Add(time.Millisecond))
	assert.Equal(t, d.Threshold(now), bounds.Min)
	assert.Equal(t, d.State(now.Add(bounds.Min+2*time.Millisecond)), detector.Suspected)
}

// Heartbeats that report the same old activity do not restore trust: the agent is
// alive, but the target is silent.
func TestDelayedObservation_DoesNotRestoreTrust(t *testing.T) {
	d := newBusyDetector()
	for i := range 40 {
		now := startTime.Add(time.Duration(i) * 50 * time.Millisecond)
		d.Observe(startTime)
		if now.Sub(startTime) >= 2*bounds.Min {
			assert.Equal(t, d.State(now), detector.Failed)
		}
	}
}

func TestStalledStreams_SuspectedAtMaximum(t *testing.T) {
	d := newBusyDetector()
	d.SetStalled(bounds.Max - 1)
	assert.Equal(t, d.State(startTime), detector.Trusted)
	d.SetStalled(bounds.Max)
	assert.Equal(t, d.State(startTime), detector.Suspected)
	d.SetStalled(0)
	assert.Equal(t, d.State(startTime), detector.Trusted)
}

func TestDiscountPause_ExcludesLocalPause(t *testing.T) {
	d := newBusyDetector()
	now := startTime.Add(5 * time.Second)
	d.DiscountPause(5*time.Second - 10*time.Millisecond)
	assert.Equal(t, d.State(now), detector.Trusted)
}

// Moving the work of a silent target elsewhere does not make the target trusted.
func TestSilentTarget_StaysSuspectedWhenIdle(t *testing.T) {
	d := newBusyDetector()
	now := startTime.Add(bounds.Min)
	assert.Equal(t, d.State(now), detector.Suspected)
	d.SetBusy(now, false)
	assert.Equal(t, d.State(now), detector.Suspected)
	d.Observe(now)
	d.SetBusy(now, false)
	assert.Equal(t, d.State(now.Add(idleThreshold-1)), detector.Trusted)
}
