package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// runMain makes the test binary run the program instead of its tests.
const runMain = "MLGATEWAY_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A process that is told to read its settings again while it starts must not end.
func TestHangup_DoesNotEndTheProcessWhileItStarts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	command := exec.Command(os.Args[0], "--settings", path)
	command.Env = append(os.Environ(), runMain+"=1")
	assert.NilError(t, command.Start())
	// The pipe opens when the process reads its settings.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("{}")
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	assert.Error(t, command.Wait(), "exit status 1", "the settings are not valid")
}
