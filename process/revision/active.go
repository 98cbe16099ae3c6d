// Package revision holds the active configuration revision of a process, watches the
// platform's store for newer ones and distributes them over links.
package revision

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/version"
)

// SourceStore is the source of a revision that was read from the store. Any other
// source is the name of the process that sent the revision.
const SourceStore = "store"

// Active holds the active snapshot.
//
// Invariant: the revision of the snapshot never decreases.
type Active struct {
	current atomic.Pointer[version.Snapshot]
	// confirmed is when the active revision was last known to be the newest, in
	// Unix nanoseconds; zero means never.
	confirmed atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
	body    []byte
	since   time.Time
	source  string
}

// NewActive returns an Active with the empty revision 0.
func NewActive() *Active {
	a := &Active{changed: make(chan struct{})}
	a.current.Store(version.Compile(0, version.Document{}))
	return a
}

// Current returns the active snapshot.
func (a *Active) Current() *version.Snapshot { return a.current.Load() }

// Offer activates snapshot if it is newer, and reports whether it did.
func (a *Active) Offer(snapshot *version.Snapshot) bool {
	return a.activate(snapshot, nil, SourceStore)
}

// Put decodes and activates the stored record body if revision is newer, and reports
// whether it did.
func (a *Active) Put(revision version.Revision, body []byte, source string) (bool, error) {
	if revision <= a.Current().Revision {
		return false, nil
	}
	record, err := version.DecodeRecord(body)
	if err != nil {
		return false, err
	}
	return a.activate(version.Compile(revision, record.Document), body, source), nil
}

func (a *Active) activate(snapshot *version.Snapshot, body []byte, source string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if snapshot.Revision <= a.current.Load().Revision {
		return false
	}
	a.current.Store(snapshot)
	a.body = body
	a.since = time.Now()
	a.source = source
	close(a.changed)
	a.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer revision is activated.
func (a *Active) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Activation returns when the active revision was activated and where it came from.
func (a *Active) Activation() (since time.Time, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since, a.source
}

// recordConfirmed records when the active revision was last known to be the newest;
// a zero time is ignored.
func (a *Active) recordConfirmed(at time.Time) {
	if !at.IsZero() {
		a.confirmed.Store(at.UnixNano())
	}
}

// SinceConfirmed returns the time since the active revision was last known to be the
// newest; known is false if it never was.
func (a *Active) SinceConfirmed(now time.Time) (age time.Duration, known bool) {
	at := a.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return max(0, now.Sub(time.Unix(0, at))), true
}

// CheckStaleness returns an error of kind StaleConfiguration if profile refuses
// service because the active revision was not confirmed for longer than StaleAfter.
// If it was never confirmed, the time since its activation counts.
func (a *Active) CheckStaleness(profile version.Profile, now time.Time) error {
	if profile.StaleConfiguration != version.StaleRefuse {
		return nil
	}
	age, known := a.SinceConfirmed(now)
	if known && age <= profile.StaleAfter.Std() {
		return nil
	}
	if !known {
		since, _ := a.Activation()
		if age = now.Sub(since); age <= profile.StaleAfter.Std() {
			return nil
		}
	}
	return fault.New(fault.StaleConfiguration,
		"revision %d was not confirmed for %s, longer than the profile's %s",
		a.Current().Revision, age.Round(time.Second), profile.StaleAfter.Std())
}
