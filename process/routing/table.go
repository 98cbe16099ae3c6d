// Package routing chooses the target of an attempt. It does no I/O and starts no goroutine;
// the caller passes in the time and the source of random numbers.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

// Target is the state of one target as this process knows it.
type Target struct {
	ID            request.TargetID
	Service       string
	FailureDomain string
	Incarnation   request.Incarnation
	// Up reports whether there is a link and the target is not down.
	Up bool
	// Draining reports whether the target takes no new work.
	Draining bool
	// InFlight counts the attempts this process has running there.
	InFlight int
	// ExpectedTokens counts the tokens that those attempts may still generate.
	ExpectedTokens int
	// Report is the target's last load report, made at Reported.
	Report   LoadReport
	Reported time.Time
	// Models lists the loaded models.
	Models []string
	// InUse lists the models of running generations that are no longer declared. Role is
	// the role that the engine reports; it is known while the configuration declares one.
	InUse []string
	Role  string

	// capacity is how many attempts the target runs at once, zero while unknown.
	capacity int
	// upSince is when the target last came up.
	upSince time.Time
	// inFlightAtReport and expectedTokensAtReport are InFlight and ExpectedTokens at
	// Reported.
	inFlightAtReport, expectedTokensAtReport int
	prefixes                                 *prefixHistory
}

// LoadReport is the load of a target over all entries, as its agent reports it.
type LoadReport struct {
	// Attempts counts the attempts at the agent, PendingTokens the tokens that they may
	// still generate.
	Attempts, PendingTokens int
	// Running and Waiting are the engine's own counts; they lag further behind.
	Running, Waiting int
}

// Requirements describes what an attempt requires of a target.
type Requirements struct {
	Service string
	// Model is the model version or adapter; empty for application services.
	Model string
	// Avoid lists targets that are chosen only when no other is available.
	Avoid []request.TargetID
	// FailureDomain is the process's own failure domain; Spread determines whether the
	// target may be in the same one.
	FailureDomain string
	Spread        version.SpreadPolicy
	// Resume reports whether the request already has output.
	Resume bool
	// Tokens is the maximum number of tokens still to be generated.
	Tokens int
	// Prefix holds the digests of the prompt's blocks.
	Prefix []uint64
}

// Table holds the targets of all services.
type Table struct {
	targets map[request.TargetID]*Target
	order   []request.TargetID
	random  *rand.Rand
	// entryCount is how many entries share the targets.
	entryCount int
}

// NewTable returns an empty table that takes its random numbers from random.
func NewTable(random *rand.Rand) *Table {
	return &Table{targets: map[request.TargetID]*Target{}, random: random, entryCount: 1}
}

// SetEntryCount sets how many entries share the targets, this one included.
func (t *Table) SetEntryCount(entries int) { t.entryCount = max(1, entries) }

// Upsert returns the target with the given ID and adds it if it is new.
func (t *Table) Upsert(id request.TargetID) *Target {
	if target, ok := t.targets[id]; ok {
		return target
	}
	target := &Target{ID: id, prefixes: newPrefixHistory()}
	t.targets[id] = target
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, at, id)
	return target
}

// Remove removes a target from the table.
func (t *Table) Remove(id request.TargetID) {
	delete(t.targets, id)
	if at, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// Get returns a target, or nil.
func (t *Table) Get(id request.TargetID) *Target { return t.targets[id] }

// Targets returns all targets ordered by ID.
func (t *Table) Targets() []*Target {
	list := make([]*Target, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, t.targets[id])
	}
	return list
}

// MarkUp records that a target came up at now: its caches are assumed to be empty, and its
// share of the work grows to the full share over slowStartPeriod.
func (t *Target) MarkUp(now time.Time) {
	t.Up = true
	t.upSince = now
	t.prefixes = newPrefixHistory()
}

