package entry

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// attemptEvent is what an attempt's reader tells the driver. Began comes along
// with the first frame of the agent.
type attemptEvent struct {
	request.Event
	began *wire.Start
}

// runAttempt opens a stream to the target, sends the attempt and reads its reply
// until it ends. It sends exactly one EventEnded or EventFailed, unless ctx ends.
func (e *Entry) runAttempt(ctx context.Context, target request.TargetID, run wire.Run, events chan<- attemptEvent) {
	reportLoss(ctx, run, e.readAttempt(ctx, target, run, events), events)
}

// followAttempt reads the reply to an attachment as runAttempt does.
func (e *Entry) followAttempt(ctx context.Context, from attachment, events chan<- attemptEvent) {
	stop := context.AfterFunc(ctx, from.stream.Cancel)
	defer stop()
	run := wire.Run{Generation: *from.began.Generation, Attempt: from.began.Attempt}
	reportLoss(ctx, run, e.readFrames(ctx, run, from.stream, events), events)
}

func reportLoss(ctx context.Context, run wire.Run, err error, events chan<- attemptEvent) {
	if err == nil || ctx.Err() != nil {
		return
	}
	failed := request.Event{Type: request.EventFailed, Attempt: run.Attempt, Kind: lossKind(err)}
	send(ctx, events, attemptEvent{Event: failed})
}

// lossKind maps errors of the link itself to TargetLost.
func lossKind(err error) fault.Kind {
	if kind := fault.KindOf(err); kind != fault.Internal && kind != fault.CallerGone {
		return kind
	}
	return fault.TargetLost
}

func (e *Entry) readAttempt(ctx context.Context, target request.TargetID, run wire.Run, events chan<- attemptEvent) error {
	l := e.peers.link(target)
	if l == nil {
		return fault.New(fault.TargetLost, "no link to %s", target)
	}
	stream, err := l.Open(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Write(wire.ClientFrame{Run: &run}); err != nil {
		stream.Cancel()
		return err
	}
	return e.readFrames(ctx, run, stream, events)
}

// readFrames reads a reply to its end. It finishes the stream after the last
// frame, by which the agent knows that all has arrived, and else cancels it.
func (e *Entry) readFrames(ctx context.Context, run wire.Run, stream *link.Stream, events chan<- attemptEvent) error {
	err := e.relayFrames(ctx, run, stream, events)
	if err != nil {
		stream.Cancel()
		return err
	}
	stream.CloseRead()
	return stream.CloseWrite()
}

func (e *Entry) relayFrames(ctx context.Context, run wire.Run, stream *link.Stream, events chan<- attemptEvent) error {
	for {
		var frame wire.ServerFrame
		if err := stream.Read(&frame); err != nil {
			return brokenStream(err)
		}
		e.observeStamp(frame)
		event, err := eventOf(run, frame)
		if err != nil {
			return err
		}
		send(ctx, events, event)
		if frame.End != nil {
			return nil
		}
	}
}

func brokenStream(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.TargetLost, "the agent's stream ended early")
	}
	return errors.Wrap(err, "read")
}

// eventOf checks that a frame names its own request and attempt.
func eventOf(run wire.Run, frame wire.ServerFrame) (attemptEvent, error) {
	switch {
	case frame.Start != nil && names(run, frame.Start.Request, frame.Start.Attempt):
		return attemptEvent{began: frame.Start, Event: request.Event{Type: request.EventTokens, Attempt: run.Attempt}}, nil
	case frame.Tokens != nil && names(run, frame.Tokens.Request, frame.Tokens.Attempt):
		return attemptEvent{Event: request.Event{
			Type: request.EventTokens, Attempt: run.Attempt,
			Position: frame.Tokens.Position, Tokens: frame.Tokens.Tokens,
		}}, nil
	case frame.End != nil && names(run, frame.End.Request, frame.End.Attempt):
		return endEvent(run, *frame.End), nil
	default:
		return attemptEvent{}, fault.New(fault.Crossed, "a reply names another request")
	}
}

func names(run wire.Run, id request.ID, attempt request.AttemptNumber) bool {
	return run.Generation.ID == id && run.Attempt == attempt
}

func endEvent(run wire.Run, end wire.End) attemptEvent {
	event := request.Event{Type: request.EventEnded, Attempt: run.Attempt, Position: end.Position, Finish: end.Finish}
	if end.Kind != fault.None {
		event.Type = request.EventFailed
		event.Kind = end.Kind
	}
	return attemptEvent{Event: event}
}

func send(ctx context.Context, events chan<- attemptEvent, event attemptEvent) {
	select {
	case events <- event:
	case <-ctx.Done():
	}
}

// observeStamp takes note of the agent's clock.
func (e *Entry) observeStamp(frame wire.ServerFrame) {
	if frame.Start != nil {
		e.observer.Timeline.Observe(timeline.Timestamp(frame.Start.SentAt))
	}
	if frame.End != nil {
		e.observer.Timeline.Observe(timeline.Timestamp(frame.End.SentAt))
	}
}
