package calls_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/process/gate"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// agentProcess is one incarnation of an agent.
type agentProcess struct {
	mu          sync.Mutex
	incarnation request.Incarnation
	gate        *gate.Gate
	executed    int
}

// fakeAgent is an in-memory connection to one incarnation of an agent.
type fakeAgent struct {
	*agentProcess
	// dropReplies makes replies fail after the call is handled. If holdCalls is set,
	// calls are delayed until it is closed.
	dropReplies bool
	holdCalls   chan struct{}
	body        []byte
}

func newAgent(incarnation request.Incarnation) *fakeAgent {
	return &fakeAgent{agentProcess: &agentProcess{incarnation: incarnation, gate: gate.New(incarnation, gate.DefaultLimits())}}
}

func (a *fakeAgent) Incarnation() request.Incarnation { return a.incarnation }

func (a *fakeAgent) Call(ctx context.Context, call wire.Call) (wire.CallReply, bool, error) {
	if a.holdCalls != nil {
		select {
		case <-a.holdCalls:
		case <-ctx.Done():
			return wire.CallReply{}, true, ctx.Err()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.gate.Admit(time.Now(), call.Nonce, call.Incarnation, true)
	if decision.Forward {
		a.executed++
		reply := &request.CallReply{Status: 201, Body: append([]byte(fmt.Sprint(a.executed)), a.body...)}
		a.gate.RecordReply(call.Nonce, reply)
		decision.Reply = reply
	}
	if a.dropReplies {
		return wire.CallReply{}, true, fault.New(fault.TargetLost, "")
	}
	return wire.CallReply{State: decision.State, Reply: decision.Reply}, true, nil
}

func (a *fakeAgent) Seal(_ context.Context, seal wire.Seal) (wire.CallReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropReplies {
		return wire.CallReply{}, fault.New(fault.TargetLost, "")
	}
	decision := a.gate.Seal(time.Now(), seal.Nonce, seal.Incarnation)
	return wire.CallReply{State: decision.State, Reply: decision.Reply}, nil
}

func (a *fakeAgent) setDropReplies(drop bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropReplies = drop
}

// singleTarget selects a single target, that of agent, or none if agent is nil.
type singleTarget struct{ agent *fakeAgent }

func (t *singleTarget) Pick(context.Context, string, []request.TargetID) (calls.Target, error) {
	if t.agent == nil {
		return calls.Target{}, fault.New(fault.NoTarget, "")
	}
	return calls.Target{ID: "t", Agent: t.agent, Release: func() {}}, nil
}

func (t *singleTarget) Find(request.TargetID) (calls.AgentClient, bool) {
	return t.agent, t.agent != nil
}

type testEnv struct {
	store *kv.Store
	url   string
}

func newTestEnv(t *testing.T) *testEnv {
	store := kv.New()
	server := httptest.NewServer(store.EtcdHandler())
	t.Cleanup(server.Close)
	return &testEnv{store: store, url: server.URL}
}

// newEntry returns the Executor of an entry with a single target.
func (env *testEnv) newEntry(t *testing.T, selector *singleTarget) *calls.Executor {
	return env.newExecutor(t, selector)
}

func (env *testEnv) newExecutor(t *testing.T, selector calls.TargetSelector) *calls.Executor {
	pages := calls.NewPageWriter(t.Context(), etcd.NewStore([]string{env.url}, &http.Client{}), calls.PageOptions{})
	return calls.NewExecutor(pages, selector, nil)
}

func bookingCall(key string) calls.Call {
	return calls.Call{
		ID: request.ID("request-" + key), Service: "s", Key: callpage.CallKey{Workspace: "w", Key: key},
		Body:     request.CallBody{Method: "POST", Path: "/b", Body: []byte(key)},
		Deadline: time.Now().Add(20 * time.Second), UnavailableTimeout: 2 * time.Second, Pages: 4, Retention: time.Hour,
	}
}

func TestLostAgentReplies_OutcomeKnownOnceAgentReplies(t *testing.T) {
	env, a := newTestEnv(t), newAgent(1)
	a.setDropReplies(true)
	call := bookingCall("k")
	call.UnavailableTimeout = 200 * time.Millisecond
	first := env.newEntry(t, &singleTarget{a}).Submit(t.Context(), call)
	assert.Equal(t, first.WasRun, request.RunUnknown)
	a.setDropReplies(false)
	again := env.newEntry(t, &singleTarget{a}).Submit(t.Context(), call)
	assert.Equal(t, again.WasRun, request.RunYes)
	assert.Equal(t, a.executed, 1)
}

func TestRestartedAgent_OutcomeStaysUnknown(t *testing.T) {
	env, old, selector := newTestEnv(t), newAgent(1), &singleTarget{}
	old.setDropReplies(true)
	selector.agent = old
	call := bookingCall("k")
	call.UnavailableTimeout = 200 * time.Millisecond
	env.newEntry(t, selector).Submit(t.Context(), call)
	selector.agent = newAgent(2)
	again := env.newEntry(t, selector).Submit(t.Context(), call)
	assert.Equal(t, again.WasRun, request.RunUnknown)
	assert.Equal(t, selector.agent.executed, 0)
	selector.agent = nil
	assert.Equal(t, env.newEntry(t, selector).Submit(t.Context(), call).WasRun, request.RunUnknown)
}

// TestDelayedCall_ReturnsOutcomeOfLaterReservation delays the call of one entry until
// another entry has sealed its reservation and run the call under its own.
func TestDelayedCall_ReturnsOutcomeOfLaterReservation(t *testing.T) {
	env, slow := newTestEnv(t), newAgent(1)
	slow.holdCalls = make(chan struct{})
	// The second entry reaches the same gate without delay.
	fast := &fakeAgent{agentProcess: slow.agentProcess}
	results := make(chan calls.Result, 1)
	go func() { results <- env.newEntry(t, &singleTarget{slow}).Submit(context.Background(), bookingCall("k")) }()
	second := calls.Result{}
	for second.WasRun != request.RunYes {
		second = env.newEntry(t, &singleTarget{fast}).Submit(t.Context(), bookingCall("k"))
	}
	close(slow.holdCalls)
	first := <-results
	assert.Equal(t, first.WasRun, request.RunYes)
	assert.Equal(t, first.Digest, second.Digest)
	assert.Equal(t, slow.executed, 1)
}

func TestNoTarget_CallIsNotRun(t *testing.T) {
	env, selector := newTestEnv(t), &singleTarget{}
	refused := env.newEntry(t, selector).Submit(t.Context(), bookingCall("k"))
	assert.Equal(t, refused.WasRun, request.RunNo)
	assert.Equal(t, fault.KindOf(refused.Err), fault.NoTarget)
	selector.agent = newAgent(1)
	assert.Equal(t, env.newEntry(t, selector).Submit(t.Context(), bookingCall("k")).WasRun, request.RunYes)
	selector.agent = nil
	assert.Equal(t, env.newEntry(t, selector).Submit(t.Context(), bookingCall("k")).WasRun, request.RunYes)
}

func TestPageCount_KeptWhenDeclarationChanges(t *testing.T) {
	env, a := newTestEnv(t), newAgent(1)
	for i, pages := range []int{4, 64, 7, 100} {
		call := bookingCall("k")
		call.Pages = pages
		result := env.newEntry(t, &singleTarget{a}).Submit(t.Context(), call)
		assert.Equal(t, result.WasRun, request.RunYes, "number %d", i)
	}
	assert.Equal(t, a.executed, 1)
}

func TestLongReply_RecoveredFromAgent(t *testing.T) {
	env, a := newTestEnv(t), newAgent(1)
	a.body = make([]byte, 2*callpage.MaxStoredReplyBytes)
	selector := &singleTarget{a}
	first := env.newEntry(t, selector).Submit(t.Context(), bookingCall("k"))
	again := env.newEntry(t, selector).Submit(t.Context(), bookingCall("k"))
	assert.NilError(t, again.Err)
	assert.Equal(t, again.Reply.Digest(), first.Digest)
	selector.agent = newAgent(2)
	later := env.newEntry(t, selector).Submit(t.Context(), bookingCall("k"))
	assert.Equal(t, later.WasRun, request.RunYes)
	assert.Equal(t, fault.KindOf(later.Err), fault.TooLarge)
	assert.Equal(t, later.Digest, first.Digest)
}

func TestLostStoreReplies_ResolvedByRereading(t *testing.T) {
	env, a := newTestEnv(t), newAgent(1)
	env.store.SetFaults(kv.Faults{ResponseLossRate: 0.4, WriteLossRate: 0.2, Seed: 3})
	executor := env.newEntry(t, &singleTarget{a})
	var tasks sync.WaitGroup
	for i := range 20 {
		tasks.Go(func() {
			call := bookingCall(fmt.Sprint("k", i))
			call.UnavailableTimeout = 20 * time.Second
			assert.Check(t, executor.Submit(t.Context(), call).WasRun == request.RunYes)
		})
	}
	tasks.Wait()
	assert.Equal(t, a.executed, 20)
}

func TestStoreOutage_NothingSentWithoutReservation(t *testing.T) {
	env, a := newTestEnv(t), newAgent(1)
	executor := env.newEntry(t, &singleTarget{a})
	assert.Equal(t, executor.Submit(t.Context(), bookingCall("before")).WasRun, request.RunYes)
	env.store.SetFaults(kv.Faults{WriteLossRate: 1, Seed: 1})
	call := bookingCall("k")
	call.UnavailableTimeout = 300 * time.Millisecond
	assert.Equal(t, executor.Submit(t.Context(), call).WasRun, request.RunUnknown)
	call.FirstSubmission = true
	assert.Equal(t, executor.Submit(t.Context(), call).WasRun, request.RunNo)
	assert.Equal(t, a.executed, 1)
}

func TestNotRun_RequiresFreshPage(t *testing.T) {
	env, a, selector := newTestEnv(t), newAgent(1), &singleTarget{}
	noTargetEntry := env.newEntry(t, selector)
	assert.Equal(t, noTargetEntry.Submit(t.Context(), bookingCall("k")).WasRun, request.RunNo)
	assert.Equal(t, env.newEntry(t, &singleTarget{a}).Submit(t.Context(), bookingCall("k")).WasRun, request.RunYes)
	assert.Equal(t, noTargetEntry.Submit(t.Context(), bookingCall("k")).WasRun, request.RunYes)
}
