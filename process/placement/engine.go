package placement

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the time in which a prompt that was placed counts for half in the
	// recent work of an engine.
	recentHalfLife = 40 * time.Second
	// similarRecentPrompts is the difference in recent work, in prompts, up to which idle
	// engines count as equally used. Entries that have not heard of each other's last prompts
	// then still choose different engines.
	similarRecentPrompts = 2.0
	// calmShare is the part of the time within which the first event is due that prefill of the
	// prompt itself may take without counting as slow.
	calmShare = 0.25
	// overflowCostTokens is the cost of an engine whose memory the prompt would exceed, in prompt
	// tokens: more than the wait at any other, since an engine may crash of it.
	overflowCostTokens = 400_000
	// lessUrgentWeight is how much less urgent prompts count that wait ahead of a more urgent
	// one: engines admit what waits by rank, but not all that is pending waits.
	lessUrgentWeight = 0.3
)

// deferredRanks is how many ranks after the first are told apart.
const deferredRanks = 2

// rank returns the rank of the attempt among those that are told apart.
func (r *Requirements) rank() int { return min(deferredRanks, max(0, r.Rank)) }

// prefillWork returns the work of a prompt before its first event.
func (r *Requirements) prefillWork() Work {
	work := Work{PrefillTokens: r.PromptTokens}
	for i := range r.rank() {
		work.Deferred[i] = r.PromptTokens
	}
	return work
}

// observeTime records the time of the last call that stated it.
func (t *Table) observeTime(now time.Time) {
	t.lastNow = now
	const maxHalfLives = 100
	if now.Sub(t.recentSince) < maxHalfLives*recentHalfLife {
		return
	}
	unit := t.recentUnit()
	for _, target := range t.targets {
		target.recentTokens /= unit
	}
	t.recentSince = now
}

// recentUnit returns what Target.recentTokens counts for one token now. It grows with time, so
// that the recent work of all engines decays without a change to each.
func (t *Table) recentUnit() float64 {
	return math.Exp2(float64(t.lastNow.Sub(t.recentSince)) / float64(recentHalfLife))
}

// addRecent adds tokens of prompts to the recent work of an engine; those that end are no new
// work.
func (t *Table) addRecent(target *Target, tokens int) {
	if tokens > 0 && target.isEngine {
		target.recentTokens += float64(tokens) * t.recentUnit()
	}
}

// engineCost returns the time that an engine costs, in prompt tokens that a usual engine prefills
// in it: the wait for the prompts ahead, the delay of running streams by the new prompt, and
// what its own prefill takes beyond a calm time.
func (t *Table) engineCost(now time.Time, target *Target, requirements *Requirements) float64 {
	work := t.totalWork(target)
	relative := target.relativeTime.valueAt(now)
	ahead := float64(work.PrefillTokens)
	if rank := requirements.rank(); rank < deferredRanks {
		// One of them may have begun.
		ahead -= (1 - lessUrgentWeight) * float64(max(0, work.Deferred[rank]-requirements.PromptTokens))
	}
	cost := relative*ahead + decodingCostTokens*float64(work.Decoding)
	prompt := float64(requirements.PromptTokens)
	calm := calmShare * t.prefillRate * float64(requirements.FirstEventWithin.Milliseconds())
	cost += max(0, relative*prompt-max(prompt, calm))
	switch {
	case work.MemoryTokens+requirements.MemoryTokens > target.memoryTokens:
		cost += overflowCostTokens
	case !target.hasMemoryFor(work, requirements.MemoryTokens):
		cost += noMemoryCostTokens
	}
	if !t.subsets.owns(target.Address) {
		cost += outsideSubsetCostTokens
	}
	cost -= relative * float64(requirements.cachedTokens(target))
	return cost + failureCostTokens*t.failureRate(now, target)
}

// chooseEngine returns, among the engines whose cost is within similarCostTokens of the lowest,
// the one with the highest affinity to the session, but among idle ones one of those that had
// the least work recently. The runner-up is the one with the lowest cost of the others.
func (t *Table) chooseEngine(candidates []candidate, requirements *Requirements) Choice {
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, c.cost)
	}
	unit := t.recentUnit() * float64(max(minTimedPrefill, requirements.PromptTokens))
	best, lowest := -1, 0.0
	for i, c := range candidates {
		if c.cost > least+similarCostTokens {
			continue
		}
		score := -similarRecentPrompts * float64(affinity(requirements.Session, c.target.ID)) / math.MaxUint64
		if t.totalWork(c.target).Decoding == 0 {
			score += c.target.recentTokens / unit
		}
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	choice := Choice{Target: candidates[best].target, Cost: candidates[best].cost}
	choice.PrefillAlone = t.totalWork(choice.Target).PrefillTokens == 0
	least = math.Inf(1)
	for i, c := range candidates {
		if i != best && c.cost < least {
			choice.RunnerUp, least = c.target.ID, c.cost
		}
	}
	return choice
}

// ReportedWork returns this entry's work at the target as it is told to the peers. Deferred is left
// out where no prompt waits for another: the order is of no account there.
func (t *Target) ReportedWork() Work {
	work := t.localWork
	if t.peerWork.PrefillTokens == 0 && t.InFlight-work.Decoding < 2 {
		work.Deferred = [deferredRanks]int{}
	}
	return work
}

// Imbalance returns the recent work of the busiest engine in relation to the mean of its service,
// for the service where that is highest.
func (t *Table) Imbalance() float64 {
	worst := 0.0
	for _, targets := range t.services {
		most, total := 0.0, 0.0
		for _, target := range targets {
			most, total = max(most, target.recentTokens), total+target.recentTokens
		}
		if total > 0 {
			worst = max(worst, most*float64(len(targets))/total)
		}
	}
	return worst
}

// slowFactor is the factor by which a target that counts as slow exceeds what is usual.
const slowFactor = 1.5

// RelativeTime returns how long the engine takes for its work, where 1 is the median of its service.
func (t *Target) RelativeTime(now time.Time) float64 { return t.relativeTime.valueAt(now) }

// IsSlow reports whether work takes clearly longer at the target than is usual.
func (t *Target) IsSlow(now time.Time) bool {
	return t.relativeTime.valueAt(now) > slowFactor*t.relativeTime.usualOr1() || t.applicationLoad.workRatioAt(now) > slowFactor
}

// SlowCount returns how many targets are slow.
func (t *Table) SlowCount(now time.Time) int {
	slow := 0
	for _, target := range t.targets {
		if target.IsSlow(now) {
			slow++
		}
	}
	return slow
}
