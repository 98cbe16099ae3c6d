package command_test

import (
	"bytes"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/command"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

// execute runs mlctl with args and returns its output and its error.
func execute(args ...string) (stdout, stderr string, err error) {
	var out, errOut bytes.Buffer
	root := command.NewRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err = root.Execute()
	return out.String(), errOut.String(), err
}

func TestTimeline_MergesReachableProcesses(t *testing.T) {
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
	unreachable, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	assert.NilError(t, unreachable.Close())

	out, stderr, err := execute("timeline", "--request", "r",
		"--process", strings.TrimPrefix(first.URL, "http://"),
		"--process", strings.TrimPrefix(second.URL, "http://"),
		"--process", unreachable.Addr().String())
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 2, out)
	assert.Assert(t, strings.Contains(lines[0], "attempt-started"))
	assert.Assert(t, strings.Contains(lines[1], "attempt-began"))
	assert.Assert(t, strings.Contains(stderr, "not reached"))
}

func TestTimeline_RequiresProcessAndKnownFormat(t *testing.T) {
	_, _, err := execute("timeline")
	assert.ErrorContains(t, err, "set --process or --host-list")
	_, _, err = execute("timeline", "--process", "127.0.0.1:1", "-o", "yaml")
	assert.ErrorContains(t, err, "output:")
}
