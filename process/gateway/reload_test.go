package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/version"
)

// A reload under load changes the bounds and forgets no retry: callers' retries would exceed
// the operators' bound otherwise.
func TestReload_KeepsRetriesAndAppliesBounds(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	granted := 0
	spend := func() {
		for {
			if _, ok := g.takeRetry("request", "bookings", true); !ok {
				return
			}
			granted++
		}
	}
	spend()
	assert.Assert(t, granted > 0)
	before := granted
	bounds := g.settings.Bounds
	bounds.RevokeWithin = version.Duration(time.Second)
	bounds.Grace = version.Duration(2 * time.Second)
	g.control.do(func() { g.control.setBounds(bounds) })
	spend()
	assert.Equal(t, granted, before, "a reload made room for more retries")
	assert.Equal(t, g.currentBounds().Grace.Std(), 2*time.Second)
	confirmed := g.control.currentFreshness()
	age := 1500 * time.Millisecond
	assert.Assert(t, !confirmed.AcceptsKeys(bootClock()+age-confirmed.Age(bootClock())), "a key is accepted beyond the new bound")
}
