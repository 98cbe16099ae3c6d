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

func need(tokens int) routing.Requirements {
	return routing.Requirements{Service: service, Model: model, Tokens: tokens, FailureDomain: "elsewhere", Spread: version.SpreadPrefer}
}

// A pick is a target of the service that is up, stays, has the model, keeps the
// spread, and is avoided only when no other is left.
func TestPickIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "targets"))
		wanted := need(100)
		wanted.Resume = rapid.Bool().Draw(t, "resume")
		wanted.FailureDomain = rapid.SampledFrom(domains).Draw(t, "domain")
		wanted.Spread = rapid.SampledFrom([]version.SpreadPolicy{version.SpreadNone, version.SpreadPrefer, version.SpreadRequire}).Draw(t, "spread")
		for _, target := range table.Targets() {
			target.Up = rapid.Bool().Draw(t, "up")
			target.Draining = rapid.Bool().Draw(t, "leaving")
			if rapid.Bool().Draw(t, "old") {
				target.Models = []string{"survey-v0"}
			}
			if rapid.Bool().Draw(t, "avoid") {
				wanted.Avoid = append(wanted.Avoid, target.ID)
			}
		}
		allowed := func(target *routing.Target) bool {
			strict := wanted.Spread == version.SpreadRequire && !wanted.Resume
			return target.Up && !target.Draining && slices.Contains(target.Models, model) &&
				(!strict || target.FailureDomain != wanted.FailureDomain)
		}
		var free, avoided []request.TargetID
		for _, target := range table.Targets() {
			switch {
			case !allowed(target):
			case slices.Contains(wanted.Avoid, target.ID):
				avoided = append(avoided, target.ID)
			default:
				free = append(free, target.ID)
			}
		}
		picked, err := table.Pick(start, wanted)
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

// Long generations, one in nine, do not pile up: the tokens on the fullest target
// stay within three long generations of the mean, of which a random choice has up to seven.
func TestLongGenerationsAreSpread(t *testing.T) {
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
			_, err := table.Pick(start, need(tokens))
			assert.NilError(t, err)
		}
		for _, target := range table.Targets() {
			assert.Assert(t, target.ExpectedTokens <= total/35+3*long, "%d of mean %d", target.ExpectedTokens, total/35)
		}
	})
}

// The resumes of a lost failure domain go to the others, none of which gets more
// than twice its part.
func TestResumesOfLostDomainAreSpread(t *testing.T) {
	const resumes = 240
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), 36)
		var lost []request.TargetID
		for _, target := range table.Targets() {
			if target.FailureDomain == "paros" && target.ID != "t-34" {
				target.Up = false
				lost = append(lost, target.ID)
			}
		}
		for i := range resumes {
			wanted := need(500)
			wanted.Resume = true
			wanted.Avoid = []request.TargetID{lost[i%len(lost)]}
			picked, err := table.Pick(start, wanted)
			assert.NilError(t, err)
			assert.Assert(t, picked.FailureDomain != "paros" || i >= resumes/2)
		}
		for _, target := range table.Targets() {
			assert.Assert(t, target.InFlight <= 2*resumes/24, "%s has %d", target.ID, target.InFlight)
		}
	})
}

// A target that came back gets far less than its part of the work at once.
func TestReturnedTargetStartsSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"), 4)
		returned := table.Get("t-02")
		returned.MarkUp(start)
		for range 400 {
			_, err := table.Pick(start, need(200))
			assert.NilError(t, err)
		}
		assert.Assert(t, returned.InFlight > 0 && returned.InFlight < 40, "%d", returned.InFlight)
	})
}

// Prompts with a common prefix go to the target that has it cached, until its
// load is over the bound.
func TestPrefixIsFollowedWithinBound(t *testing.T) {
	table := newTable(1, 10)
	wanted := need(100)
	note := fmt.Sprintf("%01000d", 7)
	wanted.Prefix = routing.PrefixDigests(model, note+"lining report")
	first, err := table.Pick(start, wanted)
	assert.NilError(t, err)
	wanted.Prefix = routing.PrefixDigests(model, note+"silt report")
	second, err := table.Pick(start, wanted)
	assert.NilError(t, err)
	assert.Equal(t, first.ID, second.ID)
	for range 200 {
		_, err = table.Pick(start, wanted)
		assert.NilError(t, err)
	}
	assert.Assert(t, first.InFlight < 60, "%d", first.InFlight)
}

// Attempts that wait beside others that run show the capacity; targets with room
// are chosen before.
func TestFullTargetIsLeftAlone(t *testing.T) {
	table := newTable(1, 3)
	for _, id := range []request.TargetID{"t-00", "t-01"} {
		table.Get(id).SetReport(start, routing.LoadReport{Attempts: 40, Running: 32, Waiting: 8, PendingTokens: 10})
	}
	counts := map[request.TargetID]int{}
	for range 30 {
		picked, err := table.Pick(start, need(10))
		assert.NilError(t, err)
		counts[picked.ID]++
	}
	assert.Assert(t, counts["t-02"] > counts["t-00"]+counts["t-01"], "%v", counts)
}

func TestKindOfEmptyChoice(t *testing.T) {
	table := newTable(1, 1)
	wanted := need(1)
	wanted.Model = "survey-v2"
	_, err := table.Pick(start, wanted)
	assert.Equal(t, fault.KindOf(err), fault.VersionGone)
	table.Get("t-00").Up = false
	_, err = table.Pick(start, wanted)
	assert.Equal(t, fault.KindOf(err), fault.NoTarget)
}

// BenchmarkPick measures one choice among the targets of a subset.
func BenchmarkPick(b *testing.B) {
	table := newTable(1, 100)
	wanted := need(100)
	for b.Loop() {
		picked, err := table.Pick(start, wanted)
		if err != nil {
			b.Fatal(err)
		}
		table.Release(picked.ID, 100)
	}
}
