package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/command"
	"github.com/mulberrylane/mulberrylane/process/rollout"
)

// Operators must see why a version was rolled back, and which entries did not answer.
func TestRollouts_ShowsStageEvidenceAndReason(t *testing.T) {
	summaries := []rollout.Summary{
		{Service: "bookings", Version: "v2", Revision: 9, Stage: rollout.RolledBack, Age: 12 * time.Second, Limit: time.Minute, Rejected: "7 of 9 failed on /book/",
			New: rollout.Counts{Responses: 9, Failures: 7}, Old: rollout.Counts{Responses: 90}, Sent: 120, SentNew: 9},
		{Service: "writer", Version: "v3", Revision: 8, Stage: rollout.Ramping, Step: 1, Share: 0.5, RunningOld: 4},
		{Service: "words", Version: "v4"},
	}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == rollout.SummariesPath)
		_ = json.NewEncoder(w).Encode(summaries)
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	output, _, code := runMlctl(t, "rollouts", "--process", address)
	assert.Equal(t, code, command.ExitDone)
	for _, want := range []string{rollout.RolledBack.String(), "waits for the first record", "12s of 1m0s", "9 of 120", "9 (7 failed)", "90 (0 failed)", "7 of 9 failed on /book/", "ramping 2", "50.0%", "4 run on old versions"} {
		assert.Assert(t, strings.Contains(output, want), "%q is missing in:\n%s", want, output)
	}
	output, stderr, code := runMlctl(t, "rollouts", "--process", address, "--process", "127.0.0.1:1")
	assert.Equal(t, code, command.ExitError)
	assert.Assert(t, strings.Contains(stderr, "1 of 2 entries were not reached"), stderr)
	assert.Assert(t, strings.Contains(output, "not reached"))
}
