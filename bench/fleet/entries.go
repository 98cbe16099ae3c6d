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

// stalls holds the entries whose traffic with the key-value service is held back.
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

// wait returns when the entry is not stalled.
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

// storePrefix is the path under which an entry reaches the key-value service, so
// that its traffic can be held back.
func storePrefix(i int) string { return fmt.Sprintf("/of/entry-%d", i) }

// holdStalled serves requests below storePrefix. A request of a stalled entry is
// read, held back, and then carried out though its sender may have given up.
func (f *Fleet) holdStalled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entry, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/of/"), "/")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.stalls.wait(entry)
		passed := r.Clone(r.Context())
		passed.URL.Path = "/" + path
		passed.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, passed)
	})
}

// StallEntry holds back all traffic of entry i with the key-value service, or lets
// it pass again.
func (f *Fleet) StallEntry(i int, stalled bool) { f.stalls.set(fmt.Sprintf("entry-%d", i), stalled) }

// EntryURL returns the base URL of entry i at this instant, while others may be
// restarted.
func (f *Fleet) EntryURL(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.URL(i)
}

// RestartEntry ends entry i at once, waits for down, and starts a new one.
func (f *Fleet) RestartEntry(ctx context.Context, i int, down func()) error {
	f.mu.Lock()
	old := f.Entries[i]
	f.mu.Unlock()
	old.Kill()
	down()
	started, err := f.newEntry(ctx, i)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.Entries[i] = started
	f.mu.Unlock()
	return nil
}
