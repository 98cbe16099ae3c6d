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

func testExperiment() *experiment.Experiment {
	return &experiment.Experiment{
		Deployment: "vasilescu",
		Engine: experiment.EngineTiming{
			Step: version.Duration(8 * time.Millisecond), Batch: 8, PrefillPerToken: version.Duration(time.Millisecond),
		},
	}
}

// testResult returns the result of a request with six output tokens: three from "a"
// up to 50 ms, the rest from "b" from 400 ms on.
func testResult() *load.Result {
	version := testExperiment().ResolveDeployment().Version
	tokens := oracle.Generate(load.Salt, version, oracle.Tokenize(prompt), 6)
	resp := &caller.CompletionResponse{
		Tokens: tokens, Text: string(request.NewDetokenizer(vocabulary.Syllables).Next(tokens)), LastEventID: "r1/b/0/6", Done: true,
		Outcome: &request.Outcome{Request: "r1", Attempts: 2, WasRun: request.RunYes},
	}
	for i, ms := range []int{30, 40, 50, 400, 410, 420} {
		target := request.TargetID("a")
		if i >= 3 {
			target = "b"
		}
		resp.Arrivals = append(resp.Arrivals, caller.Arrival{At: at(ms), Tokens: 1, Target: target})
	}
	r := &load.Result{Request: experiment.Request{Prompt: prompt, MaxTokens: 6}, IntendedStart: start, Ended: at(421), Response: resp}
	r.CompletionRequest = caller.CompletionRequest{Prompt: prompt, MaxTokens: 6}
	return r
}

// testRun returns a run in which target "a" died at 100 ms while generating the
// output.
func testRun() *load.Run {
	interrupted := engine.GenerationRecord{RequestID: "r1", Arrived: at(10), Admitted: at(10), FirstToken: at(30), PromptTokens: 10, PrefillTokens: 10, DecodedTokens: 3}
	resumed := engine.GenerationRecord{RequestID: "r1", Arrived: at(150), Admitted: at(200), FirstToken: at(390), PromptTokens: 13, PrefillTokens: 13, DecodedTokens: 3, Ended: true}
	return &load.Run{
		Experiment: testExperiment(), Variant: experiment.Product, Start: start,
		Results:     []*load.Result{testResult()},
		FaultEvents: []load.FaultEvent{{At: at(100), Type: experiment.EngineDeath, Targets: []string{"a"}, Interrupted: []load.InterruptedGeneration{{Target: "a", Record: interrupted}}}},
		Engines:     []load.EngineRecords{{Target: "a", Records: []engine.GenerationRecord{interrupted}}, {Target: "b", Records: []engine.GenerationRecord{resumed}}},
	}
}

// assertNear asserts that a measured time equals want to within the histogram's
// precision of three significant digits.
func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want*0.998 && got < want*1.002, "got %v, want %v", got, want)
}

func TestResumeLatency_StartsAtFailure(t *testing.T) {
	metrics := measure.Analyze(testRun())
	assert.Equal(t, metrics.Resume.Interrupted, 1)
	assert.DeepEqual(t, metrics.Resume.Samples, []float64{300})
	assertNear(t, metrics.Resume.Latency.P99, 300)
	assertNear(t, metrics.Resume.LessPrefill.P99, 110)
	assertNear(t, metrics.Resume.Reach.P50, 50)
	assertNear(t, metrics.Resume.Queue.P50, 50)
	assertNear(t, metrics.Resume.Prefill.P50, 190)
	assertNear(t, metrics.Resume.Relay.P50, 10)
	assertNear(t, metrics.FirstToken.P50, 30)
	assert.Equal(t, metrics.Complete, 1)
	assert.Equal(t, metrics.Useful, 1)
	assert.Equal(t, metrics.UsefulInTime, 0)
	assert.Equal(t, metrics.ChangedWithoutFault, 0)
}

