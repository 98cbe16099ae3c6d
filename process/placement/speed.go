package placement

import (
	"math"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// relativeTimeWeight is the weight of one observation in an engine's relative time. A slow
	// spell shows after two, one that was disturbed unnoticed is half forgotten after the next.
	relativeTimeWeight = 0.5
	// usualWeight is the weight of one observation in what is usual for the engine, and
	// firstUsualWeight that of the first one, which is divided by their number.
	usualWeight, firstUsualWeight = 0.05, 0.7
	// spellFactor is the factor by which an engine must take longer than usual for a spell,
	// which changes nothing about what is usual: engines differ from the median by 1.3, and
	// slow spells make them about three times as slow. Engines that are always slower than that
	// count as in a spell whenever they are observed.
	spellFactor = 1.45
	// overdueFactor is the factor by which a prefill must take longer than expected to show
	// that its engine is slow before it has ended.
	overdueFactor = 1.6
	// overdueSlack is what it must take longer besides: the connection and busy processors delay
	// the first event as well.
	overdueSlack = 200 * time.Millisecond
	// knownPeriod is how long an observation holds, spellPeriod the time in which it then fades
	// into what is usual for the engine. An engine that was slow is avoided, so that it has to
	// be tried again. While streams run there the entries that have them say so again.
	knownPeriod = 3 * time.Second
	spellPeriod = 2 * time.Second
	// forgottenPeriods is after how many spell periods nothing is left of an observation.
	forgottenPeriods = 8
	// minRelativeTime and maxRelativeTime limit the relative time of an engine. Engines of one
	// service that differ by more are not used as one.
	minRelativeTime, maxRelativeTime = 0.1, 20.0
	// minSpeedNews is the factor by which a relative time must differ from what the other
	// entries were told to be told to them.
	minSpeedNews = 1.2
	// speedNewsPeriod is how long the same news are told: a lost datagram is made up for by the
	// next full update.
	speedNewsPeriod = 1200 * time.Millisecond
	// ownSpeedPeriod is how long an own observation of an engine is preferred to news of it.
	ownSpeedPeriod = time.Second
	// firstMedianStep and lastMedianStep are the parts by which an observation moves what is
	// usual for a service, the first one in the beginning.
	firstMedianStep, lastMedianStep = 0.25, 0.01
	// minTimedPrefill is the least prompt whose prefill is timed, in tokens: for shorter ones
	// the connection and other delays count as much.
	minTimedPrefill = 1000
)

// relativeTime is how long an engine takes for its work, where 1 is as the engines of its
// service usually take.
//
// It is designed for engines of different speeds, some of which are slow for some seconds,
// before many entries that each see one engine only every minute or two: what one of them
// observes is told to the others if it is news to them.
type relativeTime struct {
	// usual is the long-term value, current the one as of observedAt; zero if unknown.
	usual, current float64
	observedAt     time.Time
	// observations counts those that were no spells.
	observations int
	// ownAt is when this entry last observed it itself.
	ownAt time.Time
	// common is what the entries were told last, at commonAt; newsUntil is until when this one
	// tells them.
	common              float64
	commonAt, newsUntil time.Time
}

// valueAt returns the relative time.
func (r *relativeTime) valueAt(now time.Time) float64 {
	return r.fade(r.current, now.Sub(r.observedAt))
}

// fade returns what is left of an observed value after age.
func (r *relativeTime) fade(value float64, age time.Duration) float64 {
	switch {
	case r.usual == 0:
		return 1
	case value == r.usual || age < knownPeriod:
		return value
	case age > knownPeriod+forgottenPeriods*spellPeriod:
		return r.usual
	default:
		return r.usual * math.Pow(value/r.usual, fading(age-knownPeriod, spellPeriod))
	}
}

func (r *relativeTime) usualOr1() float64 {
	if r.usual == 0 {
		return 1
	}
	return r.usual
}

// observe records that the engine took the given time.
func (r *relativeTime) observe(now time.Time, value, weight float64) {
	value = min(maxRelativeTime, max(minRelativeTime, value))
	current := r.valueAt(now)
	if r.usual == 0 {
		r.usual, weight = 1, 1
	}
	if value <= spellFactor*r.usual {
		r.observations++
		r.usual *= math.Pow(value/r.usual, max(usualWeight, firstUsualWeight/float64(r.observations)))
	}
	r.current = current * math.Pow(value/current, weight)
	r.observedAt = now
}

// observeOwn records what this entry observed and decides whether that is news to the others.
func (r *relativeTime) observeOwn(now time.Time, value float64) {
	r.observe(now, value, relativeTimeWeight)
	r.ownAt = now
	known := 1.0
	if r.common != 0 {
		// It is told early enough that it does not fade there.
		known = r.fade(r.common, now.Sub(r.commonAt)+speedNewsPeriod)
	}
	if r.current > known*minSpeedNews || r.current < known/minSpeedNews {
		r.common, r.commonAt, r.newsUntil = r.current, now, now.Add(speedNewsPeriod)
	}
}

