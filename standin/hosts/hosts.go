// Package hosts is a small stand-in for the platform's list of hosts. It shows
// every change with a delay.
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

// snapshot is the list as it was after one change.
type snapshot struct {
	at   time.Time
	list []outside.ListedTarget
}

// List is the platform's list of hosts.
type List struct {
	lag time.Duration

	mu sync.Mutex
	// snapshots begins with the visible one; the others become visible later.
	snapshots []snapshot
}

// New returns a list that shows each change after lag. The initial targets show at once.
func New(lag time.Duration, targets []outside.ListedTarget) *List {
	return &List{lag: lag, snapshots: []snapshot{{list: targets}}}
}

// SetState changes the state of a target.
func (l *List) SetState(target request.TargetID, state outside.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.snapshots[len(l.snapshots)-1].list
	list := make([]outside.ListedTarget, len(latest))
	copy(list, latest)
	for i := range list {
		if list[i].Target == target {
			list[i].State = state
		}
	}
	l.snapshots = append(l.snapshots, snapshot{at: time.Now(), list: list})
}

// Put adds a target, or replaces the listed target with the same ID.
func (l *List) Put(target outside.ListedTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.snapshots[len(l.snapshots)-1].list
	list := slices.Clone(latest)
	sameTarget := func(other outside.ListedTarget) bool { return other.Target == target.Target }
	if i := slices.IndexFunc(list, sameTarget); i >= 0 {
		list[i] = target
	} else {
		list = append(list, target)
	}
	l.snapshots = append(l.snapshots, snapshot{at: time.Now(), list: list})
}

// Visible returns the list that is visible now.
func (l *List) Visible() []outside.ListedTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.snapshots) > 1 && time.Since(l.snapshots[1].at) >= l.lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0].list
}

// ServeHTTP implements http.Handler. It responds with Not Modified when If-None-Match is
// the ETag of the list.
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
