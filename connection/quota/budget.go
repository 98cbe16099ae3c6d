// Package quota decides which connections of callers, and which bodies of requests and responses,
// a process keeps in memory. It does no I/O and reads no clock.
//
// Hostile callers and failing targets make a process hold heads, bodies and events that never end
// or are never read, many at the same time. Everything that is held on behalf of a caller counts
// against one budget. When it is used up, the holder with the greatest product of memory and time
// without progress yields, so that others go on; requests that are whole are kept until their
// responses have been sent.
package quota

import "time"

const (
	// largeBytes is the size from which a holder is large. Large holders may use largeFraction of
	// the budget: the rest is for ordinary requests, which hold some kilobytes.
	largeBytes    = 64 << 10
	largeFraction = 0.75
	// minStall is the least time without progress that counts, so that of holders that all make
	// progress the largest one yields.
	minStall = 10 * time.Millisecond
	// sendStall is how long a holder must have waited for its caller to read before it yields:
	// what is ready is delivered if its caller takes it.
	sendStall = time.Second
	// idleDiscount divides the time of connections that wait for their next request: a request
	// may be under way on them, and they hold little.
	idleDiscount = 8
)

// Limits bound what is held. A limit of 0 does not bound.
type Limits struct {
	// Bytes is the memory of all holders.
	Bytes int64
	// Connections is the number of connections.
	Connections int
}

// State says what a holder waits for.
type State int

// States of a holder.
const (
	// Kept holders do not wait for a caller, and do not yield.
	Kept State = iota
	// Receiving holders wait for the rest of what is being received.
	Receiving
	// Sending holders wait until what is ready is read.
	Sending
	// Idle holders are connections that wait for their next request.
	Idle
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"kept", "receiving", "sending", "idle"}[s]
}

// Holder is a connection or a body that holds memory.
type Holder struct {
	// connections is 1 for a connection.
	connections int
	bytes       int64
	state       State
	progress    time.Time
	yielded     bool
	// place is one more than the index of the holder in Budget.waiting, 0 if it is not there.
	place int
}

// Bytes returns how much memory is counted for the holder.
func (h *Holder) Bytes() int64 { return h.bytes }

// State returns what the holder waits for.
func (h *Holder) State() State { return h.state }

// Stalled returns for how long the holder has made no progress.
func (h *Holder) Stalled(now time.Time) time.Duration { return now.Sub(h.progress) }

// Yielded reports whether the holder has to be released.
func (h *Holder) Yielded() bool { return h.yielded }

// Budget limits the memory and the connections of all holders. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// used is what all holders use, yielding what those use that have to be released.
	used, yielding usage
	// waiting holds those that are not kept and have not yielded. All of them are looked at when
	// one has to yield, which a slice makes cheap.
	waiting []*Holder
}

type usage struct {
	bytes       int64
	connections int
}

// NewBudget returns a budget with the given limits.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// Used returns the memory of all holders in bytes.
func (b *Budget) Used() int64 { return b.used.bytes }

// Connections returns the number of connections.
func (b *Budget) Connections() int { return b.used.connections }

// Grant says whether a holder may hold more.
type Grant int

// Results of Connect and Add.
const (
	// Granted means that the holder may hold what it asked for.
	Granted Grant = iota
	// Wait means that it may ask again once others have been released, or later.
	Wait
	// Yield means that the holder has to be released.
	Yield
)

// Connect asks for a connection with n bytes, which is receiving then. The holders that have to
// yield for it are returned as well.
func (b *Budget) Connect(now time.Time, h *Holder, n int64) (Grant, []*Holder) {
	h.state, h.progress = Receiving, now
	return b.add(now, h, usage{bytes: n, connections: 1})
}

// Add asks for n more bytes for a holder. The holders that have to yield for it are returned as
// well.
func (b *Budget) Add(now time.Time, h *Holder, n int64) (Grant, []*Holder) {
	return b.add(now, h, usage{bytes: n})
}

// Force counts n more bytes that a holder needs in any case, and returns the holders that have to
// yield for it.
func (b *Budget) Force(now time.Time, h *Holder, n int64) []*Holder {
	if h.yielded {
		b.yielding.bytes += n
	}
	h.bytes += n
	b.used.bytes += n
	var yielding []*Holder
	for !b.fits(h, b.yielding, usage{}) {
		worst := b.worst(now, nil, usage{})
		if worst == nil {
			break
		}
		b.yield(worst)
		yielding = append(yielding, worst)
	}
	return yielding
}

