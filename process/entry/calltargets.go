package entry

import (
	"context"
	"slices"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/request"
)

// callTargets chooses application targets by the routing table and reaches them
// over the entry's links. It implements calls.Targets.
type callTargets struct{ entry *Entry }

// unlinkedPicks bounds the picks of targets whose links broke since they were
// chosen.
const unlinkedPicks = 4

// Pick implements calls.Targets. A target whose link has just gone is passed over.
func (t callTargets) Pick(ctx context.Context, service string, avoid []request.TargetID) (calls.Target, error) {
	for range unlinkedPicks {
		target, err := t.pick(ctx, service, avoid)
		if err != nil {
			return calls.Target{}, err
		}
		if gate, ok := t.Find(target); ok {
			return calls.Target{ID: target, Agent: gate, Release: func() { t.release(target) }}, nil
		}
		t.release(target)
		avoid = append(slices.Clone(avoid), target)
	}
	return calls.Target{}, fault.New(fault.NoTarget, "")
}

// pick asks the control goroutine for a target.
func (t callTargets) pick(ctx context.Context, service string, avoid []request.TargetID) (request.TargetID, error) {
	e := t.entry
	need := routing.Requirements{Service: service, Avoid: avoid, FailureDomain: e.settings.FailureDomain}
	reply := make(chan request.Event, 1)
	e.control.pick(ctx, need, reply)
	select {
	case event := <-reply:
		if event.Type != request.EventTargetSelected {
			return "", fault.New(event.Kind, "")
		}
		return event.Target, nil
	case <-e.control.done:
		return "", fault.New(fault.Draining, "")
	case <-ctx.Done():
		e.control.unpick(reply, 0)
		return "", fault.New(fault.NoTarget, "")
	}
}

func (t callTargets) release(target request.TargetID) {
	t.entry.control.do(context.Background(), func() { t.entry.control.table.Release(target, 0) })
}

// Find implements calls.Targets.
func (t callTargets) Find(target request.TargetID) (calls.AgentClient, bool) {
	t.entry.peers.mu.Lock()
	found, ok := t.entry.peers.byTarget[target]
	t.entry.peers.mu.Unlock()
	if !ok {
		return nil, false
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	if found.link == nil {
		return nil, false
	}
	return linkGate{link: found.link, incarnation: found.incarnation}, true
}

// linkGate is the gate at the other end of one link. A link never reaches another
// life of the agent.
type linkGate struct {
	link        *link.Link
	incarnation request.Incarnation
}

// Incarnation implements calls.Gate.
func (g linkGate) Incarnation() request.Incarnation { return g.incarnation }

// Call implements calls.Gate.
func (g linkGate) Call(ctx context.Context, call wire.Call) (wire.CallReply, bool, error) {
	stream, err := g.link.Open(ctx)
	if err != nil {
		return wire.CallReply{}, false, err
	}
	reply, err := g.exchange(ctx, stream, wire.ClientFrame{Call: &call})
	if err == nil && (reply.Nonce != call.Nonce || reply.Request != call.Request) {
		err = fault.New(fault.Crossed, "")
	}
	return reply, true, err
}

// Seal implements calls.Gate.
func (g linkGate) Seal(ctx context.Context, seal wire.Seal) (wire.CallReply, error) {
	stream, err := g.link.Open(ctx)
	if err != nil {
		return wire.CallReply{}, err
	}
	reply, err := g.exchange(ctx, stream, wire.ClientFrame{Seal: &seal})
	if err == nil && reply.Nonce != seal.Nonce {
		err = fault.New(fault.Crossed, "")
	}
	return reply, err
}

// exchange writes one frame and reads its only reply.
func (g linkGate) exchange(ctx context.Context, stream *link.Stream, frame wire.ClientFrame) (wire.CallReply, error) {
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.Cancel()
	if err := stream.Write(frame); err != nil {
		return wire.CallReply{}, fault.Wrap(fault.TargetLost, err, "the agent did not take the call")
	}
	_ = stream.CloseWrite()
	var reply wire.ServerFrame
	if err := stream.Read(&reply); err != nil {
		if ctx.Err() != nil {
			return wire.CallReply{}, ctx.Err()
		}
		return wire.CallReply{}, fault.Wrap(fault.TargetLost, err, "the agent did not answer")
	}
	switch {
	case reply.CallReply != nil:
		return *reply.CallReply, nil
	case reply.End != nil:
		return wire.CallReply{}, fault.New(reply.End.Kind, "%s", reply.End.Message)
	default:
		return wire.CallReply{}, fault.New(fault.Crossed, "")
	}
}
