package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/outside/hostlist"
	"github.com/mulberrylane/mulberrylane/process/configuration"
)

func writeJSONFile(t *testing.T, name string, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// TestStandinPlatform_ServesHostListAndConfiguration starts a stand-in platform
// from files and reads the configuration and the host list with the clients that the
// processes use.
func TestStandinPlatform_ServesHostListAndConfiguration(t *testing.T) {
	placements := []outside.ListedTarget{{Target: "engine-1", Service: fleet.TrialService, State: outside.HostLive}}
	handler, err := platformHandler(writeJSONFile(t, "hosts", placements), writeJSONFile(t, "document", fleet.TrialDocument()), 0)
	assert.NilError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	current, err := configuration.NewClient(etcd.NewStore([]string{server.URL}, http.DefaultClient)).Current(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Document, fleet.TrialDocument())
	listed, err := hostlist.New(server.URL+"/hosts", http.DefaultClient).Targets(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, placements)
}
