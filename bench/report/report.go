// Package report writes the results of an experiment as JSON and as a self-contained
// HTML page, checks them against the performance objectives, and compares two
// reports.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/measure"
)

// Names of the files in the directory of a report.
const (
	JSONFile = "report.json"
	PageFile = "report.html"
)

const filePermission = 0o644

// Machine describes the machine that an experiment ran on.
type Machine struct {
	OS        string `json:"os"`
	Arch      string `json:"arch"`
	Cores     int    `json:"cores"`
	GoVersion string `json:"goVersion"`
}

// Report holds the results of an experiment.
type Report struct {
	Experiment experiment.Experiment `json:"experiment"`
	Machine    Machine               `json:"machine"`
	Replicas   int                   `json:"replicas"`
	Entries    int                   `json:"entries"`
	// Limits states what the runs do not model.
	Limits  []string             `json:"limits"`
	Runs    []measure.RunMetrics `json:"runs"`
	Targets []Objective          `json:"targets,omitempty"`
}

// limits are the modelling limits that apply to every run.
var limits = []string{
	"All parts run in one process over loopback: latencies between failure domains and to callers are not modelled.",
	"The baselines' routers have one hop less than the product, and learn at once which engines exist.",
}

// New returns a report of runs with its objectives checked.
func New(e *experiment.Experiment, runs []measure.RunMetrics) *Report {
	deployment := e.ResolveDeployment()
	r := &Report{
		Experiment: *e,
		Machine:    Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, Cores: runtime.GOMAXPROCS(0), GoVersion: runtime.Version()},
		Replicas:   deployment.Replicas,
		Entries:    deployment.Entries,
		Limits:     limits,
		Runs:       runs,
	}
	r.compareWithReferenceRuns()
	r.Targets = checkObjectives(r)
	return r
}

// compareWithReferenceRuns sets OverReference in the runs of the product that have a
// reference run.
func (r *Report) compareWithReferenceRuns() {
	for i := range r.Runs {
		run := &r.Runs[i]
		reference := r.referenceRun(run.Repetition)
		if run.Reference || run.Variant != experiment.Product || reference == nil || run.Work.Tokens == 0 || reference.Work.Tokens == 0 {
			continue
		}
		perToken := run.Work.Total / float64(run.Work.Tokens)
		undisturbed := reference.Work.Total / float64(reference.Work.Tokens)
		run.Work.OverReference = perToken/undisturbed - 1
	}
}

// referenceRun returns the reference run of a repetition, or nil.
func (r *Report) referenceRun(repetition int) *measure.RunMetrics {
	for i := range r.Runs {
		if r.Runs[i].Reference && r.Runs[i].Repetition == repetition {
			return &r.Runs[i]
		}
	}
	return nil
}

// Write writes the report as JSON and HTML into a directory.
func (r *Report) Write(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if err := os.WriteFile(filepath.Join(directory, JSONFile), data, filePermission); err != nil {
		return errors.Wrap(err, "report")
	}
	page, err := r.Page()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(directory, PageFile), page, filePermission), "page")
}

// Read reads the report at path, which is its directory or its JSON file.
func Read(path string) (*Report, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, JSONFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	var r Report
	return &r, errors.Wrap(json.Unmarshal(data, &r), path)
}
