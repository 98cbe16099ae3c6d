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

// attachment is a stream of an entry to which a record is being sent.
type attachment struct {
	record *record
	epoch  uint64
	// changed receives a signal after each change of the record.
	changed chan struct{}
	// position is the index of the next token to send.
	position int
	// byAttach means that the stream was opened by a wire.Attach rather than by a
	// wire.StartAttempt. Only then does prefix hold the tokens before position.
	prefix   []request.TokenID
	byAttach bool
}

// serveAttach continues a request from the journal, for an entry that took the request
// over from a failed entry.
func (a *Agent) serveAttach(l *link.Link, stream *link.Stream, req wire.Attach) {
	r := a.journal.get(req.Request)
	if r == nil {
		refuse(stream, wire.End{Request: req.Request, Kind: fault.NotFound})
		return
	}
	prefix, err := r.attach(req)
	if err != nil {
		refuse(stream, wire.End{Request: req.Request, Kind: fault.KindOf(err), Message: err.Error(), Epoch: r.newestEpoch()})
		return
	}
	a.recordEvent(r, timeline.RequestAttached)
	klog.InfoS("request attached", "request", req.Request, "attempt", r.attempt,
		"target", a.settings.Target, "position", req.Position, "epoch", req.Epoch)
	a.streamRecord(l, stream, attachment{record: r, epoch: req.Epoch, position: req.Position, prefix: prefix, byAttach: true})
}

// streamRecord sends a record to one attachment until the record ends or a newer
// attachment supersedes this one. When the entry cancels the stream, the attempt is
// cancelled; when the link breaks, the attempt continues for its orphan grace period.
func (a *Agent) streamRecord(l *link.Link, stream *link.Stream, att attachment) {
	att.changed = att.record.subscribe()
	defer att.record.unsubscribe(att.changed)
	if !a.writeStart(stream, att) {
		a.detach(l, stream, att)
		return
	}
	for {
		snapshot := att.record.snapshotFrom(att.position)
		if snapshot.epoch != att.epoch {
			a.recordEvent(att.record, timeline.Superseded)
			refuseSuperseded(stream, att, snapshot.epoch)
			return
		}
		if !att.write(stream, snapshot) {
			a.detach(l, stream, att)
			return
		}
		att.position += len(snapshot.tokens)
		if snapshot.end != nil {
			_ = stream.CloseWrite()
			stream.AwaitPeerClose()
			return
		}
		select {
		case <-att.changed:
		case <-stream.Context().Done():
			a.detach(l, stream, att)
			return
		}
	}
}

func refuseSuperseded(stream *link.Stream, att attachment, epoch uint64) {
	refuse(stream, wire.End{
		Request: att.record.generation.ID, Attempt: att.record.attempt,
		Position: att.position, Kind: fault.Superseded, Epoch: epoch,
	})
}

// writeStart waits for the tokenized prompt and sends the Start frame. A stream opened
// by a wire.StartAttempt gets no Start frame if its attempt failed before the prompt was
// tokenized.
func (a *Agent) writeStart(stream *link.Stream, att attachment) bool {
	r := att.record
	snapshot := r.snapshotFrom(0)
	for snapshot.prompt == nil && snapshot.end == nil {
		select {
		case <-att.changed:
		case <-stream.Context().Done():
			return false
		}
		snapshot = r.snapshotFrom(0)
	}
	if snapshot.prompt == nil && !att.byAttach {
		return true
	}
	start := wire.Start{
		Request:     r.generation.ID,
		Attempt:     r.attempt,
		Incarnation: a.incarnation,
		Target:      a.target(),
		Prompt:      snapshot.prompt,
		SentAt:      uint64(a.observer.Timeline.Now()),
	}
	if att.byAttach {
		start.Generation = &r.generation
		start.Prefix = att.prefix
	}
	return stream.Write(wire.ServerFrame{Start: &start}) == nil
}

// write sends the tokens and the end that the snapshot holds.
func (att attachment) write(stream *link.Stream, snapshot recordSnapshot) bool {
	r := att.record
	if len(snapshot.tokens) > 0 {
		tokens := wire.Tokens{Request: r.generation.ID, Attempt: r.attempt, Position: att.position, Tokens: snapshot.tokens}
		if stream.Write(wire.ServerFrame{Tokens: &tokens}) != nil {
			return false
		}
	}
	if snapshot.end == nil {
		return true
	}
	return stream.Write(wire.ServerFrame{End: snapshot.end}) == nil
}

// detach cancels the attempt unless a newer attachment exists: immediately when the
// entry cancelled the stream, after the orphan grace period when the link broke.
func (a *Agent) detach(l *link.Link, stream *link.Stream, att attachment) {
	stream.Cancel()
	cancel := func() {
		if att.record.newestEpoch() == att.epoch {
			att.record.cancel()
		}
	}
	if l.Context().Err() == nil {
		cancel()
		return
	}
	a.recordEvent(att.record, timeline.RequestOrphaned)
	time.AfterFunc(att.record.generation.OrphanGrace, cancel)
}
