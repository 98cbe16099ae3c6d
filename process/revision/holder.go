// Package revision holds the configuration revision that a process has in force,
// watches the platform's store for newer ones and spreads them over links.
package revision

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/version"
)

// SourceStore is the source of a revision that was read from the store; any
// other source is the name of the process that sent it.
const SourceStore = "store"

// Active holds the snapshot in force.
//
// Invariant: the revision of the snapshot never goes down.
type Active struct {
	current atomic.Pointer[version.Snapshot]
	// confirmed is when the revision in force was last known to be the newest, in
	// nanoseconds of the Unix time; zero means never.
	confirmed atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	body    []byte
	since   time.Time
	source  string
}

// NewActive returns a holder of the empty revision 0.
func NewActive() *Active {
	h := &Active{changed: make(chan struct{})}
	h.current.Store(version.Compile(0, version.Document{}))
	return h
}

// Current returns the snapshot in force.
func (h *Active) Current() *version.Snapshot { return h.current.Load() }

// Offer puts snapshot in force when it is newer and says whether it did.
func (h *Active) Offer(snapshot *version.Snapshot) bool {
	return h.offer(snapshot, nil, SourceStore)
}

// Put decodes the stored record body and puts it in force when revision is newer.
// It says whether it did.
func (h *Active) Put(revision version.Revision, body []byte, source string) (bool, error) {
	if revision <= h.Current().Revision {
		return false, nil
	}
	record, err := version.DecodeRecord(body)
	if err != nil {
		return false, err
	}
	return h.offer(version.Compile(revision, record.Document), body, source), nil
}

func (h *Active) offer(snapshot *version.Snapshot, body []byte, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot.Revision <= h.current.Load().Revision {
		return false
	}
	h.current.Store(snapshot)
	h.body = body
	h.since = time.Now()
	h.source = source
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer revision is in force.
func (h *Active) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Origin returns since when the revision is in force and where it came from.
func (h *Active) Origin() (since time.Time, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since, h.source
}

// confirm notes that the revision in force was known to be the newest.
func (h *Active) confirm(at time.Time) {
	if !at.IsZero() {
		h.confirmed.Store(at.UnixNano())
	}
}

// SinceConfirmed returns for how long it has not been known whether the revision in force is
// the newest; known is false when that never was known.
func (h *Active) SinceConfirmed(now time.Time) (age time.Duration, known bool) {
	at := h.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return max(0, now.Sub(time.Unix(0, at))), true
}

// CheckStaleness returns an error of kind StaleConfiguration when profile forbids to serve
// under a revision that was not confirmed for so long.
func (h *Active) CheckStaleness(profile version.Profile, now time.Time) error {
	if profile.StaleConfiguration != version.StaleRefuse {
		return nil
	}
	age, known := h.SinceConfirmed(now)
	if known && age <= profile.StaleAfter.Std() {
		return nil
	}
	if !known {
		since, _ := h.Origin()
		if age = now.Sub(since); age <= profile.StaleAfter.Std() {
			return nil
		}
	}
	return fault.New(fault.StaleConfiguration,
		"revision %d was not confirmed for %s, longer than the profile's %s",
		h.Current().Revision, age.Round(time.Second), profile.StaleAfter.Std())
}
