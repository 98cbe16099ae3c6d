package admission

import (
	"math"
	"time"
)

const (
	// queueShare is the fraction of the latency objective that a request may wait at its
	// target: it bounds the short queue that is part of the concurrency limit. A place in that
	// queue is free to all entries, one in the queue of an entry only to its own requests, which
	// leaves slots free where there are more entries than slots.
	queueShare = 0.4
	// shrinkFactor scales the limit of an entry after a rejection, at most once in
	// shrinkInterval, since one full target rejects several requests under way at once.
	shrinkFactor   = 0.85
	shrinkInterval = 50 * time.Millisecond
	// minScale and maxScale limit the scale of an entry's limit. While peers are silent,
	// rejections tell of the load of all entries, so that an entry on its own would end with
	// a single place. Above one the scale makes up for targets that serve far more at a time
	// than they registered.
	minScale = 0.3
	maxScale = 64
	// growStep is how much of a place the limit grows with each response.
	growStep = 0.1
	// growDelayShare is the fraction of the latency objective by which responses may be slower
	// than usual while the limit grows beyond one.
	growDelayShare = 0.125
	// borrowLoad is the load of the fleet, in requests per slot, up to which an entry may
	// exceed its own part of the limit: a burst at one entry does not wait while others
	// are idle.
	borrowLoad = 2.5
	// lateLoad is the load of the fleet, in requests per slot, up to which requests are sent
	// that can no longer be on time. What is known of the peers is old, so that slots are free
	// at times when as many requests as slots are believed under way.
	lateLoad = 1.5
	// startDeviations is how many mean deviations are added to the mean time that targets take
	// for a request to say when it must start to be on time.
	startDeviations = 1
	// minWaitShare is the fraction of the latency objective for which a request counts as one
	// that can be on time, however slow the targets are.
	minWaitShare = 0.25
	// noBorrowAfterRejection is how long after a rejection an entry stays within its own part:
	// what it knows of the load is older than the rejection.
	noBorrowAfterRejection = 200 * time.Millisecond
	// usualWindow is half of the time over which the usual duration is the least mean.
	usualWindow = 30 * time.Second
	// durationWeight and usualWeight are the weights of one response in the means from which
	// the expected and the usual duration are taken. The least of the latter counts, so it
	// must vary little.
	durationWeight = 1.0 / 16
	usualWeight    = 1.0 / 64
	// minUsualCount is how many responses a usual duration takes.
	minUsualCount   = 32
	deviationWeight = 1.0 / 16
)

// Fleet is what an entry knows of the targets of a service and of its peers.
type Fleet struct {
	// Slots is how many requests all targets together run at a time.
	Slots int
	// Entries is how many entries share the targets, as far as they were heard from lately,
	// this one included.
	Entries int
	// Demand and PeerDemand count the recent requests of this entry and of its peers.
	Demand, PeerDemand int
	// PeersInFlight counts the requests that the peers have under way.
	PeersInFlight int
}

// Limit is the concurrency limit of one service at one entry: its part of what the targets
// serve at a time and of a short queue at them. It is divided among the entries in proportion
// to their recent demand. An entry may exceed its part while the whole fleet has free slots,
// and has at least one place. Rejections scale the limit down, responses up again.
//
// It is designed for many entries that each see a few requests at a time before a few targets:
// parts of single places alone would make bursts wait that targets have room for, and without
// any limit targets would have to reject what they have no room for.
type Limit struct {
	fleet    Fleet
	inFlight int
	scale    float64
	// shrunkAt and rejectedAt are when the scale was last reduced and a target last rejected
	// a request.
	shrunkAt, rejectedAt time.Time
	objective            windowedMin
	duration             smoothedDuration
	usualMean            smoothedDuration
	usual                windowedMin
}

// NewLimit returns the limit of an entry that knows nothing of the fleet yet.
func NewLimit() *Limit { return &Limit{scale: 1} }

// SetFleet sets what the entry knows of the fleet.
func (l *Limit) SetFleet(fleet Fleet) { l.fleet = fleet }

// Fleet returns what the entry knows of the fleet.
func (l *Limit) Fleet() Fleet { return l.fleet }

// InFlight returns how many places are taken.
func (l *Limit) InFlight() int { return l.inFlight }

// RecordObjective records the latency objective of a request; zero means none.
func (l *Limit) RecordObjective(now time.Time, objective time.Duration) {
	if objective > 0 {
		l.objective.add(now, objective)
	}
}

// Start takes a place for a request.
func (l *Limit) Start() { l.inFlight++ }

// End frees the place of a request.
func (l *Limit) End() { l.inFlight-- }

// RecordRejection records that a target had no room for a request.
func (l *Limit) RecordRejection(now time.Time) {
	l.rejectedAt = now
	if now.Sub(l.shrunkAt) >= shrinkInterval {
		l.shrunkAt = now
		l.scale = max(minScale, shrinkFactor*min(1, l.scale))
	}
}

