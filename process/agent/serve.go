package agent

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/revision"
)

// serveLink serves one link. Its first stream is the control stream; each of the others
// carries one request.
func (a *Agent) serveLink(ctx context.Context, l *link.Link) {
	defer l.Close()
	a.links.Add(l)
	defer a.links.Remove(l)
	control, err := l.Accept(ctx)
	if err != nil {
		return
	}
	control.MarkControl()
	activity := newLinkActivity()
	a.goTask(func() { a.serveControl(ctx, l, control, activity) })
	for {
		stream, err := l.Accept(ctx)
		if err != nil {
			return
		}
		a.goTask(func() {
			a.streamStarted(activity)
			defer a.streamEnded(activity)
			a.serveStream(ctx, l, stream)
		})
	}
}

func (a *Agent) serveControl(ctx context.Context, l *link.Link, control *link.Stream, activity *linkActivity) {
	var hello wire.ControlFrame
	if err := control.Read(&hello); err != nil || hello.Hello == nil {
		l.Close()
		return
	}
	klog.V(1).InfoS("link opened", "peer", hello.Hello.Process)
	if control.Write(wire.ControlFrame{Hello: a.hello()}) != nil {
		return
	}
	if l.PeerRole() == keys.RoleEntry {
		a.entryLinks.Add(1)
		defer a.entryLinks.Add(-1)
		session := a.configuration.gossiper.OpenSession(hello.Hello.Process, gossip.Entry, control.Write)
		defer session.Close()
		a.goTask(func() { readControl(control, session) })
	}
	a.sendHeartbeats(ctx, l, control, activity)
}

// readControl reads the control frames of an entry until its link ends.
func readControl(control *link.Stream, session *revision.Session) {
	for {
		var frame wire.ControlFrame
		if control.Read(&frame) != nil {
			return
		}
		session.Receive(frame)
	}
}

func (a *Agent) hello() *wire.Hello {
	return &wire.Hello{
		Process:       a.settings.Name,
		FailureDomain: a.settings.FailureDomain,
		Target:        a.target(),
		Service:       a.settings.Service,
		Incarnation:   a.incarnation,
	}
}

func (a *Agent) serveStream(ctx context.Context, l *link.Link, stream *link.Stream) {
	defer stream.CloseRead()
	var frame wire.ClientFrame
	if err := stream.Read(&frame); err != nil {
		stream.Cancel()
		return
	}
	switch {
	case frame.StartAttempt != nil:
		a.serveStartAttempt(ctx, l, stream, *frame.StartAttempt)
	case frame.Call != nil:
		a.serveCall(ctx, stream, *frame.Call)
	case frame.Seal != nil:
		a.serveSeal(stream, *frame.Seal)
	case frame.Attach != nil:
		a.serveAttach(l, stream, *frame.Attach)
	case frame.Order != nil:
		a.serveOrder(ctx, stream, *frame.Order)
	case frame.Directory != nil:
		a.directory.serve(stream, *frame.Directory)
	default:
		refuse(stream, wire.End{Kind: fault.BadRequest, Message: "the frame asks for nothing known"})
	}
}

func refuse(stream *link.Stream, end wire.End) {
	_ = stream.Write(wire.ServerFrame{End: &end})
	_ = stream.CloseWrite()
	stream.AwaitPeerClose()
}
