package fleet_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// pending is an answer that is still coming.
type pending struct {
	ask    caller.CompletionRequest
	answer *caller.CompletionResponse
	err    error
	done   chan struct{}
}

func begin(t *testing.T, f *fleet.Fleet, ask caller.CompletionRequest) *pending {
	t.Helper()
	p := &pending{ask: ask, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.answer, p.err = caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), ask)
	}()
	return p
}

// check waits for the answer and checks each token; it returns the target that
// sent the last one.
func (p *pending) check(t *testing.T) string {
	t.Helper()
	<-p.done
	assert.NilError(t, p.err)
	verdict := caller.Check(salt, fleet.TrialVersion, p.ask, p.answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	parts := strings.Split(p.answer.LastEventID, "/")
	assert.Equal(t, len(parts), 5)
	return parts[1]
}

// busy waits until an engine has decoded some tokens and returns its member.
func busy(t *testing.T, f *fleet.Fleet) *fleet.Member {
	t.Helper()
	var found *fleet.Member
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, member := range f.Members {
			if member.Engine.Work().DecodedTokens >= 5 {
				found = member
				return poll.Success()
			}
		}
		return poll.Continue("no engine decodes yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	return found
}

func longAsk() caller.CompletionRequest {
	ask := trialAsk()
	ask.MaxTokens = 200
	return ask
}

// A host that drops packets closes no connection: only silence tells.
func TestAnswerSurvivesSilentEngine(t *testing.T) {
	f := startFleet(t, 3)
	p := begin(t, f, longAsk())
	lost := busy(t, f)
	lost.Engine.SetFaults(engine.Faults{Silent: true})
	last := p.check(t)
	assert.Assert(t, last != string(lost.Placement.Target))
	assert.Assert(t, p.answer.Outcome.Attempts >= 2)
}

// A target that pauses loses its answer to another, and what it sends when it
// comes back does not reach the caller. It is used again.
func TestPausedEngineComesBack(t *testing.T) {
	f := startFleet(t, 2)
	p := begin(t, f, longAsk())
	paused := busy(t, f)
	paused.Engine.SetFaults(engine.Faults{Pause: true})
	assert.Assert(t, p.check(t) != string(paused.Placement.Target))
	paused.Engine.SetFaults(engine.Faults{})
	for _, member := range f.Members {
		if member != paused {
			member.Engine.Kill()
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again := begin(t, f, trialAsk())
		<-again.done
		if again.err != nil || again.answer.Status != http.StatusOK {
			return poll.Continue("the target is not trusted yet")
		}
		assert.Equal(t, again.check(t), string(paused.Placement.Target))
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(100*time.Millisecond))
}

func TestAnswerSurvivesAgentDeath(t *testing.T) {
	f := startFleet(t, 3)
	p := begin(t, f, longAsk())
	lost := busy(t, f)
	lost.Agent.Kill()
	assert.Assert(t, p.check(t) != string(lost.Placement.Target))
}

// Half of the targets fall silent at once; every answer goes on at the others.
func TestAnswersSurviveLossOfDomain(t *testing.T) {
	f := startFleet(t, 6)
	var all []*pending
	for range 24 {
		all = append(all, begin(t, f, longAsk()))
	}
	busy(t, f)
	lost := map[string]bool{}
	for _, member := range f.Members {
		if member.Placement.FailureDomain == "paros" {
			member.Engine.SetFaults(engine.Faults{Silent: true})
			lost[string(member.Placement.Target)] = true
		}
	}
	for _, p := range all {
		assert.Assert(t, !lost[p.check(t)])
	}
}
