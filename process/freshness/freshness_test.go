package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testRevocationBound = 5 * time.Second

func TestFreshness_NotReadyBeforeFirstConfirm(t *testing.T) {
	f := New(testRevocationBound)
	assert.Assert(t, !f.HasConfiguration() && !f.AcceptsKeys(0) && !f.Ready(0))
}

func TestAcceptsKeys_UntilMarginBeforeRevocationBound(t *testing.T) {
	f := New(testRevocationBound)
	f.Confirm(10 * time.Second)
	assert.Assert(t, f.AcceptsKeys(10*time.Second+testRevocationBound-clockMargin-1))
	assert.Assert(t, !f.AcceptsKeys(10*time.Second+testRevocationBound-clockMargin))
	assert.Assert(t, f.Ready(12*time.Second))
	assert.Assert(t, !f.Ready(13*time.Second))
}

// A response that was delayed, or that arrives after a later one, does not reduce the age.
func TestConfirm_LateResponseDoesNotReduceAge(t *testing.T) {
	f := New(testRevocationBound)
	f.Confirm(10 * time.Second)
	f.Confirm(4 * time.Second)
	assert.Equal(t, f.Age(11*time.Second), time.Second)
}

// After a crash of all entries, callers retry while the restarted entries read the store.
func TestStartupWait_BoundedByStartAndDeadline(t *testing.T) {
	assert.Equal(t, StartupWait(10*time.Millisecond, 20*time.Second), maxStartupWait-10*time.Millisecond)
	assert.Equal(t, StartupWait(10*time.Millisecond, time.Second), time.Second/8, "a short request must not spend its time waiting")
	assert.Equal(t, StartupWait(10*time.Millisecond, 0), maxStartupWait-10*time.Millisecond)
	assert.Equal(t, StartupWait(maxStartupWait, 20*time.Second), time.Duration(0), "the store did not respond in time")
}

func TestFreshness_ZeroBoundNeverExpires(t *testing.T) {
	f := New(0)
	f.Confirm(0)
	assert.Assert(t, f.AcceptsKeys(time.Hour) && f.Ready(time.Hour))
}
