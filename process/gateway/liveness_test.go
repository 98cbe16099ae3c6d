package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// A failure domain goes dark: all its streams have to go on elsewhere within 700 ms,
// detection included. The best of a few tries is judged, as others share the machine.
func TestSilentTargetIsGivenUpWithinOneProbe(t *testing.T) {
	s := newSite(t)
	e := s.engine("e1", "naxos")
	g := s.entry("entry-1")
	e.SetFaults(replica.Faults{Silent: true})
	best := time.Hour
	for range 3 {
		begun := time.Now()
		alive, _ := g.probeAddress(e.Config().AdvertisedAddress, true)
		assert.Assert(t, !alive)
		best = min(best, time.Since(begun))
	}
	assert.Assert(t, best < 2*probeTimeout, "took %s", best)
}
