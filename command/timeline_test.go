package command_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/command"
	"github.com/mulberrylane/mulberrylane/process/timeline"
)

// run runs mlctl with the given arguments.
func run(args ...string) (stdout, stderr string, err error) {
	var out, problems bytes.Buffer
	root := command.NewRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&problems)
	err = root.Execute()
	return out.String(), problems.String(), err
}

func TestTimelineMergesProcesses(t *testing.T) {
	entry := timeline.NewRecorder("entry-1", 8)
	agent := timeline.NewRecorder("agent-1", 8)
	sent := entry.Record(timeline.Event{Kind: timeline.AttemptStarted, Request: "r", Attempt: 1})
	agent.Observe(sent)
	agent.Record(timeline.Event{Kind: timeline.AttemptBegan, Request: "r", Attempt: 1})
	agent.Record(timeline.Event{Kind: timeline.AttemptBegan, Request: "other", Attempt: 1})
	first := httptest.NewServer(entry.Handler())
	defer first.Close()
	second := httptest.NewServer(agent.Handler())
	defer second.Close()
	gone := httptest.NewServer(agent.Handler())
	gone.Close()

	out, problems, err := run("timeline", "--request", "r",
		"--process", strings.TrimPrefix(first.URL, "http://"),
		"--process", strings.TrimPrefix(second.URL, "http://"),
		"--process", strings.TrimPrefix(gone.URL, "http://"))
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 2, out)
	assert.Assert(t, strings.Contains(lines[0], "attempt-started"))
	assert.Assert(t, strings.Contains(lines[1], "attempt-began"))
	assert.Assert(t, strings.Contains(problems, "not reached"))
}

func TestTimelineNeedsAProcess(t *testing.T) {
	_, _, err := run("timeline")
	assert.ErrorContains(t, err, "set --process or --host-list")
	_, _, err = run("timeline", "--process", "127.0.0.1:1", "-o", "yaml")
	assert.ErrorContains(t, err, "output:")
}
