package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const revoke = 5 * time.Second

func TestNothingIsTrustedBeforeTheFirstWord(t *testing.T) {
	f := New(revoke)
	assert.Assert(t, !f.HasConfiguration() && !f.AcceptsKeys(0) && !f.Ready(0))
}

func TestKeysAreTrustedUntilShortlyBeforeTheBound(t *testing.T) {
	f := New(revoke)
	f.Confirm(10 * time.Second)
	assert.Assert(t, f.AcceptsKeys(10*time.Second+revoke-margin-1))
	assert.Assert(t, !f.AcceptsKeys(10*time.Second+revoke-margin))
	assert.Assert(t, f.Ready(12*time.Second))
	assert.Assert(t, !f.Ready(13*time.Second))
}

// An answer that was held up, or came after another, makes nothing younger.
func TestLateAnswerDoesNotRejuvenate(t *testing.T) {
	f := New(revoke)
	f.Confirm(10 * time.Second)
	f.Confirm(4 * time.Second)
	assert.Equal(t, f.Age(11*time.Second), time.Second)
}

// All entries were lost; their callers come back while the entries read the store.
func TestRequestsWaitForTheFirstConfigurationOfAStartingEntry(t *testing.T) {
	assert.Equal(t, StartupWait(10*time.Millisecond, 20*time.Second), startWithin-10*time.Millisecond)
	assert.Equal(t, StartupWait(10*time.Millisecond, time.Second), time.Second/8, "a short request must not wait its time away")
	assert.Equal(t, StartupWait(10*time.Millisecond, 0), startWithin-10*time.Millisecond)
	assert.Equal(t, StartupWait(startWithin, 20*time.Second), time.Duration(0), "the store does not answer")
}

func TestNoBoundTrustsForever(t *testing.T) {
	f := New(0)
	f.Confirm(0)
	assert.Assert(t, f.AcceptsKeys(time.Hour) && f.Ready(time.Hour))
}
