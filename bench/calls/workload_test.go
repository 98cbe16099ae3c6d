package calls_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/request"
)

func startFleet(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	layout.Document = fleet.TrialCallsDocument(20 * time.Second)
	layout.Service = fleet.TrialService
	layout.Domains = []string{"naxos", "paros", "syros"}
	layout.Applications.Service = fleet.TrialApplication
	f, err := fleet.Start(ctx, layout)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func booking(key, body string) calls.CallRequest {
	return calls.CallRequest{
		Service: fleet.TrialApplication, Method: "POST", Path: "/bookings",
		BearerToken: fleet.TrialToken, IdempotencyKey: key, Body: []byte(body),
	}
}

func submit(t *testing.T, url string, call calls.CallRequest) calls.CallResponse {
	t.Helper()
	response, err := calls.NewClient(http.DefaultClient).Submit(t.Context(), url, call)
	assert.NilError(t, err)
	return response
}

func TestRepeatedSubmissions_GetSameOutcome(t *testing.T) {
	f := startFleet(t, fleet.Layout{Entries: 2, Applications: fleet.Applications{Count: 3}})
	verdict, err := calls.NewClient(http.DefaultClient).RunWorkload(t.Context(), calls.Workload{
		Entries: []string{f.URL(0), f.URL(1)}, Application: f.ApplicationMembers()[0].Server.URL(),
		Service: fleet.TrialApplication, BearerToken: fleet.TrialToken, Path: "/bookings",
		Keys: 20, DuplicateSubmissions: 2, Parallel: 10,
	})
	assert.NilError(t, err)
	assert.Assert(t, verdict.OK(), "%s", verdict)
	assert.Equal(t, verdict.Ran, 20)
	assert.Equal(t, verdict.Unknown+verdict.NotRun+verdict.Unanswered, 0)
}

func TestReusedKey_RefusesDifferentBody(t *testing.T) {
	f := startFleet(t, fleet.Layout{Entries: 1, Applications: fleet.Applications{Count: 1}})
	key := uuid.Must(uuid.NewV7()).String()
	first := submit(t, f.URL(0), booking(key, `{"pond":1}`))
	assert.Equal(t, first.Status, http.StatusCreated)
	second := submit(t, f.URL(0), booking(key, `{"pond":2}`))
	assert.Equal(t, second.Status, http.StatusUnprocessableEntity)
	assert.Equal(t, second.Outcome.Error, "key_conflict")
	assert.Equal(t, second.Outcome.WasRun, request.RunYes)
	assert.Equal(t, f.ExecutionLog.Count(key), 1)
}

func TestStoreOutage_ReportsNotRunOnlyForFirstSubmission(t *testing.T) {
	f := startFleet(t, fleet.Layout{Entries: 1, Applications: fleet.Applications{Count: 1}})
	f.SetStoreOutage(true)
	call := booking(uuid.Must(uuid.NewV7()).String(), `{}`)
	unmarked := submit(t, f.URL(0), call)
	assert.Equal(t, unmarked.Outcome.WasRun, request.RunUnknown)
	call.FirstSubmission = true
	first := submit(t, f.URL(0), call)
	assert.Equal(t, first.Outcome.WasRun, request.RunNo)
	status := submit(t, f.URL(0), calls.CallRequest{Service: fleet.TrialApplication, Method: "GET", Path: "/status/7", BearerToken: fleet.TrialToken})
	assert.Equal(t, status.Status, http.StatusOK)
	f.SetStoreOutage(false)
	call.FirstSubmission = false
	assert.Equal(t, submit(t, f.URL(0), call).Outcome.WasRun, request.RunYes)
	assert.Equal(t, f.ExecutionLog.Count(call.IdempotencyKey), 1)
}
