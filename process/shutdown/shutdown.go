// Package shutdown decides which requests a process still accepts after it was asked to
// stop, and when it closes its connections. It does no I/O and reads no clock.
//
// It is designed for rolling restarts under load: callers keep sending on connections that
// they opened before, until the process closes them, and a request that is accepted too late
// is cut off at the end of the grace period.
package shutdown

import (
	"math"
	"time"
)

const (
	// balancerDelay is how long new connections still arrive: a balancer that probes every
	// second removes the process after two failed probes.
	balancerDelay = 2300 * time.Millisecond
	// balancerDelayShare limits balancerDelay to this fraction of a short grace period.
	balancerDelayShare = 0.5
	// exitTime is the end of the grace period that is reserved for closing connections and
	// for the exit of the process.
	exitTime = 500 * time.Millisecond
	// exitTimeShare limits exitTime to this fraction of a short grace period.
	exitTimeShare = 0.1
	// responseShare is the fraction of exitTime in which requests that are ended write their
	// responses.
	responseShare = 0.5
	// unknownDurationShare is the fraction of the grace period in which repeatable requests
	// of unknown duration are accepted.
	unknownDurationShare = 0.125
)

// Repeatability is what may be done with a request that was cut off.
type Repeatability uint8

// The kinds of repeatability.
const (
	// NotRepeatable requests must not run again.
	NotRepeatable Repeatability = iota
	// Repeatable requests may run again, from the beginning.
	Repeatable
	// Resumable requests go on at another process where they were cut off.
	Resumable
)

// Request describes a request that arrives while the process stops.
type Request struct {
	// TimeLimit is the time after which the request is given up, by its caller or its route.
	TimeLimit     time.Duration
	Repeatability Repeatability
	// Expected estimates how long such requests take, from those that were served.
	Expected DurationEstimate
	// Handover estimates how long it takes until another process can go on with such a
	// request without doing its work again. It has no observations if none can.
	Handover DurationEstimate
}

// Plan is the schedule of one planned stop.
type Plan struct {
	start time.Time
	grace time.Duration
}

// NewPlan returns the schedule of a stop that was requested at start. The process is killed
// when the grace period ends.
func NewPlan(start time.Time, grace time.Duration) *Plan { return &Plan{start: start, grace: grace} }

// Start returns when the stop was requested.
func (p *Plan) Start() time.Time { return p.start }

// CloseIdle returns when the process stops accepting connections and closes idle ones. All
// others are closed after the response that is in progress.
func (p *Plan) CloseIdle() time.Time {
	return p.start.Add(share(p.grace, balancerDelay, balancerDelayShare))
}

// End returns when the requests that are still in progress are ended.
func (p *Plan) End() time.Time {
	return p.start.Add(p.grace - share(p.grace, exitTime, exitTimeShare))
}

// Close returns when all connections are closed, also those of requests that were ended and
// have not written their responses.
func (p *Plan) Close() time.Time {
	exit := share(p.grace, exitTime, exitTimeShare)
	return p.End().Add(time.Duration(responseShare * float64(exit)))
}

func share(grace, limit time.Duration, fraction float64) time.Duration {
	return min(limit, time.Duration(fraction*float64(grace)))
}

// Accept reports whether a request that arrives now is accepted. One whose time limit passes
// before the end is. A later one is accepted if it may run again and is expected to end before;
// one that can be resumed also if another process is expected to be able to go on with it by
// then. For one that must be resumed from its beginning the mean duration counts. Until idle
// connections are closed, a caller that is turned away may be sent to this process again; that
// costs it more than to be cut off. The few streams that arrive later have most of the grace
// period behind them, and their callers find another entry at once.
func (p *Plan) Accept(now time.Time, r Request) bool {
	left := p.End().Sub(now)
	if r.TimeLimit <= left {
		return true
	}
	deviations := 0
	switch r.Repeatability {
	case NotRepeatable:
		return false
	case Repeatable:
		deviations = safeDeviations
	case Resumable:
		if now.After(p.CloseIdle()) {
			return false
		}
		if handover, ok := r.Handover.Duration(safeDeviations); ok && handover <= left {
			return true
		}
	}
	if expected, ok := r.Expected.Duration(deviations); ok {
		return expected <= left
	}
	return now.Sub(p.start) <= time.Duration(unknownDurationShare*float64(p.grace))
}

// DurationEstimate estimates the duration of requests by a smoothed mean and a smoothed mean
// deviation, like the round-trip time estimate of RFC 6298. The zero value is an estimate
// without observations.
type DurationEstimate struct {
	mean, deviation float64
	observed        bool
}

const (
	// meanWeight and deviationWeight are the weights of one observation in the smoothed mean
	// and the smoothed deviation; those of RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// safeDeviations is the number of deviations above the mean that few requests exceed;
	// that of RFC 6298.
	safeDeviations = 4
)

// Observe adds the duration of a request that was served.
func (e *DurationEstimate) Observe(d time.Duration) {
	if !e.observed {
		e.mean, e.deviation, e.observed = float64(d), float64(d)/2, true
		return
	}
	e.deviation += deviationWeight * (math.Abs(e.mean-float64(d)) - e.deviation)
	e.mean += meanWeight * (float64(d) - e.mean)
}

// Duration returns the mean duration plus the given number of mean deviations; ok is false
// without observations.
func (e DurationEstimate) Duration(deviations int) (d time.Duration, ok bool) {
	return time.Duration(e.mean + float64(deviations)*e.deviation), e.observed
}
