package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/version"
)

func startRelayedFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.KeepRecords = true
	f, err := fleet.Start(ctx, fleet.Layout{
		Document:       fleet.TrialDocument(),
		Service:        fleet.TrialService,
		Domains:        []string{"naxos", "paros", "syros"},
		Entries:        1,
		Engines:        3,
		Engine:         config,
		RelayedEngines: []int{0, 1, 2},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

// awaitDecodingIndex waits until a generation has produced its first token and
// returns the index of its member.
func awaitDecodingIndex(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	index := -1
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, member := range f.CurrentMembers() {
			for _, record := range member.Engine.ActiveRecords() {
				if record.DecodedTokens > 0 {
					index = i
					return poll.Success()
				}
			}
		}
		return poll.Continue("no generation is decoding yet")
	}, poll.WithTimeout(30*time.Second))
	return index
}

// startCompletion sends req to entry 0 in the background and delivers the response on
// the returned channel.
func startCompletion(t *testing.T, f *fleet.Fleet, req caller.CompletionRequest) <-chan *caller.CompletionResponse {
	t.Helper()
	done := make(chan *caller.CompletionResponse, 1)
	go func() {
		resp, _ := caller.New(http.DefaultClient).Complete(context.Background(), f.URL(0), req)
		done <- resp
	}()
	return done
}

func TestSilentHost_CompletesElsewhere(t *testing.T) {
	f := startRelayedFleet(t)
	req := trialRequest()
	req.MaxTokens = 150
	done := startCompletion(t, f, req)
	f.SilenceHost(awaitDecodingIndex(t, f), true)
	resp := <-done
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
}

func TestRestart_CompletesRunningRequest(t *testing.T) {
	f := startRelayedFleet(t)
	req := trialRequest()
	req.MaxTokens = 100
	done := startCompletion(t, f, req)
	index := awaitDecodingIndex(t, f)
	old, err := f.Restart(t.Context(), index)
	assert.NilError(t, err)
	resp := <-done
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Assert(t, old.Placement.AgentAddress != f.CurrentMembers()[index].Placement.AgentAddress)
}

// TestPausedEngine_CancelsMovedGeneration pauses an engine until its generation has
// moved to the other engine. Once it runs again it must cancel the generation, whose
// output nobody reads any more.
func TestPausedEngine_CancelsMovedGeneration(t *testing.T) {
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.KeepRecords = true
	document := fleet.TrialDocument()
	profile := document.Profiles[fleet.TrialProfile]
	profile.Hedge = version.HedgeNever
	document.Profiles[fleet.TrialProfile] = profile
	startCtx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := fleet.Start(startCtx, fleet.Layout{
		Document: document, Service: fleet.TrialService, Domains: []string{"naxos", "paros"},
		Entries: 1, Engines: 2, Engine: config,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	req := trialRequest()
	req.MaxTokens = 8000
	callerCtx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	go func() { _, _ = caller.New(http.DefaultClient).Complete(callerCtx, f.URL(0), req) }()
	paused := awaitDecodingIndex(t, f)
	pausedEngine, otherEngine := f.Members[paused].Engine, f.Members[1-paused].Engine
	pausedEngine.SetFaults(engine.Faults{Pause: true})
	await(t, "the generation runs on the other engine", func() bool { return len(otherEngine.ActiveRecords()) > 0 })
	pausedEngine.SetFaults(engine.Faults{})
	await(t, "the paused engine cancels the generation", func() bool { return len(pausedEngine.ActiveRecords()) == 0 })
	assert.Assert(t, pausedEngine.Records()[0].DecodedTokens < req.MaxTokens)
}
