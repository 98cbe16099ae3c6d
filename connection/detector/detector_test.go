package detector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/connection/detector"
)

const idle = 3 * time.Second

var (
	start  = time.Unix(1000, 0)
	bounds = detector.Bounds{Min: 100 * time.Millisecond, Max: 800 * time.Millisecond}
)

func busyDetector() *detector.Detector {
	d := detector.New(start, bounds, idle)
	d.SetBusy(start, true)
	return d
}

// A cadence that grows by halves from the bounds' minimum and then varies by half
// is never suspected, however long it lasts; a silence of the maximum always is.
func TestCadenceIsTrustedAndSilenceIsNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := busyDetector()
		now := start
		hear := func(gap time.Duration) {
			now = now.Add(gap)
			assert.Equal(t, d.State(now), detector.Trusted)
			d.Observe(now)
		}
		period := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(bounds.Max/3)).Draw(t, "period"))
		for gap := bounds.Min / 2; gap < period; gap = gap * 3 / 2 {
			hear(gap)
		}
		hear(period)
		for range rapid.IntRange(1, 400).Draw(t, "signs") {
			hear(time.Duration(rapid.Int64Range(int64(period), int64(period*3/2)).Draw(t, "gap")))
		}
		assert.Assert(t, d.State(now.Add(bounds.Max)) != detector.Trusted)
		assert.Equal(t, d.State(now.Add(2*bounds.Max)), detector.Failed)
	})
}

// The threshold stays within the bounds, whatever the signs.
func TestThresholdStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := busyDetector()
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "signs") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap")))
			d.Observe(now)
			threshold := d.Threshold(now)
			assert.Assert(t, threshold >= bounds.Min && threshold <= bounds.Max, "%v", threshold)
		}
	})
}

func TestLongGapIsForgotten(t *testing.T) {
	d := busyDetector()
	now := start.Add(300 * time.Millisecond)
	d.Observe(now)
	assert.Equal(t, d.Threshold(now), 600*time.Millisecond)
	assert.Equal(t, d.Threshold(now.Add(30*time.Second)), 300*time.Millisecond)
	assert.Equal(t, d.Threshold(now.Add(10*time.Minute)), bounds.Min)
}

func TestIdleSilenceIsNeitherLearntNorSuspected(t *testing.T) {
	d := detector.New(start, bounds, idle)
	now := start.Add(2 * time.Second)
	assert.Equal(t, d.State(now), detector.Trusted)
	d.SetBusy(now, true)
	assert.Equal(t, d.State(now), detector.Trusted)
	d.Observe(now.Add(time.Millisecond))
	assert.Equal(t, d.Threshold(now), bounds.Min)
	assert.Equal(t, d.State(now.Add(bounds.Min+2*time.Millisecond)), detector.Suspected)
}

// An old sign of life, which a heartbeat reports late, does not renew trust: the
// target is silent while its agent is not.
func TestReportOfOldSignDoesNotRenewTrust(t *testing.T) {
	d := busyDetector()
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		d.Observe(start)
		if now.Sub(start) >= 2*bounds.Min {
			assert.Equal(t, d.State(now), detector.Failed)
		}
	}
}

func TestStallIsSuspectedAtTheMaximum(t *testing.T) {
	d := busyDetector()
	d.SetStalled(bounds.Max - 1)
	assert.Equal(t, d.State(start), detector.Trusted)
	d.SetStalled(bounds.Max)
	assert.Equal(t, d.State(start), detector.Suspected)
	d.SetStalled(0)
	assert.Equal(t, d.State(start), detector.Trusted)
}

func TestOwnPauseIsForgiven(t *testing.T) {
	d := busyDetector()
	now := start.Add(5 * time.Second)
	d.DiscountPause(5*time.Second - 10*time.Millisecond)
	assert.Equal(t, d.State(now), detector.Trusted)
}

// The work of a silent target goes elsewhere, which does not make it trusted.
func TestSilentTargetIsNotTrustedForBeingIdle(t *testing.T) {
	d := busyDetector()
	now := start.Add(bounds.Min)
	assert.Equal(t, d.State(now), detector.Suspected)
	d.SetBusy(now, false)
	assert.Equal(t, d.State(now), detector.Suspected)
	d.Observe(now)
	d.SetBusy(now, false)
	assert.Equal(t, d.State(now.Add(idle-1)), detector.Trusted)
}
