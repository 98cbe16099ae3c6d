package kv

import (
	"encoding/json"
	"net/http"
)

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision number `json:"start_revision"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// watching is one running watch.
type watching struct {
	key, end string
	// next is the first revision that was not reported.
	next int64
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var ask watchRequest
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.fate(false).dropped {
		drop()
	}
	broken := s.openWatch()
	defer s.closeWatch()
	on := &watching{key: string(ask.Create.Key), end: string(ask.Create.RangeEnd), next: int64(ask.Create.StartRevision)}
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(watchResponse{Result: watchResult{Created: true, Header: header{s.Revision()}}})
	_ = http.NewResponseController(w).Flush()
	for {
		result, changed := s.advance(on)
		if result.Canceled || len(result.Events) > 0 {
			_ = encoder.Encode(watchResponse{Result: result})
			_ = http.NewResponseController(w).Flush()
		}
		if result.Canceled {
			return
		}
		select {
		case <-changed:
		case <-broken:
			drop()
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) openWatch() (broken <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
	s.calls.Watching++
	return s.broken
}

func (s *Store) closeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watching--
}

// advance returns what a watch has not reported yet.
func (s *Store) advance(on *watching) (result watchResult, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	result.Header.Revision = s.revision
	if on.next == 0 {
		on.next = s.revision + 1
	}
	if on.next <= s.compacted {
		result.Canceled = true
		result.CompactRevision = s.compacted
		return result, nil
	}
	for _, c := range s.history {
		if c.entry.modRevision >= on.next && inRange(c.key, on.key, on.end) {
			result.Events = append(result.Events, event(c))
		}
	}
	on.next = s.revision + 1
	return result, s.changed
}

func event(c change) watchEvent {
	e := watchEvent{Kv: wireEntry(c.key, c.entry)}
	if c.deleted {
		e.Type = "DELETE"
	}
	return e
}
