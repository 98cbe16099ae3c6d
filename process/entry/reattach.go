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

// attachTimeout is how long a journal may take to answer an attachment.
const attachTimeout = 3 * time.Second

// arrival is one request of a caller as it reached this entry.
type arrival struct {
	generation request.Generation
	// epoch orders the attachments of one request: the hybrid logical clock at
	// which the caller's request arrived.
	epoch uint64
	// last is the last event that the caller has, or nil.
	last *eventID
	// whole asks for the answer from its first token on.
	whole bool
}

// attachment is a generation taken over from its journal.
type attachment struct {
	target request.TargetID
	epoch  uint64
	stream *link.Stream
	began  wire.Start
}

// reattach finds the journal of a request that this or another entry began. It
// returns nil when the caller has nothing yet and the request is to be run anew.
func (e *Entry) reattach(ctx context.Context, a arrival) (*attachment, error) {
	if a.last == nil {
		return e.reattachByKey(ctx, a)
	}
	ask := wire.Attach{Request: a.last.request, Position: a.last.position, PrefixDigest: a.last.digest}
	found, err := e.attach(ctx, a, a.last.target, ask)
	if err == nil || !gone(err) || a.generation.Key == "" {
		return found, err
	}
	place := e.findPlace(ctx, a.generation)
	if place == nil || place.Request != a.last.request || place.Target == a.last.target {
		return nil, err
	}
	return e.attach(ctx, a, place.Target, ask)
}

// reattachByKey asks the soft directory where the request of a key runs.
func (e *Entry) reattachByKey(ctx context.Context, a arrival) (*attachment, error) {
	if a.generation.Key == "" {
		return nil, nil
	}
	place := e.findPlace(ctx, a.generation)
	if place == nil {
		return nil, nil
	}
	if place.BodyDigest != a.generation.BodyDigest {
		return nil, fault.New(fault.KeyConflict, "")
	}
	ask := wire.Attach{Request: place.Request, PrefixDigest: request.HashTokens(nil)}
	found, err := e.attach(ctx, a, place.Target, ask)
	if err != nil && gone(err) {
		return nil, nil
	}
	return found, err
}

// gone says that a journal cannot be had, so that another may be tried.
func gone(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.NotFound || kind == fault.TargetLost
}

// attach takes a request over from the journal at target. When the journal tells
// of an epoch that is not older, the clock of this entry is behind that of
// another: since the caller is still here, it is the newer one, and asks once more.
func (e *Entry) attach(ctx context.Context, a arrival, target request.TargetID, ask wire.Attach) (*attachment, error) {
	ask.Workspace = a.generation.Workspace
	ask.BodyDigest = a.generation.BodyDigest
	ask.Epoch = a.epoch
	if a.whole {
		ask.Position = 0
		ask.PrefixDigest = request.HashTokens(nil)
	}
	found, end, err := e.tryAttach(ctx, target, ask)
	if err == nil && end != nil && end.Kind == fault.Superseded && ctx.Err() == nil {
		e.observer.Timeline.Observe(timeline.Timestamp(end.Epoch))
		ask.Epoch = uint64(e.observer.Timeline.Now())
		found, end, err = e.tryAttach(ctx, target, ask)
	}
	if err != nil {
		return nil, err
	}
	if end != nil {
		return nil, &fault.Error{Kind: end.Kind}
	}
	klog.InfoS("request taken over", "request", ask.Request, "target", target, "position", ask.Position)
	return found, nil
}

// tryAttach sends one attachment and reads the opening frame: found when the
// journal agreed, end when it refused.
func (e *Entry) tryAttach(ctx context.Context, target request.TargetID, ask wire.Attach) (found *attachment, end *wire.End, err error) {
	l := e.reach(ctx, target)
	if l == nil {
		return nil, nil, fault.New(fault.TargetLost, "the target that holds the answer cannot be reached")
	}
	opening, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	stream, err := l.Open(opening)
	if err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	stop := context.AfterFunc(opening, stream.Cancel)
	defer stop()
	var frame wire.ServerFrame
	if err := stream.Write(wire.ClientFrame{Attach: &ask}); err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	if err := stream.Read(&frame); err != nil {
		return nil, nil, fault.Wrap(fault.TargetLost, err, "attach")
	}
	return opened(target, ask, stream, frame)
}

func opened(target request.TargetID, ask wire.Attach, stream *link.Stream, frame wire.ServerFrame) (*attachment, *wire.End, error) {
	switch {
	case frame.End != nil && frame.End.Request == ask.Request:
		stream.CloseRead()
		_ = stream.CloseWrite()
		return nil, frame.End, nil
	case frame.Start != nil && frame.Start.Request == ask.Request && frame.Start.Generation != nil && len(frame.Start.Prefix) == ask.Position:
		return &attachment{target: target, epoch: ask.Epoch, stream: stream, began: *frame.Start}, nil, nil
	default:
		stream.Cancel()
		return nil, nil, fault.New(fault.Crossed, "a reply names another request")
	}
}

// adopt counts an attempt in flight that was not picked here.
func (c *control) adopt(ctx context.Context, id request.TargetID, tokens int) {
	c.do(ctx, func() {
		if target := c.table.Get(id); target != nil {
			target.InFlight++
			target.ExpectedTokens += tokens
		}
	})
}

// giveBack takes a pick for tokens back that is not needed any more.
func (c *control) giveBack(ctx context.Context, id request.TargetID, tokens int) {
	c.do(ctx, func() { c.table.Release(id, tokens) })
}
