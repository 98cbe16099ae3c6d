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
	// briefShare is the part besides that messages of placed prompts may take, and
	// briefAhead how far ahead of it they may go: they are a hundred bytes each.
	briefShare = 0.05
	briefAhead = 100 * time.Millisecond
)

// change is the last value of an entry of the state and when it came to be.
type change[V comparable] struct {
	value V
	at    time.Time
}

// UpdateScheduler decides what of the state the other entries are told, and when. It does no
// I/O and reads no clock.
//
// The load pattern that it answers: a failure domain is lost and all entries have
// something to tell all others at the same moment, some of them over links that such
// a burst would fill.
type UpdateScheduler struct {
	work   map[request.TargetID]change[[3]int]
	copies map[string]change[KVCopy]
	// whole is when the whole state was last told.
	whole time.Time
	// rest and brief pace the messages of all changes and those of placed prompts.
	rest, brief pace
}

// pace spreads messages over the part of a link that they may take.
type pace struct {
	share float64
	// next is when all that was sent has its part of the link.
	next time.Time
}

func (p *pace) wait(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// sent notes that so many bits went over a link of linkMbps; zero means that it is
// not known.
func (p *pace) sent(now time.Time, bits, linkMbps float64) {
	if linkMbps <= 0 {
		return
	}
	const bitsPerMegabit = 1e6
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(bits / (p.share * linkMbps * bitsPerMegabit) * float64(time.Second)))
}

// NewUpdateScheduler returns an outbox that has told nothing.
func NewUpdateScheduler() *UpdateScheduler {
	return &UpdateScheduler{
		work: map[request.TargetID]change[[3]int]{}, copies: map[string]change[KVCopy]{},
		rest: pace{share: linkShare}, brief: pace{share: briefShare},
	}
}

// ForceFull makes the next message tell the whole state: there is a new reader.
func (o *UpdateScheduler) ForceFull() { o.whole = time.Time{} }

// Delay returns how long the next message of all changes has to wait for room on the
// links.
func (o *UpdateScheduler) Delay(now time.Time) time.Duration { return o.rest.wait(now) }

// PartialAllowed says whether a message that tells of placed prompts alone may go now.
//
// The load pattern that it answers: many entries place long prompts within the
// hundred milliseconds that a message of all changes waits for room on a slow link.
// Each takes a target that seems idle, and one prompt is read behind the other.
func (o *UpdateScheduler) PartialAllowed(now time.Time) bool { return o.brief.wait(now) < briefAhead }

// Compose makes the message to send of one that holds the whole state.
func (o *UpdateScheduler) Compose(now time.Time, m Update) Update {
	work := note(now, o.work, m.Work)
	copies := note(now, o.copies, m.KVCopies)
	m.Full = now.Sub(o.whole) >= wholeEvery
	if m.Full {
		o.whole = now
		return m
	}
	m.Work, m.KVCopies = work, copies
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

// RecordSent notes that m went to so many entries, in so many bytes each; the slowest of
// them has a link of linkMbps, zero if that is not known.
func (o *UpdateScheduler) RecordSent(now time.Time, m Update, bytes, entries int, linkMbps float64) {
	lane := &o.rest
	if m.Partial {
		lane = &o.brief
	}
	lane.sent(now, float64(8*bytes*entries), linkMbps)
}

// Merge returns what a sender has after a message, given what it had before it. A
// brief message must be of the same life of the sender as what it had before.
func Merge(before, m Update) Update {
	if m.Full {
		return m
	}
	if m.Partial {
		before.Work = merged(before.Work, m.Work)
		return before
	}
	if before.Incarnation != m.Incarnation {
		before = Update{}
	}
	m.Work = merged(before.Work, m.Work)
	m.KVCopies = merged(before.KVCopies, m.KVCopies)
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
