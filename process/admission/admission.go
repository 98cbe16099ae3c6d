// Package admission admits requests: it queues them while their targets have no free slots,
// enforces the limits of workspaces, and refuses early those that cannot be served in time.
// It does no I/O and reads no clock; the caller passes in how many slots of the targets are
// free, which a Limit computes where many entries share the targets.
//
// Generations are ordered so that workspaces share the capacity fairly by expected tokens;
// only the first attempt goes through admission, since resumes have priority. Calls are
// ordered by urgency, and retries wait like first attempts.
package admission

import (
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// Request is a request that asks for admission.
type Request struct {
	// ID identifies the request; it is unique among the queued requests.
	ID        uint64
	Workspace string
	// Share is the weight of the workspace. It counts in services whose requests share the
	// capacity fairly.
	Share int
	// Kind, Rank and LatestStart count in services whose requests are ordered by urgency. Kind
	// names what was requested. Rank is the priority, 0 first. LatestStart is the latest start
	// with which the response is still on time; zero means that it is on time until Deadline.
	Kind        string
	Rank        int
	LatestStart time.Time
	// Tokens is the maximum number of output tokens.
	Tokens  int
	Arrived time.Time
	// Deadline is when the response is of no more use to the caller; zero means never.
	Deadline time.Time
	// QueueTimeout bounds the wait in the queue.
	QueueTimeout time.Duration
	// Limits are the limits of the workspace over all entries.
	Limits Limits
	// MaxQueued bounds the queued requests of the service; zero means no bound.
	MaxQueued int
	// FailFast limits queueing: the request waits for failFastTimeout at most, and only
	// while its workspace uses no more than its share.
	FailFast bool
}

// Limits bounds a workspace; zero means no bound.
type Limits struct {
	// Concurrent bounds the requests in flight.
	Concurrent int
	// TokensPerSecond bounds the rate of tokens.
	TokensPerSecond int
}

// Decision is the outcome of a request: admitted if Kind is None, refused otherwise.
type Decision struct {
	ID   uint64
	Kind fault.Kind
	// RetryAfter is the delay after which a retry is worthwhile.
	RetryAfter time.Duration
	// Rank orders admitted requests in the queue of a target: lower goes first. It grows
	// with the tokens that the workspace has in flight relative to its share.
	Rank int
}

const (
	// failFastTimeout is how long a request with FailFast set may wait for its share.
	failFastTimeout = 500 * time.Millisecond
	// burstSeconds is how many seconds of its token rate a workspace may save up.
	burstSeconds = 10
	// minRetryAfter is the shortest RetryAfter of a refusal.
	minRetryAfter = time.Second
)

// workspaceUsage tracks the requests of one workspace at this process, queued ones included,
// and its token bucket.
type workspaceUsage struct {
	inFlight int
	// tokenBalance is the balance of the workspace's token bucket at refilledAt; it is
	// negative after overuse.
	tokenBalance float64
	refilledAt   time.Time
}

// Controller holds the queues of all services of one process.
type Controller struct {
	queues     map[string]queue
	workspaces map[string]*workspaceUsage
	// entryCount is how many entries share the limits.
	entryCount int
}

// NewController returns a controller with empty queues.
func NewController() *Controller {
	return &Controller{queues: map[string]queue{}, workspaces: map[string]*workspaceUsage{}, entryCount: 1}
}

// SetEntryCount sets the number of running entries, this one included. Each enforces its
// part of the limits.
func (c *Controller) SetEntryCount(entries int) { c.entryCount = max(1, entries) }

// Waiting returns the number of queued requests of a service.
func (c *Controller) Waiting(service string) int {
	if q, ok := c.queues[service]; ok {
		return q.length()
	}
	return 0
}

// OrderByUrgency orders the requests of a service by urgency instead of fair shares: by rank,
// then by the latest start with which they are on time; those that can no longer be on time
// come last. It has an effect only before the first request of the service.
func (c *Controller) OrderByUrgency(service string) {
	if _, ok := c.queues[service]; !ok {
		c.queues[service] = newUrgencyQueue()
	}
}

// SetUsualDuration sets how long the requests of a service that is ordered by urgency usually
// take once they are admitted; zero means that it is not known.
func (c *Controller) SetUsualDuration(service string, d time.Duration) {
	if q, ok := c.queues[service].(*urgencyQueue); ok {
		q.usualDuration = d
	}
}

func (c *Controller) queue(service string) queue {
	q, ok := c.queues[service]
	if !ok {
		q = newFairQueue()
		c.queues[service] = q
	}
	return q
}

func (c *Controller) refilledUsage(now time.Time, name string, limits Limits) *workspaceUsage {
	u, ok := c.workspaces[name]
	rate := float64(limits.TokensPerSecond) / float64(c.entryCount)
	if !ok {
		u = &workspaceUsage{tokenBalance: rate * burstSeconds, refilledAt: now}
		c.workspaces[name] = u
	}
	u.tokenBalance = min(rate*burstSeconds, u.tokenBalance+rate*now.Sub(u.refilledAt).Seconds())
	u.refilledAt = now
	return u
}

// Enqueue queues a request of a service or refuses it. If the queue is over its bound, it
// refuses a request, which may be a different one: the latest of the workspace that has most
// queued relative to its share, or the least urgent.
func (c *Controller) Enqueue(now time.Time, service string, request Request) []Decision {
	u := c.refilledUsage(now, request.Workspace, request.Limits)
	if decision, exceeded := c.overLimit(u, request); exceeded {
		return []Decision{decision}
	}
	q := c.queue(service)
	if !request.Deadline.IsZero() && now.Add(q.minDuration(request)).After(request.Deadline) {
		return []Decision{{ID: request.ID, Kind: fault.DeadlineTooNear, RetryAfter: minRetryAfter}}
	}
	u.inFlight++
	q.push(now, request)
	if request.MaxQueued <= 0 || q.length() <= request.MaxQueued {
		return nil
	}
	evicted := q.popExcess()
	u = c.workspaces[evicted.Workspace]
	u.inFlight--
	return []Decision{q.refusal(now, evicted)}
}

// overLimit reports whether the request exceeds the limits of its workspace at this entry,
// and returns the refusal.
func (c *Controller) overLimit(u *workspaceUsage, request Request) (Decision, bool) {
	refusal := Decision{ID: request.ID, Kind: fault.LimitExceeded, RetryAfter: minRetryAfter}
	entryLimit := (request.Limits.Concurrent + c.entryCount - 1) / c.entryCount
	if entryLimit > 0 && u.inFlight >= entryLimit {
		return refusal, true
	}
	if request.Limits.TokensPerSecond > 0 && u.tokenBalance <= 0 {
		rate := float64(request.Limits.TokensPerSecond) / float64(c.entryCount)
		wait := time.Duration(-u.tokenBalance / rate * float64(time.Second))
		refusal.RetryAfter = max(minRetryAfter, wait)
		return refusal, true
	}
	return Decision{}, false
}

// Dispatch admits up to freeSlots queued requests of a service in the order of its queue. A
// queue that is ordered by urgency is ordered as of the last call of Enqueue or Prune.
func (c *Controller) Dispatch(service string, freeSlots int) []Decision {
	return c.DispatchLimited(service, freeSlots, freeSlots)
}

// DispatchLimited is like Dispatch, but admits requests that can no longer be on time only
// as long as it has admitted fewer than freeForLate.
func (c *Controller) DispatchLimited(service string, freeSlots, freeForLate int) []Decision {
	q, ok := c.queues[service]
	if !ok {
		return nil
	}
	var decisions []Decision
	for n := 0; n < freeSlots && q.length() > 0; n++ {
		if n >= freeForLate && q.onlyLate() {
			break
		}
		request := q.popFirst()
		rank := q.rank(request)
		q.recordStart(request)
		decisions = append(decisions, Decision{ID: request.ID, Rank: rank})
	}
	return decisions
}

// Prune refuses the queued requests of a service that can no longer start in time.
func (c *Controller) Prune(now time.Time, service string) []Decision {
	q, ok := c.queues[service]
	if !ok {
		return nil
	}
	var decisions []Decision
	for _, request := range q.prune(now) {
		c.workspaces[request.Workspace].inFlight--
		decisions = append(decisions, q.refusal(now, request))
	}
	return decisions
}

// Services returns the services that have had requests, in sorted order.
func (c *Controller) Services() []string {
	names := make([]string, 0, len(c.queues))
	for name := range c.queues {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Cancel removes a queued request and reports whether it was queued.
func (c *Controller) Cancel(service string, id uint64) bool {
	q, ok := c.queues[service]
	if !ok {
		return false
	}
	request, ok := q.remove(id)
	if ok {
		c.workspaces[request.Workspace].inFlight--
	}
	return ok
}

// Finish records that an admitted request has ended after generating the given tokens.
func (c *Controller) Finish(now time.Time, service string, request Request, tokens int) {
	u := c.refilledUsage(now, request.Workspace, request.Limits)
	u.inFlight--
	u.tokenBalance -= float64(tokens)
	c.queue(service).recordEnd(request, tokens)
}

// RecordTokens records the tokens generated for a service since the last call.
func (c *Controller) RecordTokens(now time.Time, service string, tokens int) {
	c.queue(service).recordTokens(now, tokens)
}
