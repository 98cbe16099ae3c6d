package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
)

// heartbeatEvery is the period of heartbeats on a link.
const heartbeatEvery = 100 * time.Millisecond

// serveLink serves one link: its first stream is the control stream, all others
// carry one request each.
func (a *Agent) serveLink(ctx context.Context, l *link.Link) {
	defer l.Close()
	control, err := l.Accept(ctx)
	if err != nil {
		return
	}
	a.goTask(func() { a.serveControl(ctx, l, control) })
	for {
		stream, err := l.Accept(ctx)
		if err != nil {
			return
		}
		a.goTask(func() { a.serveStream(ctx, l, stream) })
	}
}

func (a *Agent) serveControl(ctx context.Context, l *link.Link, control *link.Stream) {
	var hello wire.ControlFrame
	if err := control.Read(&hello); err != nil || hello.Hello == nil {
		l.Close()
		return
	}
	klog.V(1).InfoS("link opened", "peer", hello.Hello.Process)
	frame := wire.ControlFrame{Hello: a.hello(), Heartbeat: a.heartbeat()}
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for control.Write(frame) == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.Context().Done():
			return
		case <-ticker.C:
		}
		frame = wire.ControlFrame{Heartbeat: a.heartbeat()}
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

func (a *Agent) heartbeat() *wire.Heartbeat {
	alive, load, models, age := a.status.get()
	return &wire.Heartbeat{
		EngineAlive:   alive,
		Leaving:       a.leaving.Load(),
		Running:       a.running(),
		EngineRunning: load.Running,
		EngineWaiting: load.Waiting,
		LoadAgeMillis: int(age.Milliseconds()),
		Models:        models,
	}
}

func (a *Agent) serveStream(ctx context.Context, l *link.Link, stream *link.Stream) {
	var frame wire.ClientFrame
	if err := stream.Read(&frame); err != nil {
		stream.Cancel()
		return
	}
	switch {
	case frame.Run != nil:
		a.serveRun(ctx, l, stream, *frame.Run)
	case frame.Call != nil:
		a.serveCall(ctx, stream, *frame.Call)
	case frame.Seal != nil:
		a.serveSeal(stream, *frame.Seal)
	default:
		refuse(stream, wire.End{Kind: fault.BadRequest, Message: "the frame asks for nothing known"})
	}
}

func refuse(stream *link.Stream, end wire.End) {
	_ = stream.Write(wire.ServerFrame{End: &end})
	_ = stream.Finish()
}
