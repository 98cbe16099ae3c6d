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
	// longOutputTokens is a number of tokens whose generation takes longer than any
	// of these tests waits.
	longOutputTokens  = 8000
	testTimeout       = 60 * time.Second
	tokensBeforeFault = 10
	stepTime          = 5 * time.Millisecond
)

// startTwoEntries starts a fleet with two entries and a second workspace.
func startTwoEntries(t *testing.T, engines int, modifyProfile func(*version.Profile)) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.StepTime = stepTime
	document := fleet.TrialDocument()
	document.Workspaces[otherWorkspace] = version.Workspace{Share: 1, TokenDigests: []string{version.TokenDigest(otherToken)}}
	profile := document.Profiles[fleet.TrialProfile]
	profile.OrphanGrace = version.Duration(testTimeout)
	// Slow progress on a busy machine must not be taken for a failed target.
	profile.SuspectAfter = version.Bounds{Min: version.Duration(testTimeout), Max: version.Duration(testTimeout)}
	profile.Deadline = version.Duration(2 * testTimeout)
	if modifyProfile != nil {
		modifyProfile(&profile)
	}
	document.Profiles[fleet.TrialProfile] = profile
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: document,
		Service:  fleet.TrialService,
		Domains:  []string{"naxos", "paros", "syros"},
		Entries:  2,
		Engines:  engines,
		Engine:   config,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

// completeUntilFault sends a request to entry 0 and calls fault once the caller has
// tokensBeforeFault tokens. It returns the response up to the point where it broke
// off.
func completeUntilFault(t *testing.T, f *fleet.Fleet, req caller.CompletionRequest, fault func()) *caller.CompletionResponse {
	t.Helper()
	var once sync.Once
	req.OnProgress = func(tokens int) {
		if tokens >= tokensBeforeFault {
			once.Do(fault)
		}
	}
	resp, err := caller.New(&http.Client{Transport: &http.Transport{}}).Complete(t.Context(), f.URL(0), req)
	assert.Assert(t, err != nil)
	assert.Assert(t, resp.Outcome == nil)
	return resp
}

func resumeAtSecondEntry(t *testing.T, f *fleet.Fleet, req caller.CompletionRequest, resp *caller.CompletionResponse) {
	t.Helper()
	assert.NilError(t, caller.New(http.DefaultClient).Resume(t.Context(), f.URL(1), req, resp))
}

func TestEntryKill_ResumesAtAnotherEntryByEventID(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	resp := completeUntilFault(t, f, req, f.Entries[0].Kill)
	req.LastEventID = resp.LastEventID
	resumeAtSecondEntry(t, f, req, resp)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(resp.Outcome.Attempts), 1)
	assert.Equal(t, resp.Outcome.Error, "")
}

func TestEntryKill_ResumesByIdempotencyKeyAlone(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	req.IdempotencyKey = "report-1"
	partial := completeUntilFault(t, f, req, f.Entries[0].Kill)
	resp := &caller.CompletionResponse{}
	resumeAtSecondEntry(t, f, req, resp)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Assert(t, strings.HasPrefix(partial.LastEventID, string(resp.Outcome.Request)+"/"))
	assert.Equal(t, int(resp.Outcome.Attempts), 1)
}

func TestEngineKill_RetriedByResumingEntry(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	req.MaxTokens = 200
	resp := completeUntilFault(t, f, req, f.Entries[0].Kill)
	req.LastEventID = resp.LastEventID
	var once sync.Once
	req.OnProgress = func(tokens int) {
		if tokens > len("some tokens at the second entry") {
			once.Do(func() { memberOf(f, req.LastEventID).Engine.Kill() })
		}
	}
	resumeAtSecondEntry(t, f, req, resp)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, int(resp.Outcome.Attempts), 2)
}

// memberOf returns the member of the target named in an event id, which holds the
// journal of the request.
func memberOf(f *fleet.Fleet, eventID string) *fleet.Member {
	target := request.TargetID(strings.Split(eventID, "/")[1])
	for _, member := range f.Members {
		if member.Placement.Target == target {
			return member
		}
	}
	return nil
}

