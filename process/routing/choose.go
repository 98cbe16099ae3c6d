package routing

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// queueAllowance is how many attempts may be queued at a target, so that it is not idle
	// until the entries learn that one has ended.
	queueAllowance = 1
	// slowStartPeriod is how long a new or returned target gets less than its full share.
	slowStartPeriod = 10 * time.Second
	// initialShare is the fraction of its full share that such a target gets at first.
	initialShare = 0.1
	// reportTTL is how long a target's report of the load by other entries is used. The
	// weight of a report decreases with its age in favor of the mean over all targets.
	reportTTL = 10 * time.Second
	// attemptCostTokens is the cost of an attempt in addition to its tokens.
	attemptCostTokens = 32
	// sameDomainCostTokens is the cost of a target in the failure domain of the entry.
	sameDomainCostTokens = 256
	// downDomainCostTokens is the cost of a target in the failure domain of one at which
	// the request failed before and that is still down.
	downDomainCostTokens = 4096
	// waitCostTokens is the cost of each attempt that has to end before this one can run.
	waitCostTokens = 512
	// maxAffinityLoadFactor is the load, relative to the mean, up to which a target may be
	// chosen for its cached prefix.
	maxAffinityLoadFactor = 1.25
	// affinityLoadSlackTokens is added to that bound.
	affinityLoadSlackTokens = 1024
	// minAffinityBlocks is the shortest cached prefix, in blocks, that is considered.
	minAffinityBlocks = 2
)

// view holds aggregate values over all candidates for one choice.
type view struct {
	now          time.Time
	requirements Requirements
	// meanPeerLoad is the mean load by other entries, meanLoad the mean total load.
	meanPeerLoad, meanLoad float64
	// downDomains lists the failure domains of targets at which the request failed before
	// and that are still down.
	downDomains []string
}

// choose returns the candidate with the longest cached prefix if its load is within bounds,
// otherwise the cheaper of two drawn at random. Two random choices keep many entries with
// the same stale reports from all choosing the same target.
func (t *Table) choose(now time.Time, candidates []*Target, requirements Requirements) *Target {
	if withSlots := t.withFreeSlots(now, candidates); len(withSlots) > 0 {
		candidates = withSlots
	}
	v := t.newView(now, candidates, requirements)
	if cachedTarget := v.cachedTarget(candidates); cachedTarget != nil {
		return cachedTarget
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

func (t *Table) withFreeSlots(now time.Time, candidates []*Target) []*Target {
	free := make([]*Target, 0, len(candidates))
	for _, target := range candidates {
		if t.targetFreeSlots(now, target) > 0 {
			free = append(free, target)
		}
	}
	return free
}

func (t *Table) newView(now time.Time, candidates []*Target, requirements Requirements) *view {
	v := &view{now: now, requirements: requirements, downDomains: t.downDomains(requirements.Avoid)}
	for _, target := range candidates {
		v.meanPeerLoad += peerLoad(target)
	}
	v.meanPeerLoad /= float64(len(candidates))
	for _, target := range candidates {
		v.meanLoad += v.load(target)
	}
	v.meanLoad /= float64(len(candidates))
	return v
}

func (t *Table) downDomains(avoid []request.TargetID) []string {
	var domains []string
	for _, id := range avoid {
		if target, ok := t.targets[id]; ok && !target.Up {
			domains = append(domains, target.FailureDomain)
		}
	}
	return domains
}

// peerLoad returns the load by other entries at the time of the target's last report.
func peerLoad(target *Target) float64 {
	tokens := max(0, target.Report.PendingTokens-target.expectedTokensAtReport)
	attempts := max(0, target.Report.Attempts-target.inFlightAtReport)
	return float64(tokens + attempts*attemptCostTokens)
}

// load estimates the tokens that a target has still to generate: those of this process are
// known, those of others come from the last report, whose weight decreases with its age.
func (v *view) load(target *Target) float64 {
	age := v.now.Sub(target.Reported)
	reportWeight := max(0, 1-float64(age)/float64(reportTTL))
	own := float64(target.ExpectedTokens + target.InFlight*attemptCostTokens)
	return own + reportWeight*peerLoad(target) + (1-reportWeight)*v.meanPeerLoad
}

// slowStartShare returns the fraction of its full share of work that the target gets now.
func (t *Target) slowStartShare(now time.Time) float64 {
	age := now.Sub(t.upSince)
	return min(1, max(initialShare, float64(age)/float64(slowStartPeriod)))
}

// attemptsAhead returns how many attempts would have to end before a new one can run.
func (v *view) attemptsAhead(target *Target) int {
	if target.capacity == 0 {
		return 0
	}
	return max(0, target.estimatedAttempts()+1-target.capacity)
}

// cost returns the cost of choosing target, in tokens; lower is better.
func (v *view) cost(target *Target) float64 {
	cost := v.load(target) + float64(v.requirements.Tokens+attemptCostTokens)
	cost /= target.slowStartShare(v.now)
	cost += float64(v.attemptsAhead(target) * waitCostTokens)
	if target.FailureDomain == v.requirements.FailureDomain && v.requirements.Spread != version.SpreadNone {
		cost += sameDomainCostTokens
	}
	if slices.Contains(v.downDomains, target.FailureDomain) {
		cost += downDomainCostTokens
	}
	return cost
}

// cachedTarget returns the candidate with the longest cached prefix of those within the
// affinity bound, or nil if none has at least minAffinityBlocks cached.
func (v *view) cachedTarget(candidates []*Target) *Target {
	var best *Target
	longestMatch := minAffinityBlocks - 1
	for _, target := range candidates {
		matched := target.prefixes.match(v.requirements.Prefix)
		if matched > longestMatch && v.withinAffinityBound(target) {
			best = target
			longestMatch = matched
		}
	}
	return best
}

func (v *view) withinAffinityBound(target *Target) bool {
	if v.attemptsAhead(target) > 0 || slices.Contains(v.downDomains, target.FailureDomain) {
		return false
	}
	return v.load(target)/target.slowStartShare(v.now) <= maxAffinityLoadFactor*v.meanLoad+affinityLoadSlackTokens
}