func (b *Budget) add(now time.Time, h *Holder, more usage) (Grant, []*Holder) {
	if h.yielded {
		return Yield, nil
	}
	b.setWaiting(h, h.state != Kept)
	if h.bytes == 0 {
		// It has held nothing so far.
		h.progress = now
	}
	if b.fits(h, usage{}, more) {
		h.bytes += more.bytes
		h.connections += more.connections
		b.used.bytes += more.bytes
		b.used.connections += more.connections
		return Granted, nil
	}
	var yielding []*Holder
	for !b.fits(h, b.yielding, more) {
		worst := b.worst(now, h, more)
		if worst == nil && h.state == Sending {
			return Wait, yielding
		}
		if worst == nil {
			worst = h
		}
		b.yield(worst)
		if worst == h {
			return Yield, yielding
		}
		yielding = append(yielding, worst)
	}
	return Wait, yielding
}

// fits reports whether a holder may hold more once what is released has been given back.
func (b *Budget) fits(h *Holder, released, more usage) bool {
	bytes := b.limits.Bytes
	if h.bytes+more.bytes > largeBytes {
		bytes = int64(largeFraction * float64(bytes))
	}
	return (bytes <= 0 || b.used.bytes-released.bytes+more.bytes <= bytes) &&
		(b.limits.Connections <= 0 || more.connections == 0 ||
			b.used.connections-released.connections+more.connections <= b.limits.Connections)
}

// worst returns the holder that has to yield first so that h can hold more, which may be h itself,
// or nil if there is none.
func (b *Budget) worst(now time.Time, h *Holder, more usage) *Holder {
	var worst *Holder
	highest := 0.0
	for _, other := range b.waiting {
		bytes := other.bytes
		if other == h {
			bytes += more.bytes
		}
		if more.connections > 0 && (other == h || other.connections == 0) || bytes == 0 {
			// A request is on its way on a new connection.
			continue
		}
		stalled := other.Stalled(now)
		if other.state == Sending && stalled < sendStall {
			continue
		}
		if other.state == Idle {
			stalled /= idleDiscount
		}
		score := float64(bytes) * max(stalled, minStall).Seconds()
		if score > highest || score == highest && other == h {
			worst, highest = other, score
		}
	}
	return worst
}

// GiveUp makes a holder yield that has waited for too long.
func (b *Budget) GiveUp(h *Holder) {
	if !h.yielded {
		b.yield(h)
	}
}

func (b *Budget) yield(h *Holder) {
	h.yielded = true
	b.yielding.bytes += h.bytes
	b.yielding.connections += h.connections
	b.setWaiting(h, false)
}

// setWaiting adds a holder to those that wait, or removes it.
func (b *Budget) setWaiting(h *Holder, waiting bool) {
	if waiting == (h.place > 0) {
		return
	}
	if waiting {
		b.waiting = append(b.waiting, h)
		h.place = len(b.waiting)
		return
	}
	last := len(b.waiting) - 1
	moved := b.waiting[last]
	b.waiting[h.place-1], moved.place = moved, h.place
	b.waiting[last] = nil
	b.waiting = b.waiting[:last]
	h.place = 0
}

// SetState records what a holder waits for from now on, and reports whether it may be kept.
func (b *Budget) SetState(now time.Time, h *Holder, state State) bool {
	if h.yielded {
		return false
	}
	h.state, h.progress = state, now
	b.setWaiting(h, state != Kept)
	return true
}

// Progress records that a holder has made progress: a part of some size was received or read.
func (*Budget) Progress(now time.Time, h *Holder) { h.progress = now }

// Remove records that n bytes of a holder are no longer in memory.
func (b *Budget) Remove(h *Holder, n int64) {
	n = min(n, h.bytes)
	h.bytes -= n
	b.used.bytes -= n
	if h.yielded {
		b.yielding.bytes -= n
	}
}

// Close records that a holder is no longer in memory. It may be used anew.
func (b *Budget) Close(h *Holder) {
	b.Remove(h, h.bytes)
	b.used.connections -= h.connections
	if h.yielded {
		b.yielding.connections -= h.connections
	}
	b.setWaiting(h, false)
	*h = Holder{}
}
