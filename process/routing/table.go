// Package routing is the deciding core that chooses the target of an attempt. It
// does no I/O, has no goroutine, and is given the time and its source of chance.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

// Target is what a process knows of one target.
type Target struct {
	ID            request.TargetID
	Service       string
	FailureDomain string
	Incarnation   request.Incarnation
	// Up says that there is a link and the target is trusted.
	Up bool
	// Draining says that the target takes no new work.
	Draining bool
	// InFlight counts the attempts this process has running there.
	InFlight int
	// ExpectedTokens counts the tokens that those attempts may still generate.
	ExpectedTokens int
	// LoadReport is the target's last report, made at Reported.
	Report   LoadReport
	Reported time.Time
	// Models lists what is loaded.
	Models []string
	// InUse lists models of running generations that are no longer declared, and
	// Role is the role of the engine where one is declared.
	InUse []string
	Role  string

	// capacity is how many attempts run at once there, zero while unknown.
	capacity int
	// since is when the target came or came back.
	since time.Time
	// inFlightThen and expectedThen are InFlight and Expected at Reported.
	inFlightThen, expectedThen int
	prefixes                   *prefixMemory
}

// LoadReport is the load of a target over all entries, as its agent gives it.
type LoadReport struct {
	// Attempts counts the attempts at the agent, Pending the tokens they may
	// still generate.
	Attempts, PendingTokens int
	// Running and Waiting are the engine's own figures; they lag further.
	Running, Waiting int
}

// Requirements describes the attempt that a target is wanted for.
type Requirements struct {
	Service string
	// Model is the model version or adapter; empty for application services.
	Model string
	// Avoid lists targets that are used only when there is no other.
	Avoid []request.TargetID
	// FailureDomain is that of the process, kept apart from the target as Spread says.
	FailureDomain string
	Spread        version.SpreadPolicy
	// Resume says that the answer already has tokens.
	Resume bool
	// Tokens bounds the tokens still to be generated.
	Tokens int
	// Prefix holds the digests of the prompt's blocks.
	Prefix []uint64
}

// Table holds the targets of all services.
type Table struct {
	targets map[request.TargetID]*Target
	order   []request.TargetID
	random  *rand.Rand
	// entries is how many entries share the targets.
	entries int
}

// NewTable returns an empty table that draws from random.
func NewTable(random *rand.Rand) *Table {
	return &Table{targets: map[request.TargetID]*Target{}, random: random, entries: 1}
}

// SetEntryCount tells how many entries share the targets, this one included.
func (t *Table) SetEntryCount(entries int) { t.entries = max(1, entries) }

// Upsert returns the target with the given id, added when it is new.
func (t *Table) Upsert(id request.TargetID) *Target {
	if target, ok := t.targets[id]; ok {
		return target
	}
	target := &Target{ID: id, prefixes: newPrefixMemory()}
	t.targets[id] = target
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, at, id)
	return target
}

// Remove forgets a target.
func (t *Table) Remove(id request.TargetID) {
	delete(t.targets, id)
	if at, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// Get returns a target, or nil.
func (t *Table) Get(id request.TargetID) *Target { return t.targets[id] }

// Targets returns all targets in order of their ids.
func (t *Table) Targets() []*Target {
	list := make([]*Target, 0, len(t.order))
	for _, id := range t.order {
		list = append(list, t.targets[id])
	}
	return list
}

// MarkUp notes that a target came up at now: its caches are taken to be empty
// and it gets its share of the work over slowStart.
func (t *Target) MarkUp(now time.Time) {
	t.Up = true
	t.since = now
	t.prefixes = newPrefixMemory()
}

// SetReport notes a report made at the instant at. Attempts that run while others
// wait show how many the target runs at once.
func (t *Target) SetReport(at time.Time, report LoadReport) {
	t.Report = report
	t.Reported = at
	t.inFlightThen = t.InFlight
	t.expectedThen = t.ExpectedTokens
	switch {
	case report.Waiting > 0 && report.Running > 0:
		t.capacity = report.Running
	case t.capacity > 0 && report.Running > t.capacity:
		t.capacity = report.Running
	}
}

// attempts estimates how many attempts of all entries are on the target.
func (t *Target) attempts() int {
	return max(t.InFlight, t.Report.Attempts+t.InFlight-t.inFlightThen)
}

// Pick chooses a target for need and counts the attempt in flight there; Release
// ends that. The error has kind VersionGone when targets are up but none has the
// model, else NoTarget.
func (t *Table) Pick(now time.Time, need Requirements) (*Target, error) {
	candidates, kind := t.candidates(need)
	if len(candidates) == 0 {
		return nil, fault.New(kind, "no target of %s can take the request", need.Service)
	}
	chosen := t.choose(now, candidates, need)
	chosen.InFlight++
	chosen.ExpectedTokens += need.Tokens
	chosen.prefixes.add(need.Prefix)
	return chosen, nil
}

// candidates returns the targets that may take need, those to avoid only when
// there is no other. A strict spread binds new answers, not resumes: an answer
// that a caller has begun to read is not given up for it.
func (t *Table) candidates(need Requirements) ([]*Target, fault.Kind) {
	var apart, avoided []*Target
	kind := fault.NoTarget
	for _, id := range t.order {
		target := t.targets[id]
		switch {
		case target.Service != need.Service || !target.Up || target.Draining:
		case need.Model != "" && !slices.Contains(target.Models, need.Model):
			kind = fault.VersionGone
		case need.Spread == version.SpreadRequire && !need.Resume && target.FailureDomain == need.FailureDomain:
		case slices.Contains(need.Avoid, id):
			avoided = append(avoided, target)
		default:
			apart = append(apart, target)
		}
	}
	if len(apart) == 0 {
		return avoided, kind
	}
	return apart, kind
}

// HasCandidates says whether any target may take need, however busy.
func (t *Table) HasCandidates(need Requirements) bool {
	candidates, _ := t.candidates(need)
	return len(candidates) > 0
}

// Unlimited is the room of a service whose targets have never made an attempt wait.
const Unlimited = 1 << 20

// FreeSlots returns how many more attempts the targets of a service can run at once.
func (t *Table) FreeSlots(now time.Time, service string) int {
	total := 0
	for _, id := range t.order {
		target := t.targets[id]
		if target.Service == service && target.Up && !target.Draining {
			total += t.room(now, target)
		}
	}
	return min(total, Unlimited)
}

// room returns how many more attempts of this process a target has room for. Each
// entry may use its part of the capacity whatever the others do, so that one with
// a long queue does not shut out another.
func (t *Table) room(now time.Time, target *Target) int {
	if target.capacity == 0 {
		return Unlimited
	}
	capacity := int(float64(target.capacity)*target.share(now)) + capacitySlack
	part := (capacity + t.entries - 1) / t.entries
	return max(0, capacity-target.attempts(), part-target.InFlight)
}

// Release notes that an attempt at the target is over, which might still have
// generated left tokens.
func (t *Table) Release(id request.TargetID, left int) {
	target, ok := t.targets[id]
	if !ok || target.InFlight == 0 {
		return
	}
	target.InFlight--
	target.ExpectedTokens = max(0, target.ExpectedTokens-left)
	if target.InFlight == 0 {
		target.ExpectedTokens = 0
	}
}

// RecordTokens notes that attempts at the target generated tokens.
func (t *Table) RecordTokens(id request.TargetID, tokens int) {
	if target, ok := t.targets[id]; ok {
		target.ExpectedTokens = max(0, target.ExpectedTokens-tokens)
	}
}
