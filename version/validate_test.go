package version_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/version"
)

func validDocument() version.Document {
	second := version.Duration(time.Second)
	return version.Document{
		Regions: map[string]version.Region{"aegean": {FailureDomains: []string{"naxos"}}},
		Profiles: map[string]version.Profile{"quick": {
			Deadline: 60 * second, FirstTokenWithin: 5 * second, ResumeWithin: 3 * second,
			SuspectAfter: version.Bounds{Min: second / 5, Max: second}, Hedge: version.HedgeNever,
			RetryBudget: 0.1, Overload: version.OverloadQueue, Spread: version.SpreadPrefer,
			Drain: version.DrainFinish, StaleConfiguration: version.StaleServe,
		}},
		Services: map[string]version.Service{"lm": {
			Kind: version.ModelService, Profile: "quick", Replicas: 3, Regions: []string{"aegean"},
			Model: &version.Model{Version: "v1", Vocabulary: "syllables", MaxTokens: 10, MinReplicas: 2},
		}},
		Workspaces: map[string]version.Workspace{"crew": {Share: 1, TokenDigests: []string{version.TokenDigest("a")}}},
	}
}

func TestValidate_AcceptsValidDocument(t *testing.T) {
	assert.NilError(t, version.Validate(validDocument()).Err())
}

func TestValidate_ReportsEveryProblem(t *testing.T) {
	document := validDocument()
	service := document.Services["lm"]
	service.Profile = "gone"
	service.Regions = []string{"nowhere"}
	service.Model = &version.Model{Version: "v1", MaxTokens: 10, MinReplicas: 3, Adapters: []string{"a", "a"}}
	document.Services["lm"] = service
	profile := document.Profiles["quick"]
	profile.Hedge = "always"
	profile.StaleConfiguration = version.StaleRefuse
	profile.RetryBudget = 2
	document.Profiles["quick"] = profile
	document.Workspaces["crew-2"] = document.Workspaces["crew"]
	document.Draining = map[string]version.Drain{"lm-1": {}}
	var paths []string
	for _, problem := range version.Validate(document) {
		paths = append(paths, problem.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"profiles.quick.hedge", "profiles.quick.retryBudget", "profiles.quick.staleAfter",
		"services.lm.profile", "services.lm.regions[0]", "services.lm.model.vocabulary",
		"services.lm.model.minReplicas", "services.lm.model.adapters[1]",
		"workspaces.crew-2.tokenDigests[0]", "draining.lm-1.reason",
	})
}

func TestDecode_ReportsEveryViolation(t *testing.T) {
	_, problems := version.Decode([]byte(`{
		"profiles": {"quick": {"deadline": 3, "hedg": "never", "queue": 1.5}},
		"services": {"a": {"kind": "model", "kind": "model"}, "b": []},
		"workspaces": {"w": {"share": "x", "tokenDigests": {}}}
	}`))
	lines := strings.Split(problems.Error(), "\n")
	assert.DeepEqual(t, lines, []string{
		`profiles.quick.deadline: a duration is a string such as "250ms" or "3s"`,
		"profiles.quick.hedg: is not a known field",
		"profiles.quick.queue: is a number 1.5, must be a whole number",
		"services.a.kind: is given twice",
		"services.b: must be an object",
		"workspaces.w.share: is a string, must be a whole number",
		"workspaces.w.tokenDigests: must be a list",
	})
}

func TestDecode_ReportsLineOfSyntaxError(t *testing.T) {
	_, problems := version.Decode([]byte("{\n\"services\": {,}}"))
	assert.ErrorContains(t, problems.Err(), "$: line 2: ")
}
