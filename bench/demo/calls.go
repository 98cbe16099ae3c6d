package demo

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
)

const (
	// workloadKeys is the number of calls in one workload. Each is submitted again
	// workloadDuplicates times.
	workloadKeys       = 10
	workloadDuplicates = 2
	workloadParallel   = 5
	// workloadInterval is the delay between two workloads.
	workloadInterval = time.Second
)

// runWorkloads submits workloads of bookings and of deposits in turn until an instant.
// Each call is submitted three times.
func (d *driver) runWorkloads(ctx context.Context, until time.Time) error {
	paths := []string{"/bookings", "/deposits"}
	client := calls.NewClient(d.client)
	for turn := 0; time.Now().Before(until); turn++ {
		verdict, err := client.RunWorkload(ctx, calls.Workload{
			Entries: d.plan.Entries, Application: d.plan.Application,
			Service: fleet.TrialApplication, BearerToken: fleet.TrialToken, Path: paths[turn%len(paths)],
			Keys: workloadKeys, DuplicateSubmissions: workloadDuplicates, Parallel: workloadParallel,
		})
		if err != nil {
			return err
		}
		d.callVerdicts = append(d.callVerdicts, verdict)
		time.Sleep(workloadInterval)
	}
	return nil
}

// addCallVerdicts adds the verdicts on the calls to the report.
func (d *driver) addCallVerdicts(r *Report) {
	for _, verdict := range d.callVerdicts {
		r.Calls += verdict.Calls
		r.CallsRunTwice += verdict.RunTwice
		r.WrongOutcomes += verdict.WrongOutcomes + verdict.Differing
	}
}
