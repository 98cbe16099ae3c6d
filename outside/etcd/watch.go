package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

type createRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create createRequest `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// Watch implements outside.Store. If the requested changes were compacted, it reports
// the current entries and continues from there. Deletions in the compacted changes are
// not reported.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan outside.WatchEvent, error) {
	body, err := s.openWatch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	w := &watch{store: s, prefix: prefix, lastRevision: after, events: make(chan outside.WatchEvent)}
	go w.run(ctx, body)
	return w.events, nil
}

func (s *Store) openWatch(ctx context.Context, prefix string, after int64) (io.ReadCloser, error) {
	s.counters.watches.Add(1)
	create := createRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after + 1}
	data, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return nil, errors.Wrap(err, "encode watch request")
	}
	response, err := s.post(ctx, s.watchClient, "/v3/watch", data)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fault.New(fault.StoreUnavailable, "the key-value service refused a watch with %d", response.StatusCode)
	}
	return response.Body, nil
}

// watch is one running watch.
type watch struct {
	store  *Store
	prefix string
	// lastRevision is the revision up to which changes were reported.
	lastRevision int64
	events       chan outside.WatchEvent
}

func (w *watch) run(ctx context.Context, body io.ReadCloser) {
	defer close(w.events)
	for {
		compacted := w.forwardEvents(ctx, body)
		_ = body.Close()
		if !compacted || !w.resync(ctx) {
			return
		}
		var err error
		if body, err = w.store.openWatch(ctx, w.prefix, w.lastRevision); err != nil {
			return
		}
	}
}

// forwardEvents sends changes to the events channel until the stream ends. It reports
// whether the stream ended because the requested changes were compacted.
func (w *watch) forwardEvents(ctx context.Context, body io.Reader) (compacted bool) {
	decoder := bounded.NewDecoder(body)
	for {
		var message watchResponse
		if decoder.Decode(&message) != nil {
			return false
		}
		if message.Result.Canceled {
			return message.Result.CompactRevision > 0
		}
		for _, event := range message.Result.Events {
			if !w.send(ctx, outside.WatchEvent{KeyValue: toKeyValue(event.Kv), Deleted: event.Type == "DELETE"}) {
				return false
			}
		}
	}
}

// resync sends the current entries that are newer than lastRevision, and sets
// lastRevision to the store revision at which they were read.
func (w *watch) resync(ctx context.Context) bool {
	kvs, revision, err := w.store.list(ctx, w.prefix)
	if err != nil {
		return false
	}
	after := w.lastRevision
	for _, kv := range kvs {
		if kv.ModRevision > after && !w.send(ctx, outside.WatchEvent{KeyValue: kv}) {
			return false
		}
	}
	w.lastRevision = revision
	return true
}

func (w *watch) send(ctx context.Context, event outside.WatchEvent) bool {
	select {
	case w.events <- event:
		w.lastRevision = max(w.lastRevision, event.ModRevision)
		return true
	case <-ctx.Done():
		return false
	}
}
