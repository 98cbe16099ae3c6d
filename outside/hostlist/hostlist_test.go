package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/hostlist"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
)

// Counts the responses with a body: only a changed list is transferred again.
func TestTargets_UnchangedListIsNotTransferred(t *testing.T) {
	list := hosts.New(0, []outside.ListedTarget{{Target: "t-1", State: outside.HostLive}})
	fullResponses := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		list.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusOK {
			fullResponses++
		}
		w.Header().Set("ETag", recorder.Header().Get("ETag"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	client := hostlist.New(server.URL, server.Client())
	for range 3 {
		targets, err := client.Targets(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, targets[0].State, outside.HostLive)
	}
	assert.Equal(t, fullResponses, 1)
	list.SetState("t-1", outside.HostLeaving)
	targets, err := client.Targets(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, targets[0].State, outside.HostLeaving)
	assert.Equal(t, fullResponses, 2)
}
