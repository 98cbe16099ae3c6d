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

// TestChecksAreQuickWhileWorkRuns follows the period of checks from idle to work
// and back, and sees that the slow period counts as no pause of the process.
func TestChecksAreQuickWhileWorkRuns(t *testing.T) {
	c := newControl(rand.New(rand.NewPCG(1, 1)), revision.NewActive(), observe.New("entry-1", "127.0.0.1:0", nil))
	now := time.Now()
	c.period = idleCheckEvery
	c.checked = now
	assert.Assert(t, !c.quicken(now.Add(idleCheckEvery)))

	key := runKey{request: "r", attempt: 1}
	load := &attemptLoad{driver: &generationDriver{}}
	c.started(t.Context(), "t-1", key, load)
	(<-c.commands)()
	later := now.Add(idleCheckEvery)
	assert.Assert(t, c.quicken(later))
	assert.Equal(t, c.period, checkEvery)
	assert.Assert(t, c.checked.Equal(later))
	assert.Assert(t, !c.quicken(later))

	for range 2 {
		c.ended("t-1", key, load)
		(<-c.commands)()
	}
	assert.Equal(t, c.attempts, 0)
	assert.Equal(t, c.wantedPeriod(), idleCheckEvery)
	c.desk.waiting[1] = &ticket{reply: make(chan request.Event, 1)}
	assert.Equal(t, c.wantedPeriod(), checkEvery)
}

func TestSubsetsOfAllServicesShareTheLinks(t *testing.T) {
	assert.Equal(t, subsetBase(1), subsetMost)
	assert.Equal(t, subsetBase(6), 8)
	assert.Equal(t, subsetBase(18), subsetLeast)
}
