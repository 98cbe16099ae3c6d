package routing

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// capacitySlack is how many attempts may wait on a target, so that it is not idle
	// until its entries learn that one has ended.
	capacitySlack = 1
	// slowStart is how long a new or returned target gets less than its share.
	slowStart = 10 * time.Second
	// leastShare is the share that it gets at first.
	leastShare = 0.1
	// reportLife is how long the load of other entries is believed; older reports
	// count less and less, until only the mean of all targets is left.
	reportLife = 10 * time.Second
	// attemptTokens is the cost of an attempt besides its tokens.
	attemptTokens = 32
	// domainTokens is the cost of a target in the failure domain of the entry.
	domainTokens = 256
	// lostDomainTokens is the cost of a target in the failure domain of one that
	// the request lost and that is still down.
	lostDomainTokens = 4096
	// waitTokens is the cost of each attempt that would run before this one can.
	waitTokens = 512
	// affinityBound is how far over the mean the load of a target may be that is
	// chosen for its cached prefix.
	affinityBound = 1.25
	// affinitySlack is added to that, in tokens.
	affinitySlack = 1024
	// leastAffinity is the shortest cached prefix, in blocks, that is followed.
	leastAffinity = 2
)

// view is the state of all candidates for one choice.
type view struct {
	now  time.Time
	need Requirements
	// meanOthers is the mean load by other entries, mean the mean load.
	meanOthers, mean float64
	// lostDomains lists the failure domains of lost targets that are still down.
	lostDomains []string
}

// choose returns the candidate with the longest cached prefix when its load is
// within bounds, else the better one of two drawn at random. Two draws keep many
// entries with the same old reports from all choosing the same target.
func (t *Table) choose(now time.Time, candidates []*Target, need Requirements) *Target {
	if free := t.withRoom(now, candidates); len(free) > 0 {
		candidates = free
	}
	v := t.survey(now, candidates, need)
	if cached := v.cached(candidates); cached != nil {
		return cached
	}
	first := t.random.IntN(len(candidates))
	second := first
	if len(candidates) > 1 {
		second = (first + 1 + t.random.IntN(len(candidates)-1)) % len(candidates)
	}
	if v.cost(candidates[second]) < v.cost(candidates[first]) {
		first = second
	}
	return candidates[first]
}

func (t *Table) withRoom(now time.Time, candidates []*Target) []*Target {
	free := make([]*Target, 0, len(candidates))
	for _, target := range candidates {
		if t.room(now, target) > 0 {
			free = append(free, target)
		}
	}
	return free
}

func (t *Table) survey(now time.Time, candidates []*Target, need Requirements) *view {
	v := &view{now: now, need: need, lostDomains: t.lostDomains(need.Avoid)}
	for _, target := range candidates {
		v.meanOthers += others(target)
	}
	v.meanOthers /= float64(len(candidates))
	for _, target := range candidates {
		v.mean += v.load(target)
	}
	v.mean /= float64(len(candidates))
	return v
}

func (t *Table) lostDomains(avoid []request.TargetID) []string {
	var domains []string
	for _, id := range avoid {
		if target, ok := t.targets[id]; ok && !target.Up {
			domains = append(domains, target.FailureDomain)
		}
	}
	return domains
}

// others is the load by other entries, as it was when the target reported it.
func others(target *Target) float64 {
	tokens := max(0, target.Report.PendingTokens-target.expectedThen)
	attempts := max(0, target.Report.Attempts-target.inFlightThen)
	return float64(tokens + attempts*attemptTokens)
}

// load estimates the tokens that a target has still to generate: those of this
// process are known, those of others are taken from the last report, which
// counts the less the older it is.
func (v *view) load(target *Target) float64 {
	age := v.now.Sub(target.Reported)
	trust := max(0, 1-float64(age)/float64(reportLife))
	own := float64(target.ExpectedTokens + target.InFlight*attemptTokens)
	return own + trust*others(target) + (1-trust)*v.meanOthers
}

// share is the part of a whole target's work that one gets which came lately.
func (t *Target) share(now time.Time) float64 {
	age := now.Sub(t.since)
	return min(1, max(leastShare, float64(age)/float64(slowStart)))
}

// waiting is how many attempts would run before a new one can.
func (v *view) waiting(target *Target) int {
	if target.capacity == 0 {
		return 0
	}
	return max(0, target.attempts()+1-target.capacity)
}

// cost compares targets: less is better.
func (v *view) cost(target *Target) float64 {
	work := v.load(target) + float64(v.need.Tokens+attemptTokens)
	work /= target.share(v.now)
	work += float64(v.waiting(target) * waitTokens)
	if target.FailureDomain == v.need.FailureDomain && v.need.Spread != version.SpreadNone {
		work += domainTokens
	}
	if slices.Contains(v.lostDomains, target.FailureDomain) {
		work += lostDomainTokens
	}
	return work
}

// cached returns the candidate with the longest cached prefix, or nil when none is
// long enough or its target has too much work.
func (v *view) cached(candidates []*Target) *Target {
	var best *Target
	longest := leastAffinity - 1
	for _, target := range candidates {
		matched := target.prefixes.match(v.need.Prefix)
		if matched > longest && v.affordable(target) {
			best = target
			longest = matched
		}
	}
	return best
}

func (v *view) affordable(target *Target) bool {
	if v.waiting(target) > 0 || slices.Contains(v.lostDomains, target.FailureDomain) {
		return false
	}
	return v.load(target)/target.share(v.now) <= affinityBound*v.mean+affinitySlack
}
