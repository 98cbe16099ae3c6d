package admission

import "time"

// buckets is how many parts a window is kept in.
const buckets = 20

// WindowBudget bounds the repeats of a service's requests in any window by a
// share of its requests in the same window and a fixed part. All entries together
// keep the bound, since each takes the fixed part divided by their number.
//
// It answers retries, resumes and rejected attempts that come in waves: a lost
// failure domain, or targets that are full.
type WindowBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	counts [buckets]struct {
		slot              int64
		requests, repeats int
	}
}

// NewWindowBudget returns a budget of ratio repeats a request and slack repeats
// more in each window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, window: window}
}

func (b *WindowBudget) bucket(now time.Time) int {
	slot := now.UnixNano() / int64(b.window/buckets)
	i := int(slot % buckets)
	if b.counts[i].slot != slot {
		b.counts[i].slot = slot
		b.counts[i].requests = 0
		b.counts[i].repeats = 0
	}
	return i
}

// Request counts a request.
func (b *WindowBudget) Request(now time.Time) { b.counts[b.bucket(now)].requests++ }

// Spend counts a repeat, if entries so many leave room for one.
func (b *WindowBudget) Spend(now time.Time, entries int) bool {
	if b.Left(now, entries) < 1 {
		return false
	}
	b.counts[b.bucket(now)].repeats++
	return true
}

// Left returns how many repeats the window has room for.
func (b *WindowBudget) Left(now time.Time, entries int) float64 {
	newest := b.counts[b.bucket(now)].slot
	requests, repeats := 0, 0
	for _, count := range b.counts {
		if newest-count.slot < buckets {
			requests += count.requests
			repeats += count.repeats
		}
	}
	return b.ratio*float64(requests) + b.slack/float64(max(1, entries)) - float64(repeats)
}
