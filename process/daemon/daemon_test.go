package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/settings"
)

func executeWithSettings(t *testing.T, content string) (assembled bool, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	command := newCommand("mlentry", "Serve callers", func(settings.Entry) *fx.App {
		assembled = true
		return fx.New(fx.NopLogger, fx.Invoke(func(shutdown fx.Shutdowner) error { return shutdown.Shutdown() }))
	})
	command.SetArgs([]string{"--settings", path})
	command.SilenceErrors = true
	return assembled, command.Execute()
}

func TestInvalidSettings_ErrorNamesField(t *testing.T) {
	assembled, err := executeWithSettings(t, `{"name": "entry-1", "callers": "localhost:80"}`)
	assert.ErrorContains(t, err, "failureDomain: must be set")
	assert.ErrorContains(t, err, "callers:")
	assert.Assert(t, !assembled)
	_, err = executeWithSettings(t, `{"title": "entry-1"}`)
	assert.ErrorContains(t, err, `unknown field "title"`)
}
