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

// signalled is a process that gets signals while it starts and while it stops.
type signalled struct {
	starting, stopping []syscall.Signal
}

func sendSignals(signals []syscall.Signal) error {
	for _, sig := range signals {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (s signalled) Start(context.Context) error { return sendSignals(s.starting) }

func (s signalled) Stop(context.Context) error {
	err := sendSignals(s.stopping)
	fmt.Println("stopped as planned")
	return err
}

const signalledVariable = "MULBERRYLANE_TEST_SETTINGS"

// runSignalled runs the calling test again, in a process that gets the signals, and checks that
// it stops as planned.
func runSignalled(t *testing.T, signals signalled) {
	t.Helper()
	if path := os.Getenv(signalledVariable); path != "" {
		command := newCommand("test", "", func(anySettings) *fx.App {
			return lifecycle.NewApp(fx.Supply(signals), fx.Invoke(lifecycle.Hook[signalled]))
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
	assert.Equal(t, strings.Count(string(output), "stopped as planned"), 1, "%s", output)
}

// A process that gets signals while it starts is stopped like any other.
func TestSignalsWhileStarting_ProcessStopsAsPlanned(t *testing.T) {
	runSignalled(t, signalled{starting: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}})
}

// Further signals do not shorten a planned stop.
func TestSignalsWhileStopping_ProcessStopsAsPlanned(t *testing.T) {
	runSignalled(t, signalled{
		starting: []syscall.Signal{syscall.SIGTERM},
		stopping: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
	})
}
