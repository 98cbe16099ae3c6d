package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/command"
	"github.com/mulberrylane/mulberrylane/process/gateway"
	"github.com/mulberrylane/mulberrylane/process/placement"
)

// The answer must name the targets with their costs and the reason of those that are left out.
func TestWhere_ShowsDecisionAndCandidates(t *testing.T) {
	answer := gateway.Where{
		Entry: "entry-1", Configuration: 7, Route: "r-1", Kind: "idempotent", Service: "bookings",
		Queue:      &gateway.WhereQueue{Waiting: 3, Waits: true},
		Candidates: []placement.Candidate{{ID: "b1", Cost: 0.5}, {ID: "b2", Cost: 0.2, Excluded: "down"}},
	}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == gateway.WherePath && r.URL.Query().Get(gateway.WhereHost) == "a.example")
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	output, _, code := runMlctl(t, "where", "--process", address, "--host", "a.example", "--path", "/x/")
	assert.Equal(t, code, command.ExitDone)
	for _, want := range []string{"entry-1 (configuration 7): waits for a place", "3 waiting", "b1", "0.50", "down"} {
		assert.Assert(t, strings.Contains(output, want), "%q is missing in:\n%s", want, output)
	}
	_, stderr, code := runMlctl(t, "where", "--process", "127.0.0.1:1")
	assert.Equal(t, code, command.ExitError)
	assert.Assert(t, strings.Contains(stderr, "1 of 1 entries did not answer"), stderr)
}