// SetReport records a report made at the given time. If attempts wait, the number that are
// running is taken as the target's capacity.
func (t *Target) SetReport(at time.Time, report LoadReport) {
	t.Report = report
	t.Reported = at
	t.inFlightAtReport = t.InFlight
	t.expectedTokensAtReport = t.ExpectedTokens
	switch {
	case report.Waiting > 0 && report.Running > 0:
		t.capacity = report.Running
	case t.capacity > 0 && report.Running > t.capacity:
		t.capacity = report.Running
	}
}

// estimatedAttempts estimates how many attempts of all entries are at the target.
func (t *Target) estimatedAttempts() int {
	return max(t.InFlight, t.Report.Attempts+t.InFlight-t.inFlightAtReport)
}

// Pick chooses a target and counts the attempt as in flight there until Release. The error
// has kind VersionGone if targets are up but none has the model, otherwise NoTarget.
func (t *Table) Pick(now time.Time, requirements Requirements) (*Target, error) {
	candidates, kind := t.candidates(requirements)
	if len(candidates) == 0 {
		return nil, fault.New(kind, "no target of %s can take the request", requirements.Service)
	}
	chosen := t.choose(now, candidates, requirements)
	chosen.InFlight++
	chosen.ExpectedTokens += requirements.Tokens
	chosen.prefixes.add(requirements.Prefix)
	return chosen, nil
}

// candidates returns the targets that meet the requirements, those to avoid only if there
// is no other. SpreadRequire applies to new requests and not to resumes: a stream that a
// caller has begun to read is not failed for it.
func (t *Table) candidates(requirements Requirements) ([]*Target, fault.Kind) {
	var preferred, avoided []*Target
	kind := fault.NoTarget
	for _, id := range t.order {
		target := t.targets[id]
		switch {
		case target.Service != requirements.Service || !target.Up || target.Draining:
		case requirements.Model != "" && !slices.Contains(target.Models, requirements.Model):
			kind = fault.VersionGone
		case requirements.Spread == version.SpreadRequire && !requirements.Resume && target.FailureDomain == requirements.FailureDomain:
		case slices.Contains(requirements.Avoid, id):
			avoided = append(avoided, target)
		default:
			preferred = append(preferred, target)
		}
	}
	if len(preferred) == 0 {
		return avoided, kind
	}
	return preferred, kind
}

// HasCandidates reports whether any target meets the requirements, however busy it is.
func (t *Table) HasCandidates(requirements Requirements) bool {
	candidates, _ := t.candidates(requirements)
	return len(candidates) > 0
}

// Unlimited is the number of free slots of a service whose targets have never made an
// attempt wait.
const Unlimited = 1 << 20

// FreeSlots returns how many more attempts the targets of a service can run at once.
func (t *Table) FreeSlots(now time.Time, service string) int {
	total := 0
	for _, id := range t.order {
		target := t.targets[id]
		if target.Service == service && target.Up && !target.Draining {
			total += t.targetFreeSlots(now, target)
		}
	}
	return min(total, Unlimited)
}

// targetFreeSlots returns how many more attempts of this process a target has slots for.
// Each entry may always use its part of the capacity, so that an entry with a long queue
// does not starve another.
func (t *Table) targetFreeSlots(now time.Time, target *Target) int {
	if target.capacity == 0 {
		return Unlimited
	}
	capacity := int(float64(target.capacity)*target.slowStartShare(now)) + queueAllowance
	entryShare := (capacity + t.entryCount - 1) / t.entryCount
	return max(0, capacity-target.estimatedAttempts(), entryShare-target.InFlight)
}

// Release records that an attempt at the target has ended; tokensLeft is how many of its
// expected tokens it did not generate.
func (t *Table) Release(id request.TargetID, tokensLeft int) {
	target, ok := t.targets[id]
	if !ok || target.InFlight == 0 {
		return
	}
	target.InFlight--
	target.ExpectedTokens = max(0, target.ExpectedTokens-tokensLeft)
	if target.InFlight == 0 {
		target.ExpectedTokens = 0
	}
}

// RecordTokens records that attempts at the target generated tokens.
func (t *Table) RecordTokens(id request.TargetID, tokens int) {
	if target, ok := t.targets[id]; ok {
		target.ExpectedTokens = max(0, target.ExpectedTokens-tokens)
	}
}
