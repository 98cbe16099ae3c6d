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

// pendingCompletion is a request whose response is still being received.
type pendingCompletion struct {
	req  caller.CompletionRequest
	resp *caller.CompletionResponse
	err  error
	done chan struct{}
}

func startPending(t *testing.T, f *fleet.Fleet, req caller.CompletionRequest) *pendingCompletion {
	t.Helper()
	p := &pendingCompletion{req: req, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.resp, p.err = caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), req)
	}()
	return p
}

// awaitCorrect waits for the end of the response and checks each token. It returns
// the target that produced the last one.
func (p *pendingCompletion) awaitCorrect(t *testing.T) string {
	t.Helper()
	<-p.done
	assert.NilError(t, p.err)
	verdict := caller.Check(salt, fleet.TrialVersion, p.req, p.resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	parts := strings.Split(p.resp.LastEventID, "/")
	assert.Equal(t, len(parts), 5)
	return parts[1]
}

// awaitDecodingMember waits until an engine has decoded some tokens and returns its
// member.
func awaitDecodingMember(t *testing.T, f *fleet.Fleet) *fleet.Member {
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

func longRequest() caller.CompletionRequest {
	req := trialRequest()
	req.MaxTokens = 200
	return req
}

// A host that drops packets closes no connection, so its failure can be detected only
// by a timeout.
func TestSilentEngine_CompletesElsewhere(t *testing.T) {
	f := startFleet(t, 3)
	p := startPending(t, f, longRequest())
	silent := awaitDecodingMember(t, f)
	silent.Engine.SetFaults(engine.Faults{Silent: true})
	lastTarget := p.awaitCorrect(t)
	assert.Assert(t, lastTarget != string(silent.Placement.Target))
	assert.Assert(t, p.resp.Outcome.Attempts >= 2)
}

// A generation on a paused target moves to another target, and what the first one
// sends once it runs again does not reach the caller. The target then gets new work.
func TestPausedEngine_GetsWorkAfterResuming(t *testing.T) {
	f := startFleet(t, 2)
	p := startPending(t, f, longRequest())
	paused := awaitDecodingMember(t, f)
	paused.Engine.SetFaults(engine.Faults{Pause: true})
	assert.Assert(t, p.awaitCorrect(t) != string(paused.Placement.Target))
	paused.Engine.SetFaults(engine.Faults{})
	for _, member := range f.Members {
		if member != paused {
			member.Engine.Kill()
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		next := startPending(t, f, trialRequest())
		<-next.done
		if next.err != nil || next.resp.Status != http.StatusOK {
			return poll.Continue("the target gets no work yet")
		}
		assert.Equal(t, next.awaitCorrect(t), string(paused.Placement.Target))
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(100*time.Millisecond))
}

func TestAgentKill_CompletesElsewhere(t *testing.T) {
	f := startFleet(t, 3)
	p := startPending(t, f, longRequest())
	killed := awaitDecodingMember(t, f)
	killed.Agent.Kill()
	assert.Assert(t, p.awaitCorrect(t) != string(killed.Placement.Target))
}

// One failure domain of 3, with a third of the targets, falls silent at once; every
// response completes on the others.
func TestFailureDomainLoss_CompletesElsewhere(t *testing.T) {
	f := startFleet(t, 6)
	var all []*pendingCompletion
	for range 24 {
		all = append(all, startPending(t, f, longRequest()))
	}
	awaitDecodingMember(t, f)
	silent := map[string]bool{}
	for _, member := range f.Members {
		if member.Placement.FailureDomain == "paros" {
			member.Engine.SetFaults(engine.Faults{Silent: true})
			silent[string(member.Placement.Target)] = true
		}
	}
	for _, p := range all {
		assert.Assert(t, !silent[p.awaitCorrect(t)])
	}
}
