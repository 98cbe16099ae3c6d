package admission

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
)

const (
	// newestFirstPeriod is how long after a request became late in the queue the newest
	// requests go first: the queue is then longer than can be served on time, so that the
	// oldest requests would all start just before they become late. Overloads last for
	// seconds.
	newestFirstPeriod = time.Second
	// minServedShare is the served share of a flow, relative to that of all flows, below which
	// the flow goes first. No flow may have less than a quarter; the rest is a margin, since
	// an entry sees only a part of the requests.
	minServedShare = 0.4
	// servedShareWindow is the time constant of the served shares, a few times as long as a
	// request waits.
	servedShareWindow = 10 * time.Second
	// minFlowOffered is how many requests of a flow must have been offered, at most, for its
	// served share to count: a share of fewer says little.
	minFlowOffered = 2
	// drainWindow is the time constant of the measured drain rates.
	drainWindow = 2 * time.Second
	// minDrainObserved is the time with queued requests below which no drain rate is known: a
	// few times as long as a call takes.
	minDrainObserved = 250 * time.Millisecond
	// minLateObserved is that time below which no late request is refused by prediction: in a
	// burst that ends within it, all those that arrive together become late before any late one
	// is served.
	minLateObserved = time.Second
	// minLateShare is the fraction of the drain rate that is assumed for late requests at
	// least. While an overload lasts none are served, but it may end at any time.
	minLateShare = 0.05
	// returningShare is the fraction of the drain rate with which refused callers are asked to
	// return; the rest is for new requests.
	returningShare = 0.5
	// minReturnDelay is the shortest RetryAfter of a refused call, and maxReturnDelay limits
	// it: callers do not wait for longer than a part of their time.
	minReturnDelay = 250 * time.Millisecond
	maxReturnDelay = 2 * time.Second
	// maxIdleFlows is how many flows without queued requests are remembered.
	maxIdleFlows = 256
)

// urgencyQueue orders requests by urgency. Requests that can still be on time go before those
// that cannot. The former are ordered by rank and latest start: the earliest first, so that
// all are on time if that is possible, and the newest first while it is not. The latter are
// ordered by rank and deadline. A flow whose requests are served far less often than those of
// others goes first, late or not, so that none is starved.
//
// It is designed for calls in an overload that lasts for seconds, as when demand triples or
// half of the targets are lost: first come, first served makes all responses late then.
type urgencyQueue struct {
	flows map[flowKey]*urgencyFlow
	// active holds the flows with queued requests, ordered by rank.
	active []*urgencyFlow
	items  map[uint64]urgencyItem
	// now is the time of the last call that passed it.
	now time.Time
	// usualDuration is how long a request usually takes once it is admitted.
	usualDuration time.Duration
	// becameLateAt is when a queued request last became late.
	becameLateAt time.Time
	// offered and served are the sums over all flows.
	offered, served decayingCount
	drain           drainRate
	// lastReturn is when the caller that was refused last is to return.
	lastReturn time.Time
	// newestFirst overrides the order among requests that can be on time if it is not nil;
	// it is set by the simulation that compares the orders.
	newestFirst func(q *urgencyQueue) bool
}

// flowKey identifies the requests between which urgency alone decides.
type flowKey struct {
	rank            int
	kind, workspace string
}

func (k flowKey) compare(other flowKey) int {
	switch {
	case k.rank != other.rank:
		return k.rank - other.rank
	case k.kind != other.kind:
		return compareStrings(k.kind, other.kind)
	default:
		return compareStrings(k.workspace, other.workspace)
	}
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

type urgencyFlow struct {
	key flowKey
	// onTime is ordered by latest start, late by deadline.
	onTime, late []Request
	// offered and served count the requests that were queued and admitted.
	offered, served decayingCount
}

func (f *urgencyFlow) length() int { return len(f.onTime) + len(f.late) }

// urgencyItem locates a queued request.
type urgencyItem struct {
	flow *urgencyFlow
	// at is what the request is ordered by.
	at   time.Time
	late bool
}

// decayingCount is a count that decays with time constant servedShareWindow.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) at(now time.Time) float64 {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.value *= math.Exp(-float64(elapsed) / float64(servedShareWindow))
		d.updatedAt = now
	}
	return d.value
}

func (d *decayingCount) add(now time.Time) { d.value = d.at(now) + 1 }

func newUrgencyQueue() *urgencyQueue {
	return &urgencyQueue{flows: map[flowKey]*urgencyFlow{}, items: map[uint64]urgencyItem{}}
}

func (q *urgencyQueue) length() int { return len(q.items) }

func (q *urgencyQueue) onlyLate() bool {
	return !slices.ContainsFunc(q.active, func(f *urgencyFlow) bool { return len(f.onTime) > 0 })
}

