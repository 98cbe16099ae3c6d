// Package measure works out the figures of a run: resume latency, extra resource
// use, correctness of every answer, delays, refusals and the load over targets.
package measure

import (
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
)

// RunMetrics is what was measured in one run. All times are in milliseconds.
type RunMetrics struct {
	Variant    experiment.Variant `json:"variant"`
	Repetition int                `json:"repetition"`
	// Reference says that the run was undisturbed.
	Reference bool `json:"reference"`

	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Useful counts complete answers within the deadline of the profile.
	Useful int `json:"useful"`
	// UsefulInTime counts those of them that ended while requests were still sent,
	// so that an overload cannot be worked off afterwards.
	UsefulInTime int `json:"usefulInTime"`
	// CutOff counts answers that broke off after their first token.
	CutOff int `json:"cutOff"`
	// Unanswered counts requests whose caller was told nothing.
	Unanswered int            `json:"unanswered"`
	Verdict    caller.Verdict `json:"verdict"`
	Refusals   []Refusal      `json:"refusals,omitempty"`

	Resume Resume `json:"resume"`
	Work   Work   `json:"work"`

	FirstToken    Percentiles `json:"firstToken"`
	BetweenTokens Percentiles `json:"betweenTokens"`
	Whole         Percentiles `json:"whole"`
	// SmallWorkspaceFirstToken is the first token of the small workspaces alone.
	SmallWorkspaceFirstToken Percentiles `json:"smallFirstToken"`

	// ChangedWithoutFault counts attempts that were given up on targets that no
	// fault struck.
	ChangedWithoutFault int `json:"changedWithoutFault"`
	// LateWork counts generations that a leaving target got over lateAfter after
	// it was told to leave.
	LateWork int `json:"lateWork"`
	// Imbalance is the mean over time of the deepest target over the mean target.
	Imbalance float64 `json:"imbalance"`

	Strikes []Strike `json:"strikes,omitempty"`
	Load    []Sample `json:"load,omitempty"`
}

// Refusal counts the refusals of one error kind.
type Refusal struct {
	Kind    string      `json:"kind"`
	Count   int         `json:"count"`
	NotRun  int         `json:"notRun"`
	Unknown int         `json:"unknown"`
	Delay   Percentiles `json:"delay"`
}

// Strike is one fault on the time line.
type Strike struct {
	Type        experiment.FaultType `json:"type"`
	At          float64              `json:"at"`
	Until       float64              `json:"until,omitempty"`
	Targets     []string             `json:"targets,omitempty"`
	Entries     []int                `json:"entries,omitempty"`
	Interrupted int                  `json:"interrupted"`
}

// Sample is the depth of every target at one instant.
type Sample struct {
	At    float64 `json:"at"`
	Depth []int   `json:"depth"`
}

// lateAfter is how long a leaving target may still get new work.
const lateAfter = 2 * time.Second

// Analyze works out the figures of a run.
func Analyze(run *load.Run) RunMetrics {
	f := RunMetrics{Variant: run.Variant, Repetition: run.Repetition, Reference: run.Reference, Requests: len(run.Results)}
	countAnswers(run, &f)
	measureDelays(run, &f)
	resumes := measureResumes(run)
	f.Resume = resumes.resume
	f.Work = workOf(run, resumes.lost)
	f.ChangedWithoutFault = changedWithoutFault(run)
	f.LateWork = lateWork(run)
	measureLoad(run, &f)
	for _, s := range run.FaultEvents {
		f.Strikes = append(f.Strikes, strikeOf(run, s))
	}
	return f
}

func strikeOf(run *load.Run, s load.FaultEvent) Strike {
	strike := Strike{Type: s.Type, At: millis(s.At.Sub(run.Start)), Targets: s.Targets, Entries: s.Entries, Interrupted: len(s.Interrupted)}
	if !s.Until.IsZero() {
		strike.Until = millis(s.Until.Sub(run.Start))
	}
	return strike
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func countAnswers(run *load.Run, f *RunMetrics) {
	place := run.Experiment.ResolveDeployment()
	deadline := run.Experiment.Deadline()
	refusals := newRefusals()
	for _, reply := range run.Results {
		switch {
		case reply.Complete():
			f.Complete++
			verdict := caller.Check(load.Salt, place.Version, reply.CompletionRequest, reply.Response)
			f.Verdict = f.Verdict.Add(verdict)
			if verdict.OK() && (deadline == 0 || reply.Ended.Sub(reply.IntendedStart) <= deadline) {
				f.Useful++
				if reply.Ended.Sub(run.Start) <= run.Experiment.Duration.Std() {
					f.UsefulInTime++
				}
			}
			continue
		case reply.Refused():
			refusals.add(reply)
		case len(reply.Response.Tokens) > 0:
			f.CutOff++
		default:
			f.Unanswered++
		}
		f.Verdict = f.Verdict.Add(caller.CheckPrefix(load.Salt, place.Version, reply.CompletionRequest, reply.Response))
	}
	f.Refusals = refusals.list()
}

func measureDelays(run *load.Run, f *RunMetrics) {
	first, between, whole, small := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, reply := range run.Results {
		arrivals := reply.Response.Arrivals
		if len(arrivals) == 0 {
			continue
		}
		delay := arrivals[0].At.Sub(reply.IntendedStart)
		if !reply.Request.Noisy {
			first.add(delay)
		}
		if reply.Request.Workspace.Small() {
			small.add(delay)
		}
		for i := 1; i < len(arrivals); i++ {
			between.add(arrivals[i].At.Sub(arrivals[i-1].At))
		}
		if reply.Complete() {
			whole.add(reply.Ended.Sub(reply.IntendedStart))
		}
	}
	f.FirstToken = first.percentiles()
	f.BetweenTokens = between.percentiles()
	f.Whole = whole.percentiles()
	f.SmallWorkspaceFirstToken = small.percentiles()
}

// changedWithoutFault counts the attempts that were given up on targets that no
// fault ever struck: of all attempts at a request there, one is the good one.
func changedWithoutFault(run *load.Run) int {
	struck := map[string]bool{}
	for _, strike := range run.FaultEvents {
		for _, target := range strike.Targets {
			struck[target] = true
		}
	}
	sound := map[string]int{}
	for _, account := range run.Engines {
		for _, record := range account.Records {
			if !struck[account.Target] {
				sound[record.RequestID]++
			}
		}
	}
	count := 0
	for _, attempts := range sound {
		count += attempts - 1
	}
	return count
}

func lateWork(run *load.Run) int {
	count := 0
	for _, account := range run.Engines {
		if account.DrainStarted.IsZero() {
			continue
		}
		for _, record := range account.Records {
			if record.Arrived.Sub(account.DrainStarted) > lateAfter {
				count++
			}
		}
	}
	return count
}

func measureLoad(run *load.Run, f *RunMetrics) {
	ratios, counted := 0.0, 0
	for _, sample := range run.Samples {
		f.Load = append(f.Load, Sample{At: millis(sample.At.Sub(run.Start)), Depth: sample.Depth})
		sum, deepest := 0, 0
		for _, depth := range sample.Depth {
			sum += depth
			deepest = max(deepest, depth)
		}
		if sum >= len(sample.Depth) {
			ratios += float64(deepest) * float64(len(sample.Depth)) / float64(sum)
			counted++
		}
	}
	if counted > 0 {
		f.Imbalance = ratios / float64(counted)
	}
}
