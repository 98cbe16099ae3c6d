package soak

import (
	"context"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
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

func runSeed(t *testing.T, gateway string, seed uint64, faultDuration time.Duration) Report {
	t.Helper()
	options := DefaultOptions()
	options.GatewayPath, options.Directory, options.Seed, options.FaultDuration = gateway, t.TempDir(), seed, faultDuration
	return runSoak(t, options)
}

func runSoak(t *testing.T, options Options) Report {
	t.Helper()
	report, err := Run(context.Background(), options)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "seed %d:\n%s\n%s", options.Seed,
		strings.Join(report.Violations, "\n"), strings.Join(report.Schedule, "\n"))
	assert.Assert(t, report.RequestsByStatus["200"] > 0)
	return report
}

// The seed is one whose run has targets that leave and targets that shed.
func TestShortSoak(t *testing.T) {
	report := runSeed(t, buildGateway(t), 1, 6*time.Second)
	assert.Assert(t, report.Covered["crashes on a prompt part"] > 0, "%v", report.Covered)
	played := slices.Collect(maps.Keys(report.Faults))
	assert.Assert(t, slices.ContainsFunc(played, func(name string) bool { return strings.HasPrefix(name, "target-leaves") }), "%v", played)
	assert.Assert(t, slices.Contains(played, "target-sheds") || slices.Contains(played, "targets-shed"), "%v", played)
}

// The store comes back from an older copy once or twice beside all other faults. The seeds have not failed;
// one of them plays two drills.
func TestDrills(t *testing.T) {
	gateway := buildGateway(t)
	played := 0
	for _, seed := range []uint64{490003, 490102} {
		options := DefaultOptions()
		options.GatewayPath, options.Directory, options.Seed, options.FaultDuration = gateway, t.TempDir(), seed, 8*time.Second
		options.Drills = true
		played += runSoak(t, options).Faults["drill"]
	}
	assert.Assert(t, played >= 3, "%d drills", played)
}

// The configuration grows by many routes and changes in series, behind slow links to the store, beside all
// other faults, and beside planned work alone.
func TestGrowth(t *testing.T) {
	gateway := buildGateway(t)
	for seed, planned := range map[uint64]bool{520001: false, 520002: false, 520003: true} {
		options := DefaultOptions()
		options.GatewayPath, options.Directory, options.Seed, options.FaultDuration = gateway, t.TempDir(), seed, 8*time.Second
		options.Growth, options.PlannedOnly = true, planned
		assert.Equal(t, runSoak(t, options).Faults["grow"], 2)
	}
}

func TestPlannedWork_BreaksOffNoRequest(t *testing.T) {
	gateway := buildGateway(t)
	runSeeds(t, PlannedWorkSeeds, func(t *testing.T, seed uint64) {
		options := DefaultOptions()
		options.GatewayPath, options.Directory, options.Seed, options.FaultDuration = gateway, t.TempDir(), seed, 6*time.Second
		options.PlannedOnly = true
		runSoak(t, options)
	})
}

// parallelSeeds is how many seeds run at a time; more slow each other down.
const parallelSeeds = 3

func TestRegressionSeeds(t *testing.T) {
	gateway := buildGateway(t)
	runSeeds(t, RegressionSeeds, func(t *testing.T, seed uint64) {
		runSeed(t, gateway, seed, DefaultOptions().FaultDuration)
	})
}

func TestDrillSeeds(t *testing.T) {
	gateway := buildGateway(t)
	runSeeds(t, DrillSeeds, func(t *testing.T, seed uint64) {
		options := DefaultOptions()
		options.GatewayPath, options.Directory, options.Seed, options.Drills = gateway, t.TempDir(), seed, true
		runSoak(t, options)
	})
}

func runSeeds(t *testing.T, seeds []RegressionSeed, run func(t *testing.T, seed uint64)) {
	t.Helper()
	running := make(chan struct{}, parallelSeeds)
	for _, regression := range seeds {
		t.Run(strconv.FormatUint(regression.Seed, 10), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			run(t, regression.Seed)
		})
	}
}

