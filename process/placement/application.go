package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// loadReportHalfLife is the age at which a load report counts for half, the rest being
	// the target's mean load. Calls last for some 60 ms, so that few of the requests that a
	// report counts run after twice that time.
	loadReportHalfLife = 80 * time.Millisecond
	// meanLoadPeriod is the time over which the mean load of a target is taken. It also
	// is the time in which that mean fades while nothing is heard from the target: it is
	// then tried again.
	meanLoadPeriod = 2 * time.Second
	// workRatioPeriod is the time over which the reported duration of work is smoothed, and
	// in which it fades: slow spells of hosts last for some 600 ms.
	workRatioPeriod = 300 * time.Millisecond
	// freshSpread and staleSpread are the differences in cost, in requests per slot, at which
	// a target is drawn less often by the factor e when its report is new and old. With
	// smaller ones, the queues in the replays of stale_load_test.go differ more where all
	// entries have the same report; with larger ones, the work differs more where each has
	// its own.
	freshSpread = 0.3
	staleSpread = 0.6
	// otherDomainCost is the cost of a call to another failure domain, in requests per slot:
	// traffic between domains is charged for.
	otherDomainCost = 0.2
	// minWorkRatio and maxWorkRatio limit the smoothed duration of work.
	minWorkRatio, maxWorkRatio = 0.25, 10
)

// applicationLoad is what is known of the load of an application target.
//
// It is designed for tens of entries that choose at the same time by load reports that are as
// old as several calls: what a report says fades into the mean, and entries that draw at
// random among similar targets do not all choose the one that looked best.
type applicationLoad struct {
	// others counts the requests of other entries in the last report, reportedAt is its time.
	others     float64
	reportedAt time.Time
	// mean is the mean load, in requests per slot.
	mean float64
	// workRatio is how long work takes, where 1 is as usual, as of reportedAt.
	workRatio float64
}

// record records a load report, which counts the given requests of this entry as well.
func (l *applicationLoad) record(now time.Time, report request.Load, slots, own int) {
	requests := report.Running + report.Waiting
	perSlot := float64(requests) / float64(slots)
	ratio := min(maxWorkRatio, max(minWorkRatio, float64(report.WorkPercent)/100))
	if report.WorkPercent == 0 {
		ratio = 1
	}
	if l.reportedAt.IsZero() {
		l.mean, l.workRatio = perSlot, ratio
	} else {
		age := now.Sub(l.reportedAt)
		l.workRatio = l.workRatioAt(now)
		l.workRatio += (1 - fading(age, workRatioPeriod)) * (ratio - l.workRatio)
		l.mean += (1 - fading(age, meanLoadPeriod)) * (perSlot - l.mean)
	}
	l.others, l.reportedAt = float64(max(0, requests-own)), now
}

// workRatioAt returns how long work takes at the target.
func (l *applicationLoad) workRatioAt(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 1
	}
	return 1 + (l.workRatio-1)*fading(now.Sub(l.reportedAt)-workRatioPeriod, workRatioPeriod)
}

// requestsAt returns how many requests are expected at the target, own ones of this entry included.
func (l *applicationLoad) requestsAt(now time.Time, slots, own int) float64 {
	if l.reportedAt.IsZero() {
		return float64(own)
	}
	fresh := l.freshness(now)
	return float64(own) + fresh*l.others + (1-fresh)*max(0, l.meanAt(now)*float64(slots)-float64(own))
}

// meanAt returns the mean load, in requests per slot.
func (l *applicationLoad) meanAt(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	return l.mean * fading(now.Sub(l.reportedAt), meanLoadPeriod)
}

// freshness returns from 1 to 0 how much the last report says about the present.
func (l *applicationLoad) freshness(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(l.reportedAt))) / float64(loadReportHalfLife))
}

// spreadAt returns the spread of draws that the report calls for. It is 0 without a report: the
// entry's own requests, which it then counts alone, are never stale.
func (l *applicationLoad) spreadAt(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	return staleSpread + (freshSpread-staleSpread)*l.freshness(now)
}

// fading returns what is left of a value after age, if it fades within period.
func fading(age, period time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(period))
}

// SetRandom sets the source by which the table draws among similar targets. Entries need
// different ones.
func (t *Table) SetRandom(source *rand.Rand) { t.random = source }

// chooseApplication draws a target in the entry's own failure domain and one outside, and
// chooses between them. Traffic between domains is paid for, so the other domains get calls
// only as far as the own one costs more time.
func (t *Table) chooseApplication(now time.Time, candidates []candidate, failureDomain string) Choice {
	own, other := t.drawApplication(now, candidates, failureDomain, true), t.drawApplication(now, candidates, failureDomain, false)
	chosen := own.drawn
	if own.drawn < 0 || other.drawn >= 0 && t.leavesDomain(own, other) {
		chosen = other.drawn
	}
	choice := Choice{Target: candidates[chosen].target, Cost: candidates[chosen].cost}
	least := math.Inf(1)
	for i, c := range candidates {
		if i != chosen && c.cost < least {
			choice.RunnerUp, least = c.target.ID, c.cost
		}
	}
	return choice
}

// applicationDraw is a target that was drawn from some candidates.
type applicationDraw struct {
	// drawn is the index of the candidate, negative if there was none.
	drawn int
	// cost is the mean cost of a call to these candidates, spread the difference of cost at
	// which a candidate is drawn less often by the factor e.
	cost, spread float64
	// load is their mean load in requests per slot.
	load float64
}

// drawApplication draws one of the candidates inside or outside a failure domain at random, the
// cheaper the likelier. Without any reports, it is one of the cheapest.
func (t *Table) drawApplication(now time.Time, candidates []candidate, failureDomain string, inside bool) applicationDraw {
	draw := applicationDraw{drawn: -1}
	count, least := 0.0, math.Inf(1)
	for _, c := range candidates {
		if (c.target.FailureDomain == failureDomain) == inside {
			count, least = count+1, min(least, c.cost)
			draw.spread += c.target.applicationLoad.spreadAt(now)
			draw.load += c.target.applicationLoad.meanAt(now)
		}
	}
	if count == 0 {
		return draw
	}
	draw.spread, draw.load = draw.spread/count, draw.load/count
	total := 0.0
	for i, c := range candidates {
		if (c.target.FailureDomain == failureDomain) != inside || draw.spread == 0 && c.cost > least {
			continue
		}
		weight := 1.0
		if draw.spread > 0 {
			weight = math.Exp((least - c.cost) / draw.spread)
		}
		total += weight
		draw.cost += weight * c.cost
		if t.random.Float64()*total < weight {
			draw.drawn = i
		}
	}
	draw.cost /= total
	return draw
}

// leavesDomain decides whether a call goes to another failure domain. The more the entry's own
// domain is loaded, the less the cost of the traffic counts. Where reports are stale, as many
// calls leave as the difference calls for, since other entries see the same.
func (t *Table) leavesDomain(own, other applicationDraw) bool {
	excess := own.cost - other.cost + otherDomainCost*min(1, own.load)
	return excess > 0 && (own.spread == 0 || t.random.Float64()*own.spread < excess)
}
