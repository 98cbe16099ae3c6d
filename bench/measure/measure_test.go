package measure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/bench/measure"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
	"github.com/mulberrylane/mulberrylane/version"
)

const prompt = "0123456789"

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func trial() *experiment.Experiment {
	return &experiment.Experiment{
		Deployment: "vasilescu",
		Engine: experiment.EngineTiming{
			Step: version.Duration(8 * time.Millisecond), Batch: 8, PrefillPerToken: version.Duration(time.Millisecond),
		},
	}
}

// reply is an answer of six tokens: three from "a" up to 50 ms, the rest from "b"
// from 400 ms on.
func reply() *load.Result {
	version := trial().ResolveDeployment().Version
	tokens := oracle.Generate(load.Salt, version, oracle.Tokenize(prompt), 6)
	answer := &caller.CompletionResponse{
		Tokens: tokens, Text: string(request.NewDetokenizer(vocabulary.Syllables).Next(tokens)), LastEventID: "r1/b/0/6", Done: true,
		Outcome: &request.Outcome{Request: "r1", Attempts: 2, WasRun: request.RunYes},
	}
	for i, ms := range []int{30, 40, 50, 400, 410, 420} {
		target := request.TargetID("a")
		if i >= 3 {
			target = "b"
		}
		answer.Arrivals = append(answer.Arrivals, caller.Arrival{At: at(ms), Tokens: 1, Target: target})
	}
	r := &load.Result{Request: experiment.Request{Prompt: prompt, MaxTokens: 6}, IntendedStart: start, Ended: at(421), Response: answer}
	r.CompletionRequest = caller.CompletionRequest{Prompt: prompt, MaxTokens: 6}
	return r
}

// run is a run in which "a" died at 100 ms with the generation on it.
func run() *load.Run {
	lost := engine.GenerationRecord{RequestID: "r1", Arrived: at(10), Admitted: at(10), FirstToken: at(30), PromptTokens: 10, PrefillTokens: 10, DecodedTokens: 3}
	resumed := engine.GenerationRecord{RequestID: "r1", Arrived: at(150), Admitted: at(200), FirstToken: at(390), PromptTokens: 13, PrefillTokens: 13, DecodedTokens: 3, Ended: true}
	return &load.Run{
		Experiment: trial(), Variant: experiment.Product, Start: start,
		Results:     []*load.Result{reply()},
		FaultEvents: []load.FaultEvent{{At: at(100), Type: experiment.EngineDeath, Targets: []string{"a"}, Interrupted: []load.InterruptedGeneration{{Target: "a", Record: lost}}}},
		Engines:     []load.EngineRecords{{Target: "a", Records: []engine.GenerationRecord{lost}}, {Target: "b", Records: []engine.GenerationRecord{resumed}}},
	}
}

// near says that a measured time is right to the histogram's three digits.
func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want*0.998 && got < want*1.002, "got %v, want %v", got, want)
}

func TestResumeLatencyCountsFromTheFailure(t *testing.T) {
	f := measure.Analyze(run())
	assert.Equal(t, f.Resume.Interrupted, 1)
	assert.DeepEqual(t, f.Resume.Samples, []float64{300})
	near(t, f.Resume.Latency.P99, 300)
	near(t, f.Resume.LessPrefill.P99, 110)
	near(t, f.Resume.Reach.P50, 50)
	near(t, f.Resume.Queue.P50, 50)
	near(t, f.Resume.Prefill.P50, 190)
	near(t, f.Resume.Relay.P50, 10)
	near(t, f.FirstToken.P50, 30)
	assert.Equal(t, f.Complete, 1)
	assert.Equal(t, f.Useful, 1)
	assert.Equal(t, f.UsefulInTime, 0)
	assert.Equal(t, f.ChangedWithoutFault, 0)
}

func TestWorkIsHeldAgainstItsFloor(t *testing.T) {
	work := measure.Analyze(run()).Work
	// A decoded token costs 1 ms in a full batch, and so does a prefilled one.
	assert.Equal(t, work.Useful, 16.0)
	assert.Equal(t, work.Total, 29.0)
	assert.Equal(t, work.Floor, 13.0)
	assert.Equal(t, work.OverFloor, 1.0)
}

func TestTokensInFlightAtTheFailureAreNoResume(t *testing.T) {
	r := run()
	late := &r.Results[0].Response.Arrivals[2]
	late.At = at(105)
	assert.DeepEqual(t, measure.Analyze(r).Resume.Samples, []float64{300})
}

func TestGenerationThatHadMovedIsNotInterrupted(t *testing.T) {
	r := run()
	for i := range r.Results[0].Response.Arrivals {
		r.Results[0].Response.Arrivals[i].Target = "b"
	}
	assert.Equal(t, measure.Analyze(r).Resume.Interrupted, 0)
}

func TestAnswerThatStopsIsNotResumed(t *testing.T) {
	r := run()
	answer := r.Results[0].Response
	answer.Tokens, answer.Arrivals = answer.Tokens[:3], answer.Arrivals[:3]
	answer.Done, answer.Outcome = false, nil
	answer.LastEventID = "r1/a/0/3"
	f := measure.Analyze(r)
	assert.Equal(t, f.Resume.NotResumed, 1)
	assert.Equal(t, f.CutOff, 1)
	assert.Assert(t, f.Verdict.OK())
}

func TestWrongTokensAreFound(t *testing.T) {
	r := run()
	r.Results[0].Response.Tokens[4] = 7
	f := measure.Analyze(r)
	assert.Equal(t, f.Verdict.Foreign, 1)
	assert.Equal(t, f.Useful, 0)
}

func TestAttemptsChangedOnSoundTargetsAreCounted(t *testing.T) {
	r := run()
	r.FaultEvents = nil
	assert.Equal(t, measure.Analyze(r).ChangedWithoutFault, 1)
}

func TestWorkForLeavingTargetIsLateAfterTwoSeconds(t *testing.T) {
	r := run()
	r.Engines[1].DrainStarted = at(-1900)
	assert.Equal(t, measure.Analyze(r).LateWork, 1)
	r.Engines[1].DrainStarted = at(-1800)
	assert.Equal(t, measure.Analyze(r).LateWork, 0)
}

func TestRefusalsAreCountedByKind(t *testing.T) {
	r := run()
	answer := &caller.CompletionResponse{Status: 503, Outcome: &request.Outcome{Request: "r2", Error: "overloaded", WasRun: request.RunNo}}
	r.Results = append(r.Results, &load.Result{IntendedStart: start, Ended: at(7), Response: answer})
	f := measure.Analyze(r)
	assert.Equal(t, len(f.Refusals), 1)
	assert.Equal(t, f.Refusals[0].Kind, "overloaded")
	assert.Equal(t, f.Refusals[0].NotRun, 1)
	near(t, f.Refusals[0].Delay.P50, 7)
}

func TestEntryDeathIsMeasuredFromTheDeath(t *testing.T) {
	r := run()
	r.FaultEvents = []load.FaultEvent{{At: at(60), Type: experiment.EntryDeath, Entries: []int{2}}}
	r.Results[0].Disconnects = []load.Disconnect{{At: at(62), Entry: 2}}
	f := measure.Analyze(r)
	assert.Equal(t, f.Resume.Interrupted, 1)
	assert.DeepEqual(t, f.Resume.Samples, []float64{340})
	r.Results[0].Disconnects[0].Entry = 1
	assert.Equal(t, measure.Analyze(r).Resume.Interrupted, 0)
}
