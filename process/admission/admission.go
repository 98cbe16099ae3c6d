// Package admission is the deciding core that lets new requests in: fair shares
// of the workspaces by expected tokens, their limits, and a queue that refuses
// early what it cannot serve in time. It does no I/O and reads no clock; what
// room the targets have is told to it.
//
// Only the first attempt of a request passes here. Resumes go before all of it.
package admission

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// Request is one request that wants to start.
type Request struct {
	// ID names the ask; it is unique among those that wait.
	ID        uint64
	Workspace string
	// Share is the weight of the workspace.
	Share int
	// Tokens is how many tokens the answer may have.
	Tokens  int
	Arrived time.Time
	// Deadline is when the answer is of no more use; zero means never.
	Deadline time.Time
	// QueueTimeout bounds the wait in the queue.
	QueueTimeout time.Duration
	// Limits are those of the workspace over all entries.
	Limits Limits
	// MaxQueued bounds the asks of the service that wait.
	MaxQueued int
	// FailFast asks for an answer at once: the ask may wait only for a moment, and
	// only while its workspace has less than its share.
	FailFast bool
}

// Limits bounds a workspace; zero means no bound.
type Limits struct {
	// Concurrent bounds the requests in flight.
	Concurrent int
	// TokensPerSecond bounds the rate of tokens.
	TokensPerSecond int
}

// Decision settles an ask: it is let in when Kind is None, else refused.
type Decision struct {
	ID   uint64
	Kind fault.Kind
	// RetryAfter is when it is worth while to ask again.
	RetryAfter time.Duration
	// Rank orders requests that were let in where they wait next, at a target: less
	// goes first. It grows with what the workspace has in flight for its share.
	Rank int
}

const (
	// shareWait is how long an ask with Refuse set may wait for its share.
	shareWait = 500 * time.Millisecond
	// burst is how many seconds of its token rate a workspace may save up.
	burst = 10
	// leastRetryAfter is the shortest pause that a refusal names.
	leastRetryAfter = time.Second
)

// usage is what one workspace has in flight at this process.
type usage struct {
	inFlight int
	// saved is how many tokens of its rate the workspace has left at filled.
	saved  float64
	filled time.Time
}

// Controller holds the queues of all services of one process.
type Controller struct {
	queues     map[string]*queue
	workspaces map[string]*usage
	// entries is how many entries share the limits.
	entries int
}

// NewController returns a controller without asks.
func NewController() *Controller {
	return &Controller{queues: map[string]*queue{}, workspaces: map[string]*usage{}, entries: 1}
}

// SetEntryCount tells how many entries live, this one included. Each enforces its
// part of the limits.
func (c *Controller) SetEntryCount(entries int) { c.entries = max(1, entries) }

// Waiting returns how many asks of a service wait.
func (c *Controller) Waiting(service string) int {
	if q, ok := c.queues[service]; ok {
		return q.waiting
	}
	return 0
}

func (c *Controller) queue(service string) *queue {
	q, ok := c.queues[service]
	if !ok {
		q = newQueue()
		c.queues[service] = q
	}
	return q
}

func (c *Controller) workspace(now time.Time, name string, limits Limits) *usage {
	u, ok := c.workspaces[name]
	rate := float64(limits.TokensPerSecond) / float64(c.entries)
	if !ok {
		u = &usage{saved: rate * burst, filled: now}
		c.workspaces[name] = u
	}
	u.saved = min(rate*burst, u.saved+rate*now.Sub(u.filled).Seconds())
	u.filled = now
	return u
}

// Enqueue queues an ask of a service or refuses it. Over the bound of the queue it
// refuses the latest ask of the workspace that waits for most of its share, which
// may be another.
func (c *Controller) Enqueue(now time.Time, service string, ask Request) []Decision {
	u := c.workspace(now, ask.Workspace, ask.Limits)
	if decision, over := c.overLimit(u, ask); over {
		return []Decision{decision}
	}
	q := c.queue(service)
	if !ask.Deadline.IsZero() && now.Add(q.pace.duration(ask.Tokens)).After(ask.Deadline) {
		return []Decision{{ID: ask.ID, Kind: fault.DeadlineTooNear, RetryAfter: leastRetryAfter}}
	}
	u.inFlight++
	q.push(ask)
	if ask.MaxQueued <= 0 || q.waiting <= ask.MaxQueued {
		return nil
	}
	dropped := q.popLongest()
	u = c.workspaces[dropped.Workspace]
	u.inFlight--
	return []Decision{q.refusal(dropped.ID)}
}

// overLimit says whether the ask is over its workspace's limits at this entry.
func (c *Controller) overLimit(u *usage, ask Request) (Decision, bool) {
	refused := Decision{ID: ask.ID, Kind: fault.LimitExceeded, RetryAfter: leastRetryAfter}
	part := (ask.Limits.Concurrent + c.entries - 1) / c.entries
	if part > 0 && u.inFlight >= part {
		return refused, true
	}
	if ask.Limits.TokensPerSecond > 0 && u.saved <= 0 {
		rate := float64(ask.Limits.TokensPerSecond) / float64(c.entries)
		wait := time.Duration(-u.saved / rate * float64(time.Second))
		refused.RetryAfter = max(leastRetryAfter, wait)
		return refused, true
	}
	return Decision{}, false
}

// Dispatch lets in as many asks of a service as there is room for, in order of
// their fair shares.
func (c *Controller) Dispatch(service string, room int) []Decision {
	q, ok := c.queues[service]
	if !ok {
		return nil
	}
	var decisions []Decision
	for ; room > 0 && q.waiting > 0; room-- {
		ask := q.popFirst()
		rank := q.rank(ask)
		q.start(ask)
		decisions = append(decisions, Decision{ID: ask.ID, Rank: rank})
	}
	return decisions
}

// Prune refuses the asks of a service that can no longer start in time.
func (c *Controller) Prune(now time.Time, service string) []Decision {
	q, ok := c.queues[service]
	if !ok {
		return nil
	}
	var decisions []Decision
	for _, ask := range q.prune(now) {
		c.workspaces[ask.Workspace].inFlight--
		decisions = append(decisions, q.refusal(ask.ID))
	}
	return decisions
}

// Services returns the services that have had asks, in order.
func (c *Controller) Services() []string {
	names := make([]string, 0, len(c.queues))
	for name := range c.queues {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Cancel forgets an ask that waits and says whether it did.
func (c *Controller) Cancel(service string, id uint64) bool {
	q, ok := c.queues[service]
	if !ok {
		return false
	}
	ask, ok := q.remove(id)
	if ok {
		c.workspaces[ask.Workspace].inFlight--
	}
	return ok
}

// Finish notes that a request that was let in is over, after producing tokens.
func (c *Controller) Finish(now time.Time, service string, ask Request, tokens int) {
	u := c.workspace(now, ask.Workspace, ask.Limits)
	u.inFlight--
	u.saved -= float64(tokens)
	c.queue(service).end(ask, tokens)
}

// RecordTokens notes the tokens generated for a service since the last call.
func (c *Controller) RecordTokens(now time.Time, service string, tokens int) {
	q := c.queue(service)
	q.pace.produced(now, tokens, q.running, q.waiting > 0)
}
