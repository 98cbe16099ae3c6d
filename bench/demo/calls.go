package demo

import (
	"context"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/calls"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
)

const (
	// errandKeys is how many calls are made at a time, each errandRepeats times more.
	errandKeys     = 10
	errandRepeats  = 2
	errandParallel = 5
	// errandPause is the time between two sets of calls.
	errandPause = time.Second
)

// makeCalls makes bookings and deposits in turn, each submitted three times, until
// an instant.
func (d *driver) makeCalls(ctx context.Context, until time.Time) error {
	paths := []string{"/bookings", "/deposits"}
	client := calls.NewClient(d.client)
	for turn := 0; time.Now().Before(until); turn++ {
		verdict, err := client.RunWorkload(ctx, calls.Workload{
			Entries: d.plan.Entries, Application: d.plan.Application,
			Service: fleet.TrialApplication, BearerToken: fleet.TrialToken, Path: paths[turn%len(paths)],
			Keys: errandKeys, DuplicateSubmissions: errandRepeats, Parallel: errandParallel,
		})
		if err != nil {
			return err
		}
		d.errands = append(d.errands, verdict)
		time.Sleep(errandPause)
	}
	return nil
}

// judgeCalls adds what came of the calls to the report.
func (d *driver) judgeCalls(r *Report) {
	for _, verdict := range d.errands {
		r.Calls += verdict.Calls
		r.CallsRunTwice += verdict.RunTwice
		r.Untruthful += verdict.WrongOutcomes + verdict.Differing
	}
}
