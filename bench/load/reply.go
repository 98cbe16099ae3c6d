package load

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/experiment"
)

// Break is a connection of a caller that broke.
type Break struct {
	At    time.Time
	Entry int
}

// Reply is what one caller saw of its request.
type Reply struct {
	Request experiment.Request
	// Key is the idempotency key of the request.
	Key string
	// Intended is the instant at which the request was to be sent; all delays
	// count from it.
	Intended time.Time
	Ended    time.Time
	Ask      caller.Ask
	Answer   *caller.Answer
	Breaks   []Break
	// Err is the last error when the caller gave up.
	Err error
}

// ID returns the id that the system gave the request, or an empty text.
func (r *Reply) ID() string {
	if r.Answer.LastEventID != "" {
		id, _, _ := strings.Cut(r.Answer.LastEventID, "/")
		return id
	}
	if r.Answer.Outcome != nil {
		return string(r.Answer.Outcome.Request)
	}
	return ""
}

// Complete says that the caller was told that the whole answer came.
func (r *Reply) Complete() bool {
	return r.Answer.Done && r.Answer.Outcome != nil && r.Answer.Outcome.Error == ""
}

// Refused says that the caller was told no before any token came.
func (r *Reply) Refused() bool {
	return r.Answer.Outcome != nil && r.Answer.Outcome.Error != "" && len(r.Answer.Tokens) == 0
}

const (
	// reconnectPause is the pause of a caller before it turns to another entry.
	reconnectPause = 20 * time.Millisecond
	maxReconnects  = 20
)

// ask sends one request and follows its answer over entries that die.
func (r *runner) ask(ctx context.Context, reply *Reply) {
	c := caller.New(r.client)
	reply.Answer = &caller.Answer{}
	reply.Ask = caller.Ask{
		Model:     r.e.Place().Service,
		Prompt:    reply.Request.Prompt,
		MaxTokens: reply.Request.MaxTokens,
		Token:     reply.Request.Workspace.Token(),
		Key:       reply.Key,
	}
	for range maxReconnects {
		entry, url := r.balance()
		if url == "" {
			reply.Err = errUnreachable
			break
		}
		ask := reply.Ask
		ask.LastEventID = reply.Answer.LastEventID
		reply.Err = c.Continue(ctx, url, ask, reply.Answer)
		if reply.Answer.Outcome != nil || ctx.Err() != nil {
			break
		}
		reply.Breaks = append(reply.Breaks, Break{At: time.Now(), Entry: entry})
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
