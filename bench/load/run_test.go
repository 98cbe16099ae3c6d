package load_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
	"github.com/mulberrylane/mulberrylane/bench/measure"
	"github.com/mulberrylane/mulberrylane/bench/report"
)

const smallExperiment = `{"name": "vasilescu-engine-death", "kind": "generations", "deployment": "vasilescu",
	"replicas": 3, "entries": 2, "arrivals": {"load": 0.3},
	"prompt": {"median": 60, "long": 200, "longShare": 0.1, "spread": 0.3, "max": 400},
	"answer": {"median": 40, "long": 80, "longShare": 0.1, "spread": 0.3, "max": 200},
	"engine": {"step": "15ms", "perSequence": "200us", "prefillPerToken": "20us", "batch": 8, "jitter": 0.1},
	"faults": [{"at": "1500ms", "type": "engine-death", "count": 1}],
	"variants": ["product", "rerun-from-prompt"], "reference": true,
	"seed": 7, "repetitions": 1, "duration": "3s", "drain": "60s"}`

// TestExecute_ProducesReport runs the product and a baseline through the death of an
// engine and writes a report of both.
func TestExecute_ProducesReport(t *testing.T) {
	e, err := experiment.Decode([]byte(smallExperiment))
	assert.NilError(t, err)
	var runs []measure.RunMetrics
	for _, variant := range e.Variants {
		run, err := load.Execute(t.Context(), e, variant, 0, func(load.Status) {})
		assert.NilError(t, err)
		metrics := measure.Analyze(run)
		assert.Equal(t, metrics.Requests, len(e.Plan(0)))
		assert.Equal(t, metrics.Complete, metrics.Requests)
		assert.Assert(t, metrics.Verdict.OK(), "%+v", metrics.Verdict)
		assert.Equal(t, len(metrics.Strikes), 1)
		assert.Assert(t, metrics.Work.Total >= metrics.Work.Useful)
		runs = append(runs, metrics)
	}
	directory := t.TempDir()
	assert.NilError(t, report.New(e, runs).Write(directory))
	checkReport(t, directory)
}

func checkReport(t *testing.T, directory string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(directory, report.PageFile))
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(page, []byte("<svg")), 3)
	assert.Assert(t, !bytes.Contains(page, []byte("<script")))
	reread, err := report.Read(directory)
	assert.NilError(t, err)
	var table strings.Builder
	assert.NilError(t, report.Compare(&table, reread, reread))
	assert.Assert(t, strings.Contains(table.String(), "1.000"))
}
