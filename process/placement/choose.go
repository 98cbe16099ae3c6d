package placement

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

// Requirements describes what an attempt requires of a target.
type Requirements struct {
	Service string
	// Avoid lists targets that are chosen only when no other is available.
	Avoid []request.TargetID
	// Session identifies the last part of the prompt. Among targets of similar cost, the
	// same one is preferred for a session.
	Session string
	// PromptTokens counts the tokens to prefill, MemoryTokens those that the attempt may
	// hold in the engine's memory.
	PromptTokens, MemoryTokens int
	// CachedPrompt locates the engine that holds the prompt, or a prefix of it, in its KV
	// cache.
	CachedPrompt prompts.Location
	// MaxPrefillTime excludes engines that would take longer to prefill what is ahead of the
	// attempt and its own prompt; zero means no limit.
	MaxPrefillTime time.Duration
	// FailureDomain is the entry's own failure domain, preferred for calls.
	FailureDomain string
	// Version restricts the targets by their version.
	Version VersionFilter
	// Rank is the rank of the attempt at an engine, where 0 is served first, and
	// FirstEventWithin the time within which its first event is due; zero if there is none.
	Rank             int
	FirstEventWithin time.Duration
}

// cachedTokens returns how many tokens of the prompt the target has cached.
func (r *Requirements) cachedTokens(target *Target) int {
	if r.CachedPrompt.Target != target.ID || r.CachedPrompt.Incarnation != target.Incarnation {
		return 0
	}
	return min(r.CachedPrompt.Tokens, r.PromptTokens)
}

// ForTarget returns the requirements with PromptTokens reduced by what the chosen target
// has cached.
func (r Requirements) ForTarget(target *Target) Requirements {
	r.PromptTokens -= r.cachedTokens(target)
	return r
}

// Choice is a chosen target with its cost and the runner-up.
type Choice struct {
	Target *Target
	// Cost is, for engines, the time ahead of the attempt, in prompt tokens that a usual engine
	// prefills in it, and for applications requests per slot.
	Cost float64
	// RunnerUp is the next best target, or "".
	RunnerUp request.TargetID
	// PrefillAlone is set if the engine has no other prompt to prefill.
	PrefillAlone bool
}

// Pick chooses a target. Targets that await a probe, or that the request is to avoid, are
// chosen only when no other is available.
func (t *Table) Pick(now time.Time, requirements Requirements) (Choice, error) {
	t.expirePeers(now)
	t.observeTime(now)
	for _, lastResort := range []bool{false, true} {
		if choice, ok := t.pick(now, requirements, lastResort); ok {
			choice.Target.recordAttempt(now)
			return choice, nil
		}
	}
	return Choice{}, t.noTargetError(now, requirements.Service, requirements.Version)
}

// noTargetError returns the error of a request that no target can take, with the states of
// the targets.
func (t *Table) noTargetError(now time.Time, service string, filter VersionFilter) error {
	draining, down, backingOff := 0, 0, 0
	targets := t.allowed(service, &filter)
	for _, target := range targets {
		switch {
		case target.IsDraining():
			draining++
		case target.Down(now):
			down++
		case !target.acceptsAttempt(now):
			backingOff++
		}
	}
	return fault.New(fault.NoTarget, "no target of %s can take the request: of %d targets, %d are leaving, %d down and %d backing off",
		service, len(targets), draining, down, backingOff)
}

// pick chooses among the targets that are up. As a last resort it also considers targets
// that await a probe, with at most one attempt in flight at each, and those to avoid.
func (t *Table) pick(now time.Time, requirements Requirements, lastResort bool) (Choice, bool) {
	candidates := t.candidates[:0]
	for _, target := range t.allowed(requirements.Service, &requirements.Version) {
		if t.exclusion(now, target, &requirements, lastResort) != "" {
			continue
		}
		candidates = append(candidates, candidate{target: target, cost: t.cost(now, target, requirements)})
	}
	t.candidates = candidates
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if !candidates[0].target.isEngine {
		return t.chooseApplication(now, candidates, requirements.FailureDomain), true
	}
	return t.chooseEngine(candidates, &requirements), true
}

type candidate struct {
	target *Target
	cost   float64
}

