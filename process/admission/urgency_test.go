package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
)

const callService = "bookings"

// newCallController returns a controller whose calls are ordered by urgency.
func newCallController() *testController {
	c := newTestController()
	c.OrderByUrgency(callService)
	return c
}

// newCall returns a call that arrives now, is on time if it starts within onTime, and whose
// caller waits for a second and a half.
func newCall(now time.Time, rank int, onTime time.Duration) admission.Request {
	return admission.Request{
		Kind: "route", Rank: rank, Arrived: now, LatestStart: now.Add(onTime), Deadline: now.Add(1500 * time.Millisecond),
	}
}

// enqueueCall queues a call and returns its ID.
func (c *testController) enqueueCall(now time.Time, request admission.Request) uint64 {
	c.lastID++
	request.ID = c.lastID
	c.requests[request.ID] = request
	c.record(c.Enqueue(now, callService, request))
	return request.ID
}

// admitAll admits all queued calls and returns their IDs in order.
func (c *testController) admitAll(now time.Time) []uint64 {
	c.record(c.Prune(now, callService))
	return c.record(c.Dispatch(callService, c.Waiting(callService)))
}

func TestUrgency_OrdersByRankThenLatestStart(t *testing.T) {
	c := newCallController()
	usualLater := c.enqueueCall(start, newCall(start, 1, 300*time.Millisecond))
	usual := c.enqueueCall(start, newCall(start, 1, 200*time.Millisecond))
	urgent := c.enqueueCall(start, newCall(start, 0, 400*time.Millisecond))
	assert.DeepEqual(t, c.admitAll(start), []uint64{urgent, usual, usualLater})
}

// A call that can no longer be on time must not take the place of one that can, whatever their
// ranks, and is still served.
func TestUrgency_LateCallsComeLast(t *testing.T) {
	c := newCallController()
	late := c.enqueueCall(start, newCall(start, 0, 100*time.Millisecond))
	now := start.Add(150 * time.Millisecond)
	onTime := c.enqueueCall(now, newCall(now, 2, 200*time.Millisecond))
	lateOnArrival := c.enqueueCall(now, newCall(now, 0, -time.Millisecond))
	assert.DeepEqual(t, c.admitAll(now), []uint64{onTime, late, lateOnArrival})
}

// Late calls are admitted only within their own limit, others go on.
func TestUrgency_LateCallsHaveTheirOwnLimit(t *testing.T) {
	c := newCallController()
	late := c.enqueueCall(start, newCall(start, 0, -time.Millisecond))
	onTime := c.enqueueCall(start, newCall(start, 0, time.Second))
	assert.DeepEqual(t, c.record(c.DispatchLimited(callService, 2, 0)), []uint64{onTime})
	assert.Equal(t, len(c.DispatchLimited(callService, 2, 0)), 0)
	assert.DeepEqual(t, c.record(c.DispatchLimited(callService, 2, 1)), []uint64{late})
}

// Earliest first serves every call just before it is late while calls become late, so the newest
// go first then, and the earliest again once that is over.
func TestUrgency_NewestFirstWhileCallsBecomeLate(t *testing.T) {
	c := newCallController()
	c.enqueueCall(start, newCall(start, 0, 100*time.Millisecond))
	now := start.Add(150 * time.Millisecond)
	older := c.enqueueCall(now, newCall(now, 0, 100*time.Millisecond))
	newer := c.enqueueCall(now, newCall(now, 0, 200*time.Millisecond))
	order := c.admitAll(now)
	assert.DeepEqual(t, order[:2], []uint64{newer, older})
	now = now.Add(2 * time.Second)
	older = c.enqueueCall(now, newCall(now, 0, 100*time.Millisecond))
	newer = c.enqueueCall(now, newCall(now, 0, 200*time.Millisecond))
	assert.DeepEqual(t, c.admitAll(now), []uint64{older, newer})
}

// However much more urgent calls there are, a less urgent kind is served at least a quarter as
// often as all together, and never more often than a more urgent one.
func TestUrgency_StarvesNoKind(t *testing.T) {
	for urgent := 1; urgent <= 4; urgent++ {
		for usual := range 3 {
			checkStarvation(t, [3]int{urgent, usual, 1})
		}
	}
}

// checkStarvation offers the given number of calls of each rank every 10 ms, and one place.
func checkStarvation(t *testing.T, perStep [3]int) {
	t.Helper()
	const steps = 3000
	c := newCallController()
	offered, served := [3]int{}, [3]int{}
	now := start
	for range steps {
		now = now.Add(10 * time.Millisecond)
		for rank, count := range perStep {
			for range count {
				c.enqueueCall(now, newCall(now, rank, 200*time.Millisecond))
				offered[rank]++
			}
		}
		c.record(c.Prune(now, callService))
		for _, id := range c.record(c.Dispatch(callService, 1)) {
			served[c.requests[id].Rank]++
		}
	}
	total := steps / float64(offered[0]+offered[1]+offered[2])
	last := 1.0
	for rank := range offered {
		if offered[rank] == 0 {
			continue
		}
		share := float64(served[rank]) / float64(offered[rank])
		assert.Assert(t, share >= total/4, "%v, rank %d: %.3f of %.3f", perStep, rank, share, total)
		assert.Assert(t, share <= last+0.01, "%v: rank %d is served more often than a more urgent one", perStep, rank)
		last = share
	}
}

