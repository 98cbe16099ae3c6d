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

func startRelayed(t *testing.T) *fleet.Fleet {
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

// awaitRunning waits for a generation past its first token and returns its place.
func awaitRunning(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	place := -1
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, member := range f.CurrentMembers() {
			for _, record := range member.Engine.ActiveRecords() {
				if record.DecodedTokens > 0 {
					place = i
					return poll.Success()
				}
			}
		}
		return poll.Continue("no generation runs")
	}, poll.WithTimeout(30*time.Second))
	return place
}

// complete asks for a long answer and hands over what came of it.
func complete(t *testing.T, f *fleet.Fleet, ask caller.CompletionRequest) <-chan *caller.CompletionResponse {
	t.Helper()
	done := make(chan *caller.CompletionResponse, 1)
	go func() {
		answer, _ := caller.New(http.DefaultClient).Complete(context.Background(), f.URL(0), ask)
		done <- answer
	}()
	return done
}

func TestAnswerSurvivesSilentHost(t *testing.T) {
	f := startRelayed(t)
	ask := trialAsk()
	ask.MaxTokens = 150
	done := complete(t, f, ask)
	f.SilenceHost(awaitRunning(t, f), true)
	answer := <-done
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
}

func TestRestartCutsOffNothing(t *testing.T) {
	f := startRelayed(t)
	ask := trialAsk()
	ask.MaxTokens = 100
	done := complete(t, f, ask)
	place := awaitRunning(t, f)
	old, err := f.Restart(t.Context(), place)
	assert.NilError(t, err)
	answer := <-done
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Assert(t, old.Placement.AgentAddress != f.CurrentMembers()[place].Placement.AgentAddress)
}

// TestPausedEngineDropsWhatMovedAway has an engine pause until its generation goes
// on elsewhere, and return: it must not go on with it for nobody.
func TestPausedEngineDropsWhatMovedAway(t *testing.T) {
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
	ask := trialAsk()
	ask.MaxTokens = 8000
	callerCtx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() { _, _ = caller.New(http.DefaultClient).Complete(callerCtx, f.URL(0), ask) }()
	paused := awaitRunning(t, f)
	first, second := f.Members[paused].Engine, f.Members[1-paused].Engine
	first.SetFaults(engine.Faults{Pause: true})
	await(t, "the generation goes on elsewhere", func() bool { return len(second.ActiveRecords()) > 0 })
	first.SetFaults(engine.Faults{})
	await(t, "the paused engine drops it", func() bool { return len(first.ActiveRecords()) == 0 })
	assert.Assert(t, first.Records()[0].DecodedTokens < ask.MaxTokens)
}
