// Package meter creates OpenTelemetry instruments and serves them to Prometheus.
package meter

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the name of the meter to which all instruments belong.
const meterName = "github.com/mulberrylane/mulberrylane"

// latencyBuckets are the bucket bounds of latency histograms, in seconds: the latency
// bounds of callers and operators, 0.15, 0.7 and 4.5 among them, and intermediate values.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .25, .4, .7, 1, 1.5, 2.5, 4.5, 7, 12, 30}

// Builder creates the instruments of one process, keeps the first error, and serves the
// recorded metrics.
type Builder struct {
	registry *prometheus.Registry
	meter    metric.Meter
	err      error
}

// New returns a builder for the named process.
func New(process string) (*Builder, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).
		Meter(meterName, metric.WithInstrumentationAttributes(attribute.String("process", process)))
	return &Builder{registry: registry, meter: meter}, nil
}

// Err returns the first error in creating or registering an instrument.
func (b *Builder) Err() error { return b.err }

// Register adds a collector of metrics that the builder did not create.
func (b *Builder) Register(collector prometheus.Collector) {
	if err := b.registry.Register(collector); err != nil {
		b.recordError(err)
	}
}

// Handler serves the metrics in the Prometheus text format.
func (b *Builder) Handler() http.Handler {
	return promhttp.HandlerFor(b.registry, promhttp.HandlerOpts{})
}

func (b *Builder) recordError(err error) {
	if b.err == nil && err != nil {
		b.err = errors.Wrap(err, "register instrument")
	}
}

// LatencyHistogram creates a histogram of latencies in seconds.
func (b *Builder) LatencyHistogram(name, description string) metric.Float64Histogram {
	instrument, err := b.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	b.recordError(err)
	return instrument
}

// Counter creates a counter.
func (b *Builder) Counter(name, description string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.recordError(err)
	return instrument
}

// Gauge is a value that is read at each collection. Unit is a UCUM unit, or "".
type Gauge struct {
	Name, Description, Unit string
	Read                    func() int64
}

// Gauge creates a gauge.
func (b *Builder) Gauge(gauge Gauge) {
	_, err := b.meter.Int64ObservableGauge(gauge.Name,
		metric.WithDescription(gauge.Description), metric.WithUnit(gauge.Unit),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(gauge.Read())
			return nil
		}))
	b.recordError(err)
}
