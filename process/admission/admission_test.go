package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/admission"
)

const service = "asistent-lm"

var start = time.Unix(1000, 0)

// testController wraps a controller and records the outcome of each request.
type testController struct {
	*admission.Controller
	requests map[uint64]admission.Request
	outcomes map[uint64]fault.Kind
	lastID   uint64
}

func newTestController() *testController {
	return &testController{Controller: admission.NewController(), requests: map[uint64]admission.Request{}, outcomes: map[uint64]fault.Kind{}}
}

func (c *testController) record(decisions []admission.Decision) (admitted []uint64) {
	for _, decision := range decisions {
		c.outcomes[decision.ID] = decision.Kind
		if decision.Kind == fault.None {
			admitted = append(admitted, decision.ID)
		}
	}
	return admitted
}

func (c *testController) enqueue(now time.Time, request admission.Request) uint64 {
	c.lastID++
	request.ID = c.lastID
	request.Arrived = now
	c.requests[request.ID] = request
	c.record(c.Enqueue(now, service, request))
	return request.ID
}

func newRequest(workspace string, share, tokens int) admission.Request {
	return admission.Request{Workspace: workspace, Share: share, Tokens: tokens}
}

// While all workspaces have queued requests, the tokens admitted for each are in proportion
// to its share, to within one request.
func TestDispatch_TokensAreProportionalToShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController()
		shares := map[string]int{"large": rapid.IntRange(1, 9).Draw(t, "large"), "small": rapid.IntRange(1, 9).Draw(t, "small")}
		for range 200 {
			for name, share := range shares {
				c.enqueue(start, newRequest(name, share, 100))
			}
		}
		tokens := map[string]int{}
		for range rapid.IntRange(1, 120).Draw(t, "slots") {
			for _, id := range c.record(c.Dispatch(service, 1)) {
				tokens[c.requests[id].Workspace] += 100
			}
		}
		large := float64(tokens["large"]) / float64(shares["large"])
		small := float64(tokens["small"]) / float64(shares["small"])
		assert.Assert(t, large-small <= 200 && small-large <= 200, "%v %v", tokens, shares)
	})
}

// However long the queue of a large workspace is, the first request of a small one is
// admitted after at most one other request.
func TestDispatch_LongQueueDoesNotDelayOtherWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController()
		for range rapid.IntRange(1, 500).Draw(t, "queued") {
			c.enqueue(start, newRequest("large", 5, rapid.IntRange(1, 4000).Draw(t, "tokens")))
		}
		c.record(c.Dispatch(service, rapid.IntRange(0, 50).Draw(t, "started")))
		small := c.enqueue(start, newRequest("small", 1, 300))
		c.record(c.Dispatch(service, 2))
		kind, decided := c.outcomes[small]
		assert.Assert(t, decided && kind == fault.None)
	})
}

// Admits all requests at once, as when targets accept more than they can run: the requests
// queued at a target are ordered by the shares of their workspaces.
func TestDispatch_RankGrowsWithTokensInFlight(t *testing.T) {
	c := newTestController()
	for range 64 {
		c.enqueue(start, newRequest("large", 1, 200))
	}
	large := c.Dispatch(service, 64)
	c.enqueue(start, newRequest("small", 1, 200))
	c.enqueue(start, newRequest("wide", 8, 200))
	others := c.Dispatch(service, 2)
	assert.Equal(t, large[0].Rank, 0)
	assert.Assert(t, large[63].Rank > large[8].Rank)
	assert.Equal(t, others[0].Rank, 0)
	assert.Equal(t, others[1].Rank, 0)
	for range 8 {
		c.enqueue(start, newRequest("wide", 8, 200))
	}
	c.Dispatch(service, 8)
	c.enqueue(start, newRequest("wide", 8, 200))
	// Nine times 200 tokens for a share of 8 are three and a half units of 64.
	assert.Equal(t, c.Dispatch(service, 1)[0].Rank, 2)
	for range 200 {
		c.enqueue(start, newRequest("large", 1, 1<<20))
	}
	assert.Equal(t, c.Dispatch(service, 200)[199].Rank, 20)
}

// A workspace that was idle has no credit from that time: it gets its share from now on.
func TestDispatch_IdleWorkspaceSavesNoCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController()
		for range 300 {
			c.enqueue(start, newRequest("busy", 1, 100))
		}
		c.record(c.Dispatch(service, rapid.IntRange(1, 100).Draw(t, "alone")))
		for range 100 {
			c.enqueue(start, newRequest("idle", 1, 100))
		}
		counts := map[string]int{}
		for _, id := range c.record(c.Dispatch(service, 50)) {
			counts[c.requests[id].Workspace]++
		}
		assert.Assert(t, counts["busy"] >= 24 && counts["idle"] >= 24, "%v", counts)
	})
}

