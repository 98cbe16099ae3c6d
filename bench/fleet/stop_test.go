package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/version"
)

// stopDuring runs stop once the caller of a long answer has some tokens, with the
// member that generates it, and returns the complete answer.
func stopDuring(t *testing.T, f *fleet.Fleet, stop func(ctx context.Context, member *fleet.Member) error) *caller.CompletionResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	ask := trialAsk()
	ask.MaxTokens = 400
	stopped := make(chan error, 1)
	var once sync.Once
	ask.OnProgress = func(seen int) {
		if seen < seenBefore {
			return
		}
		once.Do(func() {
			member := memberWithWork(f)
			go func() { stopped <- stop(ctx, member) }()
		})
	}
	answer, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(ctx, f.URL(0), ask)
	assert.NilError(t, err)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, answer.Outcome.Error, "")
	assert.NilError(t, <-stopped)
	assert.NilError(t, ctx.Err())
	return answer
}

// memberWithWork returns the member that decoded most.
func memberWithWork(f *fleet.Fleet) *fleet.Member {
	most := f.Members[0]
	for _, member := range f.Members {
		if member.Engine.Work().DecodedTokens > most.Engine.Work().DecodedTokens {
			most = member
		}
	}
	return most
}

func TestAgentStopLetsWorkFinish(t *testing.T) {
	f := startPair(t, 3, nil)
	answer := stopDuring(t, f, func(ctx context.Context, member *fleet.Member) error { return member.Agent.Stop(ctx) })
	assert.Equal(t, int(answer.Outcome.Attempts), 1)
}

func TestAgentStopMovesWork(t *testing.T) {
	f := startPair(t, 3, func(p *version.Profile) { p.Drain = version.DrainMove })
	var left *fleet.Member
	answer := stopDuring(t, f, func(ctx context.Context, member *fleet.Member) error {
		left = member
		return member.Agent.Stop(ctx)
	})
	assert.Equal(t, int(answer.Outcome.Attempts), 2)
	assert.Assert(t, memberOf(f, answer.LastEventID) != left)
}

func TestEntryStopLetsAnswersFinish(t *testing.T) {
	f := startPair(t, 3, nil)
	answer := stopDuring(t, f, func(ctx context.Context, _ *fleet.Member) error { return f.Entries[0].Stop(ctx) })
	assert.Equal(t, int(answer.Outcome.Attempts), 1)
	_, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(t.Context(), f.URL(0), trialAsk())
	assert.Assert(t, err != nil)
}

func TestEngineStopCutsOffNoAnswer(t *testing.T) {
	f := startPair(t, 3, nil)
	stopDuring(t, f, func(ctx context.Context, member *fleet.Member) error { return member.Engine.Shutdown(ctx) })
}

// A target that the host list shows as leaving gets no new work.
func TestListedLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startPair(t, 2, nil)
	leaving := f.Members[0]
	f.Hosts.SetState(leaving.Placement.Target, outside.HostLeaving)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := leaving.Engine.Work().DecodedTokens
		for range 4 {
			answer, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), trialAsk())
			assert.NilError(t, err)
			assert.Equal(t, answer.Outcome.Error, "")
		}
		if leaving.Engine.Work().DecodedTokens > before {
			return poll.Continue("the target still gets work")
		}
		return poll.Success()
	}, poll.WithTimeout(testWait), poll.WithDelay(10*time.Millisecond))
}

// Streams are given back: a link carries more requests than it may have in flight.
func TestLinkOutlivesItsStreamLimit(t *testing.T) {
	const (
		callers = 48
		each    = 100
	)
	pace := engine.DefaultConfig(salt, fleet.TrialVersion)
	pace.StepTime = time.Millisecond
	pace.StepPerSequence = 0
	pace.Batch = callers
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService, Domains: []string{"naxos"},
		Entries: 1, Engines: 1, Engine: pace,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	client := caller.New(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}})
	ask := trialAsk()
	ask.MaxTokens = 1
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range each {
				answer, err := client.Complete(ctx, f.URL(0), ask)
				if err != nil || answer.Outcome.Error != "" {
					t.Errorf("%v %+v", err, answer.Outcome)
					return
				}
			}
		})
	}
	group.Wait()
}

// A generation that nobody waits for any more is cancelled at its engine.
func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	f := startPair(t, 1, nil)
	left, leave := context.WithCancel(t.Context())
	ask := trialAsk()
	ask.MaxTokens = longAnswer
	ask.OnProgress = func(seen int) {
		if seen >= seenBefore {
			leave()
		}
	}
	_, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(left, f.URL(0), ask)
	assert.Assert(t, err != nil)
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	assert.NilError(t, f.Members[0].Agent.Stop(ctx))
	assert.NilError(t, ctx.Err())
	assert.Assert(t, f.Members[0].Engine.Work().DecodedTokens < longAnswer)
}
