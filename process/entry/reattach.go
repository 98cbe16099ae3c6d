package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// attachTimeout is how long an agent may take to reply to an attachment.
const attachTimeout = 3 * time.Second

// incomingRequest is one request of a caller as received by this entry.
type incomingRequest struct {
	generation request.Generation
	// epoch orders the attachments of one request. It is the reading of the hybrid
	// logical clock at which the caller's request arrived.
	epoch uint64
	// lastEvent is the last event that the caller has received, or nil.
	lastEvent *eventID
	// fromStart asks for the output from its first token on.
	fromStart bool
}

// attachment is a generation that this entry continues from the journal of an agent.
type attachment struct {
	target request.TargetID
	epoch  uint64
	stream *link.Stream
	start  wire.Start
}

// reattach finds the journal of a request that this or another entry started and
// attaches to it. It returns nil when the caller has received nothing yet and the
// request has to be started as a new one.
func (e *Entry) reattach(ctx context.Context, incoming incomingRequest) (*attachment, error) {
	if incoming.lastEvent == nil {
		return e.reattachByKey(ctx, incoming)
	}
	message := wire.Attach{Request: incoming.lastEvent.request, Position: incoming.lastEvent.position, PrefixDigest: incoming.lastEvent.digest}
	attached, err := e.attach(ctx, incoming, incoming.lastEvent.target, message)
	if err == nil || !journalUnavailable(err) || incoming.generation.Key == "" {
		return attached, err
	}
	location := e.findLocation(ctx, incoming.generation)
	if location == nil || location.Request != incoming.lastEvent.request || location.Target == incoming.lastEvent.target {
		return nil, err
	}
	return e.attach(ctx, incoming, location.Target, message)
}

// reattachByKey looks up in the soft directory where the request of a key runs and
// attaches to it there. It returns nil when no journal can be attached to.
func (e *Entry) reattachByKey(ctx context.Context, incoming incomingRequest) (*attachment, error) {
	if incoming.generation.Key == "" {
		return nil, nil
	}
	location := e.findLocation(ctx, incoming.generation)
	if location == nil {
		return nil, nil
	}
	if location.BodyDigest != incoming.generation.BodyDigest {
		return nil, fault.New(fault.KeyConflict, "")
	}
	message := wire.Attach{Request: location.Request, PrefixDigest: request.HashTokens(nil)}
	attached, err := e.attach(ctx, incoming, location.Target, message)
	if err != nil && journalUnavailable(err) {
		return nil, nil
	}
	return attached, err
}

// journalUnavailable reports whether err means that the journal is gone or cannot be
// reached, so that another may be tried.
func journalUnavailable(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.NotFound || kind == fault.TargetLost
}

// attach attaches to the journal of a request at target. When the agent refuses because
// it has already seen the same or a newer epoch, the clock of this entry is behind that of
// another entry. Since the caller is still connected here, this attachment is the newer
// one, and attach retries once with a newer epoch.
func (e *Entry) attach(ctx context.Context, incoming incomingRequest, target request.TargetID, message wire.Attach) (*attachment, error) {
	message.Workspace = incoming.generation.Workspace
	message.BodyDigest = incoming.generation.BodyDigest
	message.Epoch = incoming.epoch
	if incoming.fromStart {
		message.Position = 0
		message.PrefixDigest = request.HashTokens(nil)
	}
	attached, end, err := e.tryAttach(ctx, target, message)
	if err == nil && end != nil && end.Kind == fault.Superseded && ctx.Err() == nil {
		e.observer.Timeline.Observe(timeline.Timestamp(end.Epoch))
		message.Epoch = uint64(e.observer.Timeline.Now())
		attached, end, err = e.tryAttach(ctx, target, message)
	}
	if err != nil {
		return nil, err
	}
	if end != nil {
		return nil, &fault.Error{Kind: end.Kind}
	}
	klog.InfoS("attached to a generation", "request", message.Request, "target", target, "position", message.Position)
	return attached, nil
}

// tryAttach sends one attachment and reads the first frame of the reply. It returns
// attached when the agent accepts and end when it refuses.
func (e *Entry) tryAttach(ctx context.Context, target request.TargetID, message wire.Attach) (attached *attachment, end *wire.End, err error) {
	l := e.linkTo(ctx, target)
	if l == nil {
		return nil, nil, fault.New(fault.TargetLost, "the target that holds the answer cannot be reached")
	}
	attachCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	stream, err := l.Open(attachCtx)
	if err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	stop := context.AfterFunc(attachCtx, stream.Cancel)
	defer stop()
	var frame wire.ServerFrame
	if err := stream.Write(wire.ClientFrame{Attach: &message}); err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	if err := stream.Read(&frame); err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	return attachmentOf(target, message, stream, frame)
}

func attachmentOf(target request.TargetID, message wire.Attach, stream *link.Stream, frame wire.ServerFrame) (*attachment, *wire.End, error) {
	switch {
	case frame.End != nil && frame.End.Request == message.Request:
		stream.CloseRead()
		_ = stream.CloseWrite()
		return nil, frame.End, nil
	case frame.Start != nil && frame.Start.Request == message.Request && frame.Start.Generation != nil && len(frame.Start.Prefix) == message.Position:
		return &attachment{target: target, epoch: message.Epoch, stream: stream, start: *frame.Start}, nil, nil
	default:
		stream.Cancel()
		return nil, nil, fault.New(fault.Crossed, "a reply names another request")
	}
}

// addInFlight counts an attempt in flight whose target was not selected by this entry.
func (c *control) addInFlight(ctx context.Context, id request.TargetID, tokens int) {
	c.do(ctx, func() {
		if target := c.table.Get(id); target != nil {
			target.InFlight++
			target.ExpectedTokens += tokens
		}
	})
}

// releaseTarget releases a selected target that is no longer needed. tokens is the
// number of tokens it was selected for.
func (c *control) releaseTarget(ctx context.Context, id request.TargetID, tokens int) {
	c.do(ctx, func() { c.table.Release(id, tokens) })
}
