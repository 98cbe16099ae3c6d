package report

import (
	"fmt"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/measure"
)

// Target is one stated target and what was measured for it in one run.
type Target struct {
	Name       string  `json:"name"`
	Repetition int     `json:"repetition"`
	Measured   float64 `json:"measured"`
	// Bound is the highest value that meets the target; the lowest when AtLeast.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"atLeast,omitempty"`
	Met     bool    `json:"met"`
}

// The stated targets, in milliseconds or as ratios.
const (
	everyResumeMs      = 3000
	engineDeathMs      = 150
	hostSilentMs       = 1000
	domainLossMs       = 3000
	lakkosOverFloor    = 1.1
	restartExtra       = 0.01
	overloadUseful     = 0.95
	refusalMs          = 1000
	noisyFirstToken    = 1.2
	quick              = "vasilescu"
	thrifty            = "lakkos"
	overloadExperiment = "overload-2x"
	noisyExperiment    = "noisy-workspace"
	falseSuspicion     = "false-suspicion"
)

// checker collects the targets of one run.
type checker struct {
	report  *Report
	run     *measure.RunMetrics
	targets []Target
}

// targetsOf checks every disturbed run of the product.
func targetsOf(r *Report) []Target {
	var targets []Target
	for i := range r.Runs {
		if r.Runs[i].Reference || r.Runs[i].Variant != experiment.Product {
			continue
		}
		c := &checker{report: r, run: &r.Runs[i]}
		c.all()
		targets = append(targets, c.targets...)
	}
	return targets
}

func (c *checker) atMost(name string, measured, bound float64) {
	c.targets = append(c.targets, Target{Name: name, Repetition: c.run.Repetition, Measured: measured, Bound: bound, Met: measured <= bound})
}

func (c *checker) atLeast(name string, measured, bound float64) {
	c.targets = append(c.targets, Target{Name: name, Repetition: c.run.Repetition, Measured: measured, Bound: bound, AtLeast: true, Met: measured >= bound})
}

func (c *checker) all() {
	verdict := c.run.Verdict
	c.atMost("missing, repeated, foreign or mixed tokens", float64(verdict.Missing+verdict.Repeated+verdict.Foreign+verdict.Mixed+verdict.TextWrong), 0)
	c.atMost("answers cut off", float64(c.run.CutOff), 0)
	c.atMost("callers told nothing", float64(c.run.Unanswered), 0)
	c.atMost("interrupted generations not resumed", float64(c.run.Resume.NotResumed), 0)
	if c.run.Resume.Latency.Count > 0 && c.report.Experiment.Deployment == quick {
		c.atMost("resume latency, longest, ms", c.run.Resume.Latency.Max, everyResumeMs)
	}
	seen := map[experiment.FaultType]bool{}
	for _, fault := range c.report.Experiment.Faults {
		if !seen[fault.Type] {
			seen[fault.Type] = true
			c.fault(fault.Type)
		}
	}
	c.named()
}

// fault adds the targets that go with a type of fault.
func (c *checker) fault(kind experiment.FaultType) {
	quickly := c.report.Experiment.Deployment == quick
	switch {
	case kind == experiment.EngineDeath && quickly:
		c.atMost("resume latency less prefill, p99, ms", c.run.Resume.LessPrefill.P99, engineDeathMs)
	case kind == experiment.HostSilent && quickly:
		c.atMost("resume latency, p99, ms", c.run.Resume.Latency.P99, hostSilentMs)
	case kind == experiment.DomainLoss && quickly:
		c.atMost("resume latency, p99, ms", c.run.Resume.Latency.P99, domainLossMs)
	case (kind == experiment.EngineDeath || kind == experiment.PauseReturn) && c.run.Work.FloorExtra > 0:
		c.atMost("extra resource use over the floor", c.run.Work.OverFloor, lakkosOverFloor)
	case kind == experiment.RollingRestart:
		c.atMost("work for a leaving target after 2 s", float64(c.run.LateWork), 0)
		if !quickly && c.report.reference(c.run.Repetition) != nil {
			c.atMost("extra resource use over undisturbed", c.run.Work.OverReference, restartExtra)
		}
	}
}

// named adds the targets that go with the name of an experiment.
func (c *checker) named() {
	name := c.report.Experiment.Name
	reference := c.report.reference(c.run.Repetition)
	switch {
	case reference != nil && hasSuffix(name, overloadExperiment):
		c.atLeast("useful answers over those at capacity", ratio(float64(c.run.UsefulInTime), float64(reference.UsefulInTime)), overloadUseful)
		for _, refusal := range c.run.Refusals {
			c.atMost(fmt.Sprintf("refusals %s not told as not run", refusal.Kind), float64(refusal.Count-refusal.NotRun), 0)
			c.atMost(fmt.Sprintf("refusals %s, p99 from the request, ms", refusal.Kind), refusal.Delay.P99, refusalMs)
		}
	case reference != nil && hasSuffix(name, noisyExperiment):
		c.atMost("first token of small workspaces over alone, p99", ratio(c.run.SmallWorkspaceFirstToken.P99, reference.SmallWorkspaceFirstToken.P99), noisyFirstToken)
	case hasSuffix(name, falseSuspicion):
		c.atMost("attempts changed without a fault", float64(c.run.ChangedWithoutFault), 0)
	}
}

// hasSuffix says whether name is a deployment followed by the experiment.
func hasSuffix(name, experiment string) bool {
	return name == quick+"-"+experiment || name == thrifty+"-"+experiment
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
