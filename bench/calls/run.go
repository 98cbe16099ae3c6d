package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/application"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// Report is the result of an experiment.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	Verdict
	// MaxExecutions is the maximum number of executions of one key.
	MaxExecutions int `json:"maxExecutions"`
	// UnknownShare is the share of responses whose outcome is unknown.
	UnknownShare    float64 `json:"unknownShare"`
	MaxUnknownShare float64 `json:"maxUnknownShare"`
	// Store sums up the store traffic of the entries that were running at the end. That
	// of killed entries is not included.
	Store calls.PageStats `json:"store"`
	// Reasons counts the responses with an outcome other than "run", by outcome and error.
	Reasons map[string]int `json:"reasons"`
	// Violation describes the violation found in the history, or is empty.
	Violation string  `json:"violation,omitempty"`
	Seconds   float64 `json:"seconds"`
}

// OK reports whether the run met its objectives.
func (r Report) OK() bool {
	return r.Verdict.OK() && r.Violation == "" && r.UnknownShare < r.MaxUnknownShare
}

// trial is one run of an experiment.
type trial struct {
	experiment *Experiment
	fleet      *fleet.Fleet
	client     *Client
	keys       []string
	start      time.Time

	mu      sync.Mutex
	history History
}

// settleTime is the delay between the last submission and the check, so that late
// executions are recorded.
const settleTime = time.Second

// Run runs an experiment. A history that is not linearizable is written to directory.
func Run(ctx context.Context, e *Experiment, directory string, progress func(string)) (Report, error) {
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialCallsDocument(e.Deadline.Std()),
		Service:  fleet.TrialService, Domains: e.Domains, Entries: e.Entries,
		Applications: fleet.Applications{Service: fleet.TrialApplication, Count: e.Targets, CallTime: e.CallTime.Std(), Relayed: true},
	})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	t := &trial{experiment: e, fleet: f, client: newTrialClient(), start: time.Now()}
	for range e.Keys {
		t.keys = append(t.keys, uuid.Must(uuid.NewV7()).String())
	}
	for _, member := range f.ApplicationMembers() {
		member.Server.SetFaults(application.Faults{DropEveryNthResponse: e.DropEveryNthResponse})
	}
	t.setStoreFaults(kv.Faults{})
	var tasks sync.WaitGroup
	for _, fault := range e.Faults {
		tasks.Go(func() { t.runFault(ctx, fault, progress) })
	}
	t.submitAll(ctx, progress)
	tasks.Wait()
	t.resubmitAll(ctx)
	time.Sleep(settleTime)
	return t.report(directory), nil
}

func newTrialClient() *Client {
	return NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
}

// setStoreFaults sets faults of the store in addition to the experiment's loss rates.
func (t *trial) setStoreFaults(faults kv.Faults) {
	faults.ResponseLossRate = t.experiment.ResponseLossRate
	faults.WriteLossRate = t.experiment.WriteLossRate
	faults.Seed = t.experiment.Seed
	t.fleet.Store.SetFaults(faults)
}

// submitAll sends the submissions, spread evenly over the duration. Their keys are drawn
// at random with the seed. The first submission of each key is declared as such.
func (t *trial) submitAll(ctx context.Context, progress func(string)) {
	e := t.experiment
	random := rand.New(rand.NewPCG(e.Seed, 2))
	interval := e.Duration.Std() / time.Duration(e.Submissions)
	idleCallers := make(chan int, e.Callers)
	for caller := range e.Callers {
		idleCallers <- caller
	}
	submitted := make([]bool, e.Keys)
	var tasks sync.WaitGroup
	for number := range e.Submissions {
		key := t.drawKey(random, number)
		first := !submitted[key]
		submitted[key] = true
		entry := random.IntN(e.Entries)
		time.Sleep(time.Until(t.start.Add(time.Duration(number) * interval)))
		caller := <-idleCallers
		if number%100 == 0 {
			progress(fmt.Sprintf("%d of %d submissions", number, e.Submissions))
		}
		tasks.Go(func() {
			t.submit(ctx, caller, key, entry, first)
			idleCallers <- caller
		})
	}
	tasks.Wait()
}

// drawKey returns the index of a submission's key. New keys are introduced at a constant
// rate; all other submissions duplicate one of the latest keys.
func (t *trial) drawKey(random *rand.Rand, number int) int {
	e := t.experiment
	newest := number * e.Keys / e.Submissions
	if number == 0 || newest != (number-1)*e.Keys/e.Submissions {
		return newest
	}
	const recent = 10
	return max(0, newest-random.IntN(recent))
}

