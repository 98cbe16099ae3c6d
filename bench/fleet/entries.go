package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// stalls tracks the entries whose traffic with the key-value service is delayed.
type stalls struct {
	mu      sync.Mutex
	stalled map[string]bool
	changed chan struct{}
}

func newStalls() *stalls {
	return &stalls{stalled: map[string]bool{}, changed: make(chan struct{})}
}

func (s *stalls) set(entry string, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled[entry] = stalled
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait blocks until the entry is not stalled.
func (s *stalls) wait(entry string) {
	for {
		s.mu.Lock()
		stalled, changed := s.stalled[entry], s.changed
		s.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}

// release ends all stalls.
func (s *stalls) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = map[string]bool{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// storePrefix returns the path prefix under which entry i reaches the key-value
// service. It identifies the entry, so that its traffic can be delayed.
func storePrefix(i int) string { return fmt.Sprintf("/of/entry-%d", i) }

// delayStalledEntries serves requests below storePrefix. It reads a request of a
// stalled entry, waits until the stall ends, and then executes the request even if
// its sender has timed out.
func (f *Fleet) delayStalledEntries(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entry, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/of/"), "/")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.stalls.wait(entry)
		forwarded := r.Clone(r.Context())
		forwarded.URL.Path = "/" + path
		forwarded.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, forwarded)
	})
}

// StallEntry starts or ends a delay of all traffic of entry i with the key-value
// service.
func (f *Fleet) StallEntry(i int, stalled bool) { f.stalls.set(fmt.Sprintf("entry-%d", i), stalled) }

// EntryURL returns the current base URL of entry i. It is safe to call while entries
// are restarted.
func (f *Fleet) EntryURL(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.URL(i)
}

// RestartEntry kills entry i, calls whileDown, and starts a new entry once that has
// returned.
func (f *Fleet) RestartEntry(ctx context.Context, i int, whileDown func()) error {
	f.mu.Lock()
	old := f.Entries[i]
	f.mu.Unlock()
	old.Kill()
	whileDown()
	started, err := f.newEntry(ctx, i)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.Entries[i] = started
	f.mu.Unlock()
	return nil
}
