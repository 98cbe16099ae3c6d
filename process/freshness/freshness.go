// Package freshness decides whether the configuration of an entry is recent enough to be
// used. It does no I/O; times are those of a clock that continues while the machine is
// suspended.
//
// It covers stores that are unavailable, slow or silent, and entries that are partitioned
// or were suspended while an operator revoked a key.
package freshness

import "time"

const (
	// readyFraction is the fraction of the revocation bound after which an entry reports
	// that it is not ready for new connections: other entries may still reach the store.
	readyFraction = 0.6
	// clockMargin is subtracted from the revocation bound for differences between clocks.
	clockMargin = 150 * time.Millisecond
	// maxStartupWait is how long after its start an entry may delay requests until it has
	// read the store. It covers the setup of a connection and some responses of the store
	// at its usual latency, on a busy processor.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitFraction is the fraction of a request's remaining time that it may be
	// delayed for.
	startupWaitFraction = 0.125
)

// StartupWait returns how long a request may wait for the first configuration of an entry
// that started sinceStart ago. timeLeft is the time until the caller's deadline, zero if it
// is not known. The wait is needed after a crash of all entries at once: for many callers
// the retry after the crash is the last one.
func StartupWait(sinceStart, timeLeft time.Duration) time.Duration {
	wait := maxStartupWait - sinceStart
	if timeLeft > 0 {
		wait = min(wait, time.Duration(startupWaitFraction*float64(timeLeft)))
	}
	return max(0, wait)
}

// Freshness holds the time up to which the configuration is known to be up to date.
type Freshness struct {
	revocationBound time.Duration
	confirmedAt     time.Duration
	confirmed       bool
	// superseded is set while a later configuration is known to exist.
	superseded bool
}

// New returns a Freshness for a revocation bound: the time after which a revoked key must
// not be accepted any more. Zero means that there is no bound.
func New(revocationBound time.Duration) *Freshness {
	return &Freshness{revocationBound: revocationBound}
}

// SetRevocationBound changes the revocation bound; zero means that there is none.
func (f *Freshness) SetRevocationBound(bound time.Duration) { f.revocationBound = bound }

// Confirm records that the store responded to a call sent at the given time with all
// changes up to then.
func (f *Freshness) Confirm(sent time.Duration) {
	if !f.confirmed || sent > f.confirmedAt {
		f.confirmedAt = sent
	}
	f.confirmed = true
}

// SetSuperseded records whether a later configuration is known to exist than the one that is confirmed:
// the store may have come back from an older copy.
func (f *Freshness) SetSuperseded(superseded bool) { f.superseded = superseded }

// Superseded reports whether a later configuration is known to exist.
func (f *Freshness) Superseded() bool { return f.superseded }

// Age returns how long ago the configuration was last known to be up to date.
func (f *Freshness) Age(now time.Duration) time.Duration { return now - f.confirmedAt }

// HasConfiguration reports whether the configuration was confirmed at least once.
func (f *Freshness) HasConfiguration() bool { return f.confirmed }

// AcceptsKeys reports whether a request that arrives now may be authorized by its key.
func (f *Freshness) AcceptsKeys(now time.Duration) bool {
	return f.confirmed && !f.superseded && (f.revocationBound == 0 || f.Age(now) < f.revocationBound-clockMargin)
}

// Ready reports whether the entry should get new connections.
func (f *Freshness) Ready(now time.Duration) bool {
	return f.confirmed && !f.superseded && (f.revocationBound == 0 || f.Age(now) < time.Duration(readyFraction*float64(f.revocationBound)))
}
