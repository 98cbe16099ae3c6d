package replica

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The faults of a version must be the same in each run with a seed, at the given shares, and stay
// within the time, load and path that they are limited to.
func TestVersionFaults_Apply(t *testing.T) {
	const draws = 10000
	counts := func(faults VersionFaults) (failed, slow int) {
		for i := range draws {
			fault := faults.apply(time.Second, 1, "/book/x", strconv.Itoa(i))
			if fault.fails {
				failed++
			}
			if fault.slowdown > 1 {
				assert.Equal(t, fault.slowed(time.Second), 4*time.Second)
				slow++
			}
		}
		return failed, slow
	}
	faults := VersionFaults{FailureShare: 0.2, SlowShare: 0.5, SlowFactor: 4, Seed: 7}
	failed, slow := counts(faults)
	assert.Assert(t, failed > 0.18*draws && failed < 0.22*draws, "%d failed", failed)
	assert.Assert(t, slow > 0.48*draws && slow < 0.52*draws, "%d slow", slow)
	againFailed, againSlow := counts(faults)
	assert.Equal(t, againFailed, failed)
	assert.Equal(t, againSlow, slow)
	none := versionFault{slowdown: 1}
	assert.Equal(t, (&VersionFaults{}).apply(time.Second, 1, "/book/x", "1"), none)
	all := VersionFaults{FailureShare: 1, After: time.Second, AboveRunning: 3, PathPrefix: "/book/"}
	assert.Assert(t, all.apply(time.Second, 4, "/book/x", "1").fails)
	assert.Equal(t, all.apply(999*time.Millisecond, 4, "/book/x", "1"), none)
	assert.Equal(t, all.apply(time.Second, 3, "/book/x", "1"), none)
	assert.Equal(t, all.apply(time.Second, 4, "/status/x", "1"), none)
}
