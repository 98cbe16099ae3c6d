package admission

import "time"

const (
	// knownLimits is how many requests are remembered to tell which time limits callers give
	// with their first attempts: enough that a limit of each twentieth is seen several times.
	knownLimits = 128
	// limitUnit is the unit in which time limits are compared: callers measure what is left of
	// their time in milliseconds, some after they opened a connection.
	limitUnit = 20 * time.Millisecond
	// commonLimits is how many of the remembered requests must have the same limit for it to
	// be one of first attempts. Callers that return after a refusal have all sorts of times
	// left.
	commonLimits = 6
	// minCommonShare is the fraction of the remembered requests that must have common limits.
	// A caller returns once for each first attempt at most.
	minCommonShare = 0.5
)

// FirstAttempts estimates for how long a caller has been waiting when its request arrives.
// Callers of one kind usually give the same time limit with their first attempt at a request,
// and with another after a refusal what is left of it.
//
// It is designed for overloads, in which callers that were refused return: they are late
// already, and must not take the places of those that can still be served on time.
type FirstAttempts struct {
	limits [knownLimits]int64
	next   int
	counts map[int64]int
}

// NewFirstAttempts returns an estimate without observations.
func NewFirstAttempts() *FirstAttempts { return &FirstAttempts{counts: map[int64]int{}} }

// Elapsed returns for how long a caller that has timeLeft has been waiting at least, as far as
// is known, and remembers the request. Zero for timeLeft means that the caller gave no limit.
func (f *FirstAttempts) Elapsed(timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 {
		return 0
	}
	limit := int64((timeLeft + limitUnit/2) / limitUnit)
	if old := f.limits[f.next]; old != 0 {
		if f.counts[old]--; f.counts[old] == 0 {
			delete(f.counts, old)
		}
	}
	f.limits[f.next] = limit
	f.next = (f.next + 1) % knownLimits
	f.counts[limit]++
	if f.counts[limit] >= commonLimits {
		return 0
	}
	first, common, remembered := int64(0), 0, 0
	for other, count := range f.counts {
		if remembered += count; count < commonLimits {
			continue
		}
		if common += count; other > limit && (first == 0 || other < first) {
			first = other
		}
	}
	if first == 0 || float64(common) < minCommonShare*float64(remembered) {
		return 0
	}
	return time.Duration(first-limit) * limitUnit
}
