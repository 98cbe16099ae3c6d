package admission

import "time"

// buckets is how many parts a window is kept in.
const buckets = 20

// Usage counts what an entry had of a service in the present window.
type Usage struct {
	Requests, Retries int
}

// RetryBudget bounds the repeats of a service's requests in any window by a
// share of its requests in the same window and a fixed part, over all entries
// together. While the others tell what they use, all draw on one allowance; an
// entry that does not hear them keeps to its own requests and its share of the
// fixed part.
//
// It answers retries, resumes and rejected attempts that come in waves: a lost
// failure domain, or targets that are full.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// began is the first instant seen. Parts are counted from it, since the time of
	// day may jump.
	began time.Time
	// counts holds one part more than a window has, since the newest is not full:
	// repeats are counted over all, requests over as many as a window has.
	counts [buckets + 1]struct {
		slot              int64
		requests, repeats int
	}
}

// NewRetryBudget returns a budget of ratio repeats a request and slack repeats
// more in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window}
}

func (b *RetryBudget) bucket(now time.Time) int {
	if b.began.IsZero() {
		b.began = now
	}
	// The first slot is not zero, which marks a part that was never used.
	slot := int64(now.Sub(b.began)/(b.window/buckets)) + int64(len(b.counts))
	i := int(slot % int64(len(b.counts)))
	if b.counts[i].slot != slot {
		b.counts[i].slot = slot
		b.counts[i].requests = 0
		b.counts[i].repeats = 0
	}
	return i
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(now time.Time) { b.counts[b.bucket(now)].requests++ }

// urgentShare is the part of the allowance that is kept for urgent repeats: a fifth
// of the streams of a lost failure domain had not begun, the others have to go on
// within their longest pause.
const urgentShare = 0.15

// Charge is a repeat that was counted; the zero Charge is none.
type Charge struct{ slot int64 }

// Spend counts a repeat, if there is room for one. Others holds what each other
// entry uses, and is nil where that is not known; entries is how many there are.
// Repeats for callers who can wait leave a part of the allowance to urgent ones.
func (b *RetryBudget) Spend(now time.Time, entries int, others []Usage, urgent bool) (Charge, bool) {
	allowance, left := b.state(now, entries, others)
	if !urgent {
		left -= urgentShare * allowance
	}
	if left < 1 {
		return Charge{}, false
	}
	count := &b.counts[b.bucket(now)]
	count.repeats++
	return Charge{slot: count.slot}, true
}

// Refund takes a repeat back that did not reach its target.
func (b *RetryBudget) Refund(charge Charge) {
	count := &b.counts[charge.slot%int64(len(b.counts))]
	if charge.slot != 0 && count.slot == charge.slot && count.repeats > 0 {
		count.repeats--
	}
}

// Usage returns what this entry had in the window that ends now.
func (b *RetryBudget) Usage(now time.Time) Usage {
	newest := b.counts[b.bucket(now)].slot
	var sum Usage
	for _, count := range b.counts {
		if newest-count.slot < buckets {
			sum.Requests += count.requests
		}
		if newest-count.slot <= buckets {
			sum.Retries += count.repeats
		}
	}
	return sum
}

// Remaining returns how many repeats the window has room for.
func (b *RetryBudget) Remaining(now time.Time, entries int, others []Usage) float64 {
	_, left := b.state(now, entries, others)
	return left
}

// state returns how many repeats the window allows, and how many are left of them.
func (b *RetryBudget) state(now time.Time, entries int, others []Usage) (allowance, left float64) {
	sum := b.Usage(now)
	slack := b.slack / float64(max(1, entries))
	if others != nil {
		slack = b.slack
	}
	for _, usage := range others {
		sum.Requests += usage.Requests
		sum.Retries += usage.Retries
	}
	allowance = b.ratio*float64(sum.Requests) + slack
	return allowance, allowance - float64(sum.Retries)
}
