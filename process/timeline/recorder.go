package timeline

import (
	"sync"
	"time"
)

// DefaultCapacity is the number of events that a process keeps. At about 200 bytes each
// they take under 4 MB.
const DefaultCapacity = 16384

// Recorder keeps the latest events of one process. It is safe for concurrent
// use. A nil Recorder records nothing.
type Recorder struct {
	process string

	mu      sync.Mutex
	clock   Clock
	events  []Event
	next    int
	wrapped bool
}

// NewRecorder returns a recorder for the named process that keeps the latest capacity
// events.
func NewRecorder(process string, capacity int) *Recorder {
	return &Recorder{process: process, events: make([]Event, capacity)}
}

// Record sets the timestamp and the process of event and stores it. It returns the
// timestamp, which is to be sent with messages that the event causes.
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
		r.wrapped = true
	}
	return event.Timestamp
}

// Now returns a timestamp for a message that no event causes.
func (r *Recorder) Now() Timestamp {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(time.Now())
}

// Observe advances the clock to the timestamp of a received message. Zero means that the
// message has no timestamp.
func (r *Recorder) Observe(remote Timestamp) {
	if r == nil || remote == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(remote)
}

// Events returns the stored events that filter matches, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Event
	appendMatching := func(events []Event) {
		for _, event := range events {
			if filter.Matches(event) {
				matching = append(matching, event)
			}
		}
	}
	if r.wrapped {
		appendMatching(r.events[r.next:])
	}
	appendMatching(r.events[:r.next])
	return matching
}
