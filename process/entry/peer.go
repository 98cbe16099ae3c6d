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
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	dialTimeout    = 2 * time.Second
)

// peer keeps a link to one agent and redials it when it breaks.
type peer struct {
	listed outside.ListedTarget
	cancel context.CancelFunc
	// keepUntil is the time until which a peer outside the subset is kept.
	keepUntil time.Time

	mu   sync.Mutex
	link *link.Link
	// incarnation is the incarnation of the agent at the other end of link.
	incarnation request.Incarnation
}

func (p *peer) currentLink() *link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *peer) setLink(l *link.Link, incarnation request.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.incarnation = incarnation
}

// peers holds the peers of an entry, one for each target it keeps a link to.
type peers struct {
	mu       sync.Mutex
	byTarget map[request.TargetID]*peer
	// hostList is the host list as last read.
	hostList map[request.TargetID]outside.ListedTarget
}

// link returns the link to a target, or nil.
func (p *peers) link(id request.TargetID) *link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.byTarget[id]; ok {
		return existing.currentLink()
	}
	return nil
}

// keepLink keeps a link to the peer until ctx ends. It redials with exponential
// backoff.
func (e *Entry) keepLink(ctx context.Context, p *peer) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		if e.serveLink(ctx, p) {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// serveLink dials once and reads the control stream until it ends. It reports whether
// the link came up.
func (e *Entry) serveLink(ctx context.Context, p *peer) bool {
	l, control, firstFrame := e.dial(ctx, p)
	if l == nil {
		return false
	}
	defer l.Close()
	e.links.Add(l)
	defer e.links.Remove(l)
	hello := *firstFrame.Hello
	// The link is set before linkUp, so that it exists once the target can be selected.
	p.setLink(l, hello.Incarnation)
	e.control.linkUp(ctx, hello, l)
	if firstFrame.Heartbeat != nil {
		e.control.heartbeat(ctx, hello.Target, *firstFrame.Heartbeat)
	}
	defer func() {
		p.setLink(nil, 0)
		e.control.linkDown(ctx, hello.Target, l)
	}()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	session := e.gossiper.OpenSession(hello.Process, gossip.Agent, control.Write)
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

// dial opens the link and its control stream and reads the agent's first frame, which
// carries its Hello. It returns a nil link on failure.
func (e *Entry) dial(ctx context.Context, p *peer) (*link.Link, *link.Stream, wire.ControlFrame) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := e.dialer.Dial(ctx, p.listed.AgentAddress)
	if err != nil {
		klog.V(1).InfoS("failed to open a link", "target", p.listed.Target, "err", err)
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
