package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/gate"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// defaultMaxReply bounds the body of a reply when the call names no bound.
const defaultMaxReply = 1 << 20

// callGate is the gate of this life of the agent and the calls that pass it.
type callGate struct {
	application outside.Application

	mu   sync.Mutex
	gate *gate.Gate
	// ended holds a channel for each running call, closed when it is over.
	ended   map[request.Nonce]chan struct{}
	running int
}

func newCallGate(incarnation request.Incarnation, application outside.Application) *callGate {
	return &callGate{
		application: application,
		gate:        gate.New(incarnation, gate.DefaultLimits()),
		ended:       map[request.Nonce]chan struct{}{},
	}
}

func (c *callGate) admit(call wire.Call, open bool) gate.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.gate.Admit(time.Now(), call.Nonce, call.Incarnation, open)
	if verdict.Forward {
		c.ended[call.Nonce] = make(chan struct{})
		c.running++
	}
	return verdict
}

func (c *callGate) seal(seal wire.Seal) gate.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Seal(time.Now(), seal.Nonce, seal.Incarnation)
}

// wait returns a channel that is closed once the call is over, or nil when it is
// not running.
func (c *callGate) wait(nonce request.Nonce) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended, ok := c.ended[nonce]; ok {
		return ended
	}
	return nil
}

// pass sends one call to the target and notes what became of it.
func (c *callGate) pass(ctx context.Context, call wire.Call) {
	ctx, cancel := context.WithDeadline(ctx, call.Nonce.Deadline())
	defer cancel()
	reply, err := c.application.Call(ctx, outside.ApplicationCall{CallBody: call.Body, MaxReplyBytes: maxReply(call)})
	if err != nil {
		klog.InfoS("call without reply", "request", call.Request, "kind", fault.KindOf(err), "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.gate.RecordReply(call.Nonce, &reply)
	case fault.KindOf(err) == fault.NoTarget:
		c.gate.MarkNotSent(call.Nonce)
	}
	close(c.ended[call.Nonce])
	delete(c.ended, call.Nonce)
	c.running--
}

func maxReply(call wire.Call) int64 {
	if call.MaxReplyBytes > 0 {
		return call.MaxReplyBytes
	}
	return defaultMaxReply
}

// count returns how many calls are running.
func (c *callGate) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// add changes the count of running calls.
func (c *callGate) add(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += change
}

// serveCall passes a call on, if the gate lets it, and writes what became of it.
func (a *Agent) serveCall(ctx context.Context, stream *link.Stream, call wire.Call) {
	if a.calls == nil {
		refuse(stream, wire.End{Request: call.Request, Kind: fault.BadRequest, Message: "the target is not an application"})
		return
	}
	if call.Nonce.IsZero() {
		a.serveRepeatable(stream, call)
		return
	}
	verdict := a.calls.admit(call, !a.isLeaving())
	if verdict.Forward {
		a.observer.Record(timeline.Event{Kind: timeline.CallPassed, Request: call.Request, Target: a.target()})
		a.goTask(func() { a.calls.pass(ctx, call) })
	}
	a.answerCall(stream, verdict, wire.Seal{Nonce: call.Nonce, Incarnation: call.Incarnation}, call.Request)
}

// serveSeal seals a reservation, or waits for the reply when it was passed on.
func (a *Agent) serveSeal(stream *link.Stream, seal wire.Seal) {
	if a.calls == nil {
		refuse(stream, wire.End{Kind: fault.BadRequest, Message: "the target is not an application"})
		return
	}
	a.answerCall(stream, a.calls.seal(seal), seal, "")
}

// answerCall writes a verdict, after the end of the call when it is running.
func (a *Agent) answerCall(stream *link.Stream, verdict gate.Decision, seal wire.Seal, id request.ID) {
	if ended := a.calls.wait(seal.Nonce); ended != nil {
		select {
		case <-ended:
		case <-stream.Context().Done():
			return
		}
		verdict = a.calls.seal(seal)
	}
	writeCallReply(stream, wire.CallReply{Request: id, Nonce: seal.Nonce, State: verdict.State, Reply: verdict.Reply})
}

func writeCallReply(stream *link.Stream, reply wire.CallReply) {
	_ = stream.Write(wire.ServerFrame{CallReply: &reply})
	_ = stream.CloseWrite()
}

// serveRepeatable passes an idempotent call on, as long as its entry waits.
func (a *Agent) serveRepeatable(stream *link.Stream, call wire.Call) {
	reply := wire.CallReply{Request: call.Request, State: request.GateSealed}
	if a.isLeaving() {
		reply.Kind = fault.Draining
		writeCallReply(stream, reply)
		return
	}
	a.calls.add(1)
	defer a.calls.add(-1)
	ctx, cancel := context.WithDeadline(stream.Context(), time.UnixMilli(call.Deadline))
	defer cancel()
	answer, err := a.calls.application.Call(ctx, outside.ApplicationCall{
		CallBody: call.Body, MaxReplyBytes: maxReply(call), Idempotent: true,
	})
	switch kind := fault.KindOf(err); kind {
	case fault.None:
		reply.State, reply.Reply = request.GatePassed, &answer
	case fault.NoTarget:
		reply.Kind, reply.Message = kind, err.Error()
	default:
		reply.State, reply.Kind, reply.Message = request.GatePassed, kind, err.Error()
	}
	writeCallReply(stream, reply)
}
