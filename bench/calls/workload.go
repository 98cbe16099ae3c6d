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

// Workload is a set of calls that must each run at most once: bookings or deposits.
type Workload struct {
	// Entries lists the base URLs of the entries; submissions are sent to them in turn.
	Entries []string
	// Application is the base URL of a stand-in for the application, or empty if the
	// executions are not to be checked.
	Application string
	Service     string
	BearerToken string
	// Path is the path of the calls, for instance "/bookings".
	Path string
	// Keys is the number of calls, and DuplicateSubmissions how often each is submitted
	// again after its first submission.
	Keys, DuplicateSubmissions int
	// Parallel is the maximum number of calls in flight.
	Parallel int
}

// Verdict is the result of a workload. RunTwice, WrongOutcomes and Differing must be
// zero. Ran equals Calls unless faults prevented some calls from running, or the callers
// from learning that they ran.
type Verdict struct {
	// Calls is the number of keys, Submissions the number of answered submissions.
	Calls       int `json:"calls"`
	Submissions int `json:"submissions"`
	// Ran counts the keys for which a response reported that the call was run.
	Ran int `json:"ran"`
	// RunTwice counts the keys that the application executed more than once.
	RunTwice int `json:"callsRunTwice"`
	// WrongOutcomes counts the keys with a wrong outcome: "run" for a key that was not
	// executed, or "not run" as the last outcome of a key that was executed.
	WrongOutcomes int `json:"untruthful"`
	// Differing counts the keys whose submissions got the outcome "run" with different
	// results.
	Differing int `json:"differing"`
	// NotRun and Unknown count submissions with that outcome, Unanswered those that
	// got no response.
	NotRun     int `json:"notRun"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"silent"`
}

// OK reports whether there were calls, none ran twice, and no outcome was wrong or
// differed between submissions of a key.
func (v Verdict) OK() bool {
	return v.Calls > 0 && v.RunTwice == 0 && v.WrongOutcomes == 0 && v.Differing == 0
}

// keyResponses holds the responses for one key, in the order of its submissions.
type keyResponses struct {
	key       string
	responses []CallResponse
}

// RunWorkload submits the calls and checks their outcomes.
func (c *Client) RunWorkload(ctx context.Context, workload Workload) (Verdict, error) {
	results := make([]keyResponses, workload.Keys)
	slots := make(chan struct{}, max(1, workload.Parallel))
	verdict := Verdict{Calls: workload.Keys}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	for i := range results {
		key, err := uuid.NewV7()
		if err != nil {
			return verdict, errors.Wrap(err, "key")
		}
		results[i].key = key.String()
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			unanswered := c.submitKey(ctx, workload, i, &results[i])
			mu.Lock()
			defer mu.Unlock()
			verdict.Unanswered += unanswered
		})
	}
	tasks.Wait()
	executions := map[string]int{}
	if workload.Application != "" {
		var err error
		if executions, err = c.ExecutionCounts(ctx, workload.Application); err != nil {
			return verdict, err
		}
	}
	for _, result := range results {
		verdict.add(result, executions[result.key], workload.Application != "")
	}
	return verdict, nil
}

// submitKey submits one key for the first time and then again DuplicateSubmissions times.
// It returns how many submissions got no response.
func (c *Client) submitKey(ctx context.Context, workload Workload, number int, result *keyResponses) (unanswered int) {
	for submission := range workload.DuplicateSubmissions + 1 {
		response, err := c.Submit(ctx, workload.Entries[(number+submission)%len(workload.Entries)], CallRequest{
			Service: workload.Service, Method: "POST", Path: workload.Path, BearerToken: workload.BearerToken,
			Body: fmt.Appendf(nil, `{"number":%d}`, number), IdempotencyKey: result.key, FirstSubmission: submission == 0,
		})
		if err != nil {
			unanswered++
			continue
		}
		result.responses = append(result.responses, response)
	}
	return unanswered
}

// add adds the result of one key, which the application executed executions times. If
// checked is false, the number of executions is not known.
func (v *Verdict) add(result keyResponses, executions int, checked bool) {
	v.Submissions += len(result.responses)
	outcomes := map[string]bool{}
	last := request.RunUnknown
	for _, response := range result.responses {
		last = response.Outcome.WasRun
		switch last {
		case request.RunYes:
			outcomes[response.Outcome.Digest+string(response.Body)] = true
		case request.RunNo:
			v.NotRun++
		default:
			v.Unknown++
		}
	}
	if len(outcomes) > 0 {
		v.Ran++
	}
	if len(outcomes) > 1 {
		v.Differing++
	}
	if !checked {
		return
	}
	if executions > 1 {
		v.RunTwice++
	}
	if (len(outcomes) > 0 && executions == 0) || (last == request.RunNo && executions > 0) {
		v.WrongOutcomes++
	}
}

// String returns the verdict as JSON.
func (v Verdict) String() string {
	data, _ := json.Marshal(v)
	return string(data)
}
