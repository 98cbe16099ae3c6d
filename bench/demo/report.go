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

// Report is the result of a demonstration. ExtraResource is the engines' work
// beyond that of an undisturbed run, as a share of it.
type Report struct {
	Requests        int         `json:"requests"`
	Complete        int         `json:"complete"`
	Missing         int         `json:"missing"`
	Repeated        int         `json:"repeated"`
	Foreign         int         `json:"foreign"`
	Mixed           int         `json:"mixed"`
	Calls           int         `json:"calls"`
	CallsRunTwice   int         `json:"callsRunTwice"`
	Untruthful      int         `json:"untruthful"`
	Resumes         int         `json:"resumes"`
	ResumeLatencyMs Percentiles `json:"resumeLatencyMs"`
	ExtraResource   float64     `json:"extraResource"`
	Faults          int         `json:"faults"`
}

// Err says what the report shows to be wrong, or returns nil.
func (r Report) Err() error {
	wrong := r.Missing + r.Repeated + r.Foreign + r.Mixed + r.CallsRunTwice + r.Untruthful
	if wrong > 0 || r.Complete != r.Requests || r.Calls == 0 {
		return errors.New("the demonstration found violations")
	}
	return nil
}

// WriteLine writes the report as one line of JSON.
func (r Report) WriteLine(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "write")
}

// maxLatencyMillis bounds the histogram.
const maxLatencyMillis = int64(time.Minute / time.Millisecond)

func (d *driver) report() Report {
	r := Report{Requests: len(d.exchanges)}
	latencies := hdrhistogram.New(1, maxLatencyMillis, 3)
	for _, x := range d.exchanges {
		d.judge(&r, x)
		for _, latency := range d.resumes(x) {
			r.Resumes++
			_ = latencies.RecordValue(min(max(latency.Milliseconds(), 1), maxLatencyMillis))
		}
	}
	d.judgeCalls(&r)
	for _, fault := range d.faults {
		if !fault.at.IsZero() {
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

// judge checks one answer and what was said of it.
func (d *driver) judge(r *Report, x *exchange) {
	verdict := caller.Check(salt, fleet.TrialVersion, x.ask, x.answer)
	r.Missing += verdict.Missing
	r.Repeated += verdict.Repeated
	r.Foreign += verdict.Foreign
	r.Mixed += verdict.Mixed
	if verdict.OK() {
		r.Complete++
	} else {
		_, _ = fmt.Fprintf(d.out, "%s: %+v outcome %+v error %v\n", x.ask.IdempotencyKey, verdict, x.answer.Outcome, x.err)
	}
	if outcome := x.answer.Outcome; outcome != nil && !truthful(*outcome, verdict.OK(), len(x.answer.Tokens)) {
		r.Untruthful++
	}
}

// truthful says whether an outcome agrees with what the caller received.
func truthful(outcome request.Outcome, complete bool, tokens int) bool {
	if complete {
		return outcome.WasRun == request.RunYes && outcome.Error == ""
	}
	return outcome.Error != "" && (tokens == 0 || outcome.WasRun != request.RunNo)
}

// resumes returns how long an answer stood still at each loss that met it: from
// the fault until the next token.
func (d *driver) resumes(x *exchange) []time.Duration {
	var list []time.Duration
	for _, fault := range d.faults {
		if fault.at.IsZero() {
			continue
		}
		before, after, ok := around(x.answer.Arrivals, fault.at)
		if ok && d.met(x, fault, before, after) {
			list = append(list, after.At.Sub(fault.at))
		}
	}
	return list
}

// around returns the last arrival before an instant and the first after it.
func around(arrivals []caller.Arrival, at time.Time) (before, after caller.Arrival, ok bool) {
	for i := 1; i < len(arrivals); i++ {
		if !arrivals[i-1].At.After(at) && arrivals[i].At.After(at) {
			return arrivals[i-1], arrivals[i], true
		}
	}
	return before, after, false
}

// met says whether a fault interrupted an answer: its target was lost and another
// went on, or its entry was lost and the caller turned to another.
func (d *driver) met(x *exchange, fault Fault, before, after caller.Arrival) bool {
	if fault.Target != "" {
		return before.Target == fault.Target && after.Target != fault.Target
	}
	for _, moved := range x.moved {
		if !moved.Before(fault.at) && !moved.After(after.At) {
			return true
		}
	}
	return false
}

// extraResource compares the engines' work with that of computing every prompt
// and every token once.
func (d *driver) extraResource() float64 {
	config := engine.DefaultConfig(salt)
	perDecode := config.StepPerSequence + config.StepTime/time.Duration(config.Batch)
	var undisturbed float64
	for _, x := range d.exchanges {
		undisturbed += float64(len(x.ask.Prompt)) * float64(config.PrefillPerToken)
		undisturbed += float64(x.ask.MaxTokens) * float64(perDecode)
	}
	work := d.work.total()
	done := float64(work.PrefillTokens)*float64(config.PrefillPerToken) + float64(work.DecodedTokens)*float64(perDecode)
	return done/undisturbed - 1
}