func TestWork_ComparedWithFloor(t *testing.T) {
	work := measure.Analyze(testRun()).Work
	// A decoded token costs 1 ms in a full batch, and so does a prefilled one.
	assert.Equal(t, work.Useful, 16.0)
	assert.Equal(t, work.Total, 29.0)
	assert.Equal(t, work.Floor, 13.0)
	assert.Equal(t, work.OverFloor, 1.0)
}

func TestResumeLatency_IgnoresTokensInFlight(t *testing.T) {
	r := testRun()
	thirdArrival := &r.Results[0].Response.Arrivals[2]
	thirdArrival.At = at(105)
	assert.DeepEqual(t, measure.Analyze(r).Resume.Samples, []float64{300})
}

func TestResume_IgnoresGenerationMovedBeforeFault(t *testing.T) {
	r := testRun()
	for i := range r.Results[0].Response.Arrivals {
		r.Results[0].Response.Arrivals[i].Target = "b"
	}
	assert.Equal(t, measure.Analyze(r).Resume.Interrupted, 0)
}

func TestTruncatedResponse_CountsAsNotResumed(t *testing.T) {
	r := testRun()
	resp := r.Results[0].Response
	resp.Tokens, resp.Arrivals = resp.Tokens[:3], resp.Arrivals[:3]
	resp.Done, resp.Outcome = false, nil
	resp.LastEventID = "r1/a/0/3"
	metrics := measure.Analyze(r)
	assert.Equal(t, metrics.Resume.NotResumed, 1)
	assert.Equal(t, metrics.CutOff, 1)
	assert.Assert(t, metrics.Verdict.OK())
}

func TestVerdict_CountsForeignTokens(t *testing.T) {
	r := testRun()
	r.Results[0].Response.Tokens[4] = 7
	metrics := measure.Analyze(r)
	assert.Equal(t, metrics.Verdict.Foreign, 1)
	assert.Equal(t, metrics.Useful, 0)
}

func TestChangedWithoutFault_CountsExtraAttempts(t *testing.T) {
	r := testRun()
	r.FaultEvents = nil
	assert.Equal(t, measure.Analyze(r).ChangedWithoutFault, 1)
}

func TestLateWork_StartsTwoSecondsAfterDrain(t *testing.T) {
	r := testRun()
	r.Engines[1].DrainStarted = at(-1900)
	assert.Equal(t, measure.Analyze(r).LateWork, 1)
	r.Engines[1].DrainStarted = at(-1800)
	assert.Equal(t, measure.Analyze(r).LateWork, 0)
}

func TestRefusals_CountedByKind(t *testing.T) {
	r := testRun()
	resp := &caller.CompletionResponse{Status: 503, Outcome: &request.Outcome{Request: "r2", Error: "overloaded", WasRun: request.RunNo}}
	r.Results = append(r.Results, &load.Result{IntendedStart: start, Ended: at(7), Response: resp})
	metrics := measure.Analyze(r)
	assert.Equal(t, len(metrics.Refusals), 1)
	assert.Equal(t, metrics.Refusals[0].Kind, "overloaded")
	assert.Equal(t, metrics.Refusals[0].NotRun, 1)
	assertNear(t, metrics.Refusals[0].Delay.P50, 7)
}

func TestEntryDeath_ResumeLatencyStartsAtDeath(t *testing.T) {
	r := testRun()
	r.FaultEvents = []load.FaultEvent{{At: at(60), Type: experiment.EntryDeath, Entries: []int{2}}}
	r.Results[0].Disconnects = []load.Disconnect{{At: at(62), Entry: 2}}
	metrics := measure.Analyze(r)
	assert.Equal(t, metrics.Resume.Interrupted, 1)
	assert.DeepEqual(t, metrics.Resume.Samples, []float64{340})
	r.Results[0].Disconnects[0].Entry = 1
	assert.Equal(t, measure.Analyze(r).Resume.Interrupted, 0)
}
