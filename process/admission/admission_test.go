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

// bench drives a controller and remembers what became of each ask.
type bench struct {
	*admission.Controller
	asks    map[uint64]admission.Request
	settled map[uint64]fault.Kind
	next    uint64
}

func newBench() *bench {
	return &bench{Controller: admission.NewController(), asks: map[uint64]admission.Request{}, settled: map[uint64]fault.Kind{}}
}

func (b *bench) settle(decisions []admission.Decision) (admitted []uint64) {
	for _, decision := range decisions {
		b.settled[decision.ID] = decision.Kind
		if decision.Kind == fault.None {
			admitted = append(admitted, decision.ID)
		}
	}
	return admitted
}

func (b *bench) offer(now time.Time, ask admission.Request) uint64 {
	b.next++
	ask.ID = b.next
	ask.Arrived = now
	b.asks[ask.ID] = ask
	b.settle(b.Enqueue(now, service, ask))
	return ask.ID
}

func ask(workspace string, share, tokens int) admission.Request {
	return admission.Request{Workspace: workspace, Share: share, Tokens: tokens}
}

// While workspaces keep waiting, each is let in for tokens in proportion to its
// share, to within one ask.
func TestSharesAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		shares := map[string]int{"large": rapid.IntRange(1, 9).Draw(t, "large"), "small": rapid.IntRange(1, 9).Draw(t, "small")}
		for range 200 {
			for name, share := range shares {
				b.offer(start, ask(name, share, 100))
			}
		}
		tokens := map[string]int{}
		for range rapid.IntRange(1, 120).Draw(t, "slots") {
			for _, id := range b.settle(b.Dispatch(service, 1)) {
				tokens[b.asks[id].Workspace] += 100
			}
		}
		large := float64(tokens["large"]) / float64(shares["large"])
		small := float64(tokens["small"]) / float64(shares["small"])
		assert.Assert(t, large-small <= 200 && small-large <= 200, "%v %v", tokens, shares)
	})
}

// However long the queue of a large workspace, the first ask of a small one is
// let in after at most one more.
func TestLargeWorkspaceDoesNotStarveSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		for range rapid.IntRange(1, 500).Draw(t, "queued") {
			b.offer(start, ask("large", 5, rapid.IntRange(1, 4000).Draw(t, "tokens")))
		}
		b.settle(b.Dispatch(service, rapid.IntRange(0, 50).Draw(t, "started")))
		small := b.offer(start, ask("small", 1, 300))
		b.settle(b.Dispatch(service, 2))
		kind, settled := b.settled[small]
		assert.Assert(t, settled && kind == fault.None)
	})
}

// A workspace that was idle has not saved up a turn: it gets its share from now on.
// TestRankGrowsWithWhatIsInFlight lets in all asks at once, as when targets take
// more than they can run: what waits there is ordered by shares.
func TestRankGrowsWithWhatIsInFlight(t *testing.T) {
	b := newBench()
	for range 64 {
		b.offer(start, ask("large", 1, 200))
	}
	large := b.Dispatch(service, 64)
	b.offer(start, ask("small", 1, 200))
	b.offer(start, ask("wide", 8, 200))
	others := b.Dispatch(service, 2)
	assert.Equal(t, large[0].Rank, 0)
	assert.Assert(t, large[63].Rank > large[8].Rank)
	assert.Equal(t, others[0].Rank, 0)
	assert.Equal(t, others[1].Rank, 0)
	for range 8 {
		b.offer(start, ask("wide", 8, 200))
	}
	b.Dispatch(service, 8)
	b.offer(start, ask("wide", 8, 200))
	// Nine times 200 tokens over a share of 8 are three and a half units of 64.
	assert.Equal(t, b.Dispatch(service, 1)[0].Rank, 2)
	for range 200 {
		b.offer(start, ask("large", 1, 1<<20))
	}
	assert.Equal(t, b.Dispatch(service, 200)[199].Rank, 20)
}

func TestIdleTimeIsNotSavedUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		for range 300 {
			b.offer(start, ask("busy", 1, 100))
		}
		b.settle(b.Dispatch(service, rapid.IntRange(1, 100).Draw(t, "alone")))
		for range 100 {
			b.offer(start, ask("idle", 1, 100))
		}
		counts := map[string]int{}
		for _, id := range b.settle(b.Dispatch(service, 50)) {
			counts[b.asks[id].Workspace]++
		}
		assert.Assert(t, counts["busy"] >= 24 && counts["idle"] >= 24, "%v", counts)
	})
}