// submit sends one submission. A caller without a response does not know whether its
// submission has arrived, so only the very first submission of a key may be declared as
// the first.
func (t *trial) submit(ctx context.Context, caller, key, entry int, first bool) {
	s := Submission{Key: t.keys[key], Caller: caller, Called: time.Now(), FirstSubmission: first}
	response, err := t.client.Submit(ctx, t.fleet.EntryURL(entry), CallRequest{
		Service: fleet.TrialApplication, Method: http.MethodPost, Path: "/deposits", BearerToken: fleet.TrialToken,
		Body: fmt.Appendf(nil, `{"number":%d}`, key), IdempotencyKey: s.Key, FirstSubmission: first,
	})
	s.Returned = time.Now()
	s.Response, s.Unanswered = response, err != nil
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Submissions = append(t.history.Submissions, s)
}

// resubmitAll submits every key once more after the faults, because resubmitting a key
// whose outcome was unknown returns the outcome as soon as there is one.
func (t *trial) resubmitAll(ctx context.Context) {
	t.fleet.Store.SetFaults(kv.Faults{})
	idleCallers := make(chan int, t.experiment.Callers)
	for caller := range t.experiment.Callers {
		idleCallers <- caller
	}
	var tasks sync.WaitGroup
	for key := range t.keys {
		caller := <-idleCallers
		tasks.Go(func() {
			t.submit(ctx, caller, key, key%t.experiment.Entries, false)
			idleCallers <- caller
		})
	}
	tasks.Wait()
}

// runFault injects one fault when it is due and reverts it.
func (t *trial) runFault(ctx context.Context, fault Fault, progress func(string)) {
	time.Sleep(time.Until(t.start.Add(fault.At.Std())))
	progress(fmt.Sprintf("%s %d for %s", fault.Type, fault.Which, fault.For.Std()))
	wait := func() { time.Sleep(fault.For.Std()) }
	if err := t.inject(ctx, fault, wait); err != nil {
		progress(errors.Wrapf(err, "%s %d", fault.Type, fault.Which).Error())
	}
}

func (t *trial) inject(ctx context.Context, fault Fault, wait func()) error {
	f := t.fleet
	switch fault.Type {
	case KillEntry:
		return f.RestartEntry(ctx, fault.Which, wait)
	case StallEntry:
		f.StallEntry(fault.Which, true)
		wait()
		f.StallEntry(fault.Which, false)
	case KillAgent:
		f.ApplicationMembers()[fault.Which].KillAgent()
		wait()
		_, err := f.ReplaceApplicationAgent(ctx, fault.Which, false)
		return err
	case SilenceAgent:
		member := f.ApplicationMembers()[fault.Which]
		member.SilenceAgent(true)
		wait()
		member.SilenceAgent(false)
	case AbandonAgent:
		f.ApplicationMembers()[fault.Which].SilenceAgent(true)
		_, err := f.ReplaceApplicationAgent(ctx, fault.Which, true)
		return err
	case PauseApplication:
		server := f.ApplicationMembers()[fault.Which].Server
		server.SetFaults(application.Faults{Pause: true})
		wait()
		server.SetFaults(application.Faults{DropEveryNthResponse: t.experiment.DropEveryNthResponse})
	case StoreOutage:
		t.setStoreFaults(kv.Faults{Outage: true})
		wait()
		t.setStoreFaults(kv.Faults{})
	case SlowStore:
		t.setStoreFaults(kv.Faults{Delay: slowStoreDelay})
		wait()
		t.setStoreFaults(kv.Faults{})
	}
	return nil
}

func (t *trial) report(directory string) Report {
	e := t.experiment
	t.history.Executions = t.fleet.ExecutionLog.Executions()
	r := Report{Name: e.Name, Seed: e.Seed, MaxUnknownShare: e.MaxUnknownShare, Reasons: map[string]int{}, Seconds: time.Since(t.start).Seconds()}
	r.Calls = len(t.keys)
	results := map[string]*keyResponses{}
	for _, s := range t.history.Submissions {
		if s.Unanswered {
			r.Unanswered++
			continue
		}
		if results[s.Key] == nil {
			results[s.Key] = &keyResponses{key: s.Key}
		}
		results[s.Key].responses = append(results[s.Key].responses, s.Response)
		if s.Response.Outcome.WasRun != request.RunYes {
			r.Reasons[s.Response.Outcome.WasRun.String()+": "+s.Response.Outcome.Error]++
		}
	}
	for key, result := range results {
		r.add(*result, t.fleet.ExecutionLog.Count(key), true)
	}
	for _, count := range t.fleet.ExecutionLog.Counts() {
		r.MaxExecutions = max(r.MaxExecutions, count)
	}
	if r.Submissions > 0 {
		r.UnknownShare = float64(r.Unknown) / float64(r.Submissions)
	}
	for i := range e.Entries {
		stats := t.fleet.Entries[i].PageStats()
		r.Store.Operations += stats.Operations
		r.Store.Writes += stats.Writes
		r.Store.Reads += stats.Reads
		r.Store.Conflicts += stats.Conflicts
		r.Store.Errors += stats.Errors
	}
	if err := t.history.Check(directory); err != nil {
		r.Violation = err.Error()
	}
	return r
}