func (q *urgencyQueue) advance(now time.Time) {
	if now.After(q.now) {
		q.drain.advance(now, q.length() > 0)
		q.now = now
	}
}

func (q *urgencyQueue) push(now time.Time, request Request) {
	q.advance(now)
	if latest := request.Deadline.Add(-q.usualDuration); !request.Deadline.IsZero() &&
		(request.LatestStart.IsZero() || request.LatestStart.After(latest)) {
		request.LatestStart = latest
	}
	f := q.flow(flowKey{rank: request.Rank, kind: request.Kind, workspace: request.Workspace})
	if f.length() == 0 {
		at, _ := slices.BinarySearchFunc(q.active, f.key, func(other *urgencyFlow, key flowKey) int { return other.key.compare(key) })
		q.active = slices.Insert(q.active, at, f)
	}
	f.offered.add(q.now)
	q.offered.add(q.now)
	q.insert(f, request, !request.LatestStart.IsZero() && request.LatestStart.Before(q.now))
}

func (q *urgencyQueue) flow(key flowKey) *urgencyFlow {
	f, ok := q.flows[key]
	if !ok {
		if len(q.flows) > maxIdleFlows+len(q.active) {
			q.forgetIdleFlows()
		}
		f = &urgencyFlow{key: key}
		q.flows[key] = f
	}
	return f
}

// forgetIdleFlows forgets the flows without queued requests.
func (q *urgencyQueue) forgetIdleFlows() {
	for key, f := range q.flows {
		if f.length() == 0 {
			delete(q.flows, key)
		}
	}
}

func (q *urgencyQueue) insert(f *urgencyFlow, request Request, late bool) {
	list, at := &f.onTime, request.LatestStart
	if late {
		list, at = &f.late, request.Deadline
	}
	i, _ := slices.BinarySearchFunc(*list, at, func(other Request, at time.Time) int {
		if order := orderedBy(other, late).Compare(at); order != 0 {
			return order
		}
		return -1
	})
	*list = slices.Insert(*list, i, request)
	q.items[request.ID] = urgencyItem{flow: f, at: at, late: late}
}

// orderedBy returns what a request is ordered by.
func orderedBy(request Request, late bool) time.Time {
	if late {
		return request.Deadline
	}
	return request.LatestStart
}

// take removes the request with the given index from a list of a flow.
func (q *urgencyQueue) take(f *urgencyFlow, late bool, i int) Request {
	list := &f.onTime
	if late {
		list = &f.late
	}
	request := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	delete(q.items, request.ID)
	if f.length() == 0 {
		q.active = slices.DeleteFunc(q.active, func(other *urgencyFlow) bool { return other == f })
	}
	return request
}

func (q *urgencyQueue) popFirst() Request {
	f, late, i := q.first()
	f.served.add(q.now)
	q.served.add(q.now)
	q.drain.recordStart(late)
	return q.take(f, late, i)
}

// first returns the place of the request that goes first.
func (q *urgencyQueue) first() (f *urgencyFlow, late bool, i int) {
	if f = q.starved(); f != nil {
		late = len(f.onTime) == 0
	} else {
		late = q.onlyLate()
		f = q.mostUrgent(late)
	}
	if !late && q.prefersNewest() {
		return f, late, len(f.onTime) - 1
	}
	return f, late, 0
}

// list returns the late requests of a flow, or the others.
func (f *urgencyFlow) list(late bool) []Request {
	if late {
		return f.late
	}
	return f.onTime
}

// mostUrgent returns the flow whose late requests, or others, go first.
func (q *urgencyQueue) mostUrgent(late bool) *urgencyFlow {
	newest := !late && q.prefersNewest()
	var best *urgencyFlow
	var bestAt time.Time
	for _, f := range q.active {
		list := f.list(late)
		if len(list) == 0 {
			continue
		}
		if best != nil && best.key.rank < f.key.rank {
			break
		}
		at := orderedBy(list[0], late)
		if newest {
			at = orderedBy(list[len(list)-1], late)
		}
		if best == nil || newest && at.After(bestAt) || !newest && at.Before(bestAt) {
			best, bestAt = f, at
		}
	}
	return best
}

// prefersNewest reports whether the newest of the requests that can be on time go first.
func (q *urgencyQueue) prefersNewest() bool {
	if q.newestFirst != nil {
		return q.newestFirst(q)
	}
	return !q.becameLateAt.IsZero() && q.now.Sub(q.becameLateAt) < newestFirstPeriod
}

// starved returns the flow whose served share is lowest, if it is below minServedShare of that
// of all requests; otherwise nil.
func (q *urgencyQueue) starved() *urgencyFlow {
	if len(q.flows) < 2 {
		return nil
	}
	var lowest *urgencyFlow
	limit := minServedShare * q.served.at(q.now) / max(1, q.offered.at(q.now))
	for _, f := range q.active {
		offered := f.offered.at(q.now)
		if offered < minFlowOffered {
			continue
		}
		if share := f.served.at(q.now) / offered; share < limit {
			lowest, limit = f, share
		}
	}
	return lowest
}

