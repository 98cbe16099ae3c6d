package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// sent is one request of a caller and what came of it.
type sent struct {
	id, method, key string
	at              time.Time
	// status is that of a whole answer, zero when none came.
	status  int
	problem string
	closed  bool
	// leaves says that the caller leaves before the answer can be whole.
	leaves bool
}

// book holds what callers sent and received.
type book struct {
	mu   sync.Mutex
	sent []*sent
	// marked is when everything had been mended for a while.
	marked time.Time
}

func newBook() *book { return &book{} }

func (b *book) open(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, s)
}

func (b *book) close(s *sent, status int, problem string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.status, s.problem, s.closed = status, problem, true
}

// leaves notes that a caller is about to leave early.
func (b *book) leaves(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.leaves = true
}

func (b *book) mark() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marked = time.Now()
}

func (b *book) counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for _, s := range b.sent {
		name := strconv.Itoa(s.status)
		if s.status == 0 {
			name = "no answer"
		}
		counts[name]++
	}
	return counts
}

// leastServed is the share of requests that must be served once everything was
// mended and the time to recover is over, of those whose callers stay.
const leastServed = 0.95

// check returns the promises that were broken.
func (b *book) check(ledger *replica.ExecutionLog, revoked map[string]time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := map[string][]replica.Execution{}
	for _, run := range ledger.Executions("") {
		runs[run.Request] = append(runs[run.Request], run)
	}
	var broken []string
	known := map[string]bool{}
	after, served := 0, 0
	for _, s := range b.sent {
		known[s.id] = true
		broken = append(broken, s.check(runs[s.id], revoked)...)
		if s.closed && !s.leaves && !b.marked.IsZero() && s.at.After(b.marked) && s.at.Before(b.marked.Add(recoveryWindow/2)) {
			after++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	for id := range runs {
		if !known[id] {
			broken = append(broken, fmt.Sprintf("a target ran %q, which no caller sent", id))
		}
	}
	if after > 0 && float64(served) < leastServed*float64(after) {
		broken = append(broken, fmt.Sprintf("%d of %d requests were served after everything was mended", served, after))
	}
	return broken
}

func (s *sent) check(runs []replica.Execution, revoked map[string]time.Time) []string {
	var broken []string
	note := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s (%s, status %d): ", s.id, s.method, s.status)+fmt.Sprintf(format, args...))
	}
	if s.problem != "" {
		note("%s", s.problem)
	}
	booking := len(runs) > 0 && runs[0].Path == "/book/visit"
	if booking && len(runs) > 1 {
		note("ran %d times though it may run once", len(runs))
	}
	promised := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests
	if promised && booking {
		note("was refused as not run, and ran at %s", runs[0].Target)
	}
	for _, run := range runs {
		if run.APIKey != "" {
			note("the target was given the key")
		}
		if run.Workspace != "crew" {
			note("ran for the workspace %q", run.Workspace)
		}
	}
	at, gone := revoked[s.key]
	if gone && s.at.After(at.Add(revokeWithin)) && len(runs) > 0 {
		note("ran with a key that was taken away %s before it was sent", s.at.Sub(at))
	}
	return broken
}