// Every ask is settled exactly once or still waits, the queue stays within its
// bound, and limits hold, whatever happens in whatever order.
func TestEveryAskIsSettledOnce(t *testing.T) {
	const limit, bound = 5, 10
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		now := start
		waiting, running := map[uint64]bool{}, map[uint64]bool{}
		note := func(decisions []admission.Decision) {
			for _, decision := range decisions {
				assert.Assert(t, waiting[decision.ID], "settled twice or never asked")
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
				a := ask(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), 1, rapid.IntRange(1, 1000).Draw(t, "tokens"))
				a.Limits.Concurrent = limit
				a.MaxQueued = bound
				a.QueueTimeout = time.Second
				a.FailFast = rapid.Bool().Draw(t, "refuse")
				b.next++
				a.ID, a.Arrived = b.next, now
				b.asks[a.ID] = a
				waiting[a.ID] = true
				note(b.Enqueue(now, service, a))
			case 1:
				note(b.Dispatch(service, rapid.IntRange(0, 4).Draw(t, "room")))
				note(b.Prune(now, service))
				for id := range waiting {
					assert.Assert(t, now.Sub(b.asks[id].Arrived) < time.Second, "waits too long")
				}
			case 2:
				for id := range running {
					delete(running, id)
					b.Finish(now, service, b.asks[id], 10)
					break
				}
			case 3:
				for id := range waiting {
					delete(waiting, id)
					assert.Assert(t, b.Cancel(service, id))
					break
				}
			}
			assert.Equal(t, b.Waiting(service), len(waiting))
			assert.Assert(t, len(waiting) <= bound)
			counts := map[string]int{}
			for _, set := range []map[uint64]bool{waiting, running} {
				for id := range set {
					counts[b.asks[id].Workspace]++
				}
			}
			for _, count := range counts {
				assert.Assert(t, count <= limit)
			}
		}
	})
}

func TestFullQueueDropsFromTheLongest(t *testing.T) {
	b := newBench()
	var large uint64
	for range 10 {
		a := ask("large", 1, 100)
		a.MaxQueued = 10
		large = b.offer(start, a)
	}
	a := ask("small", 1, 100)
	a.MaxQueued = 10
	small := b.offer(start, a)
	assert.Equal(t, b.settled[large], fault.Overloaded)
	_, settled := b.settled[small]
	assert.Assert(t, !settled)
}

// An ask that cannot start in time at the pace seen is refused at once.
func TestHopelessAskIsRefusedEarly(t *testing.T) {
	b := newBench()
	b.offer(start, ask("a", 1, 1000))
	b.settle(b.Dispatch(service, 1))
	first := ask("a", 1, 1000)
	first.QueueTimeout = 5 * time.Second
	waits := b.offer(start, first)
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		b.RecordTokens(now, service, 20)
	}
	late := ask("a", 1, 1000)
	late.QueueTimeout = 4 * time.Second
	refused := b.offer(now, late)
	b.settle(b.Prune(now, service))
	assert.Equal(t, b.settled[refused], fault.Overloaded)
	_, settled := b.settled[waits]
	assert.Assert(t, !settled)
	near := ask("a", 1, 1000)
	near.Deadline = now.Add(3 * time.Second)
	assert.Equal(t, b.settled[b.offer(now, near)], fault.DeadlineTooNear)
}

func TestTokenRateIsBounded(t *testing.T) {
	b := newBench()
	b.SetEntryCount(2)
	limited := ask("a", 1, 100)
	limited.Limits.TokensPerSecond = 200
	id := b.offer(start, limited)
	b.settle(b.Dispatch(service, 1))
	b.Finish(start, service, b.asks[id], 1500)
	assert.Equal(t, b.settled[b.offer(start, limited)], fault.LimitExceeded)
	_, settled := b.settled[b.offer(start.Add(6*time.Second), limited)]
	assert.Assert(t, !settled)
}

func TestRefusingProfileWaitsOnlyForItsShare(t *testing.T) {
	b := newBench()
	for range 4 {
		b.offer(start, ask("large", 1, 100))
	}
	b.settle(b.Dispatch(service, 4))
	large, small := ask("large", 1, 100), ask("small", 1, 100)
	large.FailFast, small.FailFast = true, true
	smallID, largeID := b.offer(start, small), b.offer(start, large)
	b.settle(b.Prune(start, service))
	assert.Equal(t, b.settled[largeID], fault.Overloaded)
	_, settled := b.settled[smallID]
	assert.Assert(t, !settled)
	b.settle(b.Prune(start.Add(time.Second), service))
	assert.Equal(t, b.settled[smallID], fault.Overloaded)
}

func TestBudgetBoundsExtraAttempts(t *testing.T) {
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
