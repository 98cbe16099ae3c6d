package peers

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// wholeEvery is how often the whole state is told; in between only what changed is.
	wholeEvery = time.Second
	// changedFor is how long a change is told again and again: a reader that missed one
	// whole state, and all changes since, has them with the next message.
	changedFor = 2*wholeEvery + wholeEvery/4
	// linkShare is the part of an entry's link that the words of all others may take. A
	// loss changes the work of all entries at once, just when streams have to go on.
	linkShare = 0.1
)

// change is the last value of an entry of the state and when it came to be.
type change[V comparable] struct {
	value V
	at    time.Time
}

// Outbox decides what of the state the other entries are told, and when. It does no
// I/O and reads no clock.
//
// The load pattern that it answers: a failure domain is lost and all entries have
// something to tell all others at the same moment, some of them over links that such
// a burst would fill.
type Outbox struct {
	work   map[request.TargetID]change[[3]int]
	copies map[string]change[Copy]
	// whole is when the whole state was last told, next when the next message may go.
	whole, next time.Time
}

// NewOutbox returns an outbox that has told nothing.
func NewOutbox() *Outbox {
	return &Outbox{work: map[request.TargetID]change[[3]int]{}, copies: map[string]change[Copy]{}}
}

// Renew makes the next message tell the whole state: there is a new reader.
func (o *Outbox) Renew() { o.whole = time.Time{} }

// Wait returns how long the next message has to wait for room on the links.
func (o *Outbox) Wait(now time.Time) time.Duration { return max(0, o.next.Sub(now)) }

// Compose makes the message to send of one that holds the whole state.
func (o *Outbox) Compose(now time.Time, m Message) Message {
	work := note(now, o.work, m.Work)
	copies := note(now, o.copies, m.Copies)
	m.Whole = now.Sub(o.whole) >= wholeEvery
	if m.Whole {
		o.whole = now
		return m
	}
	m.Work, m.Copies = work, copies
	return m
}

// note brings told up to date with state and returns what changed of late; a value
// that is gone is told as zero.
func note[K, V comparable](now time.Time, told map[K]change[V], state map[K]V) map[K]V {
	for key, value := range state {
		if last, ok := told[key]; !ok || last.value != value {
			told[key] = change[V]{value: value, at: now}
		}
	}
	changed := map[K]V{}
	for key, last := range told {
		if _, ok := state[key]; !ok && last.value != *new(V) {
			last = change[V]{at: now}
			told[key] = last
		}
		switch {
		case now.Sub(last.at) < changedFor:
			changed[key] = last.value
		case last.value == *new(V):
			delete(told, key)
		}
	}
	return changed
}

// Sent notes that a message of so many bytes went to so many entries, the slowest of
// which has a link of linkMbps; zero means that it is not known.
func (o *Outbox) Sent(now time.Time, bytes, entries int, linkMbps float64) {
	if linkMbps <= 0 {
		return
	}
	const bitsPerMegabit = 1e6
	bits := float64(8 * bytes * entries)
	o.next = now.Add(time.Duration(bits / (linkShare * linkMbps * bitsPerMegabit) * float64(time.Second)))
}

// Merge returns what a sender has after a message, given what it had before it.
func Merge(before, m Message) Message {
	if m.Whole {
		return m
	}
	if before.Boot != m.Boot {
		before = Message{}
	}
	m.Work = merged(before.Work, m.Work)
	m.Copies = merged(before.Copies, m.Copies)
	return m
}

func merged[K, V comparable](before, changes map[K]V) map[K]V {
	after := make(map[K]V, len(before)+len(changes))
	for key, value := range before {
		after[key] = value
	}
	for key, value := range changes {
		if value == *new(V) {
			delete(after, key)
			continue
		}
		after[key] = value
	}
	return after
}
