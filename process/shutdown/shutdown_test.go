package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopLoad is a kind of request that keeps arriving at a process that stops.
type stopLoad struct {
	name          string
	timeLimit     time.Duration
	work          time.Duration
	repeatability Repeatability
	// firstArrival is the time from the start of the stop until the first of them.
	firstArrival time.Duration
}

const testGrace = 8 * time.Second

// replayStop lets requests arrive throughout the grace period. It returns how many were
// accepted, how many of them were cut off at its end, and when the last was accepted.
func replayStop(seed uint64, load stopLoad) (accepted, cutOff int, last time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	plan := NewPlan(start, testGrace)
	var expected DurationEstimate
	duration := func() time.Duration {
		return min(load.timeLimit, time.Duration(float64(load.work)*(0.5+random.ExpFloat64())))
	}
	for range 200 {
		expected.Observe(duration())
	}
	for at := load.firstArrival; at < testGrace; at += 2 * time.Millisecond {
		now := start.Add(at)
		if !plan.Accept(now, Request{TimeLimit: load.timeLimit, Repeatability: load.repeatability, Expected: expected}) {
			continue
		}
		accepted, last = accepted+1, at
		if now.Add(duration()).After(plan.End()) {
			cutOff++
		}
	}
	return accepted, cutOff, last
}

func TestPlan_BusyStopCutsOffNoRequestThatMustNotBeRepeated(t *testing.T) {
	for _, load := range []stopLoad{
		{name: "slow calls", timeLimit: 4 * time.Second, work: 60 * time.Millisecond},
		{name: "fast calls", timeLimit: 600 * time.Millisecond, work: 15 * time.Millisecond},
	} {
		accepted, cutOff, last := replayStop(1, load)
		assert.Equal(t, cutOff, 0, load.name)
		assert.Assert(t, accepted > 0, load.name)
		end := NewPlan(time.Time{}, testGrace).End().Sub(time.Time{})
		assert.Assert(t, last > end-load.timeLimit-10*time.Millisecond, "%s: refused although their time limit still fits", load.name)
	}
}

// A hundredth of the repeatable requests are accepted and cut off at most, and none is
// refused while most would still end in time.
func TestPlan_RepeatableRequestsAcceptedWhileTheyFit(t *testing.T) {
	for _, load := range []stopLoad{
		{name: "slow calls", timeLimit: 4 * time.Second, work: 60 * time.Millisecond, repeatability: Repeatable},
		{name: "fast calls", timeLimit: 600 * time.Millisecond, work: 15 * time.Millisecond, repeatability: Repeatable},
	} {
		accepted, cutOff, last := replayStop(2, load)
		assert.Assert(t, cutOff*100 <= accepted, "%s: %d of %d cut off", load.name, cutOff, accepted)
		assert.Assert(t, last > 7*time.Second, load.name)
	}
}

func TestPlan_LongGenerationsAreRefusedAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := NewPlan(start, testGrace)
	r := Request{TimeLimit: 25 * time.Second, Repeatability: Resumable}
	assert.Assert(t, plan.Accept(start, r), "of unknown duration")
	assert.Assert(t, !plan.Accept(start.Add(2*time.Second), r), "of unknown duration")
	for range 50 {
		r.Expected.Observe(20 * time.Second)
	}
	assert.Assert(t, !plan.Accept(start, r))
	r.Repeatability = NotRepeatable
	assert.Assert(t, !plan.Accept(start, r))
}

func TestPlan_ShortGracePeriod(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := NewPlan(start, time.Second)
	assert.Equal(t, plan.CloseIdle(), start.Add(500*time.Millisecond))
	assert.Equal(t, plan.End(), start.Add(900*time.Millisecond))
}

