package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// calm replays calm load: prompts come at random to engines that read one after the
// other, while answers beside them stand still for four fifths of the time. It returns
// the mean time of an answer from its first event to its last, in seconds.
func calm(t *testing.T, pick func(table *Table, now time.Time, need Requirements) request.TargetID) float64 {
	t.Helper()
	const (
		count   = 36
		tick    = 10 * time.Millisecond
		every   = 110 * time.Millisecond
		ticks   = 12_000
		slowed  = 0.2
		needs   = 3.6
		shorter = 0.5
	)
	type run struct {
		need  Requirements
		left  float64
		began time.Time
	}
	table := engines(count)
	reading, running := make([][]*run, count), make([][]*run, count)
	rank := map[request.TargetID]int{}
	for i := range count {
		rank[id(i)] = i
	}
	total, ended, sessions := 0.0, 0, 0
	for i := range ticks {
		now := start.Add(time.Duration(i) * tick)
		if time.Duration(i)*tick >= time.Duration(sessions)*every {
			need := prompt(fmt.Sprint(sessions))
			target := pick(table, now, need)
			table.AddAttempt(target, need)
			n := rank[target]
			reading[n] = append(reading[n], &run{need: need, left: float64(need.PromptTokens) / promptRate / 1000})
			sessions++
		}
		for n := range count {
			speed := 1.0
			if len(reading[n]) > 0 {
				speed = slowed
				first := reading[n][0]
				if first.left -= tick.Seconds(); first.left <= 0 {
					reading[n] = reading[n][1:]
					table.PrefillDone(id(n), first.need)
					// Answers differ in length.
					first.left, first.began = needs*(shorter+float64(sessions*7%11)/10), now
					running[n] = append(running[n], first)
				}
			}
			var left []*run
			for _, r := range running[n] {
				if r.left -= speed * tick.Seconds(); r.left > 0 {
					left = append(left, r)
					continue
				}
				table.RemoveAttempt(id(n), r.need, true)
				total, ended = total+now.Sub(r.began).Seconds(), ended+1
			}
			running[n] = left
		}
	}
	return total / float64(ended)
}

// Answers take 3.6 s at an engine of their own. Under calm load, prompts that are read
// beside them may cost a tenth of that.
func TestCalmLoadHardlyHoldsAnswersUp(t *testing.T) {
	took := calm(t, func(table *Table, now time.Time, need Requirements) request.TargetID {
		choice, err := table.Pick(now, need)
		assert.NilError(t, err)
		return choice.Target.ID
	})
	t.Logf("answers took %.2f s", took)
	assert.Assert(t, took < 1.1*3.6)
}
