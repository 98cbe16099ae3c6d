package soak

import (
	"slices"
	"sync"
	"time"
)

// disruptionKind is what disrupts an entry, the link to a target or the store.
type disruptionKind int

const (
	restarted disruptionKind = iota
	paused
	// ending is a signal that ends a process.
	ending
	storeCut
	linkFault
	storeFaulty
	// stalled is a time in which the soak itself, and so all targets, did not run because of
	// other programs.
	stalled
)

// disruption is a span of time. Its end is zero while it lasts.
type disruption struct {
	kind       disruptionKind
	start, end time.Time
}

// disruptions records what the soak did to a part of the deployment, and when.
type disruptions struct {
	mu   sync.Mutex
	list []*disruption
}

// begin records the start of a disruption. The returned function records its end.
func (d *disruptions) begin(kind disruptionKind) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added := &disruption{kind: kind, start: time.Now()}
	d.list = append(d.list, added)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if added.end.IsZero() {
			added.end = time.Now()
		}
	}
}

// add records a disruption without a duration.
func (d *disruptions) add(kind disruptionKind) { d.begin(kind)() }

// addSpan records a disruption that has ended.
func (d *disruptions) addSpan(kind disruptionKind, start, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, &disruption{kind, start, end})
}

// any returns whether there was a disruption between two times. Without kinds, all kinds
// count.
func (d *disruptions) any(from, to time.Time, kinds ...disruptionKind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.list, func(x *disruption) bool {
		return (len(kinds) == 0 || slices.Contains(kinds, x.kind)) && !x.start.After(to) && (x.end.IsZero() || !x.end.Before(from))
	})
}

// lastEnd returns when the last disruption ended.
func (d *disruptions) lastEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.list) == 0 {
		return time.Time{}
	}
	return d.list[len(d.list)-1].end
}
