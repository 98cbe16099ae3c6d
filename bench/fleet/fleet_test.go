package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

const salt = "fleet-test"

func startFleet(t *testing.T, engines int) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialDocument(),
		Service:  fleet.TrialService,
		Domains:  []string{"naxos", "paros", "syros"},
		Entries:  1,
		Engines:  engines,
		Engine:   engine.DefaultConfig(salt, fleet.TrialVersion),
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func trialRequest() caller.CompletionRequest {
	return caller.CompletionRequest{Model: fleet.TrialService, Prompt: "Λίμνη dew pond, lining of clay", MaxTokens: 60, BearerToken: fleet.TrialToken}
}

func TestCompletion_ReturnsExpectedTokens(t *testing.T) {
	f := startFleet(t, 2)
	req := trialRequest()
	resp, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), req)
	assert.NilError(t, err)
	assert.Assert(t, caller.Check(salt, fleet.TrialVersion, req, resp).OK())
	assert.Equal(t, resp.Outcome.WasRun.String(), "yes")
	assert.Equal(t, int(resp.Outcome.Attempts), 1)
}

func TestEngineKill_CompletesElsewhere(t *testing.T) {
	f := startFleet(t, 3)
	req := trialRequest()
	req.MaxTokens = 100
	time.AfterFunc(500*time.Millisecond, func() { killBusiest(f) })
	resp, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), req)
	assert.NilError(t, err)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(resp.Outcome.Attempts), 2)
}

// killBusiest kills the engine that has decoded the most tokens.
func killBusiest(f *fleet.Fleet) {
	busiest := f.Members[0]
	for _, member := range f.Members {
		if member.Engine.Work().DecodedTokens > busiest.Engine.Work().DecodedTokens {
			busiest = member
		}
	}
	busiest.Engine.Kill()
}
