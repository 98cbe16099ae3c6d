package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

// queue holds the asks of one service that wait, by start-time fair queueing: each
// ask has a virtual start after the virtual end of the one before it of the same
// workspace; the least start goes first.
type queue struct {
	flows map[string]*flow
	// names lists the flows in order.
	names   []string
	waiting int
	// virtual is the start of the ask let in last.
	virtual float64

	// running counts the requests that were let in and run.
	running int
	pace    pace
}

// flow is one workspace in the queue of one service.
type flow struct {
	asks  []waitingAsk
	share int
	// finish is the virtual end of the latest ask.
	finish float64
	// inFlight counts the tokens of the requests that run.
	inFlight int
}

type waitingAsk struct {
	Request
	start float64
}

func newQueue() *queue { return &queue{flows: map[string]*flow{}} }

func (q *queue) flow(name string) *flow {
	f, ok := q.flows[name]
	if !ok {
		f = &flow{}
		q.flows[name] = f
		at, _ := slices.BinarySearch(q.names, name)
		q.names = slices.Insert(q.names, at, name)
	}
	return f
}

func (q *queue) push(ask Request) {
	f := q.flow(ask.Workspace)
	f.share = max(1, ask.Share)
	start := max(q.virtual, f.finish)
	f.finish = start + float64(ask.Tokens)/float64(f.share)
	f.asks = append(f.asks, waitingAsk{Request: ask, start: start})
	q.waiting++
}

// popFirst removes the ask with the least start; there must be one.
func (q *queue) popFirst() Request {
	var first *flow
	for _, name := range q.names {
		f := q.flows[name]
		if len(f.asks) > 0 && (first == nil || f.asks[0].start < first.asks[0].start) {
			first = f
		}
	}
	ask := first.asks[0]
	first.asks = first.asks[1:]
	q.waiting--
	q.virtual = max(q.virtual, ask.start)
	return ask.Request
}

// popLongest removes the latest ask of the flow that waits for most of its share.
func (q *queue) popLongest() Request {
	var longest *flow
	most := -1.0
	for _, name := range q.names {
		f := q.flows[name]
		if len(f.asks) == 0 {
			continue
		}
		if wait := f.finish - f.asks[0].start; wait > most {
			longest = f
			most = wait
		}
	}
	last := len(longest.asks) - 1
	ask := longest.asks[last]
	longest.asks = longest.asks[:last]
	longest.finish = ask.start
	q.waiting--
	return ask.Request
}

func (q *queue) remove(id uint64) (Request, bool) {
	for _, name := range q.names {
		f := q.flows[name]
		for i, ask := range f.asks {
			if ask.ID == id {
				f.asks = slices.Delete(f.asks, i, i+1)
				q.waiting--
				return ask.Request, true
			}
		}
	}
	return Request{}, false
}

const (
	// rankUnit is how many tokens in flight for each part of its share a workspace
	// may have at rank zero; each doubling adds one.
	rankUnit = 64
	// maxRank keeps ranks below the distance between the priorities of profiles.
	maxRank = 20
)

// rank returns the rank of an ask that is about to be let in.
func (q *queue) rank(ask Request) int {
	f := q.flow(ask.Workspace)
	return min(maxRank, bits.Len(uint(f.inFlight/max(1, f.share)/rankUnit)))
}

func (q *queue) start(ask Request) {
	q.running++
	q.flow(ask.Workspace).inFlight += ask.Tokens
}

func (q *queue) end(ask Request, tokens int) {
	q.pace.ended(ask.Tokens, tokens)
	q.running = max(0, q.running-1)
	f := q.flow(ask.Workspace)
	f.inFlight = max(0, f.inFlight-ask.Tokens)
}

// prune removes the asks that have waited, or are certain to wait, for too long.
func (q *queue) prune(now time.Time) []Request {
	if q.waiting == 0 {
		return nil
	}
	var gone []Request
	ahead := 0
	for _, ask := range q.ordered() {
		wait := q.pace.wait(ahead)
		if q.tooLate(now, ask, wait) {
			q.remove(ask.ID)
			gone = append(gone, ask)
			continue
		}
		ahead += ask.Tokens
	}
	return gone
}

// ordered returns the waiting asks in the order in which they would be let in.
func (q *queue) ordered() []Request {
	all := make([]waitingAsk, 0, q.waiting)
	for _, name := range q.names {
		all = append(all, q.flows[name].asks...)
	}
	slices.SortStableFunc(all, func(a, b waitingAsk) int {
		switch {
		case a.start < b.start:
			return -1
		case a.start > b.start:
			return 1
		default:
			return 0
		}
	})
	asks := make([]Request, len(all))
	for i := range all {
		asks[i] = all[i].Request
	}
	return asks
}

func (q *queue) tooLate(now time.Time, ask Request, wait time.Duration) bool {
	waited := now.Sub(ask.Arrived)
	if ask.FailFast {
		return waited >= shareWait || !q.underShare(ask)
	}
	if ask.QueueTimeout > 0 && waited+wait >= ask.QueueTimeout {
		return true
	}
	return !ask.Deadline.IsZero() && now.Add(wait+q.pace.duration(ask.Tokens)).After(ask.Deadline)
}

// underShare says whether the running requests of the ask's workspace have less
// than its share of the tokens in flight.
func (q *queue) underShare(ask Request) bool {
	tokens, shares := 0, 0
	for _, name := range q.names {
		f := q.flows[name]
		if f.inFlight > 0 || len(f.asks) > 0 {
			tokens += f.inFlight
			shares += f.share
		}
	}
	f := q.flows[ask.Workspace]
	return f.inFlight*shares <= tokens*f.share
}

// refusal is the decision about an ask that cannot be served in time.
func (q *queue) refusal(id uint64) Decision {
	queued := 0
	for _, f := range q.flows {
		for _, ask := range f.asks {
			queued += ask.Tokens
		}
	}
	return Decision{ID: id, Kind: fault.Overloaded, RetryAfter: max(leastRetryAfter, q.pace.wait(queued))}
}
