package timeline

import (
	"sync"
	"time"
)

// DefaultCapacity is how many events a process keeps. At about 200 bytes each
// they take under 4 MB.
const DefaultCapacity = 16384

// Recorder keeps the latest events of one process. It is safe for concurrent
// use. A nil Recorder records nothing.
type Recorder struct {
	process string

	mu     sync.Mutex
	clock  Clock
	events []Event
	next   int
	full   bool
}

// NewRecorder returns the recorder of the named process with room for capacity
// events; older ones are overwritten.
func NewRecorder(process string, capacity int) *Recorder {
	return &Recorder{process: process, events: make([]Event, capacity)}
}

// Record stamps event and keeps it. It returns the stamp, which goes along with
// messages that the event causes.
func (r *Recorder) Record(event Event) Timestamp {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Timestamp = r.clock.Next(time.Now())
	event.Process = r.process
	r.events[r.next] = event
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
	return event.Timestamp
}

// Now returns a stamp for a message that no event goes along with.
func (r *Recorder) Now() Timestamp {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(time.Now())
}

// Observe takes note of the stamp of a received message; zero is no stamp.
func (r *Recorder) Observe(remote Timestamp) {
	if r == nil || remote == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(remote)
}

// Events returns the kept events that filter matches, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Event
	keep := func(events []Event) {
		for _, event := range events {
			if filter.Matches(event) {
				matching = append(matching, event)
			}
		}
	}
	if r.full {
		keep(r.events[r.next:])
	}
	keep(r.events[:r.next])
	return matching
}
