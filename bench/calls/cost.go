package calls

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
)

// CostKind is the kind of an experiment file that describes a cost measurement.
const CostKind = "calls-cost"

// Cost describes a measurement of the latency and the store traffic of calls, compared
// with calls sent directly to the application.
type Cost struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Entries and Targets are the numbers of entries and targets. Calls are sent to the
	// entries in turn.
	Entries int `json:"entries"`
	Targets int `json:"targets"`
	// CallTime is the processing time of a call, StoreDelay the delay of each response of
	// the store.
	CallTime   version.Duration `json:"work"`
	StoreDelay version.Duration `json:"storeDelay"`
	// Rates lists rates of evenly spaced calls per second. InFlight lists numbers of
	// callers that each send one call after another. Each is measured for Duration.
	Rates    []int            `json:"rates"`
	InFlight []int            `json:"inFlight"`
	Duration version.Duration `json:"duration"`
}

// Check validates the experiment and returns all its errors.
func (c *Cost) Check() error {
	checker := &settings.Checker{}
	checker.Required("name", c.Name)
	if c.Kind != CostKind {
		checker.Errorf("kind", "%q is not %q", c.Kind, CostKind)
	}
	if c.Entries < 1 || c.Targets < 1 || c.Duration <= 0 {
		checker.Errorf("entries", "entries, targets and duration must be greater than zero")
	}
	if slices.ContainsFunc(append(c.Rates, c.InFlight...), func(n int) bool { return n < 1 }) {
		checker.Errorf("rates", "rates and inFlight must be at least 1")
	}
	return checker.Err()
}

// ReadCostExperiment reads the experiment file at path.
func ReadCostExperiment(path string) (*Cost, error) {
	c := &Cost{}
	return c, settings.Read(path, c)
}

// CostRow is one row of a measurement.
type CostRow struct {
	// Mode is "direct" for calls sent directly to the application, "grouped" for calls
	// through entries with group commit, or "single" for calls through entries with one
	// commit per operation.
	Mode string `json:"mode"`
	// Load is the rate or the number of callers.
	Load           string  `json:"load"`
	Calls          int     `json:"calls"`
	CallsPerSecond float64 `json:"callsPerSecond"`
	WritesPerCall  float64 `json:"writesPerCall"`
	WritesPerSec   float64 `json:"writesPerSecond"`
	ReadsPerSec    float64 `json:"readsPerSecond"`
	// P50 and P99 are latencies in milliseconds.
	P50 float64 `json:"p50ms"`
	P99 float64 `json:"p99ms"`
}

// String formats the row as one line of a table.
func (r CostRow) String() string {
	return fmt.Sprintf("%-8s %-14s %6d calls %7.1f calls/s %6.2f writes/call %7.1f writes/s %7.1f reads/s  p50 %6.1f ms  p99 %6.1f ms",
		r.Mode, r.Load, r.Calls, r.CallsPerSecond, r.WritesPerCall, r.WritesPerSec, r.ReadsPerSec, r.P50, r.P99)
}

// callFunc sends one call.
type callFunc func(ctx context.Context, number int) error

// Measure measures every load in every mode.
func (c *Cost) Measure(ctx context.Context, progress func(string)) ([]CostRow, error) {
	var rows []CostRow
	for _, mode := range []string{"direct", "grouped", "single"} {
		measured, err := c.measureMode(ctx, mode, progress)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
	}
	return rows, nil
}

