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

// attemptEvent is an event of one attempt for its driver. start is set for the
// agent's Start frame, which opens the reply.
type attemptEvent struct {
	request.Event
	start *wire.Start
}

// runAttempt opens a stream to the target's agent, sends the attempt and reads the
// reply to its end. It sends exactly one EventEnded or EventFailed, unless ctx ends
// first.
func (e *Entry) runAttempt(ctx context.Context, target request.TargetID, attempt wire.StartAttempt, events chan<- attemptEvent) {
	reportFailure(ctx, attempt, e.readAttempt(ctx, target, attempt, events), events)
}

// runAttached reads the rest of the reply to an attachment and sends events as
// runAttempt does.
func (e *Entry) runAttached(ctx context.Context, attached attachment, events chan<- attemptEvent) {
	stop := context.AfterFunc(ctx, attached.stream.Cancel)
	defer stop()
	attempt := wire.StartAttempt{Generation: *attached.start.Generation, Attempt: attached.start.Attempt}
	reportFailure(ctx, attempt, e.readFrames(ctx, attempt, attached.stream, events), events)
}

func reportFailure(ctx context.Context, attempt wire.StartAttempt, err error, events chan<- attemptEvent) {
	if err == nil || ctx.Err() != nil {
		return
	}
	failed := request.Event{Type: request.EventFailed, Attempt: attempt.Attempt, Kind: failureKind(err)}
	sendEvent(ctx, events, attemptEvent{Event: failed})
}

// failureKind returns the kind of err, with errors of the link itself mapped to
// TargetLost.
func failureKind(err error) fault.Kind {
	if kind := fault.KindOf(err); kind != fault.Internal && kind != fault.CallerGone {
		return kind
	}
	return fault.TargetLost
}

func (e *Entry) readAttempt(ctx context.Context, target request.TargetID, attempt wire.StartAttempt, events chan<- attemptEvent) error {
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
	if err := stream.Write(wire.ClientFrame{StartAttempt: &attempt}); err != nil {
		stream.Cancel()
		return err
	}
	return e.readFrames(ctx, attempt, stream, events)
}

// readFrames reads a reply to its end. After the last frame it closes the stream,
// which tells the agent that everything has arrived; on an error it cancels the
// stream.
func (e *Entry) readFrames(ctx context.Context, attempt wire.StartAttempt, stream *link.Stream, events chan<- attemptEvent) error {
	err := e.relayFrames(ctx, attempt, stream, events)
	if err != nil {
		stream.Cancel()
		return err
	}
	stream.CloseRead()
	return stream.CloseWrite()
}

func (e *Entry) relayFrames(ctx context.Context, attempt wire.StartAttempt, stream *link.Stream, events chan<- attemptEvent) error {
	for {
		var frame wire.ServerFrame
		if err := stream.Read(&frame); err != nil {
			return streamError(err)
		}
		e.observeTimestamp(frame)
		event, err := attemptEventOf(attempt, frame)
		if err != nil {
			return err
		}
		sendEvent(ctx, events, event)
		if frame.End != nil {
			return nil
		}
	}
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.TargetLost, "the agent's stream ended early")
	}
	return errors.Wrap(err, "read")
}

// attemptEventOf converts a frame to an event. It returns an error unless the frame
// names the request and number of attempt.
func attemptEventOf(attempt wire.StartAttempt, frame wire.ServerFrame) (attemptEvent, error) {
	switch {
	case frame.Start != nil && matchesAttempt(attempt, frame.Start.Request, frame.Start.Attempt):
		return attemptEvent{start: frame.Start, Event: request.Event{Type: request.EventTokens, Attempt: attempt.Attempt}}, nil
	case frame.Tokens != nil && matchesAttempt(attempt, frame.Tokens.Request, frame.Tokens.Attempt):
		return attemptEvent{Event: request.Event{
			Type: request.EventTokens, Attempt: attempt.Attempt,
			Position: frame.Tokens.Position, Tokens: frame.Tokens.Tokens,
		}}, nil
	case frame.End != nil && matchesAttempt(attempt, frame.End.Request, frame.End.Attempt):
		return endEvent(attempt, *frame.End), nil
	default:
		return attemptEvent{}, fault.New(fault.Crossed, "a reply names another request")
	}
}

func matchesAttempt(attempt wire.StartAttempt, id request.ID, number request.AttemptNumber) bool {
	return attempt.Generation.ID == id && attempt.Attempt == number
}

func endEvent(attempt wire.StartAttempt, end wire.End) attemptEvent {
	event := request.Event{Type: request.EventEnded, Attempt: attempt.Attempt, Position: end.Position, Finish: end.Finish}
	if end.Kind != fault.None {
		event.Type = request.EventFailed
		event.Kind = end.Kind
	}
	return attemptEvent{Event: event}
}

func sendEvent(ctx context.Context, events chan<- attemptEvent, event attemptEvent) {
	select {
	case events <- event:
	case <-ctx.Done():
	}
}

// observeTimestamp advances the entry's hybrid logical clock to the agent's, which
// Start and End frames carry.
func (e *Entry) observeTimestamp(frame wire.ServerFrame) {
	if frame.Start != nil {
		e.observer.Timeline.Observe(timeline.Timestamp(frame.Start.SentAt))
	}
	if frame.End != nil {
		e.observer.Timeline.Observe(timeline.Timestamp(frame.End.SentAt))
	}
}
