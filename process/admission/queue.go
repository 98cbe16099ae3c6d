package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// queue holds the queued requests of one service in the order in which they are admitted.
type queue interface {
	// length returns the number of queued requests.
	length() int
	// onlyLate reports whether no queued request can be on time any more.
	onlyLate() bool
	push(now time.Time, request Request)
	// popFirst removes the request that goes first; the queue must not be empty.
	popFirst() Request
	// popExcess removes the request that is refused first if the queue is too long; it must
	// not be empty.
	popExcess() Request
	remove(id uint64) (Request, bool)
	// prune removes the requests that have waited, or are certain to wait, for too long.
	prune(now time.Time) []Request
	// rank returns the rank, at its target, of a request that is about to be admitted.
	rank(request Request) int
	recordStart(request Request)
	recordEnd(request Request, tokens int)
	recordTokens(now time.Time, tokens int)
	// minDuration returns the shortest time that the request takes once it is admitted, zero
	// while unknown.
	minDuration(request Request) time.Duration
	// refusal returns the decision for a request that cannot be served in time.
	refusal(now time.Time, request Request) Decision
}

// fairQueue implements start-time fair queueing: each request has a virtual start not before
// the virtual finish of the previous request of its workspace, and the request with the lowest
// start goes first.
type fairQueue struct {
	flows map[string]*flow
	// names lists the names of the flows in sorted order.
	names   []string
	waiting int
	// virtualTime is the highest virtual start of the requests admitted so far.
	virtualTime float64

	// running counts the admitted requests that have not ended.
	running    int
	throughput throughput
}

// flow is one workspace in the queue of one service.
type flow struct {
	requests []queuedRequest
	share    int
	// virtualFinish is the virtual finish of the latest request.
	virtualFinish float64
	// tokensInFlight counts the expected tokens of the running requests.
	tokensInFlight int
}

type queuedRequest struct {
	Request
	virtualStart float64
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[string]*flow{}} }

func (q *fairQueue) length() int { return q.waiting }

func (q *fairQueue) onlyLate() bool { return false }

func (q *fairQueue) recordTokens(now time.Time, tokens int) {
	q.throughput.recordTokens(now, tokens, q.running, q.waiting > 0)
}

func (q *fairQueue) minDuration(request Request) time.Duration {
	return q.throughput.minDuration(request.Tokens)
}

func (q *fairQueue) flow(name string) *flow {
	f, ok := q.flows[name]
	if !ok {
		f = &flow{}
		q.flows[name] = f
		at, _ := slices.BinarySearch(q.names, name)
		q.names = slices.Insert(q.names, at, name)
	}
	return f
}

func (q *fairQueue) push(_ time.Time, request Request) {
	f := q.flow(request.Workspace)
	f.share = max(1, request.Share)
	start := max(q.virtualTime, f.virtualFinish)
	f.virtualFinish = start + float64(request.Tokens)/float64(f.share)
	f.requests = append(f.requests, queuedRequest{Request: request, virtualStart: start})
	q.waiting++
}

// popFirst removes the request with the lowest virtual start; the queue must not be empty.
func (q *fairQueue) popFirst() Request {
	var first *flow
	for _, name := range q.names {
		f := q.flows[name]
		if len(f.requests) > 0 && (first == nil || f.requests[0].virtualStart < first.requests[0].virtualStart) {
			first = f
		}
	}
	request := first.requests[0]
	first.requests = first.requests[1:]
	q.waiting--
	q.virtualTime = max(q.virtualTime, request.virtualStart)
	return request.Request
}

// popExcess removes the latest request of the flow that has most queued relative to its
// share.
func (q *fairQueue) popExcess() Request {
	var longest *flow
	longestQueued := -1.0
	for _, name := range q.names {
		f := q.flows[name]
		if len(f.requests) == 0 {
			continue
		}
		if queued := f.virtualFinish - f.requests[0].virtualStart; queued > longestQueued {
			longest = f
			longestQueued = queued
		}
	}
	last := len(longest.requests) - 1
	request := longest.requests[last]
	longest.requests = longest.requests[:last]
	longest.virtualFinish = request.virtualStart
	q.waiting--
	return request.Request
}

