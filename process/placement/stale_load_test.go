package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// staleCall is a call at a replica.
type staleCall struct {
	entry, replica int
	arrived        time.Time
	work           time.Duration
	attempts       int
	rejectedBy     []request.TargetID
}

// staleReplica runs calls in a few slots, one queue before them.
type staleReplica struct {
	away       bool
	running    int
	queue      []*staleCall
	slowness   float64
	workServed time.Duration
}

// callReplay replays calls of many entries to a few replicas in virtual time. Entries learn
// the load of a replica from its responses, or all from the same report, which is taken at
// an interval.
type callReplay struct {
	entries, replicas int
	// perSecond is the rate of calls at the given time since the start.
	perSecond func(at time.Duration) float64
	// disturb changes slowness and away of the replicas; it is called every 200 ms.
	disturb func(at time.Duration, random *rand.Rand, replicas []*staleReplica)
	// commonReportInterval is the interval at which all entries get the same report of each
	// replica, beside those in responses; zero for none. Without responses reports come that
	// way alone.
	commonReportInterval time.Duration
	withoutResponses     bool
	pick                 func(table *Table, now time.Time, requirements Requirements) (Choice, error)
}

type callReplayResult struct {
	calls, rejections, arrivals, refused, onTime, late, crossDomain int
	// busiestToMean is the work that the busiest replica served, relative to the mean.
	busiestToMean float64
	// unevenness is the mean over time of the longest queue less the mean queue, in calls.
	unevenness float64
	p95        time.Duration
}

func (r callReplayResult) String() string {
	return fmt.Sprintf("calls %d, on time %d, late %d, refused %d, rejections %.3f of arrivals, busiest/mean %.3f, uneven %.2f, other domain %.3f, p95 %s",
		r.calls, r.onTime, r.late, r.refused, float64(r.rejections)/float64(r.arrivals), r.busiestToMean, r.unevenness,
		float64(r.crossDomain)/float64(r.arrivals), r.p95)
}

type replayEvent struct {
	at     time.Time
	number int
	action func()
}

type replayEvents []replayEvent

func (q replayEvents) Len() int { return len(q) }
func (q replayEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q replayEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayEvents) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	replaySlots    = 6
	replayQueue    = 24
	replayWork     = 60 * time.Millisecond
	replayHop      = time.Millisecond
	replayOnTime   = 300 * time.Millisecond
	replayDeadline = 1500 * time.Millisecond
	replayTick     = 200 * time.Millisecond
)

