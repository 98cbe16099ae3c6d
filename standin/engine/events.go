package engine

import (
	"net/http"
	"strconv"
	"time"
)

// CacheEvent is one change of the prefix cache. Blocks are named by the digest of
// all tokens up to their end.
type CacheEvent struct {
	// Sequence numbers the events of an engine without a break; a number that is
	// left out was lost.
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is what an engine shows of its cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"blockTokens"`
}

// maxCacheEvents bounds the events that are kept; older ones are lost.
const maxCacheEvents = 4096

type publishedEvent struct {
	CacheEvent
	at time.Time
}

// cacheLog keeps the events that an engine publishes.
type cacheLog struct {
	last   uint64
	events []publishedEvent
}

// publish notes a change of the cache, unless it is to be lost. The engine is locked.
func (e *Engine) publish(stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	e.cacheLog.last++
	if e.random.Float64() < e.config.CacheEventLoss {
		return
	}
	event := CacheEvent{Sequence: e.cacheLog.last, Stored: stored, Removed: removed}
	e.cacheLog.events = append(e.cacheLog.events, publishedEvent{CacheEvent: event, at: time.Now()})
	if surplus := len(e.cacheLog.events) - maxCacheEvents; surplus > 0 {
		e.cacheLog.events = e.cacheLog.events[surplus:]
	}
}

// CacheEvents returns the events after a sequence number that are old enough to
// be seen.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := CacheEvents{Events: []CacheEvent{}, BlockTokens: CacheBlockTokens}
	for _, event := range e.cacheLog.events {
		if event.Sequence > after && time.Since(event.at) >= e.config.CacheEventLag {
			list.Events = append(list.Events, event.CacheEvent)
		}
	}
	return list
}

// insertPrefix stores the blocks of tokens in the cache and publishes the change.
// The engine is locked.
func (e *Engine) insertPrefix(s *sequence) {
	stored, removed := e.cache.insert(s.prompt, s.generated)
	e.publish(stored, removed)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, "after: must be a sequence number", http.StatusBadRequest)
		return
	}
	reply(w, s.CacheEvents(after))
}
