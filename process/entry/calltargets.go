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

// callTargets selects application targets from the routing table and reaches their
// agents over the entry's links. It implements calls.TargetSelector.
type callTargets struct{ entry *Entry }

// maxUnlinkedPicks is how many selections Pick makes before it gives up because the
// link of each selected target had broken in the meantime.
const maxUnlinkedPicks = 4

// Pick implements calls.TargetSelector. It skips a target whose link has just broken.
func (t callTargets) Pick(ctx context.Context, service string, avoid []request.TargetID) (calls.Target, error) {
	for range maxUnlinkedPicks {
		target, err := t.selectTarget(ctx, service, avoid)
		if err != nil {
			return calls.Target{}, err
		}
		if client, ok := t.Find(target); ok {
			return calls.Target{ID: target, Agent: client, Release: func() { t.release(target) }}, nil
		}
		t.release(target)
		avoid = append(slices.Clone(avoid), target)
	}
	return calls.Target{}, fault.New(fault.NoTarget, "")
}

// selectTarget asks the control goroutine for a target.
func (t callTargets) selectTarget(ctx context.Context, service string, avoid []request.TargetID) (request.TargetID, error) {
	e := t.entry
	requirements := routing.Requirements{Service: service, Avoid: avoid, FailureDomain: e.settings.FailureDomain}
	reply := make(chan request.Event, 1)
	e.control.selectTarget(ctx, requirements, reply)
	select {
	case event := <-reply:
		if event.Type != request.EventTargetSelected {
			return "", fault.New(event.Kind, "")
		}
		return event.Target, nil
	case <-e.control.done:
		return "", fault.New(fault.Draining, "")
	case <-ctx.Done():
		e.control.releaseSelection(reply, 0)
		return "", fault.New(fault.NoTarget, "")
	}
}

func (t callTargets) release(target request.TargetID) {
	t.entry.control.do(context.Background(), func() { t.entry.control.table.Release(target, 0) })
}

// Find implements calls.TargetSelector.
func (t callTargets) Find(target request.TargetID) (calls.AgentClient, bool) {
	t.entry.peers.mu.Lock()
	existing, ok := t.entry.peers.byTarget[target]
	t.entry.peers.mu.Unlock()
	if !ok {
		return nil, false
	}
	existing.mu.Lock()
	defer existing.mu.Unlock()
	if existing.link == nil {
		return nil, false
	}
	return linkClient{link: existing.link, incarnation: existing.incarnation}, true
}

// linkClient sends calls to the agent at the other end of one link. A link never
// reaches another incarnation of the agent. It implements calls.AgentClient.
type linkClient struct {
	link        *link.Link
	incarnation request.Incarnation
}

// Incarnation implements calls.AgentClient.
func (c linkClient) Incarnation() request.Incarnation { return c.incarnation }

// Call implements calls.AgentClient.
func (c linkClient) Call(ctx context.Context, call wire.Call) (wire.CallReply, bool, error) {
	stream, err := c.link.Open(ctx)
	if err != nil {
		return wire.CallReply{}, false, err
	}
	reply, err := c.exchange(ctx, stream, wire.ClientFrame{Call: &call})
	if err == nil && (reply.Nonce != call.Nonce || reply.Request != call.Request) {
		err = fault.New(fault.Crossed, "")
	}
	return reply, true, err
}

// Seal implements calls.AgentClient.
func (c linkClient) Seal(ctx context.Context, seal wire.Seal) (wire.CallReply, error) {
	stream, err := c.link.Open(ctx)
	if err != nil {
		return wire.CallReply{}, err
	}
	reply, err := c.exchange(ctx, stream, wire.ClientFrame{Seal: &seal})
	if err == nil && reply.Nonce != seal.Nonce {
		err = fault.New(fault.Crossed, "")
	}
	return reply, err
}

// exchange writes one frame and reads its only reply.
func (c linkClient) exchange(ctx context.Context, stream *link.Stream, frame wire.ClientFrame) (wire.CallReply, error) {
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
