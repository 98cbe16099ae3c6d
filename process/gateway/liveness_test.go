package gateway

import (
	"context"
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
		alive := g.probeAddress(engine.Config().AdvertisedAddress, true).alive
		assert.Assert(t, !alive)
		best = min(best, time.Since(start))
	}
	assert.Assert(t, best < 2*probeTimeout, "took %s", best)
}

// The entry stands still while its probe of a target that is silent for a moment runs out of
// time.
func TestProbe_EntryThatStoodStillDoesNotGiveUpItsTarget(t *testing.T) {
	d := newDeployment(t)
	engine := d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.openStream(context.Background(), g, streamRequest()).skipTo(t, 1)
	engine.SetFaults(replica.Faults{ReportDelay: 300 * time.Millisecond})
	g.control.do(func() {
		g.control.probe(g.control.monitors["e1"])
		time.Sleep(idleCheckInterval + pauseThreshold + 200*time.Millisecond)
		engine.SetFaults(replica.Faults{})
	})
	// Longer than the second probe takes.
	time.Sleep(2 * probeTimeout)
	down := true
	g.control.do(func() { down = g.control.table.Get("e1").Down(time.Now()) })
	assert.Assert(t, !down)
}
