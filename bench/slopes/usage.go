// Package slopes measures what one more link, request, token or stream costs the
// real daemons, and works out from these slopes what each role needs at the size
// that the system is built for.
package slopes

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Usage is what a process has used since it started.
type Usage struct {
	// CPUSeconds is processor time, in seconds.
	CPUSeconds float64 `json:"cpuSeconds"`
	// ResidentBytes is the memory that the process holds now.
	ResidentBytes float64 `json:"residentBytes"`
	// ControlSeconds is the time that the control goroutine worked.
	ControlSeconds float64 `json:"controlSeconds"`
	// Links counts open links; WireBytes and ControlBytes what they carried.
	Links        float64 `json:"links"`
	WireBytes    float64 `json:"wireBytes"`
	ControlBytes float64 `json:"controlBytes"`
	// StoreReads and StoreWrites count calls of the key-value service.
	StoreReads  float64 `json:"storeReads"`
	StoreWrites float64 `json:"storeWrites"`
}

// nanoseconds converts a gauge in nanoseconds to seconds.
const nanoseconds = 1e-9

// read asks a process for its metrics.
func read(ctx context.Context, client *http.Client, operators string) (Usage, error) {
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/metrics", nil)
	if err != nil {
		return Usage{}, errors.Wrap(err, "metrics")
	}
	response, err := client.Do(ask)
	if err != nil {
		return Usage{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return Usage{}, errors.Wrap(err, "metrics")
	}
	value := func(name string) float64 {
		family, ok := families[name]
		if !ok || len(family.GetMetric()) == 0 {
			return 0
		}
		metric := family.GetMetric()[0]
		if gauge := metric.GetGauge(); gauge != nil {
			return gauge.GetValue()
		}
		return metric.GetCounter().GetValue()
	}
	return Usage{
		CPUSeconds:     value("process_cpu_seconds_total"),
		ResidentBytes:  value("process_resident_memory_bytes"),
		ControlSeconds: nanoseconds * value("mulberrylane_control_busy"),
		Links:          value("mulberrylane_links"),
		WireBytes:      value("mulberrylane_links_bytes"),
		ControlBytes:   value("mulberrylane_links_control_bytes"),
		StoreReads:     value("mulberrylane_store_reads"),
		StoreWrites:    value("mulberrylane_store_writes"),
	}, nil
}

// mean returns the average usage of several processes.
func mean(list []Usage) Usage {
	var sum Usage
	for _, u := range list {
		sum = sum.plus(u, 1)
	}
	return Usage{}.plus(sum, 1/float64(max(1, len(list))))
}

// plus returns u + factor*o.
func (u Usage) plus(o Usage, factor float64) Usage {
	return Usage{
		CPUSeconds:     u.CPUSeconds + factor*o.CPUSeconds,
		ResidentBytes:  u.ResidentBytes + factor*o.ResidentBytes,
		ControlSeconds: u.ControlSeconds + factor*o.ControlSeconds,
		Links:          u.Links + factor*o.Links,
		WireBytes:      u.WireBytes + factor*o.WireBytes,
		ControlBytes:   u.ControlBytes + factor*o.ControlBytes,
		StoreReads:     u.StoreReads + factor*o.StoreReads,
		StoreWrites:    u.StoreWrites + factor*o.StoreWrites,
	}
}
