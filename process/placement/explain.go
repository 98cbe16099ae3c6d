package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// Reasons for which a target is not considered.
const (
	excludedDraining      = "draining"
	excludedDown          = "down"
	excludedBackingOff    = "wants no requests"
	excludedAwaitingProbe = "awaits a probe"
	excludedAvoided       = "to be avoided"
	excludedPrefill       = "prefills for too long"
	excludedVersion       = "not of an allowed version"
)

// exclusion returns why a target is not considered, or "". As a last resort, targets that await a
// probe and those to avoid are considered as well.
func (t *Table) exclusion(now time.Time, target *Target, requirements *Requirements, lastResort bool) string {
	switch {
	case target.IsDraining():
		return excludedDraining
	case target.Down(now):
		return excludedDown
	case !target.acceptsAttempt(now):
		return excludedBackingOff
	case target.AwaitingProbe() && (!lastResort || target.InFlight > 0):
		return excludedAwaitingProbe
	case !lastResort && slices.Contains(requirements.Avoid, target.ID):
		return excludedAvoided
	case t.prefillsTooLong(now, target, *requirements):
		return excludedPrefill
	default:
		return ""
	}
}

// Candidate is a target as a request would find it.
type Candidate struct {
	ID            request.TargetID `json:"id"`
	FailureDomain string           `json:"failureDomain"`
	Version       string           `json:"version,omitempty"`
	// InFlight counts the attempts of this entry at the target.
	InFlight int `json:"inFlight"`
	// Cost is in prompt tokens for engines and in requests per slot for applications.
	Cost float64 `json:"cost"`
	// Excluded is why the target is not considered, or "".
	Excluded string `json:"excluded,omitempty"`
}

// Explain returns the targets of a service as Pick would see them, without choosing one: first
// those that it would consider, the cheapest first. It changes nothing that a later choice
// depends on.
func (t *Table) Explain(now time.Time, requirements Requirements) []Candidate {
	allowed := t.allowed(requirements.Service, &requirements.Version)
	targets := t.services[requirements.Service]
	candidates := make([]Candidate, 0, len(targets))
	considered := t.explainAmong(now, &candidates, targets, allowed, requirements, false)
	if considered == 0 {
		candidates = candidates[:0]
		t.explainAmong(now, &candidates, targets, allowed, requirements, true)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Cost, b.Cost))
	})
	return candidates
}

// explainAmong adds a candidate for each target and returns how many would be considered.
func (t *Table) explainAmong(now time.Time, candidates *[]Candidate, targets, allowed []*Target, requirements Requirements, lastResort bool) int {
	considered := 0
	for _, target := range targets {
		c := Candidate{
			ID: target.ID, FailureDomain: target.FailureDomain, Version: target.Version, InFlight: target.InFlight,
			Cost: t.cost(now, target, requirements), Excluded: t.exclusion(now, target, &requirements, lastResort),
		}
		if c.Excluded == "" && !slices.Contains(allowed, target) {
			c.Excluded = excludedVersion
		}
		if c.Excluded == "" {
			considered++
		}
		*candidates = append(*candidates, c)
	}
	return considered
}
