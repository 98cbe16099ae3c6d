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

// life is one life of an agent.
type life struct {
	mu          sync.Mutex
	incarnation request.Incarnation
	gate        *gate.Gate
	ran         int
}

// agent is a way to one life of an agent, without a network.
type agent struct {
	*life
	// deaf loses its answers; hold keeps calls on their way until it is closed.
	deaf bool
	hold chan struct{}
	body []byte
}

func newAgent(incarnation request.Incarnation) *agent {
	return &agent{life: &life{incarnation: incarnation, gate: gate.New(incarnation, gate.DefaultLimits())}}
}

func (a *agent) Incarnation() request.Incarnation { return a.incarnation }

func (a *agent) Call(ctx context.Context, call wire.Call) (wire.CallReply, bool, error) {
	if a.hold != nil {
		select {
		case <-a.hold:
		case <-ctx.Done():
			return wire.CallReply{}, true, ctx.Err()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict := a.gate.Admit(time.Now(), call.Nonce, call.Incarnation, true)
	if verdict.Forward {
		a.ran++
		reply := &request.CallReply{Status: 201, Body: append([]byte(fmt.Sprint(a.ran)), a.body...)}
		a.gate.RecordReply(call.Nonce, reply)
		verdict.Reply = reply
	}
	if a.deaf {
		return wire.CallReply{}, true, fault.New(fault.TargetLost, "")
	}
	return wire.CallReply{State: verdict.State, Reply: verdict.Reply}, true, nil
}

func (a *agent) Seal(_ context.Context, seal wire.Seal) (wire.CallReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deaf {
		return wire.CallReply{}, fault.New(fault.TargetLost, "")
	}
	verdict := a.gate.Seal(time.Now(), seal.Nonce, seal.Incarnation)
	return wire.CallReply{State: verdict.State, Reply: verdict.Reply}, nil
}

func (a *agent) setDeaf(deaf bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deaf = deaf
}

// targets has one target, beside which stands the agent.
type targets struct{ agent *agent }

func (t *targets) Pick(context.Context, string, []request.TargetID) (calls.Target, error) {
	if t.agent == nil {
		return calls.Target{}, fault.New(fault.NoTarget, "")
	}
	return calls.Target{ID: "t", Agent: t.agent, Release: func() {}}, nil
}

func (t *targets) Find(request.TargetID) (calls.AgentClient, bool) { return t.agent, t.agent != nil }

type bench struct {
	store *kv.Store
	url   string
}

func newBench(t *testing.T) *bench {
	store := kv.New()
	server := httptest.NewServer(store.EtcdHandler())
	t.Cleanup(server.Close)
	return &bench{store: store, url: server.URL}
}

// entry returns the driver of one entry.
func (b *bench) entry(t *testing.T, reach *targets) *calls.Executor { return b.entryOf(t, reach) }

func (b *bench) entryOf(t *testing.T, reach calls.TargetSelector) *calls.Executor {
	pages := calls.NewPageWriter(t.Context(), etcd.NewStore([]string{b.url}, &http.Client{}), calls.PageOptions{})
	return calls.NewExecutor(pages, reach, nil)
}

func booking(key string) calls.Call {
	return calls.Call{
		ID: request.ID("request-" + key), Service: "s", Name: callpage.CallKey{Workspace: "w", Key: key},
		Body:     request.CallBody{Method: "POST", Path: "/b", Body: []byte(key)},
		Deadline: time.Now().Add(20 * time.Second), UnavailableTimeout: 2 * time.Second, Pages: 4, Retention: time.Hour,
	}
}

func TestUnknownKeyIsSettledOnceTheAgentAnswers(t *testing.T) {
	b, a := newBench(t), newAgent(1)
	a.setDeaf(true)
	call := booking("k")
	call.UnavailableTimeout = 200 * time.Millisecond
	first := b.entry(t, &targets{a}).Submit(t.Context(), call)
	assert.Equal(t, first.WasRun, request.RunUnknown)
	a.setDeaf(false)
	again := b.entry(t, &targets{a}).Submit(t.Context(), call)
	assert.Equal(t, again.WasRun, request.RunYes)
	assert.Equal(t, a.ran, 1)
}

func TestNewLifeOfTheAgentLeavesTheKeyUnknown(t *testing.T) {
	b, old, reach := newBench(t), newAgent(1), &targets{}
	old.setDeaf(true)
	reach.agent = old
	call := booking("k")
	call.UnavailableTimeout = 200 * time.Millisecond
	b.entry(t, reach).Submit(t.Context(), call)
	reach.agent = newAgent(2)
	again := b.entry(t, reach).Submit(t.Context(), call)
	assert.Equal(t, again.WasRun, request.RunUnknown)
	assert.Equal(t, reach.agent.ran, 0)
	reach.agent = nil
	assert.Equal(t, b.entry(t, reach).Submit(t.Context(), call).WasRun, request.RunUnknown)
}

// TestOvertakenCallFollowsTheNewReservation holds the call of one entry on its way
// until another entry has sealed it and run the key under its own reservation.
func TestOvertakenCallFollowsTheNewReservation(t *testing.T) {
	b, slow := newBench(t), newAgent(1)
	slow.hold = make(chan struct{})
	// the second entry reaches the same gate without delay
	fast := &agent{life: slow.life}
	answers := make(chan calls.Result, 1)
	go func() { answers <- b.entry(t, &targets{slow}).Submit(context.Background(), booking("k")) }()
	second := calls.Result{}
	for second.WasRun != request.RunYes {
		second = b.entry(t, &targets{fast}).Submit(t.Context(), booking("k"))
	}
	close(slow.hold)
	first := <-answers
	assert.Equal(t, first.WasRun, request.RunYes)
	assert.Equal(t, first.Digest, second.Digest)
	assert.Equal(t, slow.ran, 1)
}

func TestWithoutATargetNothingRuns(t *testing.T) {
	b, reach := newBench(t), &targets{}
	refused := b.entry(t, reach).Submit(t.Context(), booking("k"))
	assert.Equal(t, refused.WasRun, request.RunNo)
	assert.Equal(t, fault.KindOf(refused.Err), fault.NoTarget)
	reach.agent = newAgent(1)
	assert.Equal(t, b.entry(t, reach).Submit(t.Context(), booking("k")).WasRun, request.RunYes)
	reach.agent = nil
	assert.Equal(t, b.entry(t, reach).Submit(t.Context(), booking("k")).WasRun, request.RunYes)
}

func TestNumberOfPagesStaysWhenTheDeclarationChanges(t *testing.T) {
	b, a := newBench(t), newAgent(1)
	for i, pages := range []int{4, 64, 7, 100} {
		call := booking("k")
		call.Pages = pages
		answer := b.entry(t, &targets{a}).Submit(t.Context(), call)
		assert.Equal(t, answer.WasRun, request.RunYes, "number %d", i)
	}
	assert.Equal(t, a.ran, 1)
}

func TestLongReplyIsRecalledFromTheAgent(t *testing.T) {
	b, a := newBench(t), newAgent(1)
	a.body = make([]byte, 2*callpage.MaxStoredReply)
	reach := &targets{a}
	first := b.entry(t, reach).Submit(t.Context(), booking("k"))
	again := b.entry(t, reach).Submit(t.Context(), booking("k"))
	assert.NilError(t, again.Err)
	assert.Equal(t, again.Reply.Digest(), first.Digest)
	reach.agent = newAgent(2)
	later := b.entry(t, reach).Submit(t.Context(), booking("k"))
	assert.Equal(t, later.WasRun, request.RunYes)
	assert.Equal(t, fault.KindOf(later.Err), fault.TooLarge)
	assert.Equal(t, later.Digest, first.Digest)
}

func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	b, a := newBench(t), newAgent(1)
	b.store.SetFaults(kv.Faults{ResponseLossRate: 0.4, WriteLossRate: 0.2, Seed: 3})
	d := b.entry(t, &targets{a})
	var tasks sync.WaitGroup
	for i := range 20 {
		tasks.Go(func() {
			call := booking(fmt.Sprint("k", i))
			call.UnavailableTimeout = 20 * time.Second
			assert.Check(t, d.Submit(t.Context(), call).WasRun == request.RunYes)
		})
	}
	tasks.Wait()
	assert.Equal(t, a.ran, 20)
}

func TestNothingIsSentBeforeTheReservationStands(t *testing.T) {
	b, a := newBench(t), newAgent(1)
	d := b.entry(t, &targets{a})
	assert.Equal(t, d.Submit(t.Context(), booking("before")).WasRun, request.RunYes)
	b.store.SetFaults(kv.Faults{WriteLossRate: 1, Seed: 1})
	call := booking("k")
	call.UnavailableTimeout = 300 * time.Millisecond
	assert.Equal(t, d.Submit(t.Context(), call).WasRun, request.RunUnknown)
	call.FirstSubmission = true
	assert.Equal(t, d.Submit(t.Context(), call).WasRun, request.RunNo)
	assert.Equal(t, a.ran, 1)
}

func TestNotRunIsNeverSaidFromAPageOfBefore(t *testing.T) {
	b, a, reach := newBench(t), newAgent(1), &targets{}
	cut := b.entry(t, reach)
	assert.Equal(t, cut.Submit(t.Context(), booking("k")).WasRun, request.RunNo)
	assert.Equal(t, b.entry(t, &targets{a}).Submit(t.Context(), booking("k")).WasRun, request.RunYes)
	assert.Equal(t, cut.Submit(t.Context(), booking("k")).WasRun, request.RunYes)
}
