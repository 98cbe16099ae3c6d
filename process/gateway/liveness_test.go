package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// When a failure domain goes silent, all its streams must resume elsewhere within 700
// ms, detection included. The best of three tries counts, because other processes share
// the machine.
func TestProbe_SilentTargetFailsWithinTwoTimeouts(t *testing.T) {
	d := newDeployment(t)
	engine := d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	engine.SetFaults(replica.Faults{Silent: true})
	best := time.Hour
	for range 3 {
		start := time.Now()
		alive, _ := g.probeAddress(engine.Config().AdvertisedAddress, true)
		assert.Assert(t, !alive)
		best = min(best, time.Since(start))
	}
	assert.Assert(t, best < 2*probeTimeout, "took %s", best)
}
