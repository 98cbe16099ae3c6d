package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	service = "survey-writer"
	model   = "survey-v1"
)

var (
	start   = time.Unix(1000, 0)
	domains = []string{"naxos", "paros", "syros"}
)

func newTable(seed uint64, count int) *routing.Table {
	table := routing.NewTable(rand.New(rand.NewPCG(seed, 2)))
	for i := range count {
		target := table.Upsert(request.TargetID(fmt.Sprintf("t-%02d", i)))
		target.Service = service
		target.FailureDomain = domains[i%len(domains)]
		target.Models = []string{model}
		target.MarkUp(start.Add(-time.Hour))
		target.SetReport(start, routing.LoadReport{})
	}
	return table
}

func newRequirements(tokens int) routing.Requirements {
	return routing.Requirements{Service: service, Model: model, Tokens: tokens, FailureDomain: "elsewhere", Spread: version.SpreadPrefer}
}

// Pick returns a target of the service that is up, is not draining, has the model and
// satisfies the spread policy. It returns a target to avoid only if there is no other.
func TestPick_MeetsRequirements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "targets"))
		requirements := newRequirements(100)
		requirements.Resume = rapid.Bool().Draw(t, "resume")
		requirements.FailureDomain = rapid.SampledFrom(domains).Draw(t, "domain")
		requirements.Spread = rapid.SampledFrom([]version.SpreadPolicy{version.SpreadNone, version.SpreadPrefer, version.SpreadRequire}).Draw(t, "spread")
		for _, target := range table.Targets() {
			target.Up = rapid.Bool().Draw(t, "up")
			target.Draining = rapid.Bool().Draw(t, "leaving")
			if rapid.Bool().Draw(t, "old") {
				target.Models = []string{"survey-v0"}
			}
			if rapid.Bool().Draw(t, "avoid") {
				requirements.Avoid = append(requirements.Avoid, target.ID)
			}
		}
		allowed := func(target *routing.Target) bool {
			strict := requirements.Spread == version.SpreadRequire && !requirements.Resume
			return target.Up && !target.Draining && slices.Contains(target.Models, model) &&
				(!strict || target.FailureDomain != requirements.FailureDomain)
		}
		var free, avoided []request.TargetID
		for _, target := range table.Targets() {
			switch {
			case !allowed(target):
			case slices.Contains(requirements.Avoid, target.ID):
				avoided = append(avoided, target.ID)
			default:
				free = append(free, target.ID)
			}
		}
		picked, err := table.Pick(start, requirements)
		switch {
		case len(free) > 0:
			assert.Assert(t, slices.Contains(free, picked.ID))
		case len(avoided) > 0:
			assert.Assert(t, slices.Contains(avoided, picked.ID))
		default:
			assert.Assert(t, err != nil)
		}
	})
}

// Long generations, one in nine, do not pile up: the expected tokens on the fullest target
// exceed the mean by three long generations at most. With a random choice it is up to
// seven.
func TestPick_SpreadsLongGenerations(t *testing.T) {
	const long, short = 4000, 200
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		table := newTable(seed, 35)
		lengths := rand.New(rand.NewPCG(seed, 3))
		total := 0
		for range 35 * 20 {
			tokens := short
			if lengths.IntN(9) == 0 {
				tokens = long
			}
			total += tokens
			_, err := table.Pick(start, newRequirements(tokens))
			assert.NilError(t, err)
		}
		for _, target := range table.Targets() {
			assert.Assert(t, target.ExpectedTokens <= total/35+3*long, "%d of mean %d", target.ExpectedTokens, total/35)
		}
	})
}

// The resumes of a failed failure domain go to the other domains, and no target gets more
// than twice its part.
func TestPick_SpreadsResumesOfDownDomain(t *testing.T) {
	const resumes = 240
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), 36)
		var down []request.TargetID
		for _, target := range table.Targets() {
			if target.FailureDomain == "paros" && target.ID != "t-34" {
				target.Up = false
				down = append(down, target.ID)
			}
		}
		for i := range resumes {
			requirements := newRequirements(500)
			requirements.Resume = true
			requirements.Avoid = []request.TargetID{down[i%len(down)]}
			picked, err := table.Pick(start, requirements)
			assert.NilError(t, err)
			assert.Assert(t, picked.FailureDomain != "paros" || i >= resumes/2)
		}
		for _, target := range table.Targets() {
			assert.Assert(t, target.InFlight <= 2*resumes/24, "%s has %d", target.ID, target.InFlight)
		}
	})
}

// A target that came back gets far less than its part of the work at first.
func TestPick_SlowStartOfReturnedTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), 4)
		returned := table.Get("t-02")
		returned.MarkUp(start)
		for range 400 {
			_, err := table.Pick(start, newRequirements(200))
			assert.NilError(t, err)
		}
		assert.Assert(t, returned.InFlight > 0 && returned.InFlight < 40, "%d", returned.InFlight)
	})
}

// Prompts with a common prefix go to the target that has it cached until its load exceeds
// the bound.
func TestPick_PrefixAffinityWithinLoadBound(t *testing.T) {
	table := newTable(1, 10)
	requirements := newRequirements(100)
	note := fmt.Sprintf("%01000d", 7)
	requirements.Prefix = routing.PrefixDigests(model, note+"lining report")
	first, err := table.Pick(start, requirements)
	assert.NilError(t, err)
	requirements.Prefix = routing.PrefixDigests(model, note+"silt report")
	second, err := table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Equal(t, first.ID, second.ID)
	for range 200 {
		_, err = table.Pick(start, requirements)
		assert.NilError(t, err)
	}
	assert.Assert(t, first.InFlight < 60, "%d", first.InFlight)
}

// A report with waiting attempts reveals the capacity; targets with free slots are
// preferred.
func TestPick_PrefersTargetsWithFreeSlots(t *testing.T) {
	table := newTable(1, 3)
	for _, id := range []request.TargetID{"t-00", "t-01"} {
		table.Get(id).SetReport(start, routing.LoadReport{Attempts: 40, Running: 32, Waiting: 8, PendingTokens: 10})
	}
	counts := map[request.TargetID]int{}
	for range 30 {
		picked, err := table.Pick(start, newRequirements(10))
		assert.NilError(t, err)
		counts[picked.ID]++
	}
	assert.Assert(t, counts["t-02"] > counts["t-00"]+counts["t-01"], "%v", counts)
}

func TestPick_ErrorKind(t *testing.T) {
	table := newTable(1, 1)
	requirements := newRequirements(1)
	requirements.Model = "survey-v2"
	_, err := table.Pick(start, requirements)
	assert.Equal(t, fault.KindOf(err), fault.VersionGone)
	table.Get("t-00").Up = false
	_, err = table.Pick(start, requirements)
	assert.Equal(t, fault.KindOf(err), fault.NoTarget)
}

// BenchmarkPick measures one choice among the targets of a subset.
func BenchmarkPick(b *testing.B) {
	table := newTable(1, 100)
	requirements := newRequirements(100)
	for b.Loop() {
		target, err := table.Pick(start, requirements)
		if err != nil {
			b.Fatal(err)
		}
		table.Release(target.ID, 100)
	}
}