// A stream that can be resumed is accepted while most would end in time, and refused later.
func TestPlan_ResumableStreamsAcceptedUntilTheirMeanNoLongerFits(t *testing.T) {
	accepted, cutOff, last := replayStop(3, stopLoad{timeLimit: 25 * time.Second, work: 4 * time.Second, repeatability: Resumable})
	assert.Assert(t, accepted > 0)
	assert.Assert(t, cutOff*2 <= accepted, "%d of %d cut off", cutOff, accepted)
	assert.Assert(t, last < testGrace/2, "accepted at %s", last)
}

// Streams whose body arrived late, or that are the first request of a connection that was just
// accepted.
func TestPlan_StreamsAfterIdleConnectionsClosedAreNotCutOff(t *testing.T) {
	closeIdle := NewPlan(time.Time{}, testGrace).CloseIdle().Sub(time.Time{})
	for _, load := range []stopLoad{
		{name: "short", timeLimit: 25 * time.Second, work: 300 * time.Millisecond},
		{name: "long", timeLimit: 25 * time.Second, work: 2 * time.Second},
		{name: "with a short time limit", timeLimit: 2 * time.Second, work: time.Second},
	} {
		load.repeatability, load.firstArrival = Resumable, closeIdle+time.Millisecond
		accepted, cutOff, _ := replayStop(4, load)
		assert.Equal(t, cutOff, 0, load.name)
		assert.Equal(t, accepted > 0, load.timeLimit < testGrace, load.name)
	}
}

// Streams that last as long as the grace period or longer keep arriving until the balancer has
// removed the process; one that is turned away returns to the same process until then. Their
// first events come soon, and from then on another process can go on with them.
func TestPlan_LongStreamsThatCanBeHandedOverAreAccepted(t *testing.T) {
	for _, load := range []struct {
		name       string
		firstEvent time.Duration
		// accepted is the smallest share of the arrivals that are accepted.
		accepted float64
	}{
		{name: "first event in half a second", firstEvent: 500 * time.Millisecond, accepted: 1},
		{name: "first event in a second", firstEvent: time.Second, accepted: 0.7},
		{name: "first event after the grace period", firstEvent: 2 * testGrace, accepted: 0},
	} {
		random := rand.New(rand.NewPCG(5, 1))
		start := time.Unix(1000, 0)
		plan := NewPlan(start, testGrace)
		handover := func() time.Duration { return time.Duration(float64(load.firstEvent) * (0.5 + random.ExpFloat64()/2)) }
		r := Request{TimeLimit: 60 * time.Second, Repeatability: Resumable}
		for range 200 {
			r.Expected.Observe(3 * testGrace)
			r.Handover.Observe(handover())
		}
		arrived, accepted, tooEarly := 0, 0, 0
		for now := start; !now.After(plan.CloseIdle()); now = now.Add(time.Millisecond) {
			arrived++
			if !plan.Accept(now, r) {
				continue
			}
			accepted++
			if now.Add(handover()).After(plan.End()) {
				tooEarly++
			}
		}
		assert.Assert(t, float64(accepted) >= load.accepted*float64(arrived), "%s: %d of %d accepted", load.name, accepted, arrived)
		assert.Equal(t, accepted > 0, load.accepted > 0, load.name)
		assert.Assert(t, tooEarly*100 <= accepted, "%s: %d of %d cut off before they could be handed over", load.name, tooEarly, accepted)
	}
}

// Requests that the end of the stop cuts off write their responses before the process is
// killed, also on a host that stands still for a tenth of a second.
func TestPlan_ResponsesAreWrittenBeforeTheProcessIsKilled(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, testGrace, time.Minute} {
		plan := NewPlan(start, grace)
		assert.Assert(t, plan.Close().After(plan.End()), "%s", grace)
		assert.Assert(t, plan.Close().Before(start.Add(grace)), "%s", grace)
	}
	plan := NewPlan(start, testGrace)
	assert.Assert(t, plan.Close().Sub(plan.End()) > 200*time.Millisecond)
	assert.Assert(t, start.Add(testGrace).Sub(plan.Close()) > 200*time.Millisecond)
}
