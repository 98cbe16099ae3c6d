package placement

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

// Requirements describes the attempt that a target is wanted for.
type Requirements struct {
	Service string
	// Avoid lists targets that are used only when there is no other.
	Avoid []request.TargetID
	// Session identifies the last part of the prompt; the same target is preferred
	// for it while loads are alike.
	Session string
	// PromptTokens counts the tokens to read, Memory those that the attempt may hold.
	PromptTokens, MemoryTokens int
	// CachedPrompt is where the prompt, or a part of it, was read before.
	CachedPrompt prompts.Location
	// FailureDomain is that of the entry, preferred for calls.
	FailureDomain string
}

// readAt returns how many tokens of the prompt a target need not read.
func (n *Requirements) readAt(target *Target) int {
	if n.CachedPrompt.Target != target.ID || n.CachedPrompt.Incarnation != target.Incarnation {
		return 0
	}
	return min(n.CachedPrompt.Tokens, n.PromptTokens)
}

// ForTarget returns the need as it is at the target that was chosen.
func (n Requirements) ForTarget(target *Target) Requirements {
	n.PromptTokens -= n.readAt(target)
	return n
}

// Choice is a chosen target and what decided.
type Choice struct {
	Target *Target
	// Cost is what the attempt waits for, in prompt tokens for engines and in
	// requests for applications.
	Cost float64
	// RunnerUp is the target that came next, or "".
	RunnerUp request.TargetID
}

// Pick chooses a target. Targets that were lost lately, or that the request is to
// avoid, are taken only when there is no other.
func (t *Table) Pick(now time.Time, need Requirements) (Choice, error) {
	for _, last := range []bool{false, true} {
		if choice, ok := t.pick(now, need, last); ok {
			return choice, nil
		}
	}
	return Choice{}, fault.New(fault.NoTarget, "no target of %s can take the request", need.Service)
}

// pick chooses among the targets that are up or, as a last resort, among those
// whose time alone is over and those to avoid.
func (t *Table) pick(now time.Time, need Requirements, last bool) (Choice, bool) {
	var costs []candidate
	for _, target := range t.services[need.Service] {
		if target.Draining || target.Down(now) {
			continue
		}
		if !last && (target.AwaitingProbe() || slices.Contains(need.Avoid, target.ID)) {
			continue
		}
		if target.AwaitingProbe() && target.InFlight > 0 {
			continue
		}
		costs = append(costs, candidate{target: target, cost: t.cost(now, target, need)})
	}
	if len(costs) == 0 {
		return Choice{}, false
	}
	return choose(costs, need), true
}

type candidate struct {
	target *Target
	cost   float64
}

// choose takes, among the targets whose cost is near the least, the one that
// comes first for the session.
func choose(costs []candidate, need Requirements) Choice {
	slices.SortStableFunc(costs, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		default:
			return 0
		}
	})
	slack := 0.0
	if costs[0].target.engine {
		slack = alikeTokens
	}
	best, highest := 0, uint64(0)
	for i, c := range costs {
		if c.cost > costs[0].cost+slack {
			break
		}
		if rank := affinity(need.Session, c.target.ID); rank >= highest {
			best, highest = i, rank
		}
	}
	choice := Choice{Target: costs[best].target, Cost: costs[best].cost}
	if other := (best + 1) % len(costs); other != best {
		choice.RunnerUp = costs[other].target.ID
	}
	return choice
}

func (t *Table) cost(now time.Time, target *Target, need Requirements) float64 {
	if !target.engine {
		failing := t.failing(now, target)
		return target.callCost(now, need) + failureCost*failing*failing
	}
	work := t.work(now, target)
	cost := float64(work.PrefillTokens + work.Decoding*decodeTokens)
	if !target.room(work, need.MemoryTokens) {
		cost += fullTokens
	}
	cost -= float64(need.readAt(target))
	return cost + failureTokens*t.failing(now, target)
}

// room says whether the memory of an engine holds so many tokens more.
func (t *Target) room(work Work, tokens int) bool {
	return float64(work.MemoryTokens+tokens) <= float64(t.memory)*(1-memoryMargin)
}

// callCost is the number of requests that a call waits for at an application
// target. One in another failure domain costs a small part of a request more.
func (t *Target) callCost(now time.Time, need Requirements) float64 {
	slots := max(1, t.Slots)
	cost := float64(t.InFlight) / float64(slots)
	if now.Sub(t.loadAt) < loadLife {
		others := max(0, t.load.Running+t.load.Waiting-t.InFlight)
		cost += float64(others) / float64(slots)
	}
	if t.FailureDomain != need.FailureDomain {
		cost += otherDomainCost
	}
	return cost
}

// otherDomainCost is the cost of a call to another failure domain, in parts of a
// target's slots: bytes between domains are paid for.
const otherDomainCost = 0.2

// PickKVCopyTarget chooses the target that receives a copy of the memory of a run on
// another: in another failure domain, with the most memory left, and none of those to
// avoid.
func (t *Table) PickKVCopyTarget(now time.Time, run *Target, need Requirements, avoid ...request.TargetID) *Target {
	var best *Target
	least := 0.0
	for _, target := range t.services[need.Service] {
		if target == run || target.FailureDomain == run.FailureDomain {
			continue
		}
		if target.Draining || target.Down(now) || target.AwaitingProbe() || slices.Contains(avoid, target.ID) {
			continue
		}
		work := t.work(now, target)
		if !target.room(work, need.MemoryTokens) {
			continue
		}
		cost := float64(work.MemoryTokens + work.PrefillTokens)
		if best == nil || cost < least || cost == least && affinity(need.Session, target.ID) > affinity(need.Session, best.ID) {
			best, least = target, cost
		}
	}
	return best
}

// AddAttempt counts an attempt at a target that has need.Prompt tokens to read.
func (t *Table) AddAttempt(id request.TargetID, need Requirements) {
	if target, ok := t.targets[id]; ok {
		target.InFlight++
		target.own.add(Work{PrefillTokens: need.PromptTokens, MemoryTokens: need.MemoryTokens})
	}
}

// PrefillDone notes that an attempt has read its prompt.
func (t *Table) PrefillDone(id request.TargetID, need Requirements) {
	if target, ok := t.targets[id]; ok {
		target.own.add(Work{PrefillTokens: -need.PromptTokens, Decoding: 1})
	}
}

// RemoveAttempt takes an attempt off its target; answering says whether it had read its
// prompt.
func (t *Table) RemoveAttempt(id request.TargetID, need Requirements, answering bool) {
	target, ok := t.targets[id]
	if !ok {
		return
	}
	target.InFlight--
	left := Work{PrefillTokens: -need.PromptTokens, MemoryTokens: -need.MemoryTokens}
	if answering {
		left = Work{Decoding: -1, MemoryTokens: -need.MemoryTokens}
	}
	target.own.add(left)
}

// AddKVCopyTokens adds tokens of copies to the memory of a target; it may be negative.
func (t *Table) AddKVCopyTokens(id request.TargetID, tokens int) {
	if target, ok := t.targets[id]; ok {
		target.own.MemoryTokens += tokens
	}
}
