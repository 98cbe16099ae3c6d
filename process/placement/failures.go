package placement

import (
	"math"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// failureRateWeight is the weight of one response in a target's failure rate.
	failureRateWeight = 0.15
	// connectionFailureWeight is the weight of a new connection that broke without a
	// response: flapping targets break every other one, and a request that was sent may
	// not be retried if it is not idempotent.
	connectionFailureWeight = 0.5
	// failureHalfLife is the time in which a failure rate decays to half, so that a target
	// is tried again: such failures last for some seconds.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost, in requests per slot, of an application target that fails
	// all requests.
	failureCost = 30.0
	// failureCostTokens is the cost, in prompt tokens, of an engine that fails all requests:
	// 1.5 s of prefill, about the time of another attempt to its first event.
	failureCostTokens = 12000.0
	// minReportedFailureRate is the failure rate above which a target is listed in peer
	// updates.
	minReportedFailureRate = 0.05
)

// decayingRate is a failure rate from 0 to 1 that decays with time.
//
// It covers targets that flap, or that fail part of their requests while their health
// checks pass: traffic moves away early, and returns after a while to try them again.
type decayingRate struct {
	rate      float64
	updatedAt time.Time
}

func (r *decayingRate) valueAt(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp2(-float64(max(0, now.Sub(r.updatedAt)))/float64(failureHalfLife))
}

// record moves the rate towards 1 after a failure, and towards 0 otherwise.
func (r *decayingRate) record(now time.Time, failed bool, weight float64) {
	observed := 0.0
	if failed {
		observed = 1
	}
	rate := r.valueAt(now)
	r.rate, r.updatedAt = rate+weight*(observed-rate), now
}

// RecordFailure records that a target failed a request that another one served.
func (t *Table) RecordFailure(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.failureRate.record(now, true, failureRateWeight)
	}
}

// RecordConnectionFailure records that a new connection to a target broke without a
// response.
func (t *Table) RecordConnectionFailure(now time.Time, id request.TargetID) {
	if target, ok := t.targets[id]; ok {
		target.failureRate.record(now, true, connectionFailureWeight)
	}
}

// FailureRates returns the failure rates to include in peer updates.
func (t *Table) FailureRates(now time.Time) map[request.TargetID]float64 {
	rates := map[request.TargetID]float64{}
	for id, target := range t.targets {
		if rate := target.failureRate.valueAt(now); rate > minReportedFailureRate {
			rates[id] = rate
		}
	}
	return rates
}

// failureRate returns the highest failure rate of a target that this entry or a peer has
// seen.
func (t *Table) failureRate(now time.Time, target *Target) float64 {
	rate := target.failureRate.valueAt(now)
	for name := range t.reportingPeers {
		peer := t.peers[name]
		peerRate := decayingRate{rate: peer.FailureRates[target.ID], updatedAt: peer.receivedAt}
		rate = max(rate, peerRate.valueAt(now))
	}
	return rate
}