// For any sequence of operations, every request is decided exactly once or is still queued,
// the queue stays within its bound, and limits hold.
func TestController_DecidesEachRequestOnce(t *testing.T) {
	const limit, bound = 5, 10
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController()
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
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				request := newRequest(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), 1, rapid.IntRange(1, 1000).Draw(t, "tokens"))
				request.Limits.Concurrent = limit
				request.MaxQueued = bound
				request.QueueTimeout = time.Second
				request.FailFast = rapid.Bool().Draw(t, "refuse")
				c.lastID++
				request.ID, request.Arrived = c.lastID, now
				c.requests[request.ID] = request
				waiting[request.ID] = true
				recordDecisions(c.Enqueue(now, service, request))
			case 1:
				recordDecisions(c.Dispatch(service, rapid.IntRange(0, 4).Draw(t, "room")))
				recordDecisions(c.Prune(now, service))
				for id := range waiting {
					assert.Assert(t, now.Sub(c.requests[id].Arrived) < time.Second, "waits too long")
				}
			case 2:
				for id := range running {
					delete(running, id)
					c.Finish(now, service, c.requests[id], 10)
					break
				}
			case 3:
				for id := range waiting {
					delete(waiting, id)
					assert.Assert(t, c.Cancel(service, id))
					break
				}
			}
			assert.Equal(t, c.Waiting(service), len(waiting))
			assert.Assert(t, len(waiting) <= bound)
			counts := map[string]int{}
			for _, set := range []map[uint64]bool{waiting, running} {
				for id := range set {
					counts[c.requests[id].Workspace]++
				}
			}
			for _, count := range counts {
				assert.Assert(t, count <= limit)
			}
		}
	})
}

func TestEnqueue_FullQueueEvictsFromLongestFlow(t *testing.T) {
	c := newTestController()
	var large uint64
	for range 10 {
		request := newRequest("large", 1, 100)
		request.MaxQueued = 10
		large = c.enqueue(start, request)
	}
	request := newRequest("small", 1, 100)
	request.MaxQueued = 10
	small := c.enqueue(start, request)
	assert.Equal(t, c.outcomes[large], fault.Overloaded)
	_, decided := c.outcomes[small]
	assert.Assert(t, !decided)
}

// A request that cannot start in time at the observed throughput is refused at once.
func TestPrune_RefusesRequestThatCannotStartInTime(t *testing.T) {
	c := newTestController()
	c.enqueue(start, newRequest("a", 1, 1000))
	c.record(c.Dispatch(service, 1))
	first := newRequest("a", 1, 1000)
	first.QueueTimeout = 5 * time.Second
	waiting := c.enqueue(start, first)
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		c.RecordTokens(now, service, 20)
	}
	late := newRequest("a", 1, 1000)
	late.QueueTimeout = 4 * time.Second
	refused := c.enqueue(now, late)
	c.record(c.Prune(now, service))
	assert.Equal(t, c.outcomes[refused], fault.Overloaded)
	_, decided := c.outcomes[waiting]
	assert.Assert(t, !decided)
	near := newRequest("a", 1, 1000)
	near.Deadline = now.Add(3 * time.Second)
	assert.Equal(t, c.outcomes[c.enqueue(now, near)], fault.DeadlineTooNear)
}

func TestEnqueue_EnforcesTokenRate(t *testing.T) {
	c := newTestController()
	c.SetEntryCount(2)
	limited := newRequest("a", 1, 100)
	limited.Limits.TokensPerSecond = 200
	id := c.enqueue(start, limited)
	c.record(c.Dispatch(service, 1))
	c.Finish(start, service, c.requests[id], 1500)
	assert.Equal(t, c.outcomes[c.enqueue(start, limited)], fault.LimitExceeded)
	_, decided := c.outcomes[c.enqueue(start.Add(6*time.Second), limited)]
	assert.Assert(t, !decided)
}

func TestPrune_FailFastWaitsOnlyForItsShare(t *testing.T) {
	c := newTestController()
	for range 4 {
		c.enqueue(start, newRequest("large", 1, 100))
	}
	c.record(c.Dispatch(service, 4))
	large, small := newRequest("large", 1, 100), newRequest("small", 1, 100)
	large.FailFast, small.FailFast = true, true
	smallID, largeID := c.enqueue(start, small), c.enqueue(start, large)
	c.record(c.Prune(start, service))
	assert.Equal(t, c.outcomes[largeID], fault.Overloaded)
	_, decided := c.outcomes[smallID]
	assert.Assert(t, !decided)
	c.record(c.Prune(start.Add(time.Second), service))
	assert.Equal(t, c.outcomes[smallID], fault.Overloaded)
}

func TestHedgeBudget_BoundsHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := admission.NewHedgeBudget()
		requests, spent := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				requests++
				b.Earn(0.25)
			} else if b.Spend() {
				spent++
			}
		}
		assert.Assert(t, spent <= 16+requests/4)
	})
}
