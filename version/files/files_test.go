package files_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/version"
	"github.com/mulberrylane/mulberrylane/version/files"
)

func TestLoad_AcceptsDeployments(t *testing.T) {
	for deployment, services := range map[string]map[string]int{
		"lakkos":    {"survey-writer": 35, "bookings": 3},
		"vasilescu": {"asistent-lm": 20, "inscrieri-app": 3},
	} {
		document, err := files.Load(filepath.Join("../../deploy", deployment))
		assert.NilError(t, err)
		assert.Equal(t, len(document.Workspaces), 10)
		assert.Equal(t, len(document.Services), len(services))
		for name, replicas := range services {
			assert.Equal(t, document.Services[name].Replicas, replicas)
		}
	}
}

func TestLoad_RejectsDuplicateNamesAcrossFiles(t *testing.T) {
	directory := t.TempDir()
	text := []byte(`{"regions": {"aegean": {"failureDomains": ["naxos"]}}}`)
	for _, name := range []string{"a.json", "b.json"} {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), text, 0o600))
	}
	_, err := files.Load(directory)
	assert.DeepEqual(t, err, version.DocumentErrors{{Path: "regions.aegean", Reason: "is declared in a.json and in b.json"}})
}
