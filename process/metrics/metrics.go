// Package metrics holds the OpenTelemetry instruments of a process and serves
// them to Prometheus.
package metrics

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/meter"
)

// Metrics holds the instruments of one process. A nil Metrics records nothing.
type Metrics struct {
	builder *meter.Builder

	resumeLatency metric.Float64Histogram
	firstToken    metric.Float64Histogram
	attempts      metric.Int64Counter
	extraTokens   metric.Int64Counter
	tokens        metric.Int64Counter
	refusals      metric.Int64Counter
	outcomes      metric.Int64Counter
	limited       metric.Int64Counter
}

// New returns the instruments of the named process.
func New(process string) (*Metrics, error) {
	b, err := meter.New(process)
	if err != nil {
		return nil, err
	}
	b.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{
		builder:       b,
		resumeLatency: b.LatencyHistogram("mulberrylane.resume.latency", "Time from the loss of an attempt until the answer went on"),
		firstToken:    b.LatencyHistogram("mulberrylane.first_token.latency", "Time from the arrival of a request until its first token"),
		attempts:      b.Counter("mulberrylane.attempts", "Attempts started, by reason"),
		extraTokens:   b.Counter("mulberrylane.extra.prompt_tokens", "Prompt and answer tokens sent again to an engine by resumes and hedges"),
		tokens:        b.Counter("mulberrylane.tokens", "Tokens delivered to callers"),
		refusals:      b.Counter("mulberrylane.refusals", "Requests refused or failed, by error kind"),
		outcomes:      b.Counter("mulberrylane.outcomes", "Requests ended, by whether they were run"),
		limited:       b.Counter("mulberrylane.callers.limited", "Connections and requests that were refused or ended because memory or connections were used up"),
	}
	b.Gauge(meter.Gauge{Name: "mulberrylane.memory", Description: "Memory obtained from the system", Unit: "By", Read: memoryFromSystem})
	return m, b.Err()
}

// memoryFromSystem returns the bytes that the Go runtime has obtained from the system
// and not returned.
func memoryFromSystem() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.Sys - stats.HeapReleased)
}

// RegisterGauges adds gauges. It returns the first error of any instrument.
func (m *Metrics) RegisterGauges(gauges ...meter.Gauge) error {
	if m == nil {
		return nil
	}
	for _, gauge := range gauges {
		m.builder.Gauge(gauge)
	}
	return m.builder.Err()
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.builder.Handler() }

// Reason is why an attempt was started.
type Reason string

// The reasons for starting an attempt.
const (
	ReasonFirst  Reason = "first"
	ReasonResume Reason = "resume"
	ReasonHedge  Reason = "hedge"
)

var background = context.Background()

// RecordAttempt counts an attempt. resentTokens is the number of tokens that were sent to
// an engine again.
func (m *Metrics) RecordAttempt(reason Reason, resentTokens int) {
	if m == nil {
		return
	}
	m.attempts.Add(background, 1, metric.WithAttributes(attribute.String("reason", string(reason))))
	m.extraTokens.Add(background, int64(resentTokens))
}

// RecordResume records the time from the loss of an attempt until the output continued.
func (m *Metrics) RecordResume(latency time.Duration) {
	if m != nil {
		m.resumeLatency.Record(background, latency.Seconds())
	}
}

// RecordFirstToken records the time from the arrival of a request until its first token.
func (m *Metrics) RecordFirstToken(latency time.Duration) {
	if m != nil {
		m.firstToken.Record(background, latency.Seconds())
	}
}

// RecordRequestEnd counts an ended request with its tokens, its error kind and whether it
// was run.
func (m *Metrics) RecordRequestEnd(tokens int, kind fault.Kind, wasRun string) {
	if m == nil {
		return
	}
	m.tokens.Add(background, int64(tokens))
	m.outcomes.Add(background, 1, metric.WithAttributes(attribute.String("was_run", wasRun)))
	if kind != fault.None {
		m.refusals.Add(background, 1, metric.WithAttributes(attribute.String("kind", kind.String())))
	}
}

// RecordLimited counts what was refused or ended at a listener because memory or connections were
// used up, by what it waited for.
func (m *Metrics) RecordLimited(listener, waitedFor string, refused bool) {
	if m != nil {
		m.limited.Add(background, 1, metric.WithAttributes(
			attribute.String("listener", listener), attribute.String("waited_for", waitedFor), attribute.Bool("refused", refused)))
	}
}
