package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/command"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
)

// runMlctl runs mlctl and returns its output and its exit code.
func runMlctl(t *testing.T, arguments ...string) (stdout, stderr string, code command.ExitCode) {
	t.Helper()
	var out, errOut bytes.Buffer
	root := command.NewRoot()
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetArgs(arguments)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	err := root.ExecuteContext(ctx)
	if err != nil {
		errOut.WriteString(err.Error())
	}
	return out.String(), errOut.String(), command.ExitCodeOf(err)
}

func writeDocument(t *testing.T, document version.Document) string {
	t.Helper()
	data, err := json.Marshal(document)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

func TestInvalidCommands_ReturnExitCodeAndAdvice(t *testing.T) {
	t.Setenv("USER", "")
	valid := writeDocument(t, fleet.TrialDocument())
	invalid := fleet.TrialDocument()
	invalid.Profiles = map[string]version.Profile{}
	for _, invocation := range []struct {
		arguments []string
		code      command.ExitCode
		message   string
	}{
		{[]string{"validate", "nowhere"}, command.ExitError, "nowhere: no such file"},
		{[]string{"validate", writeDocument(t, invalid)}, command.ExitInvalid, `services.trial-lm.profile: there is no profile "quick"`},
		{[]string{"plan", valid}, command.ExitError, "set --store or MLCTL_STORE"},
		{[]string{"apply", "--store", "http://127.0.0.1:1", valid}, command.ExitError, "set --author or MLCTL_AUTHOR"},
		{[]string{"apply", "--store", "http://127.0.0.1:1", "--author", "ana", valid}, command.ExitStoreUnavailable, "did not answer"},
		{[]string{"status"}, command.ExitError, "set --process or --host-list"},
		{[]string{"drain", "lm-1", "--store", "http://127.0.0.1:1"}, command.ExitError, "set --reason"},
		{[]string{"rollback", "x"}, command.ExitError, "mlctl history lists them"},
	} {
		_, stderr, code := runMlctl(t, invocation.arguments...)
		assert.Equal(t, code, invocation.code, "%v: %s", invocation.arguments, stderr)
		assert.Assert(t, strings.Contains(stderr, invocation.message), "%v: %s", invocation.arguments, stderr)
	}
}

func TestApplyConflict_ShowsOtherOperatorsChange(t *testing.T) {
	state := kv.New()
	server := httptest.NewServer(state.EtcdHandler())
	defer server.Close()
	document := fleet.TrialDocument()
	arguments := []string{"apply", "--store", server.URL, "--author"}
	_, stderr, code := runMlctl(t, append(arguments, "ana", writeDocument(t, document))...)
	assert.Equal(t, code, command.ExitDone, stderr)
	profile := document.Profiles[fleet.TrialProfile]
	profile.Queue = 7
	document.Profiles[fleet.TrialProfile] = profile
	stdout, stderr, code := runMlctl(t, append(arguments, "ioana", "--on", "2", writeDocument(t, document))...)
	assert.Equal(t, code, command.ExitDone, stderr)
	assert.Assert(t, strings.Contains(stdout, "~ profiles.quick.queue: 1000 -> 7"), stdout)
	assert.Assert(t, strings.Contains(stdout, "service trial-lm: its profile changes"), stdout)
	profile.Queue = 8
	document.Profiles[fleet.TrialProfile] = profile
	_, stderr, code = runMlctl(t, append(arguments, "ana", "--on", "2", writeDocument(t, document))...)
	assert.Equal(t, code, command.ExitConflict)
	assert.Assert(t, strings.Contains(stderr, "ioana applied revision"), stderr)
	assert.Assert(t, strings.Contains(stderr, "~ profiles.quick.queue: 1000 -> 7"), stderr)
}

func TestDrainAndRollback_BecomeActiveAtAllProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialDocument(), Service: fleet.TrialService, Domains: []string{"naxos", "paros"},
		Entries: 1, Engines: 2, Engine: engine.DefaultConfig("salt", fleet.TrialVersion),
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	settings := filepath.Join(t.TempDir(), "mlctl.json")
	text, err := json.Marshal(map[string]any{
		"store": f.Platform().StoreURLs, "processes": []string{f.Entries[0].OperatorAddress()},
		"token": fleet.OperatorToken, "author": "ana",
	})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(settings, text, 0o600))
	target := string(f.Members[0].Placement.Target)
	_, stderr, code := runMlctl(t, "drain", "--settings", settings, "--wait", "--timeout", "1m", "--reason", "memory errors", target)
	assert.Equal(t, code, command.ExitDone, stderr)
	assert.Assert(t, strings.Contains(stderr, "in force at all 3 processes"), stderr)
	stdout, stderr, code := runMlctl(t, "status", "--settings", settings)
	assert.Equal(t, code, command.ExitDone, stderr)
	assert.Equal(t, len(strings.Split(strings.TrimSpace(stdout), "\n")), 4, stdout)
	history, _, _ := runMlctl(t, "history", "--settings", settings)
	first := strings.Fields(strings.Split(history, "\n")[2])[0]
	_, stderr, code = runMlctl(t, "rollback", "--settings", settings, first)
	assert.Equal(t, code, command.ExitDone, stderr)
	current, _, _ := runMlctl(t, "get", "--settings", settings)
	assert.Assert(t, strings.Contains(current, "memory errors"), "a rollback keeps the drains: %s", current)
	_, stderr, code = runMlctl(t, "drain", "--settings", settings, "--undo", target)
	assert.Equal(t, code, command.ExitDone, stderr)
}
