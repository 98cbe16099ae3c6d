package placement

import (
	"math"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// failureWeight is the weight of one answer in a target's share of failures.
	failureWeight = 0.15
	// brokenWeight is that of a new connection that broke without an answer: targets
	// that go up and down do that to every other request, and what was sent may not be
	// sent again.
	brokenWeight = 0.5
	// failureHalfLife is the time in which a share of failures counts for half, so that
	// a target is tried again: such failures last for some seconds.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost, in requests, of a target that fails all requests.
	failureCost = 30.0
	// failureTokens is the cost, in prompt tokens, of an engine that fails all requests:
	// 1.5 s of reading, about what another attempt takes to its first event.
	failureTokens = 12000.0
	// tellFailures is the share of failures from which on other entries are told.
	tellFailures = 0.05
)

// failures is a share of failures that fades.
//
// It answers targets that go up and down by turns or fail part of their requests
// while their health looks good: they are left early, and tried again.
type failures struct {
	share float64
	at    time.Time
}

func (f *failures) now(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(max(0, now.Sub(f.at)))/float64(failureHalfLife))
}

// note moves the share towards 1 after a failure, or else towards 0.
func (f *failures) note(now time.Time, failed bool, weight float64) {
	to := 0.0
	if failed {
		to = 1
	}
	share := f.now(now)
	f.share, f.at = share+weight*(to-share), now
}

// RecordFailure notes that a target failed a request which another one served.
func (t *Table) RecordFailure(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.failures.note(now, true, failureWeight)
	}
}

// RecordConnectionFailure notes that a new connection to a target broke without an answer.
func (t *Table) RecordConnectionFailure(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.failures.note(now, true, brokenWeight)
	}
}

// FailureRates returns the shares of failures that other entries are told of.
func (t *Table) FailureRates(now time.Time) map[request.TargetID]float64 {
	failing := map[request.TargetID]float64{}
	for id, target := range t.targets {
		if share := target.failures.now(now); share > tellFailures {
			failing[id] = share
		}
	}
	return failing
}

// failing is the share of failures of a target as this or another entry has seen it.
func (t *Table) failing(now time.Time, target *Target) float64 {
	share := target.failures.now(now)
	for _, peer := range t.peers {
		if now.Sub(peer.at) < peerLife {
			seen := failures{share: peer.FailureRates[target.ID], at: peer.at}
			share = max(share, seen.now(now))
		}
	}
	return share
}
