package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller of do must not continue while a started command still writes to its
// variables, even if the process is stopping.
func TestControl_DoWaitsForCommandStartedBeforeStop(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	finished := false
	ok := g.control.do(func() {
		g.cancel()
		time.Sleep(50 * time.Millisecond)
		finished = true
	})
	assert.Assert(t, ok)
	assert.Assert(t, finished)
	<-g.control.stopped
	assert.Assert(t, !g.control.do(func() { finished = false }))
	assert.Assert(t, finished)
}
