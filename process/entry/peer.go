package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	redialAfter = 100 * time.Millisecond
	redialMax   = 2 * time.Second
	dialTimeout = 2 * time.Second
)

// peer keeps a link to one agent and redials it when it breaks.
type peer struct {
	placement outside.ListedTarget
	cancel    context.CancelFunc
	// keepUntil is until when a peer outside the subset stays.
	keepUntil time.Time

	mu   sync.Mutex
	link *link.Link
	// incarnation is the life of the agent at the other end of link.
	incarnation request.Incarnation
}

func (p *peer) current() *link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *peer) set(l *link.Link, incarnation request.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.incarnation = incarnation
}

// peers holds the peer of every target.
type peers struct {
	mu       sync.Mutex
	byTarget map[request.TargetID]*peer
	// listed is the host list as it was read last.
	listed map[request.TargetID]outside.ListedTarget
}

// link returns the link to a target, or nil.
func (p *peers) link(id request.TargetID) *link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.byTarget[id]; ok {
		return found.current()
	}
	return nil
}

// keepLink dials the peer again and again, with growing pauses, until ctx ends.
func (e *Entry) keepLink(ctx context.Context, p *peer) {
	pause := redialAfter
	for ctx.Err() == nil {
		if e.serveLink(ctx, p) {
			pause = redialAfter
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMax)
	}
}

// serveLink dials once and reads the control stream until it ends. It says
// whether the link came up.
func (e *Entry) serveLink(ctx context.Context, p *peer) bool {
	l, control, first := e.dial(ctx, p)
	if l == nil {
		return false
	}
	defer l.Close()
	e.links.Add(l)
	defer e.links.Remove(l)
	hello := *first.Hello
	// The link stands before the target can be picked.
	p.set(l, hello.Incarnation)
	e.control.linkUp(ctx, hello, l)
	if first.Heartbeat != nil {
		e.control.heartbeat(ctx, hello.Target, *first.Heartbeat)
	}
	defer func() {
		p.set(nil, 0)
		e.control.linkDown(ctx, hello.Target, l)
	}()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	session := e.spreader.OpenSession(hello.Process, gossip.Agent, control.Write)
	defer session.Close()
	for {
		var frame wire.ControlFrame
		if err := control.Read(&frame); err != nil {
			return true
		}
		session.Receive(frame)
		if frame.Heartbeat != nil {
			e.control.heartbeat(ctx, hello.Target, *frame.Heartbeat)
		}
	}
}

// dial opens the link and its control stream and reads the agent's first frame,
// which has its hello.
func (e *Entry) dial(ctx context.Context, p *peer) (*link.Link, *link.Stream, wire.ControlFrame) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := e.dialer.Dial(ctx, p.placement.AgentAddress)
	if err != nil {
		klog.V(1).InfoS("link not opened", "target", p.placement.Target, "err", err)
		return nil, nil, wire.ControlFrame{}
	}
	control, err := l.Open(ctx)
	if err != nil {
		l.Close()
		return nil, nil, wire.ControlFrame{}
	}
	control.MarkControl()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	hello := wire.Hello{Process: e.settings.Name, FailureDomain: e.settings.FailureDomain}
	var reply wire.ControlFrame
	if control.Write(wire.ControlFrame{Hello: &hello}) != nil || control.Read(&reply) != nil || reply.Hello == nil {
		l.Close()
		return nil, nil, wire.ControlFrame{}
	}
	return l, control, reply
}
