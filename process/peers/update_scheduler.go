package peers

import (
	"maps"
	"time"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// fullUpdateInterval is the interval of full updates; those in between are deltas.
	fullUpdateInterval = time.Second
	// deltaPeriod is how long a change is included in deltas. A peer that missed one full
	// update and all deltas since then has the whole state after the next delta.
	deltaPeriod = 2*fullUpdateInterval + fullUpdateInterval/4
	// updateLinkShare is the fraction of an entry's link that the updates of all its peers
	// together may use. A failure changes the work of all entries at once, just when
	// streams have to resume.
	updateLinkShare = 0.1
	// partialLinkShare is the additional fraction for partial updates. maxPartialBacklog is
	// how far ahead of that fraction they may be sent: they have about a hundred bytes each.
	partialLinkShare = 0.05
	// maxUpdatesPerSecond is how many full updates and deltas an entry receives from all its
	// peers together: each costs processor time, which small hosts need for requests.
	maxUpdatesPerSecond = 400
	maxPartialBacklog   = 100 * time.Millisecond
)

// change is the latest value of one key of the state and when it changed.
type change[V comparable] struct {
	value     V
	changedAt time.Time
}

// UpdateScheduler decides which part of the state is sent to the peers, and when. It does
// no I/O and reads no clock.
//
// It is designed for the failure of a failure domain: all entries then have changes to send
// to all others at the same time, some of them over links that such a burst would fill.
type UpdateScheduler struct {
	work map[request.TargetID]change[[3]int]
	runs map[kvcopies.Number]change[kvcopies.Run]
	// lastFull is when the last full update was composed.
	lastFull time.Time
	// updatePacer paces full updates and deltas, partialPacer paces partial updates.
	updatePacer, partialPacer pacer
}

// pacer limits updates to a fraction of the bandwidth of a link.
type pacer struct {
	share float64
	// freeAt is when the link has carried all that was sent, at share of its bandwidth.
	freeAt time.Time
}

func (p *pacer) delay(now time.Time) time.Duration { return max(0, p.freeAt.Sub(now)) }

// recordSent records that the given bits were sent over a link of linkMbps; zero means that
// the bandwidth is not known.
func (p *pacer) recordSent(now time.Time, bits, linkMbps float64) {
	if linkMbps <= 0 {
		return
	}
	const bitsPerMegabit = 1e6
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(bits / (p.share * linkMbps * bitsPerMegabit) * float64(time.Second)))
}

// NewUpdateScheduler returns a scheduler whose first update is full.
func NewUpdateScheduler() *UpdateScheduler {
	return &UpdateScheduler{
		work: map[request.TargetID]change[[3]int]{}, runs: map[kvcopies.Number]change[kvcopies.Run]{},
		updatePacer: pacer{share: updateLinkShare}, partialPacer: pacer{share: partialLinkShare},
	}
}

// ForceFull makes the next composed update a full one, for a new peer.
func (s *UpdateScheduler) ForceFull() { s.lastFull = time.Time{} }

// UpdatePeriod returns the least time between two full updates or deltas of an entry with the
// given number of peers.
func UpdatePeriod(peers int) time.Duration {
	return time.Duration(peers) * time.Second / maxUpdatesPerSecond
}

// Delay returns how long the next full update or delta has to wait for bandwidth.
func (s *UpdateScheduler) Delay(now time.Time) time.Duration { return s.updatePacer.delay(now) }

// PartialAllowed reports whether a partial update may be sent now.
//
// Partial updates are designed for many entries that place long prompts within the hundred
// milliseconds that a delta waits for bandwidth on a slow link. Without them, entries would
// choose the same idle target, and prompts would queue there for prefill.
func (s *UpdateScheduler) PartialAllowed(now time.Time) bool {
	return s.partialPacer.delay(now) < maxPartialBacklog
}

// Compose returns the update to send, given one that holds the whole state.
func (s *UpdateScheduler) Compose(now time.Time, update Update) Update {
	work := recordChanges(now, s.work, update.Work)
	runs := recordChanges(now, s.runs, update.Runs)
	update.Full = now.Sub(s.lastFull) >= fullUpdateInterval
	if update.Full {
		s.lastFull = now
		return update
	}
	update.Work, update.Runs = work, runs
	update.Deferred = maps.Clone(update.Deferred)
	maps.DeleteFunc(update.Deferred, func(id request.TargetID, _ [2]int) bool {
		_, changed := work[id]
		return !changed
	})
	return update
}

// recordChanges brings sent up to date with state and returns the changes within
// deltaPeriod. A key that was removed from state is included with the zero value.
func recordChanges[K, V comparable](now time.Time, sent map[K]change[V], state map[K]V) map[K]V {
	for key, value := range state {
		if last, ok := sent[key]; !ok || last.value != value {
			sent[key] = change[V]{value: value, changedAt: now}
		}
	}
	changed := map[K]V{}
	for key, last := range sent {
		if _, ok := state[key]; !ok && last.value != *new(V) {
			last = change[V]{changedAt: now}
			sent[key] = last
		}
		switch {
		case now.Sub(last.changedAt) < deltaPeriod:
			changed[key] = last.value
		case last.value == *new(V):
			delete(sent, key)
		}
	}
	return changed
}

// RecordSent records that update was sent to the given number of entries with the given
// bytes each. linkMbps is the bandwidth of the slowest of their links, zero if not known.
func (s *UpdateScheduler) RecordSent(now time.Time, update Update, bytes, entries int, linkMbps float64) {
	p := &s.updatePacer
	if update.Partial {
		p = &s.partialPacer
	}
	p.recordSent(now, float64(8*bytes*entries), linkMbps)
	if next := now.Add(UpdatePeriod(entries)); !update.Partial && p.freeAt.Before(next) {
		p.freeAt = next
	}
}

// Merge returns the state of a sender after update, given its state before it. A partial
// update must be from the same incarnation of the sender as the state before.
func Merge(before, update Update) Update {
	if update.Full {
		return update
	}
	if update.Partial {
		before.Deferred = mergeDeferred(before.Deferred, update)
		before.Work = applyChanges(before.Work, update.Work)
		return before
	}
	if before.Incarnation != update.Incarnation {
		before = Update{}
	}
	update.Deferred = mergeDeferred(before.Deferred, update)
	update.Work = applyChanges(before.Work, update.Work)
	update.Runs = applyChanges(before.Runs, update.Runs)
	return update
}

// mergeDeferred returns the deferred tokens of a sender after a delta or a partial update, which
// states them for the targets in its work.
func mergeDeferred(before map[request.TargetID][2]int, update Update) map[request.TargetID][2]int {
	if len(before) == 0 && len(update.Deferred) == 0 {
		return nil
	}
	changes := make(map[request.TargetID][2]int, len(update.Work))
	for id := range update.Work {
		changes[id] = update.Deferred[id]
	}
	return applyChanges(before, changes)
}

func applyChanges[K, V comparable](before, changes map[K]V) map[K]V {
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