// runningMedian follows the median of positive values. Unlike a mean, it stays when a third of the
// engines are several times as slow.
type runningMedian struct {
	value float64
	count int
}

// observe records a value of an engine whose relative time is known, and returns it in relation to
// the median. Those of slow spells don't count, since an engine has more of them the slower it is.
func (m *runningMedian) observe(value, relative float64) float64 {
	if m.value == 0 {
		m.value = value
	}
	if value <= spellFactor*relative*m.value {
		m.count++
		step := max(lastMedianStep, firstMedianStep/float64(m.count))
		if value > m.value {
			m.value *= 1 + min(step, value/m.value-1)
		} else {
			m.value /= 1 + min(step, m.value/value-1)
		}
	}
	return value / m.value
}

// serviceSpeed is what is usual for the engines of a service.
type serviceSpeed struct {
	// tokenTime is the time to prefill one token, eventTime that of one event of a stream that
	// no prefill delays, both in milliseconds.
	tokenTime, eventTime runningMedian
}

// speedOf returns what is usual for the engines of a service.
func (t *Table) speedOf(service string) *serviceSpeed {
	speed, ok := t.speeds[service]
	if !ok {
		speed = &serviceSpeed{}
		t.speeds[service] = speed
	}
	return speed
}

// RecordPrefill records that prefill of the given tokens took elapsed at an engine that had no
// other prefill to do.
func (t *Table) RecordPrefill(now time.Time, id request.TargetID, tokens int, elapsed time.Duration) {
	target, ok := t.targets[id]
	if !ok || tokens < minTimedPrefill || elapsed <= 0 {
		return
	}
	took := milliseconds(elapsed)
	t.prefillRate += prefillRateWeight * (float64(tokens)/took - t.prefillRate)
	target.relativeTime.observeOwn(now, t.speedOf(target.Service).tokenTime.observe(took/float64(tokens), target.relativeTime.usualOr1()))
}

// RecordOverduePrefill records that prefill of the given tokens has taken elapsed without an end at
// an engine that has no other prefill to do.
func (t *Table) RecordOverduePrefill(now time.Time, id request.TargetID, tokens int, elapsed time.Duration) {
	target, ok := t.targets[id]
	if !ok || tokens < minTimedPrefill {
		return
	}
	usual := t.speedOf(target.Service).tokenTime.value * float64(tokens)
	if r := &target.relativeTime; usual > 0 && milliseconds(elapsed-overdueSlack) > overdueFactor*usual*r.valueAt(now) {
		r.observeOwn(now, milliseconds(elapsed)/usual)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PrefillTime estimates how long an engine of usual speed takes to prefill the given tokens.
func (t *Table) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / t.prefillRate * float64(time.Millisecond))
}

// PrefillMark identifies the prefill work at an engine, for RecordEvents. It changes whenever
// that work does.
type PrefillMark struct {
	changes uint32
	pending bool
}

// PrefillMark returns the mark of the prefill work at an engine now.
func (t *Table) PrefillMark(id request.TargetID) PrefillMark {
	target, ok := t.targets[id]
	if !ok {
		return PrefillMark{pending: true}
	}
	return PrefillMark{changes: target.prefillChanges, pending: t.totalWork(target).PrefillTokens > 0}
}

// RecordEvents records that a stream at an engine had the given number of events in the elapsed
// time. They are ignored if prefill at the engine has delayed them, which the mark from the
// beginning of that time shows.
func (t *Table) RecordEvents(now time.Time, id request.TargetID, began PrefillMark, events int, elapsed time.Duration) {
	target, ok := t.targets[id]
	if !ok || events <= 0 || elapsed <= 0 || began.pending || t.PrefillMark(id) != began {
		return
	}
	eventTime := milliseconds(elapsed) / float64(events)
	target.relativeTime.observeOwn(now, t.speedOf(target.Service).eventTime.observe(eventTime, target.relativeTime.usualOr1()))
}

// Speeds returns the relative times of engines that are news to the other entries.
func (t *Table) Speeds(now time.Time) map[request.TargetID]float64 {
	var speeds map[request.TargetID]float64
	for id, target := range t.targets {
		if now.Before(target.relativeTime.newsUntil) {
			if speeds == nil {
				speeds = map[request.TargetID]float64{}
			}
			speeds[id] = target.relativeTime.common
		}
	}
	return speeds
}

// RecordPeerSpeed records the relative time of an engine that another entry observed.
func (t *Table) RecordPeerSpeed(now time.Time, id request.TargetID, value float64) {
	target, ok := t.targets[id]
	if !ok || !target.isEngine {
		return
	}
	r := &target.relativeTime
	if now.Sub(r.ownAt) < ownSpeedPeriod || value == r.common && now.Sub(r.commonAt) < speedNewsPeriod {
		return
	}
	r.observe(now, value, 1)
	r.common, r.commonAt, r.newsUntil = value, now, time.Time{}
}
