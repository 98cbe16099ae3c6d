package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/hostlist"
	"github.com/mulberrylane/mulberrylane/request"
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

func TestTargets_OddItemSpoilsNoOther(t *testing.T) {
	odd := []string{
		`7`, `null`, `"t"`, `[]`, `{}`, `{"target":7}`, `{"target":"t-2","state":7}`, `{"target":"t-3","agent":{"a":1}}`, `1e400`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[` + strings.Join(odd, ",") + `,{"target":"t-1","state":"live","unknown":1e400}]`))
	}))
	t.Cleanup(server.Close)
	targets, err := hostlist.New(server.URL, server.Client()).Targets(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, targets, []outside.ListedTarget{{Target: "t-1", State: outside.HostLive}})
}

func TestValidate_OddTargetIsNotUsed(t *testing.T) {
	long := strings.Repeat("z", 1<<20)
	sound := outside.ListedTarget{Target: "t-1", Service: "s", Host: "h", FailureDomain: "d", AgentAddress: "10.0.0.1:9", State: outside.HostLive}
	assert.NilError(t, sound.Validate())
	for name, change := range map[string]func(t *outside.ListedTarget){
		"no target":     func(t *outside.ListedTarget) { t.Target = "" },
		"no service":    func(t *outside.ListedTarget) { t.Service = "" },
		"long target":   func(t *outside.ListedTarget) { t.Target = request.TargetID(long) },
		"long service":  func(t *outside.ListedTarget) { t.Service = long },
		"long domain":   func(t *outside.ListedTarget) { t.FailureDomain = long },
		"NUL":           func(t *outside.ListedTarget) { t.Host = "h\x00" },
		"no text":       func(t *outside.ListedTarget) { t.FailureDomain = "\xff" },
		"port 70000":    func(t *outside.ListedTarget) { t.AgentAddress = "10.0.0.1:70000" },
		"port 0":        func(t *outside.ListedTarget) { t.AgentAddress = "10.0.0.1:0" },
		"negative port": func(t *outside.ListedTarget) { t.AgentAddress = "10.0.0.1:-4" },
		"named port":    func(t *outside.ListedTarget) { t.AgentAddress = "10.0.0.1:http" },
		"host name":     func(t *outside.ListedTarget) { t.AgentAddress = "host:9" },
		"no address":    func(t *outside.ListedTarget) { t.AgentAddress = "" },
		"state":         func(t *outside.ListedTarget) { t.State = "asleep" },
		"no state":      func(t *outside.ListedTarget) { t.State = "" },
	} {
		odd := sound
		change(&odd)
		err := odd.Validate()
		assert.Assert(t, err != nil && len(err.Error()) < 200, name)
	}
}
