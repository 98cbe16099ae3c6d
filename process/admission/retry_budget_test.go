package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testRatio        = 0.8
	testFixedRetries = 150.0
	testWindow       = 10 * time.Second
	testSafetyFactor = 0.9
)

// simulateDomainFailures simulates a fleet in which a failure domain fails every few seconds
// and each request in flight is retried at once. It returns by how many retries any window
// exceeds the operators' bound, and the number of retries granted.
func simulateDomainFailures(peerUsageKnown bool) (excess float64, granted int) {
	const entries = 26
	random := rand.New(rand.NewPCG(3, 3))
	budgets := make([]*RetryBudget, entries)
	for i := range budgets {
		budgets[i] = NewRetryBudget(testSafetyFactor*testRatio, testSafetyFactor*testFixedRetries, testWindow)
	}
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	begin := time.Unix(1000, 0)
	for step := range 3000 {
		now := begin.Add(time.Duration(step) * 20 * time.Millisecond)
		usages := make([]Usage, entries)
		for i, b := range budgets {
			usages[i] = b.Usage(now)
		}
		retryAt := func(entry int) {
			peerUsage := append(append([]Usage{}, usages[:entry]...), usages[entry+1:]...)
			if !peerUsageKnown {
				peerUsage = nil
			}
			if _, ok := budgets[entry].Spend(now, entries, peerUsage, true); ok {
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
				retryAt(random.IntN(4))
			}
		}
	}
	for _, last := range events {
		bound, retries := testFixedRetries, 0
		for _, e := range events {
			if e.at.After(last.at.Add(-testWindow)) && !e.at.After(last.at) {
				if e.retry {
					retries++
				} else {
					bound += testRatio
				}
			}
		}
		excess = max(excess, float64(retries)-bound)
	}
	return excess, granted
}

func TestRetryBudget_DomainFailuresStayWithinBound(t *testing.T) {
	excess, grantedAlone := simulateDomainFailures(false)
	assert.Assert(t, excess <= 0, "%.0f over the bound", excess)
	excess, grantedTogether := simulateDomainFailures(true)
	assert.Assert(t, excess <= 0, "%.0f over the bound", excess)
	assert.Assert(t, grantedTogether > 2*grantedAlone, "entries that know their peers' usage grant %d retries, without it %d", grantedTogether, grantedAlone)
}

func TestRetryBudget_AllowsRetriesAgainAfterWindow(t *testing.T) {
	b := NewRetryBudget(0.5, 2, testWindow)
	now := time.Unix(1000, 0)
	assert.Equal(t, spend(b, now), true)
	assert.Equal(t, spend(b, now), true)
	assert.Equal(t, spend(b, now), false)
	b.CountRequest(now)
	b.CountRequest(now)
	assert.Equal(t, spend(b, now), true)
	assert.Equal(t, spend(b, now.Add(testWindow+time.Second)), true)
}

func spend(b *RetryBudget, now time.Time) bool {
	_, ok := b.Spend(now, 1, nil, true)
	return ok
}

// The allowance runs out while streams that callers are reading have to resume.
func TestRetryBudget_ReservesPartForUrgentRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget(0, 100, testWindow)
	nonUrgent := 0
	for {
		if _, ok := b.Spend(now, 1, nil, false); !ok {
			break
		}
		nonUrgent++
	}
	assert.Equal(t, nonUrgent, 85)
	urgent := 0
	for spend(b, now) {
		urgent++
	}
	assert.Equal(t, urgent, 15)
}

// An attempt that did not reach its target does not count as a retry; otherwise one
// unreachable target would use up the allowance of all entries.
func TestRetryBudget_RefundsRetryThatDidNotReachTarget(t *testing.T) {
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
	assert.Assert(t, spend(b, later))
	b.Refund(charge)
	b.Refund(Charge{})
	assert.Equal(t, b.Usage(later).Retries, 1, "a refund after the window must have no effect")
}
