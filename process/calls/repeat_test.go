package calls_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/request"
)

// replica answers idempotent calls, fails them when it is down, and with hang
// set answers none before its caller gives up.
type replica struct {
	down, hang bool
}

func (r *replica) Incarnation() request.Incarnation { return 1 }

func (r *replica) Call(ctx context.Context, _ wire.Call) (wire.CallReply, bool, error) {
	if r.hang {
		<-ctx.Done()
		return wire.CallReply{}, true, ctx.Err()
	}
	if r.down {
		return wire.CallReply{}, true, fault.New(fault.TargetLost, "")
	}
	return wire.CallReply{State: request.GatePassed, Reply: &request.CallReply{Status: 200}}, true, nil
}

func (r *replica) Seal(context.Context, wire.Seal) (wire.CallReply, error) {
	return wire.CallReply{}, fault.New(fault.Internal, "an idempotent call is not sealed")
}

// replicas picks the first replica that is not to be avoided and was not picked
// by a running attempt.
type replicas struct {
	mu     sync.Mutex
	list   []*replica
	picked []request.TargetID
}

func (r *replicas) Pick(_ context.Context, _ string, avoid []request.TargetID) (calls.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, one := range r.list {
		id := request.TargetID(rune('a' + i))
		if slices.Contains(avoid, id) || slices.Contains(r.picked, id) {
			continue
		}
		r.picked = append(r.picked, id)
		return calls.Target{ID: id, Agent: one, Release: func() { r.release(id) }}, nil
	}
	return calls.Target{}, fault.New(fault.NoTarget, "")
}

func (r *replicas) release(id request.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picked = slices.DeleteFunc(r.picked, func(other request.TargetID) bool { return other == id })
}

func (r *replicas) Find(request.TargetID) (calls.AgentClient, bool) { return nil, false }

func status() calls.Call {
	call := booking("status")
	call.Idempotent = true
	return call
}

func TestFailedIdempotentCallIsRetriedElsewhere(t *testing.T) {
	d := newBench(t).entryOf(t, &replicas{list: []*replica{{down: true}, {}}})
	answer := d.Submit(t.Context(), status())
	assert.Equal(t, answer.WasRun, request.RunYes)
	assert.Equal(t, int(answer.Attempts), 2)
}

func TestRetriesEndWithTheBudget(t *testing.T) {
	d := newBench(t).entryOf(t, &replicas{list: []*replica{{down: true}, {down: true}, {down: true}, {down: true}}})
	attempts := 0
	const submissions = 20
	for range submissions {
		answer := d.Submit(t.Context(), status())
		assert.Equal(t, answer.WasRun, request.RunUnknown)
		attempts += int(answer.Attempts)
	}
	const savedUp = 10
	assert.Equal(t, attempts, submissions+savedUp)
}

func TestSlowIdempotentCallIsHedged(t *testing.T) {
	first := &replica{}
	d := newBench(t).entryOf(t, &replicas{list: []*replica{first, {}}})
	for range 20 {
		assert.Equal(t, d.Submit(t.Context(), status()).WasRun, request.RunYes)
	}
	first.hang = true
	slow := status()
	slow.Hedge = true
	slow.Deadline = time.Now().Add(time.Minute)
	answer := d.Submit(t.Context(), slow)
	assert.Equal(t, answer.WasRun, request.RunYes)
	assert.Equal(t, int(answer.Attempts), 2)
}