// run replays calls for the given duration.
func (c callReplay) run(t *testing.T, seed uint64, duration time.Duration) callReplayResult {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	tables, replicas := make([]*Table, c.entries), make([]*staleReplica, c.replicas)
	for i := range replicas {
		replicas[i] = &staleReplica{slowness: 1}
	}
	for i := range tables {
		tables[i] = NewTable()
		tables[i].SetRandom(rand.New(rand.NewPCG(seed, uint64(100+i))))
		for j := range replicas {
			tables[i].Register(Registration{
				Endpoint: request.Endpoint{ID: targetID(j), Address: fmt.Sprint(j)}, Service: "bookings",
				FailureDomain: failureDomain(j), Slots: replaySlots, Incarnation: 1,
			})
		}
	}
	var events replayEvents
	now, number := start, 0
	schedule := func(delay time.Duration, action func()) {
		number++
		heap.Push(&events, replayEvent{now.Add(delay), number, action})
	}
	var result callReplayResult
	var durations []time.Duration
	report := func(r *staleReplica) *request.Load {
		return &request.Load{
			Running: r.running, Waiting: len(r.queue), Slots: replaySlots,
			WorkPercent: int(100 * r.slowness * (0.9 + 0.2*random.Float64())),
		}
	}
	respond := func(call *staleCall, load *request.Load) {
		table := tables[call.entry]
		if c.withoutResponses {
			load = nil
		}
		table.RecordResponse(now, targetID(call.replica), false, load)
		table.RemoveAttempt(targetID(call.replica), Requirements{}, false)
	}
	var begin func(r *staleReplica, call *staleCall)
	begin = func(r *staleReplica, call *staleCall) {
		r.running++
		schedule(time.Duration(float64(call.work)*r.slowness), func() {
			r.running--
			r.workServed += call.work
			if len(r.queue) > 0 {
				next := r.queue[0]
				r.queue = r.queue[1:]
				begin(r, next)
			}
			load := report(r)
			schedule(replayHop, func() {
				respond(call, load)
				took := now.Sub(call.arrived)
				durations = append(durations, took)
				if took <= replayOnTime {
					result.onTime++
				} else {
					result.late++
				}
			})
		})
	}
	var send func(call *staleCall)
	send = func(call *staleCall) {
		requirements := Requirements{Service: "bookings", FailureDomain: failureDomain(call.entry), Avoid: call.rejectedBy}
		choice, err := c.pick(tables[call.entry], now, requirements)
		assert.NilError(t, err)
		tables[call.entry].AddAttempt(choice.Target.ID, requirements)
		for j := range replicas {
			if targetID(j) == choice.Target.ID {
				call.replica = j
			}
		}
		result.arrivals++
		call.attempts++
		if choice.Target.FailureDomain != requirements.FailureDomain {
			result.crossDomain++
		}
		schedule(replayHop, func() {
			r := replicas[call.replica]
			switch {
			case r.running < replaySlots:
				begin(r, call)
			case len(r.queue) < replayQueue:
				r.queue = append(r.queue, call)
			default:
				result.rejections++
				load := report(r)
				schedule(replayHop, func() {
					respond(call, load)
					call.rejectedBy = append(call.rejectedBy, targetID(call.replica))
					if call.attempts >= 2 {
						result.refused++
						return
					}
					send(call)
				})
			}
		})
	}
	var arrive func()
	arrive = func() {
		if now.Sub(start) >= duration {
			return
		}
		// A tenth of the calls take five times as long as the others.
		work := time.Duration(float64(replayWork) * (0.5 + random.Float64()) * 10 / 14)
		if random.IntN(10) == 0 {
			work *= 5
		}
		result.calls++
		send(&staleCall{entry: random.IntN(c.entries), arrived: now, work: work})
		schedule(time.Duration(random.ExpFloat64()/c.perSecond(now.Sub(start))*float64(time.Second)), arrive)
	}
	samples := 0
	var tick func()
	tick = func() {
		at := now.Sub(start)
		if at >= duration {
			return
		}
		if c.disturb != nil {
			c.disturb(at, random, replicas)
		}
		for _, table := range tables {
			for j, r := range replicas {
				if r.away != table.Get(targetID(j)).Draining {
					registration := table.Get(targetID(j)).Registration
					registration.Draining = r.away
					table.Register(registration)
				}
			}
		}
		longest, total, up := 0.0, 0.0, 0.0
		for _, r := range replicas {
			if !r.away {
				requests := float64(r.running + len(r.queue))
				longest, total, up = max(longest, requests), total+requests, up+1
			}
		}
		result.unevenness += longest - total/up
		samples++
		schedule(replayTick, tick)
	}
	var reportToAll func()
	reportToAll = func() {
		if now.Sub(start) >= duration {
			return
		}
		for j, r := range replicas {
			load := report(r)
			for _, table := range tables {
				table.RecordResponse(now, targetID(j), false, load)
			}
		}
		schedule(c.commonReportInterval, reportToAll)
	}
	schedule(0, arrive)
	schedule(0, tick)
	if c.commonReportInterval > 0 {
		schedule(0, reportToAll)
	}
	for events.Len() > 0 {
		next := heap.Pop(&events).(replayEvent)
		now = next.at
		next.action()
	}
	busiest, total := time.Duration(0), time.Duration(0)
	for _, r := range replicas {
		busiest, total = max(busiest, r.workServed), total+r.workServed
	}
	result.busiestToMean = float64(busiest) * float64(c.replicas) / float64(total)
	result.unevenness /= float64(samples)
	result.p95 = percentile(durations, 0.95)
	return result
}

func percentile(values []time.Duration, fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Min(float64(len(sorted)-1), fraction*float64(len(sorted))))]
}

// pickBefore chooses as entries did that took a report at its word for 200 ms and resolved ties
// alike.
func pickBefore(table *Table, now time.Time, requirements Requirements) (Choice, error) {
	best, least, rank := (*Target)(nil), 0.0, uint64(0)
	for _, lastResort := range []bool{false, true} {
		for _, target := range table.Service(requirements.Service) {
			if target.IsDraining() || !lastResort && slices.Contains(requirements.Avoid, target.ID) {
				continue
			}
			cost := float64(target.InFlight) / float64(target.Slots)
			if load := target.applicationLoad; now.Sub(load.reportedAt) < 200*time.Millisecond {
				cost += load.others / float64(target.Slots)
			}
			if target.FailureDomain != requirements.FailureDomain {
				cost += otherDomainCost
			}
			if r := affinity("", target.ID); best == nil || cost < least || cost == least && r > rank {
				best, least, rank = target, cost, r
			}
		}
		if best != nil {
			break
		}
	}
	return Choice{Target: best, Cost: least}, nil
}

