package kv

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPageItems bounds the items of one page.
const maxPageItems = 500

// platformItem is an item in the format of the users' platform.
type platformItem struct {
	Key            string
	Value          []byte `json:",omitempty"`
	Revision       int64
	CreateRevision int64 `json:",omitempty"`
	Lease          int64 `json:",omitempty"`
	Removed        bool  `json:",omitempty"`
}

// PlatformHandler serves the store through the protocol of the users' platform.
func (s *Store) PlatformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.platformCall(&s.calls.Ranges, false, s.platformRange))
	mux.HandleFunc("POST /v1/kv-txn", s.platformCall(&s.calls.Txns, true, s.platformTxn))
	mux.HandleFunc("POST /v1/kv-lease", s.platformCall(&s.calls.Leases, true, s.platformGrant))
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.platformCall(&s.calls.Leases, false, s.platformKeepAlive))
	mux.HandleFunc("GET /v1/kv-watch", s.platformWatch)
	return mux
}

// platformCall executes serve under the lock, with the faults that are set.
func (s *Store) platformCall(count *int64, write bool, serve func(*http.Request) (int, any)) http.HandlerFunc {
	execute := func(r *http.Request) (int, any, int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*count++
		s.removeExpiredLeases()
		status, response := serve(r)
		return status, response, s.era
	}
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			dropConnection()
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f := s.drawFaults(write, writtenKeys(body)...)
		if !f.deliver(r.Context()) {
			return
		}
		if f.lateness > 0 {
			time.AfterFunc(f.lateness, func() { execute(r) })
			dropConnection()
		}
		status, response, era := execute(r)
		if f.responseLost {
			dropConnection()
		}
		s.writeResponse(w, status, response, era)
	}
}

// writtenKeys returns the keys that a transaction writes, given the body of its call.
func writtenKeys(body []byte) []string {
	var req struct{ Writes []struct{ Key string } }
	_ = json.Unmarshal(body, &req)
	keys := make([]string, len(req.Writes))
	for i, write := range req.Writes {
		keys[i] = write.Key
	}
	return keys
}

// writeResponse writes a response that was composed in an era.
func (s *Store) writeResponse(w http.ResponseWriter, status int, response any, era int64) {
	s.mu.Lock()
	faults := s.faults
	s.faults.eraTurn++
	s.mu.Unlock()
	setEraHeader(w.Header(), era, faults)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Store) platformRange(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	page := struct {
		Items      []platformItem
		Truncated  bool
		CurrentRev int64
	}{Items: []platformItem{}, CurrentRev: s.revision}
	for _, key := range s.keysIn("", "\x00") {
		if !strings.HasPrefix(key, prefix) || key <= after && after != "" {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, toPlatformItem(key, s.entries[key]))
	}
	return http.StatusOK, page
}

func toPlatformItem(key string, e entry) platformItem {
	return platformItem{Key: key, Value: e.value, Revision: e.modRevision, CreateRevision: e.createRevision, Lease: e.lease}
}

func (s *Store) platformTxn(r *http.Request) (int, any) {
	var req struct {
		ExpectedRevision []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	for _, expected := range req.ExpectedRevision {
		if s.entries[expected.Key].modRevision != expected.Revision {
			return http.StatusPreconditionFailed, struct{ Items []platformItem }{}
		}
	}
	for _, write := range req.Writes {
		if !s.leaseExists(write.Lease) {
			return http.StatusNotFound, "no such lease"
		}
	}
	for _, write := range req.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range req.Remove {
		s.remove(key)
	}
	return http.StatusOK, struct{ Revision int64 }{s.revision}
}

func (s *Store) platformGrant(r *http.Request) (int, any) {
	var req struct{ TtlMs int64 } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	s.lastID++
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	s.leases[s.lastID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, struct{ Lease, TtlMs int64 }{s.lastID, req.TtlMs} //nolint:revive // the platform's spelling
}

func (s *Store) platformKeepAlive(r *http.Request) (int, any) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	granted, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, "no such lease"
	}
	granted.expires = time.Now().Add(granted.ttl)
	s.leases[id] = granted
	return http.StatusOK, struct{ TtlMs int64 }{granted.ttl.Milliseconds()} //nolint:revive // the platform's spelling
}

func (s *Store) platformWatch(w http.ResponseWriter, r *http.Request) {
	if !s.drawFaults(false).deliver(r.Context()) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	watchesClosed := s.openWatch()
	defer s.closeWatch()
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		status, events, revision, era, changed := s.changesAfter(query.Get("Prefix"), after)
		timedOut := false
		if status == http.StatusOK && len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				timedOut = true
			case <-watchesClosed:
				dropConnection()
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || timedOut || status != http.StatusOK {
			s.writeResponse(w, status, struct {
				Events     []platformItem `json:"events"`
				CurrentRev int64
			}{events, revision}, era)
			return
		}
	}
}

// changesAfter returns the changes after a revision, the present revision and era, and a channel that
// is closed at the next change. Its status is Gone for a revision whose later changes are not kept, or
// that the store does not have.
func (s *Store) changesAfter(prefix string, after int64) (int, []platformItem, int64, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	if after < s.compacted || after > s.revision {
		return http.StatusGone, nil, s.revision, s.era, s.entriesChanged
	}
	events := []platformItem{}
	for _, c := range s.history {
		if c.entry.modRevision <= after || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		item := toPlatformItem(c.key, c.entry)
		item.Removed = c.deleted
		events = append(events, item)
	}
	return http.StatusOK, events, s.revision, s.era, s.entriesChanged
}

// Delete removes a key, if it is there.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}
