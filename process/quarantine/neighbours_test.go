package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Load: all entries have just started, so that no survived request is known. Each engine that
// crashes had also begun to respond to a sound request less than a second before.
func TestTracker_NeighboursThatHadStartedAreNotQuarantinedAfterAStart(t *testing.T) {
	r := newReplay()
	for i := range 8 {
		r.crash(300*i, started("first", "deadly", fmt.Sprint("r", i/2)), started("first", fmt.Sprint("n", i)))
		assert.Assert(t, !r.quarantined(300*i, "first"), "after %d crashes", i+1)
	}
	assert.Assert(t, r.quarantined(2400, "deadly"))
}
