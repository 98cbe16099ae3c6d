package agent

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

func (a *Agent) target() request.TargetID { return request.TargetID(a.settings.Target) }

// serveStartAttempt starts one attempt and streams its record to the entry that
// requested it.
func (a *Agent) serveStartAttempt(ctx context.Context, l *link.Link, stream *link.Stream, attempt wire.StartAttempt) {
	if a.isDraining() {
		refuse(stream, wire.End{Request: attempt.Generation.ID, Attempt: attempt.Attempt, Kind: fault.Draining})
		return
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	r := newRecord(attempt, cancel)
	replaced, err := a.journal.add(r)
	if err != nil {
		cancel()
		refuse(stream, wire.End{Request: attempt.Generation.ID, Attempt: attempt.Attempt, Kind: fault.KindOf(err)})
		return
	}
	if replaced != nil {
		replaced.cancel()
	}
	a.goTask(func() { a.runAttempt(attemptCtx, r, attempt) })
	a.streamRecord(l, stream, attachment{record: r, epoch: attempt.Epoch, position: r.accepted})
}

// runAttempt generates one record on the engine and retires the record at its end.
func (a *Agent) runAttempt(ctx context.Context, r *record, attempt wire.StartAttempt) {
	a.observer.Timeline.Observe(timeline.Timestamp(attempt.SentAt))
	a.recordEvent(r, timeline.AttemptBegan)
	err := a.generate(ctx, r, attempt)
	if err != nil {
		a.status.recordFailure(err)
		klog.InfoS("attempt failed", "request", attempt.Generation.ID, "attempt", attempt.Attempt,
			"target", a.settings.Target, "kind", fault.KindOf(err), "err", err)
		r.finish(wire.End{Kind: fault.KindOf(err), Message: err.Error()})
	}
	a.recordEvent(r, timeline.AttemptEnded)
	r.cancel()
	a.journal.retire(r, time.Now())
}

// recordEvent records an event about an attempt in the time line.
func (a *Agent) recordEvent(r *record, kind timeline.Kind) {
	event := timeline.Event{
		Kind: kind, Request: r.generation.ID, Attempt: r.attempt, Target: a.target(),
		Revision: r.generation.Revision, Position: r.accepted,
	}
	if end := r.snapshotFrom(0).end; end != nil {
		event.Position = end.Position
		event.Error = timeline.ErrorName(end.Kind)
	}
	a.observer.Record(event)
}

func (a *Agent) generate(ctx context.Context, r *record, attempt wire.StartAttempt) error {
	model := modelName(attempt.Generation)
	prompt, err := a.engine.Tokenize(ctx, model, attempt.Prompt)
	if err != nil {
		return errors.Wrap(err, "tokenize")
	}
	r.setPrompt(prompt)
	sampling := attempt.Generation.Sampling
	sampling.MaxTokens -= len(attempt.Accepted)
	stream, err := a.engine.Generate(ctx, outside.GenerateRequest{
		Model:     model,
		Prompt:    append(prompt[:len(prompt):len(prompt)], attempt.Accepted...),
		Sampling:  sampling,
		Priority:  enginePriority(attempt),
		RequestID: string(attempt.Generation.ID),
	})
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	stream = a.status.monitor(stream)
	defer func() { _ = stream.Close() }()
	return copyChunks(r, stream)
}

// resumePriorityBoost is how much a resume is preferred to new work of its profile.
const resumePriorityBoost = 1

// enginePriority returns the priority of an attempt on the engine, where lower values run
// first. It includes the rank of the workspace, so that the engine's queue respects the
// shares of the workspaces as well.
func enginePriority(attempt wire.StartAttempt) int {
	if len(attempt.Accepted) > 0 {
		return attempt.Generation.Priority - resumePriorityBoost
	}
	return attempt.Generation.Priority + attempt.Rank
}

// copyChunks copies the engine's chunks into the record.
func copyChunks(r *record, stream outside.Stream) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.RequestID != string(r.generation.ID) {
			return fault.New(fault.Crossed, "the engine's chunk names request %q", chunk.RequestID)
		}
		r.appendTokens(chunk.Tokens)
		if chunk.FinishReason != "" {
			r.finish(wire.End{Finish: chunk.FinishReason})
		}
	}
}

// modelName returns the model name by which the engine serves a generation.
func modelName(g request.Generation) string {
	if g.Adapter != "" {
		return g.Adapter
	}
	return g.Version
}
