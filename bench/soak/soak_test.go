package soak

import (
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "mlgateway")
	build := exec.Command("go", "build", "-o", path, "../../cmd/mlgateway")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	return path
}

func play(t *testing.T, gateway string, seed uint64, faulty time.Duration) {
	t.Helper()
	options := DefaultOptions()
	options.GatewayPath, options.Directory, options.Seed, options.FaultDuration = gateway, t.TempDir(), seed, faulty
	report, err := Run(context.Background(), options)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "seed %d:\n%s\n%s", seed,
		strings.Join(report.Violations, "\n"), strings.Join(report.Schedule, "\n"))
	assert.Assert(t, report.RequestsByStatus["200"] > 0)
}

func TestShortSoak(t *testing.T) {
	play(t, buildGateway(t), 1, 4*time.Second)
}

func TestKeptSeeds(t *testing.T) {
	gateway := buildGateway(t)
	for _, kept := range KeptSeeds {
		t.Run(strconv.FormatUint(kept.Seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, gateway, kept.Seed, DefaultOptions().FaultDuration)
		})
	}
}

// The checks must see what they are there for.
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	run := func(path, key, workspace string) replica.Execution {
		return replica.Execution{Path: path, APIKey: key, Workspace: workspace}
	}
	for name, test := range map[string]struct {
		sent sent
		runs []replica.Execution
		want string
	}{
		"twice":    {sent{status: 200}, []replica.Execution{run("/book/visit", "", "crew"), run("/book/visit", "", "crew")}, "ran 2 times"},
		"refused":  {sent{status: 503}, []replica.Execution{run("/book/visit", "", "crew")}, "refused as not run"},
		"key":      {sent{status: 200}, []replica.Execution{run("/status/7", "k", "crew")}, "given the key"},
		"stranger": {sent{status: 200}, []replica.Execution{run("/status/7", "", "other")}, "workspace"},
		"revoked":  {sent{status: 200, key: "old", at: now.Add(revokeWithin + time.Second)}, []replica.Execution{run("/status/7", "", "crew")}, "taken away"},
	} {
		broken := test.sent.check(test.runs, map[string]time.Time{"old": now})
		assert.Assert(t, len(broken) == 1 && strings.Contains(broken[0], test.want), "%s: %v", name, broken)
	}
	good := sent{status: 200, key: "old", at: now.Add(revokeWithin - time.Second)}
	assert.Equal(t, len(good.check([]replica.Execution{run("/book/visit", "", "crew")}, map[string]time.Time{"old": now})), 0)
}

func TestStreamsAreChecked(t *testing.T) {
	stream := func(ids ...int) string {
		var text strings.Builder
		for _, id := range ids {
			text.WriteString("id: " + strconv.Itoa(id) + "\ndata: " + replica.EventData("r", id) + "\n\n")
		}
		return text.String()
	}
	whole := make([]int, events)
	for i := range whole {
		whole[i] = i + 1
	}
	read := func(body io.Reader) string {
		_, problem, _ := readEvents(body, "r", 0)
		return problem
	}
	assert.Equal(t, read(strings.NewReader(stream(whole...))), "")
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 2))), "ended as complete"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 3))), "came after"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 1))), "came after"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(strings.Replace(stream(1), "data: ", "data: x", 1))), "another request"))
}

func TestEntriesGetPortsThatNobodyElseIsGiven(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was drawn twice", address)
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Assert(t, port >= firstPort && port < lastPort)
	}
}
