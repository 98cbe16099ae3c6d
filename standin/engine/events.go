package engine

import (
	"net/http"
	"strconv"
	"time"
)

// CacheEvent is one change of the prefix cache. Blocks are identified by the digest of
// all tokens up to their end.
type CacheEvent struct {
	// Sequence numbers the events of an engine consecutively; a gap means that events
	// were lost.
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is an engine's response to a query for its cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"blockTokens"`
}

// maxCacheEvents bounds the events that are kept; the oldest are dropped first.
const maxCacheEvents = 4096

type publishedEvent struct {
	CacheEvent
	publishedAt time.Time
}

// cacheEventLog keeps the events that an engine publishes.
type cacheEventLog struct {
	lastSequence uint64
	events       []publishedEvent
}

// publish logs a change of the cache, or loses it at the configured rate. The caller
// must hold e.mu.
func (e *Engine) publish(stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	e.cacheEventLog.lastSequence++
	if e.random.Float64() < e.config.CacheEventLoss {
		return
	}
	event := CacheEvent{Sequence: e.cacheEventLog.lastSequence, Stored: stored, Removed: removed}
	e.cacheEventLog.events = append(e.cacheEventLog.events, publishedEvent{CacheEvent: event, publishedAt: time.Now()})
	if surplus := len(e.cacheEventLog.events) - maxCacheEvents; surplus > 0 {
		e.cacheEventLog.events = e.cacheEventLog.events[surplus:]
	}
}

// CacheEvents returns the events after a sequence number that are at least CacheEventLag
// old.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := CacheEvents{Events: []CacheEvent{}, BlockTokens: CacheBlockTokens}
	for _, event := range e.cacheEventLog.events {
		if event.Sequence > after && time.Since(event.publishedAt) >= e.config.CacheEventLag {
			list.Events = append(list.Events, event.CacheEvent)
		}
	}
	return list
}

// insertPrefix stores the blocks of a sequence's tokens in the cache and publishes the
// change. The caller must hold e.mu.
func (e *Engine) insertPrefix(s *sequence) {
	stored, removed := e.cache.insert(s.prompt, s.generated)
	e.publish(stored, removed)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, "after: must be a sequence number", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.CacheEvents(after))
}
