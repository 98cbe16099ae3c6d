package calls_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/application"
	"github.com/mulberrylane/mulberrylane/version"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func submission(called, returned int, wasRun request.WasRun, digest string) calls.Submission {
	outcome := request.Outcome{WasRun: wasRun, Digest: digest}
	return calls.Submission{Key: "k", Called: at(called), Returned: at(returned), Response: calls.CallResponse{Outcome: outcome}}
}

func execution(second int) application.Execution {
	return application.Execution{Key: "k", At: at(second)}
}

// TestHistoryCheckIsStrict checks valid histories and histories that each
// violate one rule of the model.
func TestHistoryCheckIsStrict(t *testing.T) {
	cases := []struct {
		name    string
		ok      bool
		history calls.History
	}{
		{"retried until run", true, calls.History{
			Submissions: []calls.Submission{submission(0, 1, request.RunNo, ""), submission(2, 4, request.RunUnknown, ""), submission(5, 6, request.RunYes, "a")},
			Executions:  []application.Execution{execution(3)}}},
		{"not run, said before another submission ran it", true, calls.History{
			Submissions: []calls.Submission{submission(0, 5, request.RunNo, ""), submission(1, 4, request.RunYes, "a")},
			Executions:  []application.Execution{execution(3)}}},
		{"runs late after unknown", true, calls.History{
			Submissions: []calls.Submission{submission(0, 1, request.RunUnknown, "")},
			Executions:  []application.Execution{execution(9)}}},
		{"runs twice", false, calls.History{
			Submissions: []calls.Submission{submission(0, 9, request.RunYes, "a")},
			Executions:  []application.Execution{execution(3), execution(4)}}},
		{"not run, said after it ran", false, calls.History{
			Submissions: []calls.Submission{submission(0, 4, request.RunYes, "a"), submission(5, 6, request.RunNo, "")},
			Executions:  []application.Execution{execution(3)}}},
		{"run, said before it ran", false, calls.History{
			Submissions: []calls.Submission{submission(0, 2, request.RunYes, "a")},
			Executions:  []application.Execution{execution(3)}}},
		{"run, but it never did", false, calls.History{
			Submissions: []calls.Submission{submission(0, 2, request.RunYes, "a")}}},
		{"two outcomes", false, calls.History{
			Submissions: []calls.Submission{submission(0, 4, request.RunYes, "a"), submission(5, 6, request.RunYes, "b")},
			Executions:  []application.Execution{execution(3)}}},
		{"runs after every submission was told not run", false, calls.History{
			Submissions: []calls.Submission{submission(0, 2, request.RunNo, "")},
			Executions:  []application.Execution{execution(3)}}},
	}
	for _, c := range cases {
		directory := t.TempDir()
		err := c.history.Check(directory)
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
}

func TestHistoryCheck_WritesViolatingHistory(t *testing.T) {
	directory := t.TempDir()
	h := calls.History{Submissions: []calls.Submission{submission(0, 2, request.RunYes, "a")}}
	assert.ErrorContains(t, h.Check(directory), "calls-history.html")
	_, err := os.Stat(filepath.Join(directory, "calls-history.html"))
	assert.NilError(t, err)
}

// TestCallsUnderFaults injects every type of fault into real entries and agents and
// checks the history. If the environment variable HISTORY_DIR is set, a history that is
// not linearizable is kept in that directory.
func TestCallsUnderFaults(t *testing.T) {
	second := func(s float64) version.Duration { return version.Duration(s * float64(time.Second)) }
	e := &calls.Experiment{
		Name: "calls under faults", Kind: calls.Kind, Seed: 7, Entries: 2, Targets: 2,
		Domains: []string{"naxos", "paros"}, Keys: 40, Submissions: 300, Callers: 40,
		Duration: second(8), CallTime: second(0.005), Deadline: second(4),
		ResponseLossRate: 0.1, WriteLossRate: 0.05, DropEveryNthResponse: 40, MaxUnknownShare: 1,
		Faults: []calls.Fault{
			{At: second(0.5), Type: calls.KillEntry, For: second(0.5)},
			{At: second(1.5), Type: calls.SilenceAgent, For: second(1)},
			{At: second(2), Type: calls.StallEntry, Which: 1, For: second(1)},
			{At: second(3), Type: calls.KillAgent, Which: 1, For: second(0.5)},
			{At: second(4), Type: calls.StoreOutage, For: second(1)},
			{At: second(5), Type: calls.AbandonAgent},
			{At: second(6), Type: calls.PauseApplication, Which: 1, For: second(1)},
			{At: second(6.5), Type: calls.SlowStore, For: second(1)},
		},
	}
	assert.NilError(t, e.Check())
	directory := os.Getenv("HISTORY_DIR")
	if directory == "" {
		directory = t.TempDir()
	}
	r, err := calls.Run(t.Context(), e, directory, func(status string) { t.Log(status) })
	assert.NilError(t, err)
	assert.Equal(t, r.Violation, "")
	assert.Assert(t, r.Verdict.OK(), "%+v", r)
	assert.Assert(t, r.Ran > 0)
}
