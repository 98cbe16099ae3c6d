package calls_test

import (
	"context"
	"runtime"
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

// fakeReplica replies to idempotent calls. It fails them if down is set, and does not
// reply before the context ends if hang is set.
type fakeReplica struct {
	down, hang bool
}

func (r *fakeReplica) Incarnation() request.Incarnation { return 1 }

func (r *fakeReplica) Call(ctx context.Context, _ wire.Call) (wire.CallReply, bool, error) {
	if r.hang {
		<-ctx.Done()
		return wire.CallReply{}, true, ctx.Err()
	}
	if r.down {
		return wire.CallReply{}, true, fault.New(fault.TargetLost, "")
	}
	return wire.CallReply{State: request.GateForwarded, Reply: &request.CallReply{Status: 200}}, true, nil
}

func (r *fakeReplica) Seal(context.Context, wire.Seal) (wire.CallReply, error) {
	return wire.CallReply{}, fault.New(fault.Internal, "an idempotent call is not sealed")
}

// fakeTargets picks the first replica that is neither to be avoided nor used by a
// running attempt.
type fakeTargets struct {
	mu       sync.Mutex
	replicas []*fakeReplica
	picked   []request.TargetID
}

func (r *fakeTargets) Pick(_ context.Context, _ string, avoid []request.TargetID) (calls.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, replica := range r.replicas {
		id := request.TargetID(rune('a' + i))
		if slices.Contains(avoid, id) || slices.Contains(r.picked, id) {
			continue
		}
		r.picked = append(r.picked, id)
		return calls.Target{ID: id, Agent: replica, Release: func() { r.release(id) }}, nil
	}
	return calls.Target{}, fault.New(fault.NoTarget, "")
}

func (r *fakeTargets) release(id request.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picked = slices.DeleteFunc(r.picked, func(other request.TargetID) bool { return other == id })
}

// allReleased reports whether no picked target is left. An attempt sends its result
// before it releases its target, so a call can return while its target is still
// picked, and the next call would get another target.
func (r *fakeTargets) allReleased() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Equal(r.picked, nil)
}

func (r *fakeTargets) Find(request.TargetID) (calls.AgentClient, bool) { return nil, false }

func statusCall() calls.Call {
	call := bookingCall("status")
	call.Idempotent = true
	return call
}

func TestIdempotentCall_RetriedAtAnotherTarget(t *testing.T) {
	executor := newTestEnv(t).newExecutor(t, &fakeTargets{replicas: []*fakeReplica{{down: true}, {}}})
	result := executor.Submit(t.Context(), statusCall())
	assert.Equal(t, result.WasRun, request.RunYes)
	assert.Equal(t, int(result.Attempts), 2)
}

func TestIdempotentCall_RetriesLimitedByBudget(t *testing.T) {
	targets := &fakeTargets{replicas: []*fakeReplica{{down: true}, {down: true}, {down: true}, {down: true}}}
	executor := newTestEnv(t).newExecutor(t, targets)
	attempts := 0
	const submissions = 20
	for range submissions {
		result := executor.Submit(t.Context(), statusCall())
		assert.Equal(t, result.WasRun, request.RunUnknown)
		attempts += int(result.Attempts)
		for !targets.allReleased() {
			runtime.Gosched()
		}
	}
	const initialBudget = 10
	assert.Equal(t, attempts, submissions+initialBudget)
}

func TestIdempotentCall_HedgedWhenSlow(t *testing.T) {
	first := &fakeReplica{}
	targets := &fakeTargets{replicas: []*fakeReplica{first, {}}}
	executor := newTestEnv(t).newExecutor(t, targets)
	for range 20 {
		assert.Equal(t, executor.Submit(t.Context(), statusCall()).WasRun, request.RunYes)
		for !targets.allReleased() {
			runtime.Gosched()
		}
	}
	first.hang = true
	slow := statusCall()
	slow.Hedge = true
	slow.Deadline = time.Now().Add(time.Minute)
	result := executor.Submit(t.Context(), slow)
	assert.Equal(t, result.WasRun, request.RunYes)
	assert.Equal(t, int(result.Attempts), 2)
}
