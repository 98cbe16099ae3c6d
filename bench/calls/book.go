package calls

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

// Workload is a set of calls that each must run at most once: bookings or deposits.
type Workload struct {
	// Entries lists the base URLs of entries; submissions go to them in turn.
	Entries []string
	// Application is the base URL of a stand-in of the service, or empty when the
	// executions are not checked.
	Application string
	Service     string
	BearerToken string
	// Path is the call, for instance "/bookings".
	Path string
	// Keys is how many calls there are, and Repeats how often each is submitted
	// beyond the first time.
	Keys, DuplicateSubmissions int
	// Parallel bounds the submissions in flight.
	Parallel int
}

// Verdict is what came of an errand. All but Unknown, Silent and NotRun must be as
// many as the calls, or zero.
type Verdict struct {
	// Calls counts the keys, Submissions the submissions.
	Calls       int `json:"calls"`
	Submissions int `json:"submissions"`
	// Ran counts the keys that some submission was told to have run.
	Ran int `json:"ran"`
	// RunTwice counts the keys that the application ran more than once.
	RunTwice int `json:"callsRunTwice"`
	// WrongOutcomes counts what was told and is not so: "run" for a key that did not
	// run, or "not run" by the last submission of a key that ran.
	WrongOutcomes int `json:"untruthful"`
	// Differing counts the keys whose submissions were told different outcomes.
	Differing int `json:"differing"`
	// NotRun and Unknown count submissions with that outcome, Silent those that
	// got no answer.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Silent  int `json:"silent"`
}

// OK says that nothing ran twice and nothing untrue was told.
func (v Verdict) OK() bool {
	return v.Calls > 0 && v.RunTwice == 0 && v.WrongOutcomes == 0 && v.Differing == 0
}

// story is what was told of one key, in the order of its submissions.
type story struct {
	key  string
	told []CallResponse
}

// RunWorkload makes the calls and checks them.
func (c *Client) RunWorkload(ctx context.Context, errand Workload) (Verdict, error) {
	stories := make([]story, errand.Keys)
	slots := make(chan struct{}, max(1, errand.Parallel))
	verdict := Verdict{Calls: errand.Keys}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	for i := range stories {
		key, err := uuid.NewV7()
		if err != nil {
			return verdict, errors.Wrap(err, "key")
		}
		stories[i].key = key.String()
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			silent := c.tell(ctx, errand, i, &stories[i])
			mu.Lock()
			defer mu.Unlock()
			verdict.Silent += silent
		})
	}
	tasks.Wait()
	executions := map[string]int{}
	if errand.Application != "" {
		var err error
		if executions, err = c.Executions(ctx, errand.Application); err != nil {
			return verdict, err
		}
	}
	for _, s := range stories {
		verdict.add(s, executions[s.key], errand.Application != "")
	}
	return verdict, nil
}

// tell submits one key again and again and returns how often there was no answer.
func (c *Client) tell(ctx context.Context, errand Workload, number int, s *story) (silent int) {
	for try := range errand.DuplicateSubmissions + 1 {
		told, err := c.Submit(ctx, errand.Entries[(number+try)%len(errand.Entries)], CallRequest{
			Service: errand.Service, Method: "POST", Path: errand.Path, BearerToken: errand.BearerToken,
			Body: fmt.Appendf(nil, `{"number":%d}`, number), IdempotencyKey: s.key, FirstSubmission: try == 0,
		})
		if err != nil {
			silent++
			continue
		}
		s.told = append(s.told, told)
	}
	return silent
}

// add counts one key, which the application ran executions times.
func (v *Verdict) add(s story, executions int, checked bool) {
	v.Submissions += len(s.told)
	ran := map[string]bool{}
	last := request.RunUnknown
	for _, told := range s.told {
		last = told.Outcome.WasRun
		switch last {
		case request.RunYes:
			ran[told.Outcome.Digest+string(told.Body)] = true
		case request.RunNo:
			v.NotRun++
		default:
			v.Unknown++
		}
	}
	if len(ran) > 0 {
		v.Ran++
	}
	if len(ran) > 1 {
		v.Differing++
	}
	if !checked {
		return
	}
	if executions > 1 {
		v.RunTwice++
	}
	if (len(ran) > 0 && executions == 0) || (last == request.RunNo && executions > 0) {
		v.WrongOutcomes++
	}
}

// String returns the verdict as JSON.
func (v Verdict) String() string {
	data, _ := json.Marshal(v)
	return string(data)
}
