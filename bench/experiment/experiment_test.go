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

func readExperimentFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "experiments", name+".json"))
	assert.NilError(t, err)
	return data
}

func TestExperimentFiles_AreValid(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 18)
	for _, path := range paths {
		kind, err := calls.ReadKind(path)
		assert.NilError(t, err)
		if kind == calls.Kind || kind == calls.CostKind {
			checkCallsExperiment(t, kind, path)
			continue
		}
		e, err := experiment.Read(path)
		assert.NilError(t, err)
		assert.Equal(t, e.Name+".json", filepath.Base(path))
		assert.Equal(t, e.ResolveDeployment().Replicas, map[string]int{"lakkos": 35, "vasilescu": 20}[e.Deployment])
		assert.Equal(t, len(e.ResolveDeployment().Domains), 3)
	}
}

// checkCallsExperiment reads an experiment with calls, whose file format differs from
// that of generations.
func checkCallsExperiment(t *testing.T, kind, path string) {
	t.Helper()
	var err error
	if kind == calls.Kind {
		_, err = calls.ReadExperiment(path)
	} else {
		_, err = calls.ReadCostExperiment(path)
	}
	assert.NilError(t, err)
}

func TestDecode_ErrorsNameField(t *testing.T) {
	valid := string(readExperimentFile(t, "lakkos-pause-return"))
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
		changed := strings.Replace(valid, test.old, test.new, 1)
		assert.Assert(t, changed != valid, test.old)
		_, err := experiment.Decode([]byte(changed))
		assert.ErrorContains(t, err, test.field)
	}
}

func TestPlan_DependsOnlyOnSeedAndLoad(t *testing.T) {
	e, err := experiment.Decode(readExperimentFile(t, "vasilescu-noisy-workspace"))
	assert.NilError(t, err)
	plan := e.Plan(0)
	assert.DeepEqual(t, plan, e.Plan(0))
	var withoutNoise []experiment.Request
	for _, request := range plan {
		if !request.Noisy {
			withoutNoise = append(withoutNoise, request)
		}
	}
	assert.Assert(t, len(withoutNoise) < len(plan))
	assert.DeepEqual(t, withoutNoise, e.ReferenceExperiment().Plan(0))
	assert.Assert(t, e.Plan(1)[0].Prompt != plan[0].Prompt)
}

// TestPlan_OffersConfiguredLoad compares the work of a plan with the capacity. It
// fails if the planner ignores the long outputs or applies bursts in the wrong
// direction.
func TestPlan_OffersConfiguredLoad(t *testing.T) {
	e, err := experiment.Decode(readExperimentFile(t, "lakkos-overload-2x"))
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