// Calls that are all late, as those of callers that are taken to return although they do not,
// are not starved either.
func TestUrgency_StarvesNoLateCalls(t *testing.T) {
	c := newCallController()
	offered, served := map[string]int{}, map[string]int{}
	now := start
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		for kind, onTime := range map[string]time.Duration{"new": 200 * time.Millisecond, "late": -time.Millisecond} {
			request := newCall(now, 0, onTime)
			request.Kind = kind
			c.enqueueCall(now, request)
			offered[kind]++
		}
		c.record(c.Prune(now, callService))
		for _, id := range c.record(c.DispatchLimited(callService, 1, 0)) {
			served[c.requests[id].Kind]++
		}
	}
	total := float64(served["new"]+served["late"]) / float64(offered["new"]+offered["late"])
	assert.Assert(t, float64(served["late"])/float64(offered["late"]) >= total/4, "%v", served)
	assert.Assert(t, served["new"] > served["late"])
}

// For any sequence of operations, each call is decided exactly once or is still queued, and
// none waits for longer than its caller.
func TestUrgency_DecidesEachCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 12
		c := newCallController()
		now := start
		waiting, running := map[uint64]bool{}, map[uint64]bool{}
		recordDecisions := func(decisions []admission.Decision) {
			for _, decision := range decisions {
				assert.Assert(t, waiting[decision.ID], "decided twice or never enqueued")
				delete(waiting, decision.ID)
				if decision.Kind == fault.None {
					running[decision.ID] = true
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				request := newCall(now, rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(rapid.IntRange(-50, 400).Draw(t, "onTime"))*time.Millisecond)
				request.Kind = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")
				request.Workspace = rapid.SampledFrom([]string{"", "crew"}).Draw(t, "workspace")
				request.MaxQueued = bound
				c.lastID++
				request.ID = c.lastID
				c.requests[request.ID] = request
				waiting[request.ID] = true
				recordDecisions(c.Enqueue(now, callService, request))
			case 1:
				free := rapid.IntRange(0, 4).Draw(t, "free")
				recordDecisions(c.Prune(now, callService))
				recordDecisions(c.DispatchLimited(callService, free, rapid.IntRange(0, 4).Draw(t, "freeForLate")))
				for id := range waiting {
					assert.Assert(t, !now.After(c.requests[id].Deadline), "waits longer than its caller")
				}
			case 2:
				for id := range running {
					delete(running, id)
					c.Finish(now, callService, c.requests[id], 0)
					break
				}
			case 3:
				for id := range waiting {
					delete(waiting, id)
					assert.Assert(t, c.Cancel(callService, id))
					assert.Assert(t, !c.Cancel(callService, id))
					break
				}
			}
			assert.Equal(t, c.Waiting(callService), len(waiting))
			assert.Assert(t, len(waiting) <= bound)
		}
	})
}

// While an overload lasts, calls that became late are refused as soon as their wait is predicted
// to pass their deadlines, nearly all in the first third of their callers' time: most when they
// become late, after 200 ms.
func TestUrgency_RefusesLateCallsThatWouldWaitTooLong(t *testing.T) {
	c := newCallController()
	now := start
	refusedAfter := []time.Duration{}
	for step := range 600 {
		now = now.Add(10 * time.Millisecond)
		for range 2 {
			c.enqueueCall(now, newCall(now, 0, 200*time.Millisecond))
		}
		for _, decision := range c.Prune(now, callService) {
			assert.Equal(t, decision.Kind, fault.Overloaded)
			// The first ones wait until the drain rate is known, and in vain.
			if step >= 200 {
				refusedAfter = append(refusedAfter, now.Sub(c.requests[decision.ID].Arrived))
			}
		}
		c.record(c.Dispatch(callService, 1))
	}
	assert.Assert(t, len(refusedAfter) > 300)
	soon := 0
	for _, after := range refusedAfter {
		if after < 500*time.Millisecond {
			soon++
		}
	}
	assert.Assert(t, soon*10 >= len(refusedAfter)*9, "%d of %d refusals came soon", soon, len(refusedAfter))
}

// Callers that are refused return one after another, in the order in which they were refused,
// at a rate that the targets can serve.
func TestUrgency_RefusedCallersReturnInOrder(t *testing.T) {
	c := newCallController()
	now := start
	// The queue is drained with 100 calls per second.
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		c.enqueueCall(now, newCall(now, 0, time.Second))
		c.enqueueCall(now, newCall(now, 0, time.Second))
		c.record(c.Dispatch(callService, 1))
	}
	var returns []time.Time
	for range 20 {
		now = now.Add(time.Millisecond)
		request := newCall(now, 0, -time.Millisecond)
		request.MaxQueued = c.Waiting(callService)
		c.lastID++
		request.ID = c.lastID
		decisions := c.Enqueue(now, callService, request)
		assert.Equal(t, len(decisions), 1)
		returns = append(returns, now.Add(decisions[0].RetryAfter))
	}
	for i, at := range returns {
		assert.Assert(t, at.Sub(now) > 200*time.Millisecond)
		if i > 0 {
			assert.Assert(t, at.Sub(returns[i-1]) >= 10*time.Millisecond, "callers return together")
		}
	}
}
