// Package measure computes the metrics of a run: resume latency, extra resource use,
// correctness of every response, latencies, refusals and the balance of load over
// targets.
package measure

import (
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
	"github.com/mulberrylane/mulberrylane/bench/load"
)

// RunMetrics holds the metrics of one run. All times are in milliseconds.
type RunMetrics struct {
	Variant    experiment.Variant `json:"variant"`
	Repetition int                `json:"repetition"`
	// Reference marks the reference run: no faults, no noise.
	Reference bool `json:"reference"`

	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Useful counts correct responses that completed within the deadline of the
	// profile.
	Useful int `json:"useful"`
	// UsefulInTime counts the useful responses that ended while requests were still
	// being sent. A backlog worked off after the end of an overload does not count.
	UsefulInTime int `json:"usefulInTime"`
	// CutOff counts responses that broke off after their first token.
	CutOff int `json:"cutOff"`
	// Unanswered counts requests whose caller got neither a token nor an outcome.
	Unanswered int            `json:"unanswered"`
	Verdict    caller.Verdict `json:"verdict"`
	Refusals   []Refusal      `json:"refusals,omitempty"`

	Resume Resume `json:"resume"`
	Work   Work   `json:"work"`

	FirstToken    Percentiles `json:"firstToken"`
	BetweenTokens Percentiles `json:"betweenTokens"`
	Whole         Percentiles `json:"whole"`
	// SmallWorkspaceFirstToken is the time to first token of small workspaces only.
	SmallWorkspaceFirstToken Percentiles `json:"smallFirstToken"`

	// ChangedWithoutFault counts attempts abandoned on targets that no fault affected.
	ChangedWithoutFault int `json:"changedWithoutFault"`
	// LateWork counts generations that reached a draining target more than
	// newWorkGracePeriod after its drain began.
	LateWork int `json:"lateWork"`
	// Imbalance is the ratio of the highest depth of any target to the mean depth,
	// averaged over time.
	Imbalance float64 `json:"imbalance"`

	Strikes []FaultEvent `json:"strikes,omitempty"`
	Load    []Sample     `json:"load,omitempty"`
}

// Refusal counts the refusals of one error kind.
type Refusal struct {
	Kind    string      `json:"kind"`
	Count   int         `json:"count"`
	NotRun  int         `json:"notRun"`
	Unknown int         `json:"unknown"`
	Delay   Percentiles `json:"delay"`
}

// FaultEvent is one fault on the time line, in milliseconds after the start.
type FaultEvent struct {
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

// newWorkGracePeriod is how long after the start of its drain a target may still get
// new work.
const newWorkGracePeriod = 2 * time.Second

// Analyze computes the metrics of a run.
func Analyze(run *load.Run) RunMetrics {
	metrics := RunMetrics{Variant: run.Variant, Repetition: run.Repetition, Reference: run.Reference, Requests: len(run.Results)}
	countResponses(run, &metrics)
	measureLatencies(run, &metrics)
	resumes := measureResumes(run)
	metrics.Resume = resumes.resume
	metrics.Work = measureWork(run, resumes.lostTokens)
	metrics.ChangedWithoutFault = changedWithoutFault(run)
	metrics.LateWork = lateWork(run)
	measureLoad(run, &metrics)
	for _, event := range run.FaultEvents {
		metrics.Strikes = append(metrics.Strikes, faultEventOf(run, event))
	}
	return metrics
}

func faultEventOf(run *load.Run, injected load.FaultEvent) FaultEvent {
	event := FaultEvent{Type: injected.Type, At: millis(injected.At.Sub(run.Start)), Targets: injected.Targets, Entries: injected.Entries, Interrupted: len(injected.Interrupted)}
	if !injected.Until.IsZero() {
		event.Until = millis(injected.Until.Sub(run.Start))
	}
	return event
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func countResponses(run *load.Run, metrics *RunMetrics) {
	deployment := run.Experiment.ResolveDeployment()
	deadline := run.Experiment.Deadline()
	refusals := newRefusals()
	for _, result := range run.Results {
		switch {
		case result.Complete():
			metrics.Complete++
			verdict := caller.Check(load.Salt, deployment.Version, result.CompletionRequest, result.Response)
			metrics.Verdict = metrics.Verdict.Add(verdict)
			if verdict.OK() && (deadline == 0 || result.Ended.Sub(result.IntendedStart) <= deadline) {
				metrics.Useful++
				if result.Ended.Sub(run.Start) <= run.Experiment.Duration.Std() {
					metrics.UsefulInTime++
				}
			}
			continue
		case result.Refused():
			refusals.add(result)
		case len(result.Response.Tokens) > 0:
			metrics.CutOff++
		default:
			metrics.Unanswered++
		}
		metrics.Verdict = metrics.Verdict.Add(caller.CheckPrefix(load.Salt, deployment.Version, result.CompletionRequest, result.Response))
	}
	metrics.Refusals = refusals.list()
}

func measureLatencies(run *load.Run, metrics *RunMetrics) {
	firstToken, betweenTokens, complete, smallFirstToken := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, result := range run.Results {
		arrivals := result.Response.Arrivals
		if len(arrivals) == 0 {
			continue
		}
		delay := arrivals[0].At.Sub(result.IntendedStart)
		if !result.Request.Noisy {
			firstToken.add(delay)
		}
		if result.Request.Workspace.Small() {
			smallFirstToken.add(delay)
		}
		for i := 1; i < len(arrivals); i++ {
			betweenTokens.add(arrivals[i].At.Sub(arrivals[i-1].At))
		}
		if result.Complete() {
			complete.add(result.Ended.Sub(result.IntendedStart))
		}
	}
	metrics.FirstToken = firstToken.percentiles()
	metrics.BetweenTokens = betweenTokens.percentiles()
	metrics.Whole = complete.percentiles()
	metrics.SmallWorkspaceFirstToken = smallFirstToken.percentiles()
}

// changedWithoutFault counts the attempts abandoned on targets that no fault ever
// affected: all attempts of a request on such targets but one.
func changedWithoutFault(run *load.Run) int {
	faulted := map[string]bool{}
	for _, event := range run.FaultEvents {
		for _, target := range event.Targets {
			faulted[target] = true
		}
	}
	attemptsByRequest := map[string]int{}
	for _, engineRecords := range run.Engines {
		for _, record := range engineRecords.Records {
			if !faulted[engineRecords.Target] {
				attemptsByRequest[record.RequestID]++
			}
		}
	}
	count := 0
	for _, attempts := range attemptsByRequest {
		count += attempts - 1
	}
	return count
}

func lateWork(run *load.Run) int {
	count := 0
	for _, engineRecords := range run.Engines {
		if engineRecords.DrainStarted.IsZero() {
			continue
		}
		for _, record := range engineRecords.Records {
			if record.Arrived.Sub(engineRecords.DrainStarted) > newWorkGracePeriod {
				count++
			}
		}
	}
	return count
}

func measureLoad(run *load.Run, metrics *RunMetrics) {
	ratioSum, samples := 0.0, 0
	for _, sample := range run.Samples {
		metrics.Load = append(metrics.Load, Sample{At: millis(sample.At.Sub(run.Start)), Depth: sample.Depth})
		sum, maxDepth := 0, 0
		for _, depth := range sample.Depth {
			sum += depth
			maxDepth = max(maxDepth, depth)
		}
		if sum >= len(sample.Depth) {
			ratioSum += float64(maxDepth) * float64(len(sample.Depth)) / float64(sum)
			samples++
		}
	}
	if samples > 0 {
		metrics.Imbalance = ratioSum / float64(samples)
	}
}
