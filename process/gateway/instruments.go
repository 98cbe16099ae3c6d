package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// latencyBounds are the bucket bounds of latencies, in seconds.
var latencyBounds = []float64{.01, .025, .05, .1, .15, .25, .4, .7, 1, 1.5, 2.5, 4.5, 7, 12, 25}

// instruments are the metrics of a gateway.
type instruments struct {
	registry *prometheus.Registry
	requests metric.Int64Counter
	attempts metric.Int64Counter
	first    metric.Float64Histogram
	latency  metric.Float64Histogram
	resume   metric.Float64Histogram
	calls    metric.Int64Counter
	probes   metric.Int64Counter
	lost     metric.Int64Counter
	denied   metric.Int64Counter
}

func newInstruments() (*instruments, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("github.com/mulberrylane/mulberrylane/process/gateway")
	m := &instruments{registry: registry}
	var problem error
	counter := func(name, description string) metric.Int64Counter {
		instrument, err := meter.Int64Counter(name, metric.WithDescription(description))
		if err != nil && problem == nil {
			problem = err
		}
		return instrument
	}
	seconds := func(name, description string) metric.Float64Histogram {
		instrument, err := meter.Float64Histogram(name, metric.WithDescription(description),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil && problem == nil {
			problem = err
		}
		return instrument
	}
	m.requests = counter("mulberrylane.requests", "Requests ended, by kind of route and error kind")
	m.attempts = counter("mulberrylane.target.attempts", "Attempts ended, by outcome")
	m.first = seconds("mulberrylane.first_event.latency", "Time from the arrival of a stream until its first event")
	m.latency = seconds("mulberrylane.call.latency", "Time from the arrival of a call until its answer")
	m.resume = seconds("mulberrylane.resume.latency", "Time from the loss of an attempt until the answer went on")
	m.calls = counter("mulberrylane.store.calls", "Calls to the store, by call and result")
	m.probes = counter("mulberrylane.probes", "Probes of targets")
	m.lost = counter("mulberrylane.targets.lost", "Targets given up after silence or a refused connection")
	m.denied = counter("mulberrylane.budget.denied", "Repeats that the retry budget did not allow")
	return m, errors.Wrap(problem, "metrics")
}

func (m *instruments) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *instruments) storeCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("call", call), attribute.String("result", result)))
}

func (m *instruments) ended(kind, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", kind), attribute.String("outcome", outcome)))
}

func (m *instruments) attempt(outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func record(histogram metric.Float64Histogram, d time.Duration) {
	histogram.Record(context.Background(), d.Seconds())
}
