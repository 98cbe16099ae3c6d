package calls

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSavedRetries bounds the extra attempts that a service can accumulate.
	maxSavedRetries = 10
	// latencySamples is how many recent latencies the hedge delay is computed from.
	latencySamples = 64
	// hedgeQuantile is the share of calls that end before they would be hedged.
	hedgeQuantile = 0.95
)

// budget is the retry budget of one service: each call adds a share of an extra
// attempt. It also records latencies to compute the hedge delay.
type budget struct {
	mu        sync.Mutex
	balance   float64
	latencies []time.Duration
	next      int
}

func (b *budget) addCredit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+share, maxSavedRetries)
}

// takeRetry takes one extra attempt from the budget, and reports whether there was
// one.
func (b *budget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *budget) recordLatency(latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.latencies) < latencySamples {
		b.latencies = append(b.latencies, latency)
		return
	}
	b.latencies[b.next] = latency
	b.next = (b.next + 1) % latencySamples
}

// hedgeDelay returns the time after which a call should be hedged, or zero while there
// are too few samples.
func (b *budget) hedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.latencies) < latencySamples/4 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(b.latencies))
	return sorted[int(hedgeQuantile*float64(len(sorted)-1))]
}

// budgets holds the retry budget of each service.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

func newBudgets() *budgets { return &budgets{byService: map[string]*budget{}} }

func (b *budgets) forService(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, ok := b.byService[service]
	if !ok {
		found = &budget{balance: maxSavedRetries}
		b.byService[service] = found
	}
	return found
}
