package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// A suspected target goes on before the attempt that was to replace it was sent. Other entries
// were told of a copy that was never made.
func TestKVCopy_OfRunningAttemptStaysKnownIfItIsNotReplaced(t *testing.T) {
	d := newDeployment(t)
	links := map[request.TargetID]*pausingLink{}
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros", "e4": "milos"} {
		links[request.TargetID(id)] = d.startBehindLink(replica.Config{
			ID: id, Service: "writer", FailureDomain: failureDomain, Engine: true, EventCount: 30,
			PrefillTime: 50 * time.Millisecond, EventInterval: 100 * time.Millisecond, Slots: 128,
		})
	}
	g := d.startReadyEntry("entry-1")
	c := g.control
	reader := d.openStream(context.Background(), g, streamRequest())
	reader.skipTo(t, 5)
	var running *attempt
	var copied kvcopies.Copy
	c.do(func() {
		for _, m := range c.monitors {
			for a := range m.attempts {
				running, copied = a, a.kvCopy
			}
		}
	})
	for id, link := range links {
		if id != running.target.ID {
			t.Cleanup(link.holdNewConnections(t))
			g.pool.CloseIdle(link.Addr().String())
		}
	}
	attempts := func() (count int) {
		c.do(func() {
			for _, m := range c.monitors {
				count += len(m.attempts)
			}
		})
		return count
	}
	d.waitUntil(func() bool {
		c.do(func() { c.recordProbe(running.target.ID, probeResult{startedAt: time.Now()}) })
		time.Sleep(10 * time.Millisecond)
		return attempts() == 2
	})
	d.waitUntil(func() bool { return attempts() == 1 })
	recorded := kvcopies.Copy{}
	c.do(func() { recorded = c.kvCopies.Own(time.Now())[running.exchange.run].Copy })
	assert.Equal(t, recorded, copied)
	reader.skipTo(t, 30)
}