func (t *Table) cost(now time.Time, target *Target, requirements Requirements) float64 {
	if !target.isEngine {
		failureRate := t.failureRate(now, target)
		return target.callCost(now, requirements) + failureCost*failureRate*failureRate
	}
	return t.engineCost(now, target, &requirements)
}

// prefillsTooLong reports whether the engine is excluded by MaxPrefillTime.
func (t *Table) prefillsTooLong(now time.Time, target *Target, requirements Requirements) bool {
	if requirements.MaxPrefillTime <= 0 || !target.isEngine {
		return false
	}
	tokens := t.totalWork(target).PrefillTokens + requirements.PromptTokens - requirements.cachedTokens(target)
	return time.Duration(target.relativeTime.valueAt(now)*float64(t.PrefillTime(tokens))) > requirements.MaxPrefillTime
}

// hasMemoryFor reports whether the engine's memory has room for the given tokens beside
// work.
func (t *Target) hasMemoryFor(work Work, tokens int) bool {
	return float64(work.MemoryTokens+tokens) <= float64(t.memoryTokens)*(1-memoryMargin)
}

// callCost returns the expected load of an application target in requests per slot, weighted by
// how long work takes there. A target in another failure domain than the entry's costs
// otherDomainCost more.
func (t *Target) callCost(now time.Time, requirements Requirements) float64 {
	slots := max(1, t.Slots)
	perSlot := t.applicationLoad.requestsAt(now, slots, t.InFlight) / float64(slots)
	cost := t.applicationLoad.workRatioAt(now)*(1+perSlot) - 1
	if t.FailureDomain != requirements.FailureDomain {
		cost += otherDomainCost
	}
	return cost
}

// PickKVCopyTarget chooses the target that receives the KV copy of a stream running on
// source: in another failure domain, of the same version, with the least memory in use and
// prefill pending, and none of those to avoid. It returns nil if there is none. The filter of
// versions does not matter: a stream stays with the version of its source.
func (t *Table) PickKVCopyTarget(now time.Time, source *Target, requirements Requirements, avoid ...request.TargetID) *Target {
	t.expirePeers(now)
	var best *Target
	leastCost := 0.0
	for _, target := range t.services[requirements.Service] {
		if target == source || target.FailureDomain == source.FailureDomain || !mayShareState(target, source) {
			continue
		}
		if target.IsDraining() || target.Down(now) || target.BackingOff(now) || target.AwaitingProbe() || slices.Contains(avoid, target.ID) {
			continue
		}
		work := t.totalWork(target)
		if !target.hasMemoryFor(work, requirements.MemoryTokens) {
			continue
		}
		cost := float64(work.MemoryTokens + work.PrefillTokens)
		if best == nil || cost < leastCost || cost == leastCost && affinity(requirements.Session, target.ID) > affinity(requirements.Session, best.ID) {
			best, leastCost = target, cost
		}
	}
	return best
}

// AddAttempt counts an attempt at a target, with requirements.PromptTokens to prefill.
func (t *Table) AddAttempt(id request.TargetID, requirements Requirements) {
	if target, ok := t.targets[id]; ok {
		target.InFlight++
		target.localWork.add(requirements.prefillWork())
		target.localWork.MemoryTokens += requirements.MemoryTokens
		target.prefillChanges++
		t.addRecent(target, requirements.PromptTokens)
	}
}

// PrefillDone records that an attempt has finished prefill.
func (t *Table) PrefillDone(id request.TargetID, requirements Requirements) {
	if target, ok := t.targets[id]; ok {
		target.localWork.subtract(requirements.prefillWork())
		target.localWork.Decoding++
		target.prefillChanges++
	}
}

// RemoveAttempt removes an attempt from its target; decoding reports whether it had
// finished prefill.
func (t *Table) RemoveAttempt(id request.TargetID, requirements Requirements, decoding bool) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.InFlight--
	target.localWork.MemoryTokens -= requirements.MemoryTokens
	if decoding {
		target.localWork.Decoding--
		return
	}
	target.localWork.subtract(requirements.prefillWork())
	target.prefillChanges++
}

// AddKVCopyTokens adds the tokens of KV copies to the memory in use at a target; tokens
// may be negative.
func (t *Table) AddKVCopyTokens(id request.TargetID, tokens int) {
	if target, ok := t.targets[id]; ok {
		target.localWork.MemoryTokens += tokens
	}
}
