package load

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
)

// Disconnect is a connection of a caller that broke.
type Disconnect struct {
	At    time.Time
	Entry int
}

// Result is what one caller saw of its request.
type Result struct {
	Request experiment.Request
	// IdempotencyKey is the idempotency key of the request.
	IdempotencyKey string
	// IntendedStart is the instant at which the request was to be sent; all delays
	// count from it.
	IntendedStart     time.Time
	Ended             time.Time
	CompletionRequest caller.CompletionRequest
	Response          *caller.CompletionResponse
	Disconnects       []Disconnect
	// Err is the last error when the caller gave up.
	Err error
}

// ID returns the id that the system gave the request, or an empty text.
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

// Complete says that the caller was told that the whole answer came.
func (r *Result) Complete() bool {
	return r.Response.Done && r.Response.Outcome != nil && r.Response.Outcome.Error == ""
}

// Refused says that the caller was told no before any token came.
func (r *Result) Refused() bool {
	return r.Response.Outcome != nil && r.Response.Outcome.Error != "" && len(r.Response.Tokens) == 0
}

const (
	// reconnectPause is the pause of a caller before it turns to another entry.
	reconnectPause = 20 * time.Millisecond
	maxReconnects  = 20
)

// ask sends one request and follows its answer over entries that die.
func (r *runner) ask(ctx context.Context, reply *Result) {
	c := caller.New(r.client)
	reply.Response = &caller.CompletionResponse{}
	reply.CompletionRequest = caller.CompletionRequest{
		Model:          r.e.ResolveDeployment().Service,
		Prompt:         reply.Request.Prompt,
		MaxTokens:      reply.Request.MaxTokens,
		BearerToken:    reply.Request.Workspace.BearerToken(),
		IdempotencyKey: reply.IdempotencyKey,
	}
	for range maxReconnects {
		entry, url := r.balance()
		if url == "" {
			reply.Err = errUnreachable
			break
		}
		ask := reply.CompletionRequest
		ask.LastEventID = reply.Response.LastEventID
		reply.Err = c.Resume(ctx, url, ask, reply.Response)
		if reply.Response.Outcome != nil || ctx.Err() != nil {
			break
		}
		reply.Disconnects = append(reply.Disconnects, Disconnect{At: time.Now(), Entry: entry})
		time.Sleep(reconnectPause)
	}
	reply.Ended = time.Now()
}

// balance returns the next live entry in turn.
func (r *runner) balance() (index int, url string) {
	for range r.entries {
		i := int(r.turn.Add(1)) % len(r.entries)
		if !r.entries[i].dead.Load() {
			return i, r.entries[i].url
		}
	}
	return 0, ""
}
