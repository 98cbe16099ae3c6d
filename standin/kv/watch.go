package kv

import (
	"encoding/json"
	"net/http"
)

type watchRequest struct {
	Create struct {
		Key           []byte    `json:"key"`
		RangeEnd      []byte    `json:"range_end"`
		StartRevision jsonInt64 `json:"start_revision"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	Events          []watchEvent   `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// watchState is the state of one running watch.
type watchState struct {
	key, end string
	// nextRevision is the first revision that has not been reported.
	nextRevision int64
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.drawFaults(false).requestLost {
		dropConnection()
	}
	watchesClosed := s.openWatch()
	defer s.closeWatch()
	watch := &watchState{key: string(req.Create.Key), end: string(req.Create.RangeEnd), nextRevision: int64(req.Create.StartRevision)}
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(watchResponse{Result: watchResult{Created: true, Header: responseHeader{s.Revision()}}})
	_ = http.NewResponseController(w).Flush()
	for {
		result, changed := s.nextEvents(watch)
		if result.Canceled || len(result.Events) > 0 {
			_ = encoder.Encode(watchResponse{Result: result})
			_ = http.NewResponseController(w).Flush()
		}
		if result.Canceled {
			return
		}
		select {
		case <-changed:
		case <-watchesClosed:
			dropConnection()
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) openWatch() (watchesClosed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
	s.calls.Watching++
	return s.watchesClosed
}

func (s *Store) closeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watching--
}

// nextEvents returns the events that a watch has not reported yet, or cancels the watch
// if some of them have been compacted.
func (s *Store) nextEvents(watch *watchState) (result watchResult, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	result.Header.Revision = s.revision
	if watch.nextRevision == 0 {
		watch.nextRevision = s.revision + 1
	}
	if watch.nextRevision <= s.compacted {
		result.Canceled = true
		result.CompactRevision = s.compacted
		return result, nil
	}
	for _, c := range s.history {
		if c.entry.modRevision >= watch.nextRevision && inRange(c.key, watch.key, watch.end) {
			result.Events = append(result.Events, toWatchEvent(c))
		}
	}
	watch.nextRevision = s.revision + 1
	return result, s.entriesChanged
}

func toWatchEvent(c change) watchEvent {
	e := watchEvent{Kv: toKeyValue(c.key, c.entry)}
	if c.deleted {
		e.Type = "DELETE"
	}
	return e
}