// callLoads are the loads of the licences deployment and the hard loads of docs/demands.md.
// At any moment 15% of the replicas are slow.
var callLoads = map[string]callReplay{
	"light": {perSecond: func(time.Duration) float64 { return 60 }},
	"calm":  {perSecond: callRate(1), disturb: slowSpells},
	// Three times the usual calls for 8 s.
	"crowd": {perSecond: callRate(3), disturb: slowSpells},
	// A third of the replicas at a time, in turns, are three to four times as slow.
	"slow targets": {perSecond: callRate(1), disturb: func(at time.Duration, random *rand.Rand, replicas []*staleReplica) {
		slowSpells(at, random, replicas)
		for i, r := range replicas {
			if i%3 == int(at/(4*time.Second))%3 {
				r.slowness = 3.5
			}
		}
	}},
	// Half of the replicas are away for 8 s while demand doubles.
	"half away": {perSecond: callRate(2), disturb: func(at time.Duration, random *rand.Rand, replicas []*staleReplica) {
		slowSpells(at, random, replicas)
		for i, r := range replicas {
			r.away = isHard(at) && i%2 == 0
		}
	}},
	"reports of 200 ms": {
		perSecond: callRate(1), disturb: slowSpells, commonReportInterval: 200 * time.Millisecond, withoutResponses: true,
	},
	"reports of 600 ms": {
		perSecond: callRate(1), disturb: slowSpells, commonReportInterval: 600 * time.Millisecond, withoutResponses: true,
	},
}

// isHard reports whether it is the time of the crowd or the loss.
func isHard(at time.Duration) bool { return at >= 10*time.Second && at < 18*time.Second }

// callRate returns 283 calls a second, and the given multiple of that in the hard time.
func callRate(multiple float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if isHard(at) {
			return 283 * multiple
		}
		return 283
	}
}

// slowSpells makes 15% of the replicas up to 2.5 times slower, others each 600 ms.
func slowSpells(at time.Duration, random *rand.Rand, replicas []*staleReplica) {
	if at%(600*time.Millisecond) != 0 {
		return
	}
	for _, r := range replicas {
		r.slowness = 1
	}
	for range (len(replicas)*15 + 50) / 100 {
		replicas[random.IntN(len(replicas))].slowness = 1 + 1.5*random.Float64()
	}
}

func pickNow(table *Table, now time.Time, requirements Requirements) (Choice, error) {
	return table.Pick(now, requirements)
}

// replayCalls returns the sums of some runs of a load, with the means of their measures.
func replayCalls(t *testing.T, load string, entries, replicas int, pick func(*Table, time.Time, Requirements) (Choice, error)) callReplayResult {
	t.Helper()
	const seeds = 2
	replay := callLoads[load]
	replay.entries, replay.replicas, replay.pick = entries, replicas, pick
	var sum callReplayResult
	for seed := range uint64(seeds) {
		// A whole number of turns of the slow targets.
		r := replay.run(t, seed, 36*time.Second)
		sum.calls, sum.arrivals, sum.rejections, sum.refused = sum.calls+r.calls, sum.arrivals+r.arrivals, sum.rejections+r.rejections, sum.refused+r.refused
		sum.onTime, sum.late, sum.crossDomain = sum.onTime+r.onTime, sum.late+r.late, sum.crossDomain+r.crossDomain
		sum.busiestToMean, sum.unevenness, sum.p95 = sum.busiestToMean+r.busiestToMean/seeds, sum.unevenness+r.unevenness/seeds, sum.p95+r.p95/seeds
	}
	return sum
}

// Guards against entries that overrun the same replicas because they choose at the same time by
// the same or by old load reports.
func TestPick_CallsSpreadOverReplicasInSpiteOfStaleReports(t *testing.T) {
	for _, test := range []struct {
		load string
		// busiestToMean is the goal for the work of the busiest replica, zero for none: half
		// of the replicas are away for a part of one load.
		busiestToMean float64
	}{
		{"light", 0}, {"calm", 1.15}, {"crowd", 1.15}, {"slow targets", 1.15}, {"half away", 0},
		{"reports of 200 ms", 1.15}, {"reports of 600 ms", 1.15},
	} {
		for _, fleet := range []struct{ entries, replicas int }{{21, 7}, {32, 6}} {
			t.Run(fmt.Sprintf("%s/%d entries, %d replicas", test.load, fleet.entries, fleet.replicas), func(t *testing.T) {
				before := replayCalls(t, test.load, fleet.entries, fleet.replicas, pickBefore)
				now := replayCalls(t, test.load, fleet.entries, fleet.replicas, pickNow)
				t.Logf("before: %s", before)
				t.Logf("now:    %s", now)
				onTime := func(r callReplayResult) float64 { return float64(r.onTime) / float64(r.calls) }
				assert.Assert(t, onTime(now) > onTime(before)-0.01, "calls on time")
				if test.busiestToMean > 0 {
					assert.Assert(t, now.busiestToMean <= test.busiestToMean)
					assert.Assert(t, now.unevenness < 1.1*before.unevenness, "the longest queue is longer than before")
				}
				if test.load == "light" {
					assert.Assert(t, now.crossDomain*100 <= before.crossDomain*100+now.arrivals, "calls leave the domain")
				}
			})
		}
	}
}