func (c *Cost) measureMode(ctx context.Context, mode string, progress func(string)) ([]CostRow, error) {
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialCallsDocument(30 * time.Second),
		Service:  fleet.TrialService, Domains: []string{"naxos", "paros", "syros"}, Entries: c.Entries,
		Applications: fleet.Applications{Service: fleet.TrialApplication, Count: c.Targets, CallTime: c.CallTime.Std()},
		Pages:        calls.PageOptions{Unbatched: mode == "single"},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	f.Store.SetFaults(kv.Faults{Delay: c.StoreDelay.Std()})
	call := callThroughEntries(f)
	if mode == "direct" {
		call = callDirect(f)
	}
	var rows []CostRow
	measure := func(load string, drive func(context.Context, callFunc) []time.Duration) {
		before, start := sumPageStats(f), time.Now()
		latencies := drive(ctx, call)
		row := newCostRow(latencies, time.Since(start), before, sumPageStats(f))
		row.Mode, row.Load = mode, load
		rows = append(rows, row)
		progress(row.String())
	}
	for _, rate := range c.Rates {
		measure(fmt.Sprintf("%d calls/s", rate), func(ctx context.Context, call callFunc) []time.Duration { return c.driveAtRate(ctx, call, rate) })
	}
	for _, callers := range c.InFlight {
		measure(fmt.Sprintf("%d in flight", callers), func(ctx context.Context, call callFunc) []time.Duration { return c.driveInFlight(ctx, call, callers) })
	}
	return rows, nil
}

func sumPageStats(f *fleet.Fleet) (sum calls.PageStats) {
	for _, e := range f.Entries {
		s := e.PageStats()
		sum.Writes += s.Writes
		sum.Reads += s.Reads
	}
	return sum
}

func newCostRow(latencies []time.Duration, elapsed time.Duration, before, after calls.PageStats) CostRow {
	row := CostRow{Calls: len(latencies)}
	if len(latencies) == 0 {
		return row
	}
	slices.Sort(latencies)
	millis := func(share float64) float64 {
		return float64(latencies[int(share*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	row.P50, row.P99 = millis(0.5), millis(0.99)
	row.CallsPerSecond = float64(len(latencies)) / elapsed.Seconds()
	row.WritesPerCall = float64(after.Writes-before.Writes) / float64(len(latencies))
	row.WritesPerSec = float64(after.Writes-before.Writes) / elapsed.Seconds()
	row.ReadsPerSec = float64(after.Reads-before.Reads) / elapsed.Seconds()
	return row
}

func callThroughEntries(f *fleet.Fleet) callFunc {
	client := newTrialClient()
	return func(ctx context.Context, number int) error {
		response, err := client.Submit(ctx, f.URL(number%len(f.Entries)), CallRequest{
			Service: fleet.TrialApplication, Method: http.MethodPost, Path: "/deposits",
			BearerToken: fleet.TrialToken, Body: []byte("{}"),
		})
		if err == nil && response.Status != http.StatusCreated {
			err = errors.Errorf("status %d", response.Status)
		}
		return err
	}
}

// callDirect sends calls directly to the application.
func callDirect(f *fleet.Fleet) callFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	members := f.ApplicationMembers()
	return func(ctx context.Context, number int) error {
		url := members[number%len(members)].Server.URL() + "/deposits"
		httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
		if err != nil {
			return err
		}
		response, err := client.Do(httpRequest)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

// timeCall sends one call and appends its latency to list unless the call failed.
func timeCall(ctx context.Context, call callFunc, number int, mu *sync.Mutex, list *[]time.Duration) {
	start := time.Now()
	if call(ctx, number) != nil {
		return
	}
	latency := time.Since(start)
	mu.Lock()
	defer mu.Unlock()
	*list = append(*list, latency)
}

func (c *Cost) driveAtRate(ctx context.Context, call callFunc, rate int) (latencies []time.Duration) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	for number := 0; time.Since(start) < c.Duration.Std(); number++ {
		tasks.Go(func() { timeCall(ctx, call, number, &mu, &latencies) })
		time.Sleep(time.Until(start.Add(time.Duration(number+1) * interval)))
	}
	tasks.Wait()
	return latencies
}

func (c *Cost) driveInFlight(ctx context.Context, call callFunc, callers int) (latencies []time.Duration) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	start := time.Now()
	for first := range callers {
		tasks.Go(func() {
			for number := first; time.Since(start) < c.Duration.Std(); number += callers {
				timeCall(ctx, call, number, &mu, &latencies)
			}
		})
	}
	tasks.Wait()
	return latencies
}
