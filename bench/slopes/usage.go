// Package slopes measures the marginal cost (the slope) of one more link, request, token
// or stream in the real daemons, and estimates from these slopes what each role needs at
// the size that the system is designed for.
package slopes

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Usage is the resource usage of a process: totals since its start, except for
// ResidentBytes and Links, which are current values.
type Usage struct {
	// CPUSeconds is CPU time in seconds.
	CPUSeconds float64 `json:"cpuSeconds"`
	// ResidentBytes is the current resident memory.
	ResidentBytes float64 `json:"residentBytes"`
	// ControlSeconds is the time during which the control goroutine was busy.
	ControlSeconds float64 `json:"controlSeconds"`
	// Links is the number of open links. WireBytes and ControlBytes are the bytes
	// transferred on links, in total and for control messages.
	Links        float64 `json:"links"`
	WireBytes    float64 `json:"wireBytes"`
	ControlBytes float64 `json:"controlBytes"`
	// StoreReads and StoreWrites count calls to the key-value service.
	StoreReads  float64 `json:"storeReads"`
	StoreWrites float64 `json:"storeWrites"`
}

// secondsPerNanosecond converts a gauge in nanoseconds to seconds.
const secondsPerNanosecond = 1e-9

// readUsage reads the usage of a process from its metrics.
func readUsage(ctx context.Context, client *http.Client, operatorAddress string) (Usage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/metrics", nil)
	if err != nil {
		return Usage{}, errors.Wrap(err, "metrics")
	}
	response, err := client.Do(request)
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
		ControlSeconds: secondsPerNanosecond * value("mulberrylane_control_busy"),
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
		sum = sum.addScaled(u, 1)
	}
	return Usage{}.addScaled(sum, 1/float64(max(1, len(list))))
}

// addScaled returns u + factor*o.
func (u Usage) addScaled(o Usage, factor float64) Usage {
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
