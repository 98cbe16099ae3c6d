package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Report is the result of a demonstration. ExtraResource is the engines' work in excess
// of that of an undisturbed run, as a share of the latter.
type Report struct {
	Requests        int         `json:"requests"`
	Complete        int         `json:"complete"`
	Missing         int         `json:"missing"`
	Repeated        int         `json:"repeated"`
	Foreign         int         `json:"foreign"`
	Mixed           int         `json:"mixed"`
	Calls           int         `json:"calls"`
	CallsRunTwice   int         `json:"callsRunTwice"`
	WrongOutcomes   int         `json:"untruthful"`
	Resumes         int         `json:"resumes"`
	ResumeLatencyMs Percentiles `json:"resumeLatencyMs"`
	ExtraResource   float64     `json:"extraResource"`
	Faults          int         `json:"faults"`
}

// Err returns an error if the report shows violations.
func (r Report) Err() error {
	wrong := r.Missing + r.Repeated + r.Foreign + r.Mixed + r.CallsRunTwice + r.WrongOutcomes
	if wrong > 0 || r.Complete != r.Requests || r.Calls == 0 {
		return errors.New("the demonstration found violations")
	}
	return nil
}

// WriteLine writes the report as one line of JSON.
func (r Report) WriteLine(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "write")
}

// maxLatencyMillis is the maximum value of the latency histogram.
const maxLatencyMillis = int64(time.Minute / time.Millisecond)

func (d *driver) report() Report {
	r := Report{Requests: len(d.exchanges)}
	latencies := hdrhistogram.New(1, maxLatencyMillis, 3)
	for _, x := range d.exchanges {
		d.checkExchange(&r, x)
		for _, latency := range d.resumeLatencies(x) {
			r.Resumes++
			_ = latencies.RecordValue(min(max(latency.Milliseconds(), 1), maxLatencyMillis))
		}
	}
	d.addCallVerdicts(&r)
	for _, fault := range d.faults {
		if !fault.injectedAt.IsZero() {
			r.Faults++
		}
	}
	r.ResumeLatencyMs = Percentiles{
		P50: latencies.ValueAtQuantile(50), P95: latencies.ValueAtQuantile(95),
		P99: latencies.ValueAtQuantile(99), Max: latencies.Max(),
	}
	r.ExtraResource = d.extraResource()
	return r
}

// checkExchange checks one response and its outcome.
func (d *driver) checkExchange(r *Report, x *exchange) {
	verdict := caller.Check(salt, fleet.TrialVersion, x.request, x.response)
	r.Missing += verdict.Missing
	r.Repeated += verdict.Repeated
	r.Foreign += verdict.Foreign
	r.Mixed += verdict.Mixed
	if verdict.OK() {
		r.Complete++
	} else {
		_, _ = fmt.Fprintf(d.out, "%s: %+v outcome %+v error %v\n", x.request.IdempotencyKey, verdict, x.response.Outcome, x.err)
	}
	if outcome := x.response.Outcome; outcome != nil && !isOutcomeCorrect(*outcome, verdict.OK(), len(x.response.Tokens)) {
		r.WrongOutcomes++
	}
}

// isOutcomeCorrect reports whether an outcome agrees with what the caller received.
func isOutcomeCorrect(outcome request.Outcome, complete bool, tokens int) bool {
	if complete {
		return outcome.WasRun == request.RunYes && outcome.Error == ""
	}
	return outcome.Error != "" && (tokens == 0 || outcome.WasRun != request.RunNo)
}

// resumeLatencies returns the resume latency of a response for each fault that
// interrupted it: the time from the fault to the next token.
func (d *driver) resumeLatencies(x *exchange) []time.Duration {
	var list []time.Duration
	for _, fault := range d.faults {
		if fault.injectedAt.IsZero() {
			continue
		}
		before, after, ok := arrivalsAround(x.response.Arrivals, fault.injectedAt)
		if ok && d.interruptedBy(x, fault, before, after) {
			list = append(list, after.At.Sub(fault.injectedAt))
		}
	}
	return list
}

// arrivalsAround returns the last arrival before an instant and the first one after it.
func arrivalsAround(arrivals []caller.Arrival, at time.Time) (before, after caller.Arrival, ok bool) {
	for i := 1; i < len(arrivals); i++ {
		if !arrivals[i-1].At.After(at) && arrivals[i].At.After(at) {
			return arrivals[i-1], arrivals[i], true
		}
	}
	return before, after, false
}

// interruptedBy reports whether a fault interrupted a response. If the fault has a
// target, that target must have generated the tokens before it and another one those
// after it. Otherwise the caller must have switched entries between the fault and the
// next token.
func (d *driver) interruptedBy(x *exchange, fault Fault, before, after caller.Arrival) bool {
	if fault.Target != "" {
		return before.Target == fault.Target && after.Target != fault.Target
	}
	for _, failover := range x.failovers {
		if !failover.Before(fault.injectedAt) && !failover.After(after.At) {
			return true
		}
	}
	return false
}

// extraResource returns the engines' work in excess of computing every prompt and every
// token once, as a share of the latter.
func (d *driver) extraResource() float64 {
	config := engine.DefaultConfig(salt)
	perDecode := config.StepPerSequence + config.StepTime/time.Duration(config.Batch)
	var undisturbed float64
	for _, x := range d.exchanges {
		undisturbed += float64(len(x.request.Prompt)) * float64(config.PrefillPerToken)
		undisturbed += float64(x.request.MaxTokens) * float64(perDecode)
	}
	work := d.work.total()
	actual := float64(work.PrefillTokens)*float64(config.PrefillPerToken) + float64(work.DecodedTokens)*float64(perDecode)
	return actual/undisturbed - 1
}
