package agent

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// reader is one attachment to a record.
type reader struct {
	record *record
	epoch  uint64
	// changed gets a signal when the record changed.
	changed chan struct{}
	// position is the next token to send.
	position int
	// prefix holds the tokens before it; set with attached.
	prefix   []request.TokenID
	attached bool
}

// serveAttach goes on with a request from its journal, for an entry that took it
// over from one that was lost.
func (a *Agent) serveAttach(l *link.Link, stream *link.Stream, ask wire.Attach) {
	r := a.journal.get(ask.Request)
	if r == nil {
		refuse(stream, wire.End{Request: ask.Request, Kind: fault.NotFound})
		return
	}
	prefix, err := r.attach(ask)
	if err != nil {
		refuse(stream, wire.End{Request: ask.Request, Kind: fault.KindOf(err), Message: err.Error(), Epoch: r.newestEpoch()})
		return
	}
	a.record(r, timeline.RequestAttached)
	klog.InfoS("request attached", "request", ask.Request, "attempt", r.attempt,
		"target", a.settings.Target, "position", ask.Position, "epoch", ask.Epoch)
	a.follow(l, stream, reader{record: r, epoch: ask.Epoch, position: ask.Position, prefix: prefix, attached: true})
}

// follow relays a record to one reader until its end. A newer reader supersedes
// it. When the entry cancels, so is the run; when the link breaks, the run goes
// on for its orphan grace.
func (a *Agent) follow(l *link.Link, stream *link.Stream, from reader) {
	from.changed = from.record.subscribe()
	defer from.record.unsubscribe(from.changed)
	if !a.writeBegan(stream, from) {
		a.abandon(l, stream, from)
		return
	}
	for {
		v := from.record.since(from.position)
		if v.epoch != from.epoch {
			a.record(from.record, timeline.Superseded)
			supersede(stream, from, v.epoch)
			return
		}
		if !from.write(stream, v) {
			a.abandon(l, stream, from)
			return
		}
		from.position += len(v.tokens)
		if v.end != nil {
			_ = stream.CloseWrite()
			stream.AwaitPeerClose()
			return
		}
		select {
		case <-from.changed:
		case <-stream.Context().Done():
			a.abandon(l, stream, from)
			return
		}
	}
}

func supersede(stream *link.Stream, from reader, epoch uint64) {
	refuse(stream, wire.End{
		Request: from.record.generation.ID, Attempt: from.record.attempt,
		Position: from.position, Kind: fault.Superseded, Epoch: epoch,
	})
}

// writeBegan waits for the prompt and sends the opening frame, which a run that
// failed before its prompt was known does not have.
func (a *Agent) writeBegan(stream *link.Stream, from reader) bool {
	r := from.record
	v := r.since(0)
	for v.prompt == nil && v.end == nil {
		select {
		case <-from.changed:
		case <-stream.Context().Done():
			return false
		}
		v = r.since(0)
	}
	if v.prompt == nil && !from.attached {
		return true
	}
	began := wire.Start{
		Request:     r.generation.ID,
		Attempt:     r.attempt,
		Incarnation: a.incarnation,
		Target:      a.target(),
		Prompt:      v.prompt,
		SentAt:      uint64(a.observer.Timeline.Now()),
	}
	if from.attached {
		began.Generation = &r.generation
		began.Prefix = from.prefix
	}
	return stream.Write(wire.ServerFrame{Start: &began}) == nil
}

// write sends what v adds to what the reader has.
func (from reader) write(stream *link.Stream, v view) bool {
	r := from.record
	if len(v.tokens) > 0 {
		tokens := wire.Tokens{Request: r.generation.ID, Attempt: r.attempt, Position: from.position, Tokens: v.tokens}
		if stream.Write(wire.ServerFrame{Tokens: &tokens}) != nil {
			return false
		}
	}
	if v.end == nil {
		return true
	}
	return stream.Write(wire.ServerFrame{End: v.end}) == nil
}

// abandon ends a run that its newest reader left: at once when the entry
// cancelled it, after the orphan grace when the link was lost.
func (a *Agent) abandon(l *link.Link, stream *link.Stream, from reader) {
	stream.Cancel()
	cancel := func() {
		if from.record.newestEpoch() == from.epoch {
			from.record.cancel()
		}
	}
	if l.Context().Err() == nil {
		cancel()
		return
	}
	a.record(from.record, timeline.RequestOrphaned)
	time.AfterFunc(from.record.generation.OrphanGrace, cancel)
}