func TestEntryAndEngineKill_ResumesFromJournal(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	resp := completeUntilFault(t, f, req, func() {
		f.Entries[0].Kill()
	})
	memberOf(f, resp.LastEventID).Engine.Kill()
	req.LastEventID = resp.LastEventID
	resumeAtSecondEntry(t, f, req, resp)
	verdict := caller.Check(salt, fleet.TrialVersion, req, resp)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
}

func TestJournalLoss_ReportsRunUnknown(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	req.MaxTokens = longOutputTokens
	resp := completeUntilFault(t, f, req, f.Entries[0].Kill)
	memberOf(f, resp.LastEventID).Agent.Kill()
	before := len(resp.Tokens)
	req.LastEventID = resp.LastEventID
	resumeAtSecondEntry(t, f, req, resp)
	assert.Equal(t, len(resp.Tokens), before)
	assert.Assert(t, resp.Status != http.StatusOK)
	assert.Equal(t, resp.Outcome.WasRun, request.RunUnknown)
}

func TestResume_RequiresOwnerBodyAndDigest(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	req.MaxTokens = longOutputTokens
	req.IdempotencyKey = "report-2"
	first := completeUntilFault(t, f, req, f.Entries[0].Kill)
	t.Run("another workspace does not find it", func(t *testing.T) {
		foreign := req
		foreign.BearerToken = otherToken
		foreign.LastEventID = first.LastEventID
		resp := &caller.CompletionResponse{}
		resumeAtSecondEntry(t, f, foreign, resp)
		assert.Equal(t, resp.Status, http.StatusNotFound)
		assert.Equal(t, resp.Outcome.Error, "not_found")
	})
	t.Run("another body conflicts", func(t *testing.T) {
		changed := req
		changed.MaxTokens++
		resp := &caller.CompletionResponse{}
		resumeAtSecondEntry(t, f, changed, resp)
		assert.Equal(t, resp.Outcome.Error, "key_conflict")
	})
	t.Run("a forged digest is refused", func(t *testing.T) {
		forged := req
		forged.IdempotencyKey = ""
		forged.LastEventID = first.LastEventID[:strings.LastIndex(first.LastEventID, "/")] + "/1"
		resp := &caller.CompletionResponse{}
		resumeAtSecondEntry(t, f, forged, resp)
		assert.Equal(t, resp.Status, http.StatusNotFound)
	})
}

func TestResume_SupersedesOlderConnection(t *testing.T) {
	f := startTwoEntries(t, 3, nil)
	req := trialRequest()
	req.MaxTokens = 300
	req.IdempotencyKey = "report-3"
	second := &caller.CompletionResponse{}
	resumed := make(chan error, 1)
	var once sync.Once
	older := req
	older.OnProgress = func(tokens int) {
		if tokens < tokensBeforeFault {
			return
		}
		once.Do(func() {
			go func() { resumed <- caller.New(http.DefaultClient).Resume(t.Context(), f.URL(1), req, second) }()
		})
	}
	first, err := caller.New(http.DefaultClient).Complete(t.Context(), f.URL(0), older)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome.Error, "superseded")
	assert.NilError(t, <-resumed)
	verdict := caller.Check(salt, fleet.TrialVersion, req, second)
	assert.Assert(t, verdict.OK(), "%+v", verdict)
	assert.Equal(t, first.Outcome.Request, second.Outcome.Request)
}

func TestOrphanGrace_CancelsGeneration(t *testing.T) {
	f := startTwoEntries(t, 1, func(p *version.Profile) { p.OrphanGrace = version.Duration(100 * time.Millisecond) })
	req := trialRequest()
	req.MaxTokens = longOutputTokens
	completeUntilFault(t, f, req, f.Entries[0].Kill)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Members[0].Agent.Stop(ctx))
	assert.NilError(t, ctx.Err())
	assert.Assert(t, f.Members[0].Engine.Work().DecodedTokens < longOutputTokens)
}
