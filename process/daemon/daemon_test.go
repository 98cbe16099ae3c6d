package daemon

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/lifecycle"
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

type anySettings struct{}

func (*anySettings) Check() error { return nil }

// signalled is a process that gets signals while it starts.
type signalled []syscall.Signal

func (s signalled) Start(context.Context) error {
	for _, sig := range s {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (s signalled) Stop(context.Context) error {
	fmt.Println("stopped as planned")
	return nil
}

const signalledVariable = "MULBERRYLANE_TEST_SETTINGS"

// A process that gets signals while it starts is stopped like any other.
func TestSignalsWhileStarting_ProcessStopsAsPlanned(t *testing.T) {
	if path := os.Getenv(signalledVariable); path != "" {
		command := newCommand("test", "", func(anySettings) *fx.App {
			return lifecycle.NewApp(fx.Supply(signalled{syscall.SIGHUP, syscall.SIGTERM}), fx.Invoke(lifecycle.Hook[signalled]))
		})
		command.SetArgs([]string{"--settings", path})
		assert.NilError(t, command.Execute())
		return
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte("{}"), 0o600))
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), signalledVariable+"="+path)
	output, err := child.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	assert.Assert(t, strings.Contains(string(output), "stopped as planned"), "%s", output)
}
