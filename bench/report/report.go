// Package report writes what an experiment measured as JSON and as one HTML page
// that needs no network, checks it against the targets, and compares two reports.
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

// The names of the files in a report's directory.
const (
	JSONFile = "report.json"
	PageFile = "report.html"
)

const filePermission = 0o644

// Machine says where an experiment was run.
type Machine struct {
	OS        string `json:"os"`
	Arch      string `json:"arch"`
	Cores     int    `json:"cores"`
	GoVersion string `json:"goVersion"`
}

// Report is what an experiment measured.
type Report struct {
	Experiment experiment.Experiment `json:"experiment"`
	Machine    Machine               `json:"machine"`
	Replicas   int                   `json:"replicas"`
	Entries    int                   `json:"entries"`
	// Limits says what the run does not model.
	Limits  []string             `json:"limits"`
	Runs    []measure.RunMetrics `json:"runs"`
	Targets []Target             `json:"targets,omitempty"`
}

// limits of every run of the tool.
var limits = []string{
	"All parts run in one process over loopback: latencies between failure domains and to callers are not modelled.",
	"The baselines' routers have one hop less than the product, and learn at once which engines exist.",
}

// New returns a report of runs, with its targets checked.
func New(e *experiment.Experiment, runs []measure.RunMetrics) *Report {
	place := e.ResolveDeployment()
	r := &Report{
		Experiment: *e,
		Machine:    Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, Cores: runtime.GOMAXPROCS(0), GoVersion: runtime.Version()},
		Replicas:   place.Replicas,
		Entries:    place.Entries,
		Limits:     limits,
		Runs:       runs,
	}
	r.compareWithReferences()
	r.Targets = targetsOf(r)
	return r
}

// compareWithReferences fills in what the undisturbed runs are needed for.
func (r *Report) compareWithReferences() {
	for i := range r.Runs {
		run := &r.Runs[i]
		reference := r.reference(run.Repetition)
		if run.Reference || run.Variant != experiment.Product || reference == nil || run.Work.Tokens == 0 || reference.Work.Tokens == 0 {
			continue
		}
		perToken := run.Work.Total / float64(run.Work.Tokens)
		undisturbed := reference.Work.Total / float64(reference.Work.Tokens)
		run.Work.OverReference = perToken/undisturbed - 1
	}
}

// reference returns the undisturbed run of a repetition, or nil.
func (r *Report) reference(repetition int) *measure.RunMetrics {
	for i := range r.Runs {
		if r.Runs[i].Reference && r.Runs[i].Repetition == repetition {
			return &r.Runs[i]
		}
	}
	return nil
}

// Write writes the report and its page to a directory.
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

// Read reads the report in a directory, or at the path of its JSON file.
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
