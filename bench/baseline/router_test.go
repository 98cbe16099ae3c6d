package baseline_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/bench/baseline"
	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

const (
	salt  = "baseline-test"
	model = "trial-lm-v1"
)

func TestEngineKill_EveryPolicyCompletes(t *testing.T) {
	for _, policy := range []baseline.Policy{
		{Strategy: baseline.Random},
		{Strategy: baseline.RoundRobin},
		{Strategy: baseline.LeastInFlight, RerunFromPrompt: true},
	} {
		policy.TokenTimeout, policy.FirstTokenTimeout, policy.MaxAttempts = 30*time.Second, 30*time.Second, 20
		t.Run(string(policy.Strategy), func(t *testing.T) { testEngineKill(t, policy) })
	}
}

// testEngineKill kills the engine that generates the output of the only request.
func testEngineKill(t *testing.T, policy baseline.Policy) {
	engines := make([]*engine.Server, 2)
	targets := make([]baseline.Target, 2)
	for i := range engines {
		config := engine.DefaultConfig(salt, model)
		config.StepTime = 5 * time.Millisecond
		config.KeepRecords = true
		server, err := engine.Serve(config, "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(server.Kill)
		engines[i], targets[i] = server, baseline.Target{Name: string(rune('a' + i)), URL: server.URL()}
	}
	router, err := baseline.Start(policy, model, 1, func() []baseline.Target { return targets })
	assert.NilError(t, err)
	t.Cleanup(router.Kill)
	req := caller.CompletionRequest{Prompt: "a long survey of the dew pond", MaxTokens: 400}
	done := make(chan *caller.CompletionResponse, 1)
	go func() {
		resp, _ := caller.New(http.DefaultClient).Complete(t.Context(), router.URL(), req)
		done <- resp
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, server := range engines {
			if server.Work().DecodedTokens > 10 {
				server.Kill()
				return poll.Success()
			}
		}
		return poll.Continue("no engine is decoding yet")
	}, poll.WithTimeout(30*time.Second))
	resp := <-done
	verdict := caller.Check(salt, model, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(resp.Outcome.Attempts), 2)
}
