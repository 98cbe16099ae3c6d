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

// Report is what came of an experiment.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	Verdict
	// MaxExecutions is the most that any key ran.
	MaxExecutions int `json:"maxExecutions"`
	// UnknownShare is the share of unknown outcomes among the answers.
	UnknownShare    float64 `json:"unknownShare"`
	MaxUnknownShare float64 `json:"maxUnknownShare"`
	// Store sums up the traffic of the entries that lived to the end.
	Store calls.PageStats `json:"store"`
	// Reasons counts the answers that were not a reply, by error.
	Reasons map[string]int `json:"reasons"`
	// Violation says what is wrong with the history, if anything.
	Violation string  `json:"violation,omitempty"`
	Seconds   float64 `json:"seconds"`
}

// OK says that the run met its targets.
func (r Report) OK() bool {
	return r.Verdict.OK() && r.Violation == "" && r.UnknownShare < r.MaxUnknownShare
}

// trial is one run of an experiment.
type trial struct {
	experiment *Experiment
	fleet      *fleet.Fleet
	client     *Client
	keys       []string
	began      time.Time

	mu      sync.Mutex
	history History
}

// settleTime is how long the fleet is left alone after the last fault, so that
// late executions are seen.
const settleTime = time.Second

// Run runs an experiment. A violating history is written into directory.
func Run(ctx context.Context, e *Experiment, directory string, progress func(string)) (Report, error) {
	f, err := fleet.Start(ctx, fleet.Layout{
		Document: fleet.TrialCallsDocument(e.Deadline.Std()),
		Service:  fleet.TrialService, Domains: e.Domains, Entries: e.Entries,
		Applications: fleet.Applications{Service: fleet.TrialApplication, Count: e.Targets, Work: e.Work.Std(), Relayed: true},
	})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	t := &trial{experiment: e, fleet: f, client: newTrialClient(), began: time.Now()}
	for range e.Keys {
		t.keys = append(t.keys, uuid.Must(uuid.NewV7()).String())
	}
	for _, member := range f.ApplicationMembers() {
		member.Server.SetFaults(application.Faults{DropEveryNthResponse: e.LoseReply})
	}
	t.setStore(kv.Faults{})
	var tasks sync.WaitGroup
	for _, fault := range e.Faults {
		tasks.Go(func() { t.fault(ctx, fault, progress) })
	}
	t.submitAll(ctx, progress)
	tasks.Wait()
	t.closing(ctx)
	time.Sleep(settleTime)
	return t.report(directory), nil
}

func newTrialClient() *Client {
	return NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
}

// setStore sets the switches of the store beside its lost answers.
func (t *trial) setStore(faults kv.Faults) {
	faults.ResponseLossRate = t.experiment.LoseAnswer
	faults.WriteLossRate = t.experiment.LoseWrite
	faults.Seed = t.experiment.Seed
	t.fleet.Store.SetFaults(faults)
}

// submitAll makes the submissions, spread evenly over the duration. Which key each
// has is drawn from the seed; a key's first submission is marked so.
func (t *trial) submitAll(ctx context.Context, progress func(string)) {
	e := t.experiment
	random := rand.New(rand.NewPCG(e.Seed, 2))
	interval := e.Duration.Std() / time.Duration(e.Submissions)
	slots := make(chan int, e.Callers)
	for caller := range e.Callers {
		slots <- caller
	}
	begun := make([]bool, e.Keys)
	var tasks sync.WaitGroup
	for number := range e.Submissions {
		key := t.draw(random, number)
		first := !begun[key]
		begun[key] = true
		entry := random.IntN(e.Entries)
		time.Sleep(time.Until(t.began.Add(time.Duration(number) * interval)))
		caller := <-slots
		if number%100 == 0 {
			progress(fmt.Sprintf("%d of %d submissions", number, e.Submissions))
		}
		tasks.Go(func() {
			t.submit(ctx, caller, key, entry, first)
			slots <- caller
		})
	}
	tasks.Wait()
}

// draw chooses the key of a submission: new keys come up evenly, and repeats are
// of keys that came up lately.
func (t *trial) draw(random *rand.Rand, number int) int {
	e := t.experiment
	newest := number * e.Keys / e.Submissions
	if number == 0 || newest != (number-1)*e.Keys/e.Submissions {
		return newest
	}
	const recent = 10
	return max(0, newest-random.IntN(recent))
}