// RecordResponse records that a target responded to a request after the given time; limited
// means that other requests are queued.
func (l *Limit) RecordResponse(now time.Time, took time.Duration, limited bool) {
	l.duration.add(took, durationWeight)
	l.usualMean.add(took, usualWeight)
	if l.usualMean.count >= minUsualCount {
		l.usual.add(now, time.Duration(l.usualMean.mean))
	}
	ceiling := 1.0
	if objective := l.objective.value(); limited && objective > 0 &&
		l.duration.mean < float64(l.usual.value())+growDelayShare*float64(objective) {
		ceiling = maxScale
	}
	step := growStep / max(1, l.own())
	switch {
	case l.scale < ceiling:
		l.scale = min(ceiling, l.scale+step)
	case limited && l.scale > ceiling:
		l.scale = max(ceiling, l.scale-step)
	}
}

// expected returns how long targets take at most for most requests, zero while unknown.
func (l *Limit) expected() time.Duration {
	return time.Duration(l.duration.mean + startDeviations*l.duration.deviation)
}

// EstimateInFlight estimates how many requests a peer has under way that does not report them,
// from the requests that it had in a window.
func (l *Limit) EstimateInFlight(requests int, window time.Duration) int {
	return int(math.Round(float64(requests) * l.duration.mean / float64(window)))
}

// Usual returns the mean duration of requests while the targets are not overloaded, as far as
// is known; zero while unknown.
func (l *Limit) Usual() time.Duration {
	if usual := l.usual.value(); usual > 0 {
		return usual
	}
	return time.Duration(l.duration.mean)
}

// Total returns the limit of the whole fleet.
func (l *Limit) Total() float64 {
	slots := float64(l.fleet.Slots)
	usual, objective := l.usual.value(), l.objective.value()
	if usual <= 0 || objective <= 0 {
		// The queue has room for as many requests as run.
		return 2 * slots
	}
	return slots * (1 + queueShare*float64(objective)/float64(usual))
}

// share returns the entry's part of the recent demand. One more request for each entry gives
// one without recent requests its part.
func (l *Limit) share() float64 {
	return float64(l.fleet.Demand+1) / float64(l.fleet.Demand+l.fleet.PeerDemand+max(1, l.fleet.Entries))
}

// own returns the entry's part of the limit before it is scaled.
func (l *Limit) own() float64 { return l.share() * l.Total() }

// Places returns how many requests of the entry may be under way at a time.
func (l *Limit) Places(now time.Time) int {
	places := max(1, int(math.Round(l.scale*l.own())))
	if now.Sub(l.rejectedAt) < noBorrowAfterRejection {
		return places
	}
	unused := int(borrowLoad*float64(l.fleet.Slots)) - l.fleet.PeersInFlight
	return max(places, unused)
}

// Free returns how many more requests may be started now.
func (l *Limit) Free(now time.Time) int { return max(0, l.Places(now)-l.inFlight) }

// FreeForLate returns how many of them may be ones that can no longer be on time. They take
// free slots, not places in the queues at the targets, which are for those of all entries that
// can be on time.
func (l *Limit) FreeForLate(now time.Time) int {
	places := l.share() * lateLoad * float64(l.fleet.Slots)
	if unused := lateLoad*float64(l.fleet.Slots) - float64(l.fleet.PeersInFlight); unused > places {
		places = unused
	}
	return min(l.Free(now), max(0, int(places)-l.inFlight))
}

// LatestStart returns the latest start with which a response is on time by its objective. The
// request was first sent at the given time.
func (l *Limit) LatestStart(sent time.Time, objective time.Duration) time.Time {
	if objective <= 0 {
		return time.Time{}
	}
	return sent.Add(max(objective-l.expected(), time.Duration(minWaitShare*float64(objective))))
}

// smoothedDuration is a smoothed mean of durations and their smoothed mean deviation. The
// first observations have equal weights.
type smoothedDuration struct {
	mean, deviation float64
	count           int
}

func (s *smoothedDuration) add(d time.Duration, weight float64) {
	s.count++
	if s.count == 1 {
		s.mean, s.deviation = float64(d), float64(d)/2
		return
	}
	weight = max(weight, 1/float64(s.count))
	s.deviation += max(weight, deviationWeight) * (math.Abs(float64(d)-s.mean) - s.deviation)
	s.mean += weight * (float64(d) - s.mean)
}

// windowedMin is the least value of the last one to two times usualWindow.
type windowedMin struct {
	current, previous time.Duration
	startedAt         time.Time
}

func (w *windowedMin) add(now time.Time, d time.Duration) {
	if now.Sub(w.startedAt) >= usualWindow {
		w.previous, w.current, w.startedAt = w.current, d, now
	}
	w.current = min(w.current, d)
}

// value returns zero while there is none.
func (w *windowedMin) value() time.Duration {
	if w.previous == 0 {
		return w.current
	}
	return min(w.current, w.previous)
}
