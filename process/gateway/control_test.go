package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that asks the control goroutine while the process ends must not go on
// beside a command that writes into its variables.
func TestDoWaitsForACommandThatBeganBeforeTheEnd(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	g := s.entry("entry-1")
	over := false
	ran := g.control.do(func() {
		g.cancel()
		time.Sleep(50 * time.Millisecond)
		over = true
	})
	assert.Assert(t, ran)
	assert.Assert(t, over)
	<-g.control.stopped
	assert.Assert(t, !g.control.do(func() { over = false }))
	assert.Assert(t, over)
}
