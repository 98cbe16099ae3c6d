package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testRatio  = 0.8
	testSlack  = 150.0
	testWindow = 10 * time.Second
	testShare  = 0.9
)

// waves replays a fleet that loses a failure domain every few seconds: each request
// in flight is repeated at once. It returns the most repeats over the operators'
// bound in any window, and the repeats granted.
func waves(told bool) (over float64, granted int) {
	const entries = 26
	random := rand.New(rand.NewPCG(3, 3))
	budgets := make([]*RetryBudget, entries)
	for i := range budgets {
		budgets[i] = NewRetryBudget(testShare*testRatio, testShare*testSlack, testWindow)
	}
	type event struct {
		at     time.Time
		repeat bool
	}
	var events []event
	begun := time.Unix(1000, 0)
	for step := range 3000 {
		now := begun.Add(time.Duration(step) * 20 * time.Millisecond)
		usages := make([]Usage, entries)
		for i, b := range budgets {
			usages[i] = b.Usage(now)
		}
		spend := func(entry int) {
			others := append(append([]Usage{}, usages[:entry]...), usages[entry+1:]...)
			if !told {
				others = nil
			}
			if _, ok := budgets[entry].Spend(now, entries, others, true); ok {
				granted++
				events = append(events, event{now, true})
				usages[entry] = budgets[entry].Usage(now)
			}
		}
		if random.Float64() < 0.56 {
			budgets[random.IntN(entries)].CountRequest(now)
			events = append(events, event{now, false})
		}
		if step%60 == 0 {
			for range 120 {
				spend(random.IntN(4))
			}
		}
	}
	for _, last := range events {
		bound, repeats := testSlack, 0
		for _, e := range events {
			if e.at.After(last.at.Add(-testWindow)) && !e.at.After(last.at) {
				if e.repeat {
					repeats++
				} else {
					bound += testRatio
				}
			}
		}
		over = max(over, float64(repeats)-bound)
	}
	return over, granted
}

func TestWavesOfRepeatsKeepTheBound(t *testing.T) {
	over, alone := waves(false)
	assert.Assert(t, over <= 0, "%.0f over the bound", over)
	over, together := waves(true)
	assert.Assert(t, over <= 0, "%.0f over the bound", over)
	assert.Assert(t, together > 2*alone, "entries that know of each other grant %d, alone %d", together, alone)
}

func TestBudgetIsFreeAgainAfterItsWindow(t *testing.T) {
	b := NewRetryBudget(0.5, 2, testWindow)
	now := time.Unix(1000, 0)
	assert.Equal(t, spent(b, now), true)
	assert.Equal(t, spent(b, now), true)
	assert.Equal(t, spent(b, now), false)
	b.CountRequest(now)
	b.CountRequest(now)
	assert.Equal(t, spent(b, now), true)
	assert.Equal(t, spent(b, now.Add(testWindow+time.Second)), true)
}

func spent(b *RetryBudget, now time.Time) bool {
	_, ok := b.Spend(now, 1, nil, true)
	return ok
}

// The allowance runs out while streams that their callers read have to go on.
func TestStreamsUnderWayAreRepeatedLongest(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget(0, 100, testWindow)
	waiting := 0
	for {
		if _, ok := b.Spend(now, 1, nil, false); !ok {
			break
		}
		waiting++
	}
	assert.Equal(t, waiting, 85)
	urgent := 0
	for spent(b, now) {
		urgent++
	}
	assert.Equal(t, urgent, 15)
}

// What did not reach a target is no repeat, or one that is out of reach would use up
// the allowance of all.
func TestRepeatThatDidNotArriveIsGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget(0, 2, testWindow)
	for range 50 {
		charge, ok := b.Spend(now, 1, nil, true)
		assert.Assert(t, ok)
		b.Refund(charge)
	}
	assert.Equal(t, b.Usage(now).Retries, 0)
	charge, _ := b.Spend(now, 1, nil, true)
	later := now.Add(2 * testWindow)
	assert.Assert(t, spent(b, later))
	b.Refund(charge)
	b.Refund(Charge{})
	assert.Equal(t, b.Usage(later).Retries, 1, "its window is over")
}
