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

// CostKind is the kind of an experiment file that measures what calls cost.
const CostKind = "calls-cost"

// Cost describes a measurement of what calls cost beside direct ones.
type Cost struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Entries and Targets count the parts; calls go to the entries in turn.
	Entries int `json:"entries"`
	Targets int `json:"targets"`
	// Work is how long a call takes, StoreDelay how long the store takes to answer.
	Work       version.Duration `json:"work"`
	StoreDelay version.Duration `json:"storeDelay"`
	// Rates lists calls a second, sent evenly; InFlight lists how many callers call
	// again and again. Each is measured for Duration.
	Rates    []int            `json:"rates"`
	InFlight []int            `json:"inFlight"`
	Duration version.Duration `json:"duration"`
}

// Check returns all errors of the experiment.
func (c *Cost) Check() error {
	checker := &settings.Checker{}
	checker.Required("name", c.Name)
	if c.Kind != CostKind {
		checker.Errorf("kind", "%q is not %q", c.Kind, CostKind)
	}
	if c.Entries < 1 || c.Targets < 1 || c.Duration <= 0 {
		checker.Errorf("entries", "entries, targets and duration must be over zero")
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
	// Mode is "direct", "grouped" or "single": past the system, with group commit,
	// and with a commit for every operation.
	Mode string `json:"mode"`
	// Load is the rate or the callers.
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

// String returns the row as one line of a table.
func (r CostRow) String() string {
	return fmt.Sprintf("%-8s %-14s %6d calls %7.1f calls/s %6.2f writes/call %7.1f writes/s %7.1f reads/s  p50 %6.1f ms  p99 %6.1f ms",
		r.Mode, r.Load, r.Calls, r.CallsPerSecond, r.WritesPerCall, r.WritesPerSec, r.ReadsPerSec, r.P50, r.P99)
}

// caller makes one call.
type caller func(ctx context.Context, number int) error

// Measure measures all loads in all modes.
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
		Applications: fleet.Applications{Service: fleet.TrialApplication, Count: c.Targets, Work: c.Work.Std()},
		Pages:        calls.PageOptions{Unbatched: mode == "single"},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	f.Store.SetFaults(kv.Faults{Delay: c.StoreDelay.Std()})
	call := throughEntries(f)
	if mode == "direct" {
		call = past(f)
	}
	var rows []CostRow
	measure := func(load string, drive func(context.Context, caller) []time.Duration) {
		before, began := stats(f), time.Now()
		latencies := drive(ctx, call)
		row := rowOf(latencies, time.Since(began), before, stats(f))
		row.Mode, row.Load = mode, load
		rows = append(rows, row)
		progress(row.String())
	}
	for _, rate := range c.Rates {
		measure(fmt.Sprintf("%d calls/s", rate), func(ctx context.Context, call caller) []time.Duration { return c.atRate(ctx, call, rate) })
	}
	for _, callers := range c.InFlight {
		measure(fmt.Sprintf("%d in flight", callers), func(ctx context.Context, call caller) []time.Duration { return c.closed(ctx, call, callers) })
	}
	return rows, nil
}

func stats(f *fleet.Fleet) (sum calls.PageStats) {
	for _, e := range f.Entries {
		s := e.PageStats()
		sum.Writes += s.Writes
		sum.Reads += s.Reads
	}
	return sum
}

func rowOf(latencies []time.Duration, took time.Duration, before, after calls.PageStats) CostRow {
	row := CostRow{Calls: len(latencies)}
	if len(latencies) == 0 {
		return row
	}
	slices.Sort(latencies)
	millis := func(share float64) float64 {
		return float64(latencies[int(share*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	row.P50, row.P99 = millis(0.5), millis(0.99)
	row.CallsPerSecond = float64(len(latencies)) / took.Seconds()
	row.WritesPerCall = float64(after.Writes-before.Writes) / float64(len(latencies))
	row.WritesPerSec = float64(after.Writes-before.Writes) / took.Seconds()
	row.ReadsPerSec = float64(after.Reads-before.Reads) / took.Seconds()
	return row
}

func throughEntries(f *fleet.Fleet) caller {
	client := newTrialClient()
	return func(ctx context.Context, number int) error {
		told, err := client.Submit(ctx, f.URL(number%len(f.Entries)), CallRequest{
			Service: fleet.TrialApplication, Method: http.MethodPost, Path: "/deposits",
			BearerToken: fleet.TrialToken, Body: []byte("{}"),
		})
		if err == nil && told.Status != http.StatusCreated {
			err = errors.Errorf("status %d", told.Status)
		}
		return err
	}
}

// past calls the application itself.
func past(f *fleet.Fleet) caller {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	members := f.ApplicationMembers()
	return func(ctx context.Context, number int) error {
		url := members[number%len(members)].Server.URL() + "/deposits"
		post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
		if err != nil {
			return err
		}
		response, err := client.Do(post)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

// timed makes one call and adds its latency to list, unless it failed.
func timed(ctx context.Context, call caller, number int, mu *sync.Mutex, list *[]time.Duration) {
	began := time.Now()
	if call(ctx, number) != nil {
		return
	}
	latency := time.Since(began)
	mu.Lock()
	defer mu.Unlock()
	*list = append(*list, latency)
}

func (c *Cost) atRate(ctx context.Context, call caller, rate int) (latencies []time.Duration) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	began := time.Now()
	interval := time.Second / time.Duration(rate)
	for number := 0; time.Since(began) < c.Duration.Std(); number++ {
		tasks.Go(func() { timed(ctx, call, number, &mu, &latencies) })
		time.Sleep(time.Until(began.Add(time.Duration(number+1) * interval)))
	}
	tasks.Wait()
	return latencies
}

func (c *Cost) closed(ctx context.Context, call caller, callers int) (latencies []time.Duration) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	began := time.Now()
	for first := range callers {
		tasks.Go(func() {
			for number := first; time.Since(began) < c.Duration.Std(); number += callers {
				timed(ctx, call, number, &mu, &latencies)
			}
		})
	}
	tasks.Wait()
	return latencies
}
