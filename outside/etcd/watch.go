package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

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

// Watch implements outside.Store. When the changes asked for were compacted
// away, it reports the entries as they stand and goes on from there; deletions
// that the compaction hides are not reported.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan outside.WatchEvent, error) {
	body, err := s.openWatch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	w := &watch{store: s, prefix: prefix, after: after, out: make(chan outside.WatchEvent)}
	go w.run(ctx, body)
	return w.out, nil
}

func (s *Store) openWatch(ctx context.Context, prefix string, after int64) (io.ReadCloser, error) {
	s.counters.watches.Add(1)
	create := createRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after + 1}
	data, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	response, err := s.post(ctx, s.watcher, "/v3/watch", data)
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
	// after is the last revision that was reported.
	after int64
	out   chan outside.WatchEvent
}

func (w *watch) run(ctx context.Context, body io.ReadCloser) {
	defer close(w.out)
	for {
		compacted := w.relay(ctx, body)
		_ = body.Close()
		if !compacted || !w.resync(ctx) {
			return
		}
		var err error
		if body, err = w.store.openWatch(ctx, w.prefix, w.after); err != nil {
			return
		}
	}
}

// relay reports changes until the stream ends and says whether it ended because
// the changes asked for were compacted.
func (w *watch) relay(ctx context.Context, body io.Reader) (compacted bool) {
	decoder := json.NewDecoder(body)
	for {
		var message watchResponse
		if decoder.Decode(&message) != nil {
			return false
		}
		if message.Result.Canceled {
			return message.Result.CompactRevision > 0
		}
		for _, event := range message.Result.Events {
			if !w.report(ctx, outside.WatchEvent{KeyValue: convert(event.Kv), Deleted: event.Type == "DELETE"}) {
				return false
			}
		}
	}
}

// resync reports the entries as they stand and moves after to the revision of
// the reading.
func (w *watch) resync(ctx context.Context) bool {
	kvs, revision, err := w.store.list(ctx, w.prefix)
	if err != nil {
		return false
	}
	after := w.after
	for _, kv := range kvs {
		if kv.ModRevision > after && !w.report(ctx, outside.WatchEvent{KeyValue: kv}) {
			return false
		}
	}
	w.after = revision
	return true
}

func (w *watch) report(ctx context.Context, change outside.WatchEvent) bool {
	select {
	case w.out <- change:
		w.after = max(w.after, change.ModRevision)
		return true
	case <-ctx.Done():
		return false
	}
}
