package report_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/measure"
	"github.com/mulberrylane/mulberrylane/bench/report"
)

func TestWriteObjectives_ReportsMissedObjective(t *testing.T) {
	e := &experiment.Experiment{
		Name: "vasilescu-host-silent", Deployment: "vasilescu",
		Faults: []experiment.Fault{{Type: experiment.HostSilent}},
	}
	metrics := measure.RunMetrics{Variant: experiment.Product}
	metrics.Resume.Latency = measure.Percentiles{Count: 5, P99: 1001, Max: 1001}
	baseline := measure.RunMetrics{Variant: experiment.RoundRobin, CutOff: 3}
	var table strings.Builder
	missed := report.New(e, []measure.RunMetrics{metrics, baseline}).WriteObjectives(&table)
	assert.Equal(t, missed, 1)
	assert.Assert(t, strings.Contains(table.String(), "MISSED  #0  resume latency, p99, ms"), table.String())
}

func TestOverloadObjectives_CompareWithReference(t *testing.T) {
	e := &experiment.Experiment{Name: "lakkos-overload-2x", Deployment: "lakkos"}
	reference := measure.RunMetrics{Variant: experiment.Product, Reference: true, UsefulInTime: 100}
	metrics := measure.RunMetrics{Variant: experiment.Product, UsefulInTime: 94}
	metrics.Refusals = []measure.Refusal{{Kind: "overloaded", Count: 2, NotRun: 1}}
	missed := report.New(e, []measure.RunMetrics{reference, metrics}).WriteObjectives(&strings.Builder{})
	assert.Equal(t, missed, 2)
}

func TestRestartObjective_ComparesWorkPerToken(t *testing.T) {
	e := &experiment.Experiment{Name: "lakkos-rolling-restart", Deployment: "lakkos", Faults: []experiment.Fault{{Type: experiment.RollingRestart}}}
	reference := measure.RunMetrics{Variant: experiment.Product, Reference: true, Work: measure.Work{Total: 100, Tokens: 100}}
	metrics := measure.RunMetrics{Variant: experiment.Product, Work: measure.Work{Total: 102, Tokens: 100}}
	r := report.New(e, []measure.RunMetrics{reference, metrics})
	assert.Equal(t, r.WriteObjectives(&strings.Builder{}), 1)
	assert.Assert(t, r.Runs[1].Work.OverReference > 0.0199)
}
