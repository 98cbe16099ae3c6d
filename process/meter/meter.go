// Package meter makes OpenTelemetry instruments and serves them to Prometheus.
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

// meterName names the meter of all instruments.
const meterName = "github.com/mulberrylane/mulberrylane"

// latencyBounds are the bucket bounds of latencies, in seconds: those that callers
// and operators name, 0.15, 0.7 and 4.5 among them, and steps between.
var latencyBounds = []float64{.005, .01, .025, .05, .1, .15, .25, .4, .7, 1, 1.5, 2.5, 4.5, 7, 12, 30}

// Builder makes the instruments of one process, keeps the first error, and serves
// what they hold.
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
		return nil, errors.Wrap(err, "exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).
		Meter(meterName, metric.WithInstrumentationAttributes(attribute.String("process", process)))
	return &Builder{registry: registry, meter: meter}, nil
}

// Err returns the first error of any instrument.
func (b *Builder) Err() error { return b.err }

// Register adds a collector of figures that are no instruments of the builder.
func (b *Builder) Register(collector prometheus.Collector) {
	if err := b.registry.Register(collector); err != nil {
		b.note(err)
	}
}

// Handler serves the metrics in the Prometheus text format.
func (b *Builder) Handler() http.Handler {
	return promhttp.HandlerFor(b.registry, promhttp.HandlerOpts{})
}

func (b *Builder) note(err error) {
	if b.err == nil && err != nil {
		b.err = errors.Wrap(err, "instrument")
	}
}

// LatencyHistogram makes a histogram of latencies.
func (b *Builder) LatencyHistogram(name, description string) metric.Float64Histogram {
	instrument, err := b.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.note(err)
	return instrument
}

// Counter makes a counter.
func (b *Builder) Counter(name, description string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.note(err)
	return instrument
}

// Gauge is a figure that is read at each collection. Unit is that of UCUM, or "".
type Gauge struct {
	Name, Description, Unit string
	Read                    func() int64
}

// Gauge adds a gauge.
func (b *Builder) Gauge(gauge Gauge) {
	_, err := b.meter.Int64ObservableGauge(gauge.Name,
		metric.WithDescription(gauge.Description), metric.WithUnit(gauge.Unit),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(gauge.Read())
			return nil
		}))
	b.note(err)
}
