package load

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
)

// Disconnect is the loss of a caller's connection to an entry.
type Disconnect struct {
	At    time.Time
	Entry int
}

// Result is one request as its caller saw it.
type Result struct {
	Request experiment.Request
	// IdempotencyKey is sent on every connection, so that a caller that has no event ID
	// yet can reconnect to its request.
	IdempotencyKey string
	// IntendedStart is the planned time of sending; all delays are measured from it.
	IntendedStart     time.Time
	Ended             time.Time
	CompletionRequest caller.CompletionRequest
	Response          *caller.CompletionResponse
	Disconnects       []Disconnect
	// Err is the last error when the caller gave up.
	Err error
}

// ID returns the request ID assigned by the system, or an empty string.
func (r *Result) ID() string {
	if r.Response.LastEventID != "" {
		id, _, _ := strings.Cut(r.Response.LastEventID, "/")
		return id
	}
	if r.Response.Outcome != nil {
		return string(r.Response.Outcome.Request)
	}
	return ""
}

// Complete reports whether the system told the caller that the response is complete.
func (r *Result) Complete() bool {
	return r.Response.Done && r.Response.Outcome != nil && r.Response.Outcome.Error == ""
}

// Refused reports whether the caller got an error before any token.
func (r *Result) Refused() bool {
	return r.Response.Outcome != nil && r.Response.Outcome.Error != "" && len(r.Response.Tokens) == 0
}

const (
	// reconnectDelay is the delay before a caller reconnects to another entry.
	reconnectDelay = 20 * time.Millisecond
	maxReconnects  = 20
)

// sendRequest sends one request and receives its response, reconnecting to another
// entry when the connection breaks.
func (r *runner) sendRequest(ctx context.Context, result *Result) {
	c := caller.New(r.client)
	result.Response = &caller.CompletionResponse{}
	result.CompletionRequest = caller.CompletionRequest{
		Model:          r.experiment.ResolveDeployment().Service,
		Prompt:         result.Request.Prompt,
		MaxTokens:      result.Request.MaxTokens,
		BearerToken:    result.Request.Workspace.BearerToken(),
		IdempotencyKey: result.IdempotencyKey,
	}
	for range maxReconnects {
		entry, url := r.nextEntry()
		if url == "" {
			result.Err = errUnreachable
			break
		}
		request := result.CompletionRequest
		request.LastEventID = result.Response.LastEventID
		result.Err = c.Resume(ctx, url, request, result.Response)
		if result.Response.Outcome != nil || ctx.Err() != nil {
			break
		}
		result.Disconnects = append(result.Disconnects, Disconnect{At: time.Now(), Entry: entry})
		time.Sleep(reconnectDelay)
	}
	result.Ended = time.Now()
}

// nextEntry returns the next entry, round-robin, that is not down. The URL is empty if
// there is none.
func (r *runner) nextEntry() (index int, url string) {
	for range r.entries {
		i := int(r.entryCounter.Add(1)) % len(r.entries)
		if !r.entries[i].down.Load() {
			return i, r.entries[i].url
		}
	}
	return 0, ""
}
