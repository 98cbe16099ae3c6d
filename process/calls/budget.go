package calls

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxBudget bounds the extra attempts that a quiet service saves up.
	maxBudget = 10
	// latencySamples is how many latencies the hedge delay is worked out from.
	latencySamples = 64
	// hedgeQuantile is the share of calls that end before they are hedged.
	hedgeQuantile = 0.95
)

// budget is the retry budget of one service: each call earns a share of an extra
// attempt. It also knows how long calls take.
type budget struct {
	mu        sync.Mutex
	tokens    float64
	latencies []time.Duration
	next      int
}

func (b *budget) earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, maxBudget)
}

// spend takes one extra attempt, if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) observe(latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.latencies) < latencySamples {
		b.latencies = append(b.latencies, latency)
		return
	}
	b.latencies[b.next] = latency
	b.next = (b.next + 1) % latencySamples
}

// hedgeAfter returns when a call is late, or zero while too few were seen.
func (b *budget) hedgeAfter() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.latencies) < latencySamples/4 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(b.latencies))
	return sorted[int(hedgeQuantile*float64(len(sorted)-1))]
}

// budgets holds the budget of every service.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

func newBudgets() *budgets { return &budgets{byService: map[string]*budget{}} }

func (b *budgets) of(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, ok := b.byService[service]
	if !ok {
		found = &budget{tokens: maxBudget}
		b.byService[service] = found
	}
	return found
}
