// Package hosts is a small stand-in for the platform's list of hosts. It shows
// every change only after a lag.
package hosts

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
)

type change struct {
	at   time.Time
	list []outside.ListedTarget
}

// List is the state of the stand-in.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	changes []change
}

// New returns a list that lags by lag behind its changes, but shows the first at once.
func New(lag time.Duration, placements []outside.ListedTarget) *List {
	return &List{lag: lag, changes: []change{{list: placements}}}
}

// SetState changes the state of a target.
func (l *List) SetState(target request.TargetID, state outside.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.changes[len(l.changes)-1].list
	list := make([]outside.ListedTarget, len(latest))
	copy(list, latest)
	for i := range list {
		if list[i].Target == target {
			list[i].State = state
		}
	}
	l.changes = append(l.changes, change{at: time.Now(), list: list})
}

// Put adds a placement, or replaces the one of the same target.
func (l *List) Put(placement outside.ListedTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.changes[len(l.changes)-1].list
	list := slices.Clone(latest)
	same := func(p outside.ListedTarget) bool { return p.Target == placement.Target }
	if i := slices.IndexFunc(list, same); i >= 0 {
		list[i] = placement
	} else {
		list = append(list, placement)
	}
	l.changes = append(l.changes, change{at: time.Now(), list: list})
}

// Visible returns the list as it shows now.
func (l *List) Visible() []outside.ListedTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.changes) > 1 && time.Since(l.changes[1].at) >= l.lag {
		l.changes = l.changes[1:]
	}
	return l.changes[0].list
}

// ServeHTTP implements http.Handler. An unchanged list is answered by its tag alone.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(l.Visible())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
