package report

import (
	"fmt"

	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/measure"
)

// Objective is one performance objective and the value measured for it in one run.
type Objective struct {
	Name       string  `json:"name"`
	Repetition int     `json:"repetition"`
	Measured   float64 `json:"measured"`
	// Bound is the highest value that meets the objective, or the lowest if AtLeast
	// is set.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"atLeast,omitempty"`
	Met     bool    `json:"met"`
}

// Bounds of the objectives, in milliseconds or as ratios, and the deployments and
// experiments that they apply to.
const (
	maxResumeMs                    = 3000
	maxEngineDeathLessPrefillP99Ms = 150
	maxHostSilentP99Ms             = 1000
	maxDomainLossP99Ms             = 3000
	maxOverFloor                   = 1.1
	maxRestartOverReference        = 0.01
	minOverloadUsefulRatio         = 0.95
	maxRefusalDelayP99Ms           = 1000
	maxNoisyFirstTokenRatio        = 1.2
	vasilescuDeployment            = "vasilescu"
	lakkosDeployment               = "lakkos"
	overloadExperiment             = "overload-2x"
	noisyExperiment                = "noisy-workspace"
	falseSuspicionExperiment       = "false-suspicion"
)

// objectiveChecker collects the objectives of one run.
type objectiveChecker struct {
	report     *Report
	run        *measure.RunMetrics
	objectives []Objective
}

// checkObjectives checks every run of the product that is not a reference run.
func checkObjectives(r *Report) []Objective {
	var objectives []Objective
	for i := range r.Runs {
		if r.Runs[i].Reference || r.Runs[i].Variant != experiment.Product {
			continue
		}
		checker := &objectiveChecker{report: r, run: &r.Runs[i]}
		checker.checkAll()
		objectives = append(objectives, checker.objectives...)
	}
	return objectives
}

func (c *objectiveChecker) atMost(name string, measured, bound float64) {
	c.objectives = append(c.objectives, Objective{Name: name, Repetition: c.run.Repetition, Measured: measured, Bound: bound, Met: measured <= bound})
}

func (c *objectiveChecker) atLeast(name string, measured, bound float64) {
	c.objectives = append(c.objectives, Objective{Name: name, Repetition: c.run.Repetition, Measured: measured, Bound: bound, AtLeast: true, Met: measured >= bound})
}

func (c *objectiveChecker) checkAll() {
	verdict := c.run.Verdict
	c.atMost("missing, repeated, foreign or mixed tokens", float64(verdict.Missing+verdict.Repeated+verdict.Foreign+verdict.Mixed+verdict.TextWrong), 0)
	c.atMost("answers cut off", float64(c.run.CutOff), 0)
	c.atMost("callers told nothing", float64(c.run.Unanswered), 0)
	c.atMost("interrupted generations not resumed", float64(c.run.Resume.NotResumed), 0)
	if c.run.Resume.Latency.Count > 0 && c.report.Experiment.Deployment == vasilescuDeployment {
		c.atMost("resume latency, longest, ms", c.run.Resume.Latency.Max, maxResumeMs)
	}
	seen := map[experiment.FaultType]bool{}
	for _, fault := range c.report.Experiment.Faults {
		if !seen[fault.Type] {
			seen[fault.Type] = true
			c.checkFaultType(fault.Type)
		}
	}
	c.checkNamedExperiment()
}

// checkFaultType adds the objectives that apply to a type of fault.
func (c *objectiveChecker) checkFaultType(faultType experiment.FaultType) {
	isVasilescu := c.report.Experiment.Deployment == vasilescuDeployment
	switch {
	case faultType == experiment.EngineDeath && isVasilescu:
		c.atMost("resume latency less prefill, p99, ms", c.run.Resume.LessPrefill.P99, maxEngineDeathLessPrefillP99Ms)
	case faultType == experiment.HostSilent && isVasilescu:
		c.atMost("resume latency, p99, ms", c.run.Resume.Latency.P99, maxHostSilentP99Ms)
	case faultType == experiment.DomainLoss && isVasilescu:
		c.atMost("resume latency, p99, ms", c.run.Resume.Latency.P99, maxDomainLossP99Ms)
	case (faultType == experiment.EngineDeath || faultType == experiment.PauseReturn) && c.run.Work.FloorExtra > 0:
		c.atMost("extra resource use over the floor", c.run.Work.OverFloor, maxOverFloor)
	case faultType == experiment.RollingRestart:
		c.atMost("work for a leaving target after 2 s", float64(c.run.LateWork), 0)
		if !isVasilescu && c.report.referenceRun(c.run.Repetition) != nil {
			c.atMost("extra resource use over undisturbed", c.run.Work.OverReference, maxRestartOverReference)
		}
	}
}

// checkNamedExperiment adds the objectives that depend on the name of the experiment.
func (c *objectiveChecker) checkNamedExperiment() {
	name := c.report.Experiment.Name
	reference := c.report.referenceRun(c.run.Repetition)
	switch {
	case reference != nil && isDeploymentExperiment(name, overloadExperiment):
		c.atLeast("useful answers over those at capacity", ratio(float64(c.run.UsefulInTime), float64(reference.UsefulInTime)), minOverloadUsefulRatio)
		for _, refusal := range c.run.Refusals {
			c.atMost(fmt.Sprintf("refusals %s not told as not run", refusal.Kind), float64(refusal.Count-refusal.NotRun), 0)
			c.atMost(fmt.Sprintf("refusals %s, p99 from the request, ms", refusal.Kind), refusal.Delay.P99, maxRefusalDelayP99Ms)
		}
	case reference != nil && isDeploymentExperiment(name, noisyExperiment):
		c.atMost("first token of small workspaces over alone, p99", ratio(c.run.SmallWorkspaceFirstToken.P99, reference.SmallWorkspaceFirstToken.P99), maxNoisyFirstTokenRatio)
	case isDeploymentExperiment(name, falseSuspicionExperiment):
		c.atMost("attempts changed without a fault", float64(c.run.ChangedWithoutFault), 0)
	}
}

// isDeploymentExperiment reports whether name is a deployment and the experiment,
// joined by a hyphen.
func isDeploymentExperiment(name, experiment string) bool {
	return name == vasilescuDeployment+"-"+experiment || name == lakkosDeployment+"-"+experiment
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
