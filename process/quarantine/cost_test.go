package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// rollingCrashes has engines crash one after the other, each with several requests of long
// prompts: three engines for each harmful part.
func rollingCrashes() *replay {
	r := newReplay()
	for i := range maxCrashes {
		report := Crash{Service: "writer", Target: request.TargetID(fmt.Sprint("engine-", i)), Incarnation: 1}
		for j := range MaxSuspects {
			parts := make([]string, 16)
			for k := range parts {
				parts[k] = fmt.Sprintf("part-%d-%d-%d", i/3, j, k)
			}
			parts[len(parts)-1] = fmt.Sprintf("last-%d-%d", i, j)
			report.Suspects = append(report.Suspects, started(parts...))
		}
		r.tracker.RecordCrash(r.at(300*i), r.at(300*i), report)
		r.evaluate(300 * i)
	}
	return r
}

func BenchmarkTracker_RollingCrashes(b *testing.B) {
	for b.Loop() {
		rollingCrashes()
	}
}

func BenchmarkTracker_Suspected(b *testing.B) {
	r := rollingCrashes()
	parts := make([]string, 16)
	for i := range parts {
		parts[i] = fmt.Sprint("sound-", i)
	}
	for b.Loop() {
		r.tracker.Suspected("writer", parts)
	}
}

func TestTracker_ForgottenPartsLeaveNothing(t *testing.T) {
	r := rollingCrashes()
	assert.Assert(t, len(r.tracker.Quarantined(r.at(300*maxCrashes))) > 10)
	r.evaluate(int(3 * quarantinePeriod.Milliseconds()))
	assert.Equal(t, len(r.tracker.parts), 0)
	assert.Equal(t, len(r.tracker.services), 0)
	assert.Equal(t, len(r.tracker.crashes), 0)
}

func TestTracker_PartsOfForgottenCrashesAreNotSuspected(t *testing.T) {
	r := newReplay()
	suspected := func() int { return len(r.tracker.Suspected("writer", []string{"first", "a", "b"})) }
	assert.Equal(t, suspected(), 0)
	r.crash(0, started("first", "a"))
	assert.Equal(t, suspected(), 2)
	r.crash(1000, waiting("first", "b"))
	assert.Equal(t, suspected(), 3)
	r.tracker.RetractCrash(r.at(1200), r.at(1100), "engine-2", 1)
	assert.Equal(t, suspected(), 2)
	r.evaluate(int(crashTTL.Milliseconds()))
	assert.Equal(t, suspected(), 0)
}