func (q *fairQueue) remove(id uint64) (Request, bool) {
	for _, name := range q.names {
		f := q.flows[name]
		for index, request := range f.requests {
			if request.ID == id {
				f.requests = slices.Delete(f.requests, index, index+1)
				q.waiting--
				return request.Request, true
			}
		}
	}
	return Request{}, false
}

const (
	// rankUnitTokens is how many tokens in flight per unit of its share a workspace may
	// have at rank zero; each doubling adds one.
	rankUnitTokens = 64
	// maxRank keeps ranks below the distance between the priorities of profiles.
	maxRank = 20
)

// rank returns the rank of a request that is about to be admitted.
func (q *fairQueue) rank(request Request) int {
	f := q.flow(request.Workspace)
	return min(maxRank, bits.Len(uint(f.tokensInFlight/max(1, f.share)/rankUnitTokens)))
}

func (q *fairQueue) recordStart(request Request) {
	q.running++
	q.flow(request.Workspace).tokensInFlight += request.Tokens
}

func (q *fairQueue) recordEnd(request Request, tokens int) {
	q.throughput.recordLength(request.Tokens, tokens)
	q.running = max(0, q.running-1)
	f := q.flow(request.Workspace)
	f.tokensInFlight = max(0, f.tokensInFlight-request.Tokens)
}

// prune removes the requests that have waited, or are certain to wait, for too long.
func (q *fairQueue) prune(now time.Time) []Request {
	if q.waiting == 0 {
		return nil
	}
	var expired []Request
	tokensAhead := 0
	for _, request := range q.ordered() {
		wait := q.throughput.queueDelay(tokensAhead)
		if q.cannotStartInTime(now, request, wait) {
			q.remove(request.ID)
			expired = append(expired, request)
			continue
		}
		tokensAhead += request.Tokens
	}
	return expired
}

// ordered returns the queued requests in the order in which they would be admitted.
func (q *fairQueue) ordered() []Request {
	queued := make([]queuedRequest, 0, q.waiting)
	for _, name := range q.names {
		queued = append(queued, q.flows[name].requests...)
	}
	slices.SortStableFunc(queued, func(a, b queuedRequest) int {
		switch {
		case a.virtualStart < b.virtualStart:
			return -1
		case a.virtualStart > b.virtualStart:
			return 1
		default:
			return 0
		}
	})
	requests := make([]Request, len(queued))
	for i := range queued {
		requests[i] = queued[i].Request
	}
	return requests
}

func (q *fairQueue) cannotStartInTime(now time.Time, request Request, expectedWait time.Duration) bool {
	waited := now.Sub(request.Arrived)
	if request.FailFast {
		return waited >= failFastTimeout || !q.underShare(request)
	}
	if request.QueueTimeout > 0 && waited+expectedWait >= request.QueueTimeout {
		return true
	}
	return !request.Deadline.IsZero() && now.Add(expectedWait+q.throughput.minDuration(request.Tokens)).After(request.Deadline)
}

// underShare reports whether the running requests of the request's workspace have no more
// than its share of the tokens in flight.
func (q *fairQueue) underShare(request Request) bool {
	totalTokens, totalShares := 0, 0
	for _, name := range q.names {
		f := q.flows[name]
		if f.tokensInFlight > 0 || len(f.requests) > 0 {
			totalTokens += f.tokensInFlight
			totalShares += f.share
		}
	}
	f := q.flows[request.Workspace]
	return f.tokensInFlight*totalShares <= totalTokens*f.share
}

// refusal returns the decision for a request that cannot be served in time.
func (q *fairQueue) refusal(_ time.Time, request Request) Decision {
	queuedTokens := 0
	for _, f := range q.flows {
		for _, queued := range f.requests {
			queuedTokens += queued.Tokens
		}
	}
	return Decision{ID: request.ID, Kind: fault.Overloaded, RetryAfter: max(minRetryAfter, q.throughput.queueDelay(queuedTokens))}
}