// Each record and its executions violate one guarantee, which check must report.
func TestRequestCheck_FindsViolations(t *testing.T) {
	now := time.Now()
	execution := func(path, key, workspace string) replica.Execution {
		return replica.Execution{Path: path, APIKey: key, Workspace: workspace}
	}
	for name, test := range map[string]struct {
		record     requestRecord
		executions []replica.Execution
		want       string
	}{
		"twice":    {requestRecord{status: 200}, []replica.Execution{execution("/book/visit", "", "crew"), execution("/book/visit", "", "crew")}, "ran 2 times"},
		"refused":  {requestRecord{status: 503}, []replica.Execution{execution("/book/visit", "", "crew")}, "refused as not run"},
		"key":      {requestRecord{status: 200}, []replica.Execution{execution("/status/7", "k", "crew")}, "given the key"},
		"stranger": {requestRecord{status: 200}, []replica.Execution{execution("/status/7", "", "other")}, "workspace"},
		"revoked":  {requestRecord{status: 200, key: "old", sentAt: now.Add(revokeTimeout + time.Second)}, []replica.Execution{execution("/status/7", "", "crew")}, "taken away"},
	} {
		violations := test.record.check(test.executions, map[string]time.Time{"old": now})
		assert.Assert(t, len(violations) == 1 && strings.Contains(violations[0], test.want), "%s: %v", name, violations)
	}
	good := requestRecord{status: 200, key: "old", sentAt: now.Add(revokeTimeout - time.Second)}
	assert.Equal(t, len(good.check([]replica.Execution{execution("/book/visit", "", "crew")}, map[string]time.Time{"old": now})), 0)
}

func TestReadEvents_FindsIncompleteAndMisorderedStreams(t *testing.T) {
	stream := func(ids ...int) string {
		var text strings.Builder
		for _, id := range ids {
			text.WriteString("id: " + strconv.Itoa(id) + "\ndata: " + replica.EventData("r", id) + "\n\n")
		}
		return text.String()
	}
	complete := make([]int, streamEvents)
	for i := range complete {
		complete[i] = i + 1
	}
	read := func(body io.Reader) string {
		_, problem, _ := readEvents(body, "r", 0)
		return problem
	}
	assert.Equal(t, read(strings.NewReader(stream(complete...))), "")
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 2))), "ended as complete"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 3))), "came after"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(stream(1, 1))), "came after"))
	assert.Assert(t, strings.Contains(read(strings.NewReader(strings.Replace(stream(1), "data: ", "data: x", 1))), "another request"))
}

func TestFreeAddress_DrawsEachPortOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was drawn twice", address)
		seen[address] = true
		host, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		assert.Assert(t, host != "127.0.0.1", "another soak draws the same ports")
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Assert(t, port >= firstPort && port < lastPort)
	}
}

// A SIGHUP ends a process whose program does not run yet, whatever that program does.
func TestKeepRunning_HangupIsAFailureOnceTheProgramRuns(t *testing.T) {
	// Processes inherit an ignored SIGHUP, as under nohup, but not a handled one.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for name, test := range map[string]struct {
		script   string
		failures int
	}{
		"before": {"#!/bin/sh\nexec sleep 10\n", 0},
		"after":  {"#!/bin/sh\necho started\nexec sleep 10\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			d := &deployment{options: Options{GatewayPath: filepath.Join(directory, "gateway")}, stopping: make(chan struct{})}
			close(d.stopping)
			assert.NilError(t, os.WriteFile(d.options.GatewayPath, []byte(test.script), 0o700))
			p := &process{name: "entry-0", settingsPath: filepath.Join(directory, "entry-0.json")}
			// The log holds what an earlier process wrote.
			assert.NilError(t, os.WriteFile(p.logPath(), []byte("stopped\n"), 0o600))
			assert.NilError(t, d.startProcess(p))
			for test.failures > 0 && p.lastLogLine() != "started" {
				time.Sleep(time.Millisecond)
			}
			p.signal(syscall.SIGHUP)
			d.keepRunning(p)
			assert.Equal(t, len(d.failures), test.failures, "%v", d.failures)
		})
	}
}
