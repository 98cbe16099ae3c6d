// Package freshness is the deciding core that says how far the configuration of an
// entry may be trusted. It does no I/O; instants are those of a clock that goes on
// while the machine is suspended.
//
// It answers stores that are away, slow or silent, and entries that are cut off or
// were suspended while an operator took a key away.
package freshness

import "time"

const (
	// readyShare is the part of the revocation bound after which an entry asks for no
	// more new connections: other entries may still reach the store.
	readyShare = 0.6
	// margin is kept from the revocation bound for differences between clocks.
	margin = 150 * time.Millisecond
	// startWithin is how long after its start an entry may hold requests until it has
	// read the store: some answers of a store at its usual pace, and the set-up of a
	// connection, on a busy processor.
	startWithin = 500 * time.Millisecond
	// startShare is the part of a request's time that it may be held for.
	startShare = 0.125
)

// StartupWait returns how long a request may wait for the first configuration of an
// entry that started sinceStart ago; timeLeft is that of the caller, zero if it does
// not say. It answers callers who come back to entries that were all lost at once:
// many of them do so for the last time.
func StartupWait(sinceStart, timeLeft time.Duration) time.Duration {
	wait := startWithin - sinceStart
	if timeLeft > 0 {
		wait = min(wait, time.Duration(startShare*float64(timeLeft)))
	}
	return max(0, wait)
}

// Freshness holds the instant up to which the configuration is known to be the
// newest.
type Freshness struct {
	revoke time.Duration
	asOf   time.Duration
	known  bool
}

// New returns the judge of a bound: a key that was taken away is of no use after
// revoke. Zero means that there is no bound.
func New(revoke time.Duration) *Freshness { return &Freshness{revoke: revoke} }

// Confirm notes that the store answered a call that was sent at the instant sent
// with all changes up to then.
func (f *Freshness) Confirm(sent time.Duration) {
	if !f.known || sent > f.asOf {
		f.asOf = sent
	}
	f.known = true
}

// Age is how long ago the configuration was known to be the newest.
func (f *Freshness) Age(now time.Duration) time.Duration { return now - f.asOf }

// HasConfiguration says that there is a configuration.
func (f *Freshness) HasConfiguration() bool { return f.known }

// AcceptsKeys says whether a request that came by now may run on the strength of its key.
func (f *Freshness) AcceptsKeys(now time.Duration) bool {
	return f.known && (f.revoke == 0 || f.Age(now) < f.revoke-margin)
}

// Ready says whether the entry should get new connections.
func (f *Freshness) Ready(now time.Duration) bool {
	return f.known && (f.revoke == 0 || f.Age(now) < time.Duration(readyShare*float64(f.revoke)))
}
