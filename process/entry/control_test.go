package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/request"
)

// TestControl_ChecksMoreOftenWhileAttemptsRunOrWait follows the check interval from
// idle to busy and back. It guards against taking the idle interval for a pause of the
// process when work arrives.
func TestControl_ChecksMoreOftenWhileAttemptsRunOrWait(t *testing.T) {
	c := newControl(rand.New(rand.NewPCG(1, 1)), revision.NewActive(), observe.New("entry-1", "127.0.0.1:0", nil))
	now := time.Now()
	c.checkInterval = idleCheckInterval
	c.lastCheck = now
	assert.Assert(t, !c.switchToBusyInterval(now.Add(idleCheckInterval)))

	key := attemptKey{request: "r", attempt: 1}
	load := &attemptLoad{driver: &generationDriver{}}
	c.addAttempt(t.Context(), "t-1", key, load)
	(<-c.commands)()
	later := now.Add(idleCheckInterval)
	assert.Assert(t, c.switchToBusyInterval(later))
	assert.Equal(t, c.checkInterval, busyCheckInterval)
	assert.Assert(t, c.lastCheck.Equal(later))
	assert.Assert(t, !c.switchToBusyInterval(later))

	for range 2 {
		c.removeAttempt("t-1", key, load)
		(<-c.commands)()
	}
	assert.Equal(t, c.attemptCount, 0)
	assert.Equal(t, c.requiredCheckInterval(), idleCheckInterval)
	c.admission.waiting[1] = &ticket{reply: make(chan request.Event, 1)}
	assert.Equal(t, c.requiredCheckInterval(), busyCheckInterval)
}

func TestSubsetBase_DividesLinksAmongServices(t *testing.T) {
	assert.Equal(t, subsetBase(1), maxSubsetBase)
	assert.Equal(t, subsetBase(6), 8)
	assert.Equal(t, subsetBase(18), minSubsetBase)
}