// popExcess removes the request with the latest deadline of the least urgent flow that has
// late ones, otherwise the one with the latest start of the least urgent flow.
func (q *urgencyQueue) popExcess() Request {
	for _, f := range slices.Backward(q.active) {
		if len(f.late) > 0 {
			return q.take(f, true, len(f.late)-1)
		}
	}
	f := q.active[len(q.active)-1]
	return q.take(f, false, len(f.onTime)-1)
}

func (q *urgencyQueue) remove(id uint64) (Request, bool) {
	item, ok := q.items[id]
	if !ok {
		return Request{}, false
	}
	list := item.flow.list(item.late)
	i, _ := slices.BinarySearchFunc(list, item.at, func(other Request, at time.Time) int {
		return orderedBy(other, item.late).Compare(at)
	})
	for list[i].ID != id {
		i++
	}
	return q.take(item.flow, item.late, i), true
}

// prune also moves the requests that have become late behind the others.
func (q *urgencyQueue) prune(now time.Time) []Request {
	q.advance(now)
	var expired []Request
	ahead := 0
	for _, f := range slices.Clone(q.active) {
		for len(f.onTime) > 0 && f.onTime[0].LatestStart.Before(q.now) && !f.onTime[0].LatestStart.IsZero() {
			request := f.onTime[0]
			f.onTime = slices.Delete(f.onTime, 0, 1)
			q.insert(f, request, true)
			q.becameLateAt = q.now
		}
		for i := 0; i < len(f.late); {
			request := f.late[i]
			wait := q.drain.lateWait(ahead + 1)
			if !request.Deadline.IsZero() && q.now.Add(wait+q.usualDuration).After(request.Deadline) {
				expired = append(expired, q.take(f, true, i))
				continue
			}
			i++
			ahead++
		}
	}
	return expired
}

func (q *urgencyQueue) rank(request Request) int { return request.Rank }

func (q *urgencyQueue) recordStart(Request) {}

func (q *urgencyQueue) recordEnd(Request, int) {}

func (q *urgencyQueue) recordTokens(time.Time, int) {}

func (q *urgencyQueue) minDuration(Request) time.Duration { return 0 }

// refusal asks the callers that are refused to return one after another, in the order in which
// they were refused, once what is queued now has been served.
func (q *urgencyQueue) refusal(now time.Time, request Request) Decision {
	q.advance(now)
	interval, backlog := time.Duration(0), time.Duration(0)
	if rate := q.drain.rate(); rate > 0 {
		interval = seconds(1 / (returningShare * rate))
		backlog = seconds(float64(q.length()) / rate)
	}
	earliest := now.Add(max(minReturnDelay, backlog))
	if q.lastReturn = q.lastReturn.Add(interval); q.lastReturn.Before(earliest) {
		q.lastReturn = earliest
	}
	if latest := now.Add(maxReturnDelay); q.lastReturn.After(latest) {
		// The spread begins again: a return later than this does not help the caller.
		q.lastReturn = earliest
	}
	kind := fault.Overloaded
	if !request.Deadline.After(now) {
		kind = fault.DeadlineTooNear
	}
	return Decision{ID: request.ID, Kind: kind, RetryAfter: q.lastReturn.Sub(now)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// drainRate measures how many requests are admitted in the time in which requests are queued.
// Its sums decay with time constant drainWindow.
type drainRate struct {
	updatedAt time.Time
	// starts and lateStarts count the requests, and those of them that were late, that were
	// admitted in the observed seconds.
	starts, lateStarts, observed float64
}

func (d *drainRate) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(d.updatedAt)
	d.updatedAt = now
	if elapsed > drainWindow {
		*d = drainRate{updatedAt: now}
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(drainWindow))
	d.starts, d.lateStarts, d.observed = d.starts*decay, d.lateStarts*decay, d.observed*decay
	if waiting {
		d.observed += elapsed.Seconds()
	}
}

func (d *drainRate) recordStart(late bool) {
	if d.starts++; late {
		d.lateStarts++
	}
}

// rate returns the requests admitted per second, zero while unknown.
func (d *drainRate) rate() float64 {
	if d.observed < minDrainObserved.Seconds() {
		return 0
	}
	return d.starts / d.observed
}

// lateWait estimates how long the late request at the given position waits, zero while
// unknown.
func (d *drainRate) lateWait(position int) time.Duration {
	rate := d.rate()
	if rate <= 0 || d.observed < minLateObserved.Seconds() {
		return 0
	}
	return seconds(float64(position) / max(d.lateStarts/d.observed, minLateShare*rate))
}