// submit makes one submission. A caller that got no answer does not know whether
// its first submission arrived, so only the very first is ever marked.
func (t *trial) submit(ctx context.Context, caller, key, entry int, first bool) {
	s := Submission{Key: t.keys[key], Caller: caller, Called: time.Now(), FirstMarked: first}
	told, err := t.client.Submit(ctx, t.fleet.EntryURL(entry), CallRequest{
		Service: fleet.TrialApplication, Method: http.MethodPost, Path: "/deposits", BearerToken: fleet.TrialToken,
		Body: fmt.Appendf(nil, `{"number":%d}`, key), IdempotencyKey: s.Key, FirstSubmission: first,
	})
	s.Returned = time.Now()
	s.Told, s.Silent = told, err != nil
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Submissions = append(t.history.Submissions, s)
}

// closing submits every key once more after the faults: who repeats an unknown key
// gets the outcome as soon as there is one.
func (t *trial) closing(ctx context.Context) {
	t.fleet.Store.SetFaults(kv.Faults{})
	slots := make(chan int, t.experiment.Callers)
	for caller := range t.experiment.Callers {
		slots <- caller
	}
	var tasks sync.WaitGroup
	for key := range t.keys {
		caller := <-slots
		tasks.Go(func() {
			t.submit(ctx, caller, key, key%t.experiment.Entries, false)
			slots <- caller
		})
	}
	tasks.Wait()
}

// fault brings one fault about and ends it.
func (t *trial) fault(ctx context.Context, fault Fault, progress func(string)) {
	time.Sleep(time.Until(t.began.Add(fault.At.Std())))
	progress(fmt.Sprintf("%s %d for %s", fault.Type, fault.Which, fault.For.Std()))
	hold := func() { time.Sleep(fault.For.Std()) }
	if err := t.bringAbout(ctx, fault, hold); err != nil {
		progress(errors.Wrapf(err, "%s %d", fault.Type, fault.Which).Error())
	}
}

func (t *trial) bringAbout(ctx context.Context, fault Fault, hold func()) error {
	f := t.fleet
	switch fault.Type {
	case KillEntry:
		return f.RestartEntry(ctx, fault.Which, hold)
	case StallEntry:
		f.StallEntry(fault.Which, true)
		hold()
		f.StallEntry(fault.Which, false)
	case KillAgent:
		f.ApplicationMembers()[fault.Which].KillAgent()
		hold()
		_, err := f.ReplaceApplicationAgent(ctx, fault.Which, false)
		return err
	case SilenceAgent:
		member := f.ApplicationMembers()[fault.Which]
		member.SilenceAgent(true)
		hold()
		member.SilenceAgent(false)
	case AbandonAgent:
		f.ApplicationMembers()[fault.Which].SilenceAgent(true)
		_, err := f.ReplaceApplicationAgent(ctx, fault.Which, true)
		return err
	case PauseApplication:
		server := f.ApplicationMembers()[fault.Which].Server
		server.SetFaults(application.Faults{Pause: true})
		hold()
		server.SetFaults(application.Faults{DropEveryNthResponse: t.experiment.LoseReply})
	case StoreOutage:
		t.setStore(kv.Faults{Outage: true})
		hold()
		t.setStore(kv.Faults{})
	case SlowStore:
		t.setStore(kv.Faults{Delay: slowStoreDelay})
		hold()
		t.setStore(kv.Faults{})
	}
	return nil
}

func (t *trial) report(directory string) Report {
	e := t.experiment
	t.history.Runs = t.fleet.ExecutionLog.AllExecutions()
	r := Report{Name: e.Name, Seed: e.Seed, MaxUnknownShare: e.MaxUnknownShare, Reasons: map[string]int{}, Seconds: time.Since(t.began).Seconds()}
	r.Calls = len(t.keys)
	stories := map[string]*story{}
	for _, s := range t.history.Submissions {
		if s.Silent {
			r.Silent++
			continue
		}
		if stories[s.Key] == nil {
			stories[s.Key] = &story{key: s.Key}
		}
		stories[s.Key].told = append(stories[s.Key].told, s.Told)
		if s.Told.Outcome.WasRun != request.RunYes {
			r.Reasons[s.Told.Outcome.WasRun.String()+": "+s.Told.Outcome.Error]++
		}
	}
	for key, told := range stories {
		r.add(*told, t.fleet.ExecutionLog.Count(key), true)
	}
	for _, count := range t.fleet.ExecutionLog.Executions() {
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
