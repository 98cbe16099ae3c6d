package soak

import (
	"os/exec"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"gotest.tools/v3/assert"
)

func TestAwaitCalm(t *testing.T) {
	const duration = 50 * time.Millisecond
	d := &disruptions{}
	stall := time.AfterFunc(duration/2, func() { d.add(stalled) })
	defer stall.Stop()
	start := time.Now()
	d.awaitCalm(t.Context(), duration)
	assert.Assert(t, time.Since(start) >= duration*3/2)
}

// A system that uses up the processors itself gets no more time to recover.
func TestStallWatch_RecordsStallsByOthersOnly(t *testing.T) {
	const stall = 150 * time.Millisecond
	start := time.Now()
	for name, test := range map[string]struct {
		// all and own are the processor time used during the stall, of 8 processors.
		all, own float64
		delay    time.Duration
		want     bool
	}{
		"by others":            {all: 1.2, own: 0.2, delay: stall, want: true},
		"by the system":        {all: 1.2, own: 1.1, delay: stall},
		"mostly by the system": {all: 1.2, own: 0.7, delay: stall},
		"idle machine":         {all: 0.1, own: 0.1, delay: stall},
		"no stall":             {all: 0.1, own: 0, delay: stallCheckInterval},
	} {
		d := &disruptions{}
		use := processorUse{capacity: 8000, used: 5000, own: 50}
		watch := stallWatch{stalls: d, readUse: func() (processorUse, error) { return use, nil }}
		assert.NilError(t, watch.check(start))
		use.capacity += 8 * test.delay.Seconds()
		use.used += test.all
		use.own += test.own
		assert.NilError(t, watch.check(start.Add(test.delay)))
		assert.Equal(t, d.any(start, start.Add(test.delay)), test.want, name)
	}
}

func TestReadProcessorUse_CountsStartedProcesses(t *testing.T) {
	ownOfOthers := func() float64 {
		self, err := procfs.Self()
		assert.NilError(t, err)
		stat, err := self.Stat()
		assert.NilError(t, err)
		use, err := readProcessorUse()
		assert.NilError(t, err)
		assert.Assert(t, use.own <= use.used && use.used <= use.capacity, "%+v", use)
		return use.own - stat.CPUTime()
	}
	const used = 0.3
	before := ownOfOthers()
	busy := exec.CommandContext(t.Context(), "sh", "-c", "while :; do :; done")
	assert.NilError(t, busy.Start())
	for ownOfOthers() < before+used {
		time.Sleep(stallCheckInterval)
	}
	assert.NilError(t, busy.Process.Kill())
	assert.ErrorContains(t, busy.Wait(), "killed")
	assert.Assert(t, ownOfOthers() >= before+used-0.1)
}
