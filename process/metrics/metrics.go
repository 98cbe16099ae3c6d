// Package metrics holds the OpenTelemetry instruments of a process and serves
// them to Prometheus.
package metrics

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/mulberrylane/mulberrylane/fault"
)

// meterName names the meter of all instruments.
const meterName = "github.com/mulberrylane/mulberrylane"

// latencyBounds are the bucket bounds of latencies, in seconds.
var latencyBounds = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2, 3, 5, 10, 30}

// Metrics holds the instruments of one process. A nil Metrics counts nothing.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	resumeLatency metric.Float64Histogram
	firstToken    metric.Float64Histogram
	attempts      metric.Int64Counter
	extraTokens   metric.Int64Counter
	tokens        metric.Int64Counter
	refusals      metric.Int64Counter
	outcomes      metric.Int64Counter
}

// New returns the instruments of the named process.
func New(process string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	m := &Metrics{registry: registry, provider: provider}
	meter := provider.Meter(meterName, metric.WithInstrumentationAttributes(attribute.String("process", process)))
	return m, m.instruments(meter)
}

func (m *Metrics) instruments(meter metric.Meter) error {
	b := builder{meter: meter}
	m.resumeLatency = b.seconds("mulberrylane.resume.latency", "Time from the loss of an attempt until the answer went on")
	m.firstToken = b.seconds("mulberrylane.first_token.latency", "Time from the arrival of a request until its first token")
	m.attempts = b.counter("mulberrylane.attempts", "Attempts started, by reason")
	m.extraTokens = b.counter("mulberrylane.extra.prompt_tokens", "Prompt and answer tokens sent again to an engine by resumes and hedges")
	m.tokens = b.counter("mulberrylane.tokens", "Tokens delivered to callers")
	m.refusals = b.counter("mulberrylane.refusals", "Requests refused or failed, by error kind")
	m.outcomes = b.counter("mulberrylane.outcomes", "Requests ended, by whether they were run")
	b.gauge("mulberrylane.memory", "Memory obtained from the system", "By", heldMemory)
	return b.err
}

// heldMemory returns the bytes that the process holds.
func heldMemory() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.Sys - stats.HeapReleased)
}

// builder makes instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) note(err error) {
	if b.err == nil && err != nil {
		b.err = errors.Wrap(err, "instrument")
	}
}

func (b *builder) seconds(name, description string) metric.Float64Histogram {
	instrument, err := b.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.note(err)
	return instrument
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.note(err)
	return instrument
}

func (b *builder) gauge(name, description, unit string, read func() int64) {
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	b.note(err)
}

// Gauge is a figure that is read at each collection.
type Gauge struct {
	Name, Description string
	Read              func() int64
}

// Gauges adds gauges.
func (m *Metrics) Gauges(gauges ...Gauge) error {
	if m == nil {
		return nil
	}
	b := builder{meter: m.provider.Meter(meterName)}
	for _, gauge := range gauges {
		b.gauge(gauge.Name, gauge.Description, "", gauge.Read)
	}
	return b.err
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Reason is why an attempt was started.
type Reason string

// The reasons.
const (
	ReasonFirst  Reason = "first"
	ReasonResume Reason = "resume"
	ReasonHedge  Reason = "hedge"
)

var background = context.Background()

// Attempt counts an attempt. Again is how many tokens were sent to an engine again.
func (m *Metrics) Attempt(reason Reason, again int) {
	if m == nil {
		return
	}
	m.attempts.Add(background, 1, metric.WithAttributes(attribute.String("reason", string(reason))))
	m.extraTokens.Add(background, int64(again))
}

// Resumed records how long an answer stood still after a loss.
func (m *Metrics) Resumed(latency time.Duration) {
	if m != nil {
		m.resumeLatency.Record(background, latency.Seconds())
	}
}

// FirstToken records how long the first token took.
func (m *Metrics) FirstToken(latency time.Duration) {
	if m != nil {
		m.firstToken.Record(background, latency.Seconds())
	}
}

// Ended counts an ended request with its tokens, its error kind and whether it was run.
func (m *Metrics) Ended(tokens int, kind fault.Kind, wasRun string) {
	if m == nil {
		return
	}
	m.tokens.Add(background, int64(tokens))
	m.outcomes.Add(background, 1, metric.WithAttributes(attribute.String("was_run", wasRun)))
	if kind != fault.None {
		m.refusals.Add(background, 1, metric.WithAttributes(attribute.String("kind", kind.String())))
	}
}
