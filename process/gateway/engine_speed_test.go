package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// slowdown returns how much longer an engine takes than another one, as far as the entry knows.
func (g *Gateway) slowdown(slow, other request.TargetID) float64 {
	ratio := 0.0
	g.control.do(func() {
		now := time.Now()
		ratio = g.control.table.Get(slow).RelativeTime(now) / g.control.table.Get(other).RelativeTime(now)
	})
	return ratio
}

// Guards against a slow engine that only the entry knows whose stream ran there.
func TestEngineSpeed_IsLearnedFromStreamsAndTold(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	d.startEngine("e2", "paros")
	d.startReplica(replica.Config{
		ID: "e3", Service: "writer", FailureDomain: "syros", Engine: true, EventCount: testEvents,
		PrefillTime: 450 * time.Millisecond, EventInterval: 110 * time.Millisecond, Slots: 128,
	})
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	deadline := time.Now().Add(20 * time.Second)
	d.waitUntil(func() bool { return first.heardEntries() == 1 && second.heardEntries() == 1 })
	for first.slowdown("e3", "e1") < 2 {
		assert.Assert(t, time.Now().Before(deadline), "not learned within 20 s")
		var readers []*streamReader
		var requests []*callerRequest
		for range 3 {
			req := streamRequest()
			readers, requests = append(readers, d.openStream(context.Background(), first, req)), append(requests, req)
		}
		for i, r := range readers {
			r.expectRest(t, requests[i].AttemptID, 0)
		}
	}
	d.waitUntil(func() bool { return second.slowdown("e3", "e1") > 2 })
}

func (g *Gateway) heardEntries() int {
	heard := 0
	g.control.do(func() { heard = len(g.control.peerLastSeen) })
	return heard
}

// Guards against events that count as slow because the caller reads slowly, and against the first
// events, which end prefill.
func TestEventTimer_IgnoresEventsThatTheCallerDelays(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 1)
	var a *attempt
	g.control.do(func() {
		for _, m := range g.control.monitors {
			for running := range m.attempts {
				a = running
			}
		}
	})
	assert.Assert(t, a != nil)
	timer, now := eventTimer{attempt: a}, time.Now()
	timer.record(1, now, now)
	assert.Equal(t, timer.events, 0)
	timer.record(1, now.Add(100*time.Millisecond), now.Add(200*time.Millisecond))
	assert.Assert(t, timer.delayed)
	timer.record(5, now.Add(eventWindow), now.Add(eventWindow))
	assert.Assert(t, !timer.delayed && timer.events == 0, "the window goes on")
}
