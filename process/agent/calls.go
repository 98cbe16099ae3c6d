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

// defaultMaxReplyBytes bounds the body of a reply when the call sets no limit.
const defaultMaxReplyBytes = 1 << 20

// callGate is the gate of this incarnation of the agent, together with the calls that it
// forwards.
type callGate struct {
	application outside.Application

	mu   sync.Mutex
	gate *gate.Gate
	// done holds a channel for each running call, closed when the call ends.
	done    map[request.Nonce]chan struct{}
	running int
}

func newCallGate(incarnation request.Incarnation, application outside.Application) *callGate {
	return &callGate{
		application: application,
		gate:        gate.New(incarnation, gate.DefaultLimits()),
		done:        map[request.Nonce]chan struct{}{},
	}
}

func (c *callGate) admit(call wire.Call, accepting bool) gate.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := c.gate.Admit(time.Now(), call.Nonce, call.Incarnation, accepting)
	if decision.Forward {
		c.done[call.Nonce] = make(chan struct{})
		c.running++
	}
	return decision
}

func (c *callGate) seal(seal wire.Seal) gate.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Seal(time.Now(), seal.Nonce, seal.Incarnation)
}

// doneChannel returns a channel that is closed when the call ends, or nil when the call
// is not running.
func (c *callGate) doneChannel(nonce request.Nonce) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done, ok := c.done[nonce]; ok {
		return done
	}
	return nil
}

// forward sends one call to the target and records the result in the gate.
func (c *callGate) forward(ctx context.Context, call wire.Call) {
	ctx, cancel := context.WithDeadline(ctx, call.Nonce.Deadline())
	defer cancel()
	reply, err := c.application.Call(ctx, outside.ApplicationCall{CallBody: call.Body, MaxReplyBytes: maxReplyBytes(call)})
	if err != nil {
		klog.InfoS("call failed", "request", call.Request, "kind", fault.KindOf(err), "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.gate.RecordReply(call.Nonce, &reply)
	case fault.KindOf(err) == fault.NoTarget:
		c.gate.MarkNotSent(call.Nonce)
	}
	close(c.done[call.Nonce])
	delete(c.done, call.Nonce)
	c.running--
}

func maxReplyBytes(call wire.Call) int64 {
	if call.MaxReplyBytes > 0 {
		return call.MaxReplyBytes
	}
	return defaultMaxReplyBytes
}

// runningCalls returns the number of running calls.
func (c *callGate) runningCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// addRunning adds delta to the number of running calls.
func (c *callGate) addRunning(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += delta
}

// serveCall forwards a call if the gate admits it, and replies with the result.
func (a *Agent) serveCall(ctx context.Context, stream *link.Stream, call wire.Call) {
	if a.calls == nil {
		refuse(stream, wire.End{Request: call.Request, Kind: fault.BadRequest, Message: "the target is not an application"})
		return
	}
	if call.Nonce.IsZero() {
		a.serveIdempotent(stream, call)
		return
	}
	decision := a.calls.admit(call, !a.isDraining())
	if decision.Forward {
		a.observer.Record(timeline.Event{Kind: timeline.CallPassed, Request: call.Request, Target: a.target()})
		a.goTask(func() { a.calls.forward(ctx, call) })
	}
	a.replyToCall(stream, decision, wire.Seal{Nonce: call.Nonce, Incarnation: call.Incarnation}, call.Request)
}

// serveSeal seals a reservation, or waits for the reply if its call was already forwarded.
func (a *Agent) serveSeal(stream *link.Stream, seal wire.Seal) {
	if a.calls == nil {
		refuse(stream, wire.End{Kind: fault.BadRequest, Message: "the target is not an application"})
		return
	}
	a.replyToCall(stream, a.calls.seal(seal), seal, "")
}

// replyToCall sends the decision of the gate. If the call is running, it waits for the
// end of the call first and sends the decision of that time.
func (a *Agent) replyToCall(stream *link.Stream, decision gate.Decision, seal wire.Seal, id request.ID) {
	if done := a.calls.doneChannel(seal.Nonce); done != nil {
		select {
		case <-done:
		case <-stream.Context().Done():
			return
		}
		decision = a.calls.seal(seal)
	}
	writeCallReply(stream, wire.CallReply{Request: id, Nonce: seal.Nonce, State: decision.State, Reply: decision.Reply})
}

func writeCallReply(stream *link.Stream, reply wire.CallReply) {
	_ = stream.Write(wire.ServerFrame{CallReply: &reply})
	_ = stream.CloseWrite()
}

// serveIdempotent forwards an idempotent call. The call is cancelled when the entry
// closes its stream.
func (a *Agent) serveIdempotent(stream *link.Stream, call wire.Call) {
	reply := wire.CallReply{Request: call.Request, State: request.GateSealed}
	if a.isDraining() {
		reply.Kind = fault.Draining
		writeCallReply(stream, reply)
		return
	}
	a.calls.addRunning(1)
	defer a.calls.addRunning(-1)
	ctx, cancel := context.WithDeadline(stream.Context(), time.UnixMilli(call.Deadline))
	defer cancel()
	targetReply, err := a.calls.application.Call(ctx, outside.ApplicationCall{
		CallBody: call.Body, MaxReplyBytes: maxReplyBytes(call), Idempotent: true,
	})
	switch kind := fault.KindOf(err); kind {
	case fault.None:
		reply.State, reply.Reply = request.GateForwarded, &targetReply
	case fault.NoTarget:
		reply.Kind, reply.Message = kind, err.Error()
	default:
		reply.State, reply.Kind, reply.Message = request.GateForwarded, kind, err.Error()
	}
	writeCallReply(stream, reply)
}
