package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
)

func kept(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "experiments", name+".json"))
	assert.NilError(t, err)
	return data
}

func TestKeptExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 18)
	for _, path := range paths {
		kind, err := calls.ReadKind(path)
		assert.NilError(t, err)
		if kind == calls.Kind || kind == calls.CostKind {
			checkCalls(t, kind, path)
			continue
		}
		e, err := experiment.Read(path)
		assert.NilError(t, err)
		assert.Equal(t, e.Name+".json", filepath.Base(path))
		assert.Equal(t, e.ResolveDeployment().Replicas, map[string]int{"lakkos": 35, "vasilescu": 20}[e.Deployment])
		assert.Equal(t, len(e.ResolveDeployment().Domains), 3)
	}
}

// checkCalls reads an experiment of calls, which has fields of its own.
func checkCalls(t *testing.T, kind, path string) {
	t.Helper()
	var err error
	if kind == calls.Kind {
		_, err = calls.ReadExperiment(path)
	} else {
		_, err = calls.ReadCostExperiment(path)
	}
	assert.NilError(t, err)
}

func TestErrorsNameTheField(t *testing.T) {
	good := string(kept(t, "lakkos-pause-return"))
	for _, test := range []struct{ old, new, field string }{
		{`"kind": "generations"`, `"kind": "walks"`, "kind:"},
		{`"deployment": "lakkos"`, `"deployment": "delos"`, "deployment:"},
		{`"load": 0.6`, `"load": 0`, "arrivals.load:"},
		{`"batch": 8`, `"batch": 0`, "engine.batch:"},
		{`"for": "1500ms"`, `"for": "0s"`, "faults[1].for:"},
		{`"type": "pause-return"`, `"type": "flood"`, "faults[0].type:"},
		{`"product"`, `"oracle"`, "variants:"},
		{`"seed": 1`, `"seeds": 1`, "seeds"},
		{`"repetitions": 1`, `"repetitions": 0`, "repetitions:"},
		{`"seed": 1`, `"seed": 1, "profile": {"hedges": "never"}`, "profile:"},
		{`"seed": 1`, `"seed": 1, "profile": {"hedge": "perhaps"}`, "hedge"},
	} {
		changed := strings.Replace(good, test.old, test.new, 1)
		assert.Assert(t, changed != good, test.old)
		_, err := experiment.Decode([]byte(changed))
		assert.ErrorContains(t, err, test.field)
	}
}

func TestPlanDependsOnlyOnSeedAndLoad(t *testing.T) {
	e, err := experiment.Decode(kept(t, "vasilescu-noisy-workspace"))
	assert.NilError(t, err)
	plan := e.Plan(0)
	assert.DeepEqual(t, plan, e.Plan(0))
	var quiet []experiment.Request
	for _, request := range plan {
		if !request.Noisy {
			quiet = append(quiet, request)
		}
	}
	assert.Assert(t, len(quiet) < len(plan))
	assert.DeepEqual(t, quiet, e.ReferenceExperiment().Plan(0))
	assert.Assert(t, e.Plan(1)[0].Prompt != plan[0].Prompt)
}

// TestPlanOffersItsLoad holds the work of a plan against the capacity. A planner
// that forgets the long answers, or the bursts in the wrong direction, fails it.
func TestPlanOffersItsLoad(t *testing.T) {
	e, err := experiment.Decode(kept(t, "lakkos-overload-2x"))
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		e.Seed = rapid.Uint64().Draw(t, "seed")
		e.Arrivals.Load = rapid.Float64Range(0.5, 3).Draw(t, "load")
		tokens := 0
		plan := e.Plan(0)
		for i, request := range plan {
			tokens += request.MaxTokens
			assert.Assert(t, i == 0 || plan[i-1].At <= request.At)
			assert.Assert(t, request.At < e.Duration.Std())
		}
		offered := float64(tokens) / (e.Rate(e.Arrivals.Load) * e.Answer.Mean() * e.Duration.Std().Seconds())
		assert.Assert(t, offered > 0.6 && offered < 1.4, "%v", offered)
	})
}
