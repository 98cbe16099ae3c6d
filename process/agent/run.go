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

// serveRun runs one attempt and relays its record to the entry that asked.
func (a *Agent) serveRun(ctx context.Context, l *link.Link, stream *link.Stream, run wire.Run) {
	if a.isLeaving() {
		refuse(stream, wire.End{Request: run.Generation.ID, Attempt: run.Attempt, Kind: fault.Draining})
		return
	}
	runCtx, cancel := context.WithCancel(ctx)
	r := newRecord(run, cancel)
	replaced, err := a.journal.add(r)
	if err != nil {
		cancel()
		refuse(stream, wire.End{Request: run.Generation.ID, Attempt: run.Attempt, Kind: fault.KindOf(err)})
		return
	}
	if replaced != nil {
		replaced.cancel()
	}
	a.goTask(func() { a.run(runCtx, r, run) })
	a.follow(l, stream, reader{record: r, epoch: run.Epoch, position: r.accepted})
}

// run drives the engine for one record and retires the record later.
func (a *Agent) run(ctx context.Context, r *record, run wire.Run) {
	a.observer.Timeline.Observe(timeline.Timestamp(run.SentAt))
	a.record(r, timeline.AttemptBegan)
	err := a.generate(ctx, r, run)
	if err != nil {
		a.status.lost(err)
		klog.InfoS("attempt failed", "request", run.Generation.ID, "attempt", run.Attempt,
			"target", a.settings.Target, "kind", fault.KindOf(err), "err", err)
		r.finish(wire.End{Kind: fault.KindOf(err), Message: err.Error()})
	}
	a.record(r, timeline.AttemptEnded)
	r.cancel()
	a.journal.retire(r, time.Now())
}

// record adds an event about an attempt to the time line.
func (a *Agent) record(r *record, kind timeline.Kind) {
	event := timeline.Event{
		Kind: kind, Request: r.generation.ID, Attempt: r.attempt, Target: a.target(),
		Revision: r.generation.Revision, Position: r.accepted,
	}
	if end := r.since(0).end; end != nil {
		event.Position = end.Position
		event.Error = timeline.ErrorName(end.Kind)
	}
	a.observer.Record(event)
}

func (a *Agent) generate(ctx context.Context, r *record, run wire.Run) error {
	model := modelName(run.Generation)
	prompt, err := a.engine.Tokenize(ctx, model, run.Prompt)
	if err != nil {
		return errors.Wrap(err, "tokenize")
	}
	r.begin(prompt)
	sampling := run.Generation.Sampling
	sampling.MaxTokens -= len(run.Accepted)
	stream, err := a.engine.Generate(ctx, outside.GenerateRequest{
		Model:     model,
		Prompt:    append(prompt[:len(prompt):len(prompt)], run.Accepted...),
		Sampling:  sampling,
		Priority:  enginePriority(run),
		RequestID: string(run.Generation.ID),
	})
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	stream = a.status.watch(stream)
	defer func() { _ = stream.Close() }()
	return relay(r, stream)
}

// resumePriority is by how much a resume goes before new work of its profile.
const resumePriority = 1

// enginePriority is the priority of an attempt on the engine, where lower runs
// first. The queue of the engine so keeps the shares of workspaces as well.
func enginePriority(run wire.Run) int {
	if len(run.Accepted) > 0 {
		return run.Generation.Priority - resumePriority
	}
	return run.Generation.Priority + run.Rank
}

// relay copies the engine's chunks into the record.
func relay(r *record, stream outside.Stream) error {
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
		r.append(chunk.Tokens)
		if chunk.FinishReason != "" {
			r.finish(wire.End{Finish: chunk.FinishReason})
		}
	}
}

// modelName is the name under which the engine serves a generation.
func modelName(g request.Generation) string {
	if g.Adapter != "" {
		return g.Adapter
	}
	return g.Version
}
