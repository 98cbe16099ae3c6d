package admission

import "time"

// bucketsPerWindow is the number of buckets that a window is divided into.
const bucketsPerWindow = 20

// Usage counts the requests and retries of a service at one entry in the current window.
type Usage struct {
	Requests, Retries int
}

// RetryBudget bounds the retries of a service's requests, in any window and over all
// entries together, by a fixed number and a ratio of the requests in the same window.
// All entries draw on one allowance as far as an entry knows the usage of its peers: it counts
// the requests, and the parts of the fixed number, of itself and of the peers that it knows.
//
// It is designed for retries, resumes and rejected attempts that come in waves, as when a
// failure domain fails or targets are full.
type RetryBudget struct {
	ratio        float64
	fixedRetries float64
	window       time.Duration
	// startedAt is the time of the first call. Buckets are counted from it, since the time
	// of day may jump.
	startedAt time.Time
	// buckets is a ring with one bucket more than a window has, since the newest covers
	// only a part of its interval: retries are summed over all buckets, requests over as
	// many as a window has. The epoch of a bucket is the number of its interval.
	buckets [bucketsPerWindow + 1]struct {
		epoch             int64
		requests, retries int
	}
}

// NewRetryBudget returns a budget of ratio retries per request plus fixedRetries in each
// window.
func NewRetryBudget(ratio, fixedRetries float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, fixedRetries: fixedRetries, window: window}
}

// SetLimits changes the bound and keeps what was counted, unless the window changes.
func (b *RetryBudget) SetLimits(ratio, fixedRetries float64, window time.Duration) {
	if window != b.window {
		*b = *NewRetryBudget(ratio, fixedRetries, window)
	}
	b.ratio, b.fixedRetries = ratio, fixedRetries
}

func (b *RetryBudget) bucketIndex(now time.Time) int {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	// The first epoch is not zero, which marks a bucket that was never used.
	epoch := int64(now.Sub(b.startedAt)/(b.window/bucketsPerWindow)) + int64(len(b.buckets))
	i := int(epoch % int64(len(b.buckets)))
	if b.buckets[i].epoch != epoch {
		b.buckets[i].epoch = epoch
		b.buckets[i].requests = 0
		b.buckets[i].retries = 0
	}
	return i
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(now time.Time) { b.buckets[b.bucketIndex(now)].requests++ }

// urgentShare is the fraction of the allowance that is reserved for urgent retries. When a
// failure domain fails, a fifth of its streams have not begun and can wait; the others have
// to resume within their longest permitted pause.
const urgentShare = 0.15

// Charge identifies a counted retry, for Refund. The zero Charge identifies none.
type Charge struct{ epoch int64 }

// Spend counts a retry if the allowance has room for one, and reports whether it did.
// peerUsage holds the usage of the peers for which it is known; entries is the number of all
// entries. Retries that are not urgent leave urgentShare of the allowance unused.
func (b *RetryBudget) Spend(now time.Time, entries int, peerUsage []Usage, urgent bool) (Charge, bool) {
	allowed, remaining := b.allowance(now, entries, peerUsage)
	if !urgent {
		remaining -= urgentShare * allowed
	}
	if remaining < 1 {
		return Charge{}, false
	}
	bucket := &b.buckets[b.bucketIndex(now)]
	bucket.retries++
	return Charge{epoch: bucket.epoch}, true
}

// Refund uncounts a retry that did not reach its target.
func (b *RetryBudget) Refund(charge Charge) {
	bucket := &b.buckets[charge.epoch%int64(len(b.buckets))]
	if charge.epoch != 0 && bucket.epoch == charge.epoch && bucket.retries > 0 {
		bucket.retries--
	}
}

// Usage returns the usage of this entry in the window that ends now.
func (b *RetryBudget) Usage(now time.Time) Usage {
	newest := b.buckets[b.bucketIndex(now)].epoch
	var total Usage
	for _, bucket := range b.buckets {
		if newest-bucket.epoch < bucketsPerWindow {
			total.Requests += bucket.requests
		}
		if newest-bucket.epoch <= bucketsPerWindow {
			total.Retries += bucket.retries
		}
	}
	return total
}

// Remaining returns how many more retries the window allows.
func (b *RetryBudget) Remaining(now time.Time, entries int, peerUsage []Usage) float64 {
	_, remaining := b.allowance(now, entries, peerUsage)
	return remaining
}

// allowance returns how many retries the window allows, and how many of them remain.
func (b *RetryBudget) allowance(now time.Time, entries int, peerUsage []Usage) (allowed, remaining float64) {
	total := b.Usage(now)
	known := len(peerUsage) + 1
	fixedRetries := b.fixedRetries * float64(known) / float64(max(known, entries))
	for _, usage := range peerUsage {
		total.Requests += usage.Requests
		total.Retries += usage.Retries
	}
	allowed = b.ratio*float64(total.Requests) + fixedRetries
	return allowed, allowed - float64(total.Retries)
}
