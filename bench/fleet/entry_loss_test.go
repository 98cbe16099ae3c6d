package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	otherWorkspace = "other"
	otherToken     = "other-token"
	// longAnswer takes far longer than any of these tests waits.
	longAnswer = 8000
	testWait   = 60 * time.Second
	seenBefore = 10
	stepTime   = 5 * time.Millisecond
)

// startPair starts a fleet with two entries and another workspace.
func startPair(t *testing.T, engines int, change func(*version.Profile)) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	pace := engine.DefaultConfig(salt, fleet.TrialVersion)
	pace.StepTime = stepTime
	document := fleet.TrialDocument()
	document.Workspaces[otherWorkspace] = version.Workspace{Share: 1, TokenDigests: []string{version.TokenDigest(otherToken)}}
	profile := document.Profiles[fleet.TrialProfile]
	profile.OrphanGrace = version.Duration(testWait)
	// A busy machine must not look like a failed target.
	profile.SuspectAfter = version.Bounds{Min: version.Duration(testWait), Max: version.Duration(testWait)}
	profile.Deadline = version.Duration(2 * testWait)
	if change != nil {
		change(&profile)
	}
	document.Profiles[fleet.TrialProfile] = profile
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: document,
		Service:  fleet.TrialService,
		Domains:  []string{"naxos", "paros", "syros"},
		Entries:  2,
		Engines:  engines,
		Engine:   pace,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

// breakAfter asks entry 0 and runs fault once the caller has seenBefore tokens. It
// returns what the caller had when its answer broke off.
func breakAfter(t *testing.T, f *fleet.Fleet, ask caller.CompletionRequest, fault func()) *caller.CompletionResponse {
	t.Helper()
	var once sync.Once
	ask.OnProgress = func(seen int) {
		if seen >= seenBefore {
			once.Do(fault)
		}
	}
	answer, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(t.Context(), f.URL(0), ask)
	assert.Assert(t, err != nil)
	assert.Assert(t, answer.Outcome == nil)
	return answer
}

func continueAtSecond(t *testing.T, f *fleet.Fleet, ask caller.CompletionRequest, answer *caller.CompletionResponse) {
	t.Helper()
	assert.NilError(t, caller.New(http.DefaultClient).Resume(t.Context(), f.URL(1), ask, answer))
}

func TestAnswerGoesOnAtAnotherEntryByEventID(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	answer := breakAfter(t, f, ask, f.Entries[0].Kill)
	ask.LastEventID = answer.LastEventID
	continueAtSecond(t, f, ask, answer)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(answer.Outcome.Attempts), 1)
	assert.Equal(t, answer.Outcome.Error, "")
}

func TestAnswerIsFoundByKeyAlone(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	ask.IdempotencyKey = "report-1"
	broken := breakAfter(t, f, ask, f.Entries[0].Kill)
	answer := &caller.CompletionResponse{}
	continueAtSecond(t, f, ask, answer)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Assert(t, strings.HasPrefix(broken.LastEventID, string(answer.Outcome.Request)+"/"))
	assert.Equal(t, int(answer.Outcome.Attempts), 1)
}

func TestAnswerIsResumedByTheEntryThatTookItOver(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	ask.MaxTokens = 200
	answer := breakAfter(t, f, ask, f.Entries[0].Kill)
	ask.LastEventID = answer.LastEventID
	var once sync.Once
	ask.OnProgress = func(seen int) {
		if seen > len("some tokens at the second entry") {
			once.Do(func() { memberOf(f, ask.LastEventID).Engine.Kill() })
		}
	}
	continueAtSecond(t, f, ask, answer)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(answer.Outcome.Attempts), 2)
}

// memberOf returns the member that holds the journal which an event id names.
func memberOf(f *fleet.Fleet, eventID string) *fleet.Member {
	target := request.TargetID(strings.Split(eventID, "/")[1])
	for _, member := range f.Members {
		if member.Placement.Target == target {
			return member
		}
	}
	return nil
}

func TestAnswerOfADeadEngineIsResumedFromItsJournal(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	answer := breakAfter(t, f, ask, func() {
		f.Entries[0].Kill()
	})
	memberOf(f, answer.LastEventID).Engine.Kill()
	ask.LastEventID = answer.LastEventID
	continueAtSecond(t, f, ask, answer)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, answer)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
}

func TestLostJournalIsToldTruthfully(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	ask.MaxTokens = longAnswer
	answer := breakAfter(t, f, ask, f.Entries[0].Kill)
	memberOf(f, answer.LastEventID).Agent.Kill()
	before := len(answer.Tokens)
	ask.LastEventID = answer.LastEventID
	continueAtSecond(t, f, ask, answer)
	assert.Equal(t, len(answer.Tokens), before)
	assert.Assert(t, answer.Status != http.StatusOK)
	assert.Equal(t, answer.Outcome.WasRun, request.RunUnknown)
}

func TestOnlyTheOwnerGoesOn(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	ask.MaxTokens = longAnswer
	ask.IdempotencyKey = "report-2"
	first := breakAfter(t, f, ask, f.Entries[0].Kill)
	t.Run("another workspace does not find it", func(t *testing.T) {
		foreign := ask
		foreign.BearerToken = otherToken
		foreign.LastEventID = first.LastEventID
		answer := &caller.CompletionResponse{}
		continueAtSecond(t, f, foreign, answer)
		assert.Equal(t, answer.Status, http.StatusNotFound)
		assert.Equal(t, answer.Outcome.Error, "not_found")
	})
	t.Run("another body conflicts", func(t *testing.T) {
		changed := ask
		changed.MaxTokens++
		answer := &caller.CompletionResponse{}
		continueAtSecond(t, f, changed, answer)
		assert.Equal(t, answer.Outcome.Error, "key_conflict")
	})
	t.Run("a forged digest is refused", func(t *testing.T) {
		forged := ask
		forged.IdempotencyKey = ""
		forged.LastEventID = first.LastEventID[:strings.LastIndex(first.LastEventID, "/")] + "/1"
		answer := &caller.CompletionResponse{}
		continueAtSecond(t, f, forged, answer)
		assert.Equal(t, answer.Status, http.StatusNotFound)
	})
}

func TestNewerAttachmentSupersedes(t *testing.T) {
	f := startPair(t, 3, nil)
	ask := trialAsk()
	ask.MaxTokens = 300
	ask.IdempotencyKey = "report-3"
	second := &caller.CompletionResponse{}
	taken := make(chan error, 1)
	var once sync.Once
	older := ask
	older.OnProgress = func(seen int) {
		if seen < seenBefore {
			return
		}
		once.Do(func() {
			go func() { taken <- caller.New(http.DefaultClient).Resume(t.Context(), f.URL(1), ask, second) }()
		})
	}
	first, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), older)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome.Error, "superseded")
	assert.NilError(t, <-taken)
	verdict := caller.Check(salt, fleet.TrialVersion, ask, second)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, first.Outcome.Request, second.Outcome.Request)
}

func TestOrphanIsCancelledAfterItsGrace(t *testing.T) {
	f := startPair(t, 1, func(p *version.Profile) { p.OrphanGrace = version.Duration(100 * time.Millisecond) })
	ask := trialAsk()
	ask.MaxTokens = longAnswer
	breakAfter(t, f, ask, f.Entries[0].Kill)
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	assert.NilError(t, f.Members[0].Agent.Stop(ctx))
	assert.NilError(t, ctx.Err())
	assert.Assert(t, f.Members[0].Engine.Work().DecodedTokens < longAnswer)
}
