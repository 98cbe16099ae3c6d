// Package keepalive decides how long the connections of callers are kept open, and what
// callers are told of it. It does no I/O and has no clock.
package keepalive

import "time"

// announcedFraction is the part of the idle timeout that callers may use: a request that is
// sent just before the connection is closed would be lost.
const announcedFraction = 0.8

// Limits bound what callers may send on a connection, and for how long they may send nothing.
// A limit of 0 does not bound.
type Limits struct {
	// HeaderBytes is the size of the head of a request.
	HeaderBytes int
	// HeaderTimeout is the time from the first byte of the head of a request to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request.
	IdleTimeout time.Duration
}

// orLooser returns the looser of each limit.
func (l Limits) orLooser(other Limits) Limits {
	return Limits{
		HeaderBytes:   looser(l.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: looser(l.HeaderTimeout, other.HeaderTimeout),
		IdleTimeout:   looser(l.IdleTimeout, other.IdleTimeout),
	}
}

func looser[T int | time.Duration](a, b T) T {
	if a <= 0 || b <= 0 {
		return 0
	}
	return max(a, b)
}

// Phase is what a connection is used for.
type Phase int

// Phases of a connection.
const (
	// Unused connections have not carried a byte yet.
	Unused Phase = iota
	// ReadingHead is the phase from the first byte of a request to the end of its head.
	ReadingHead
	// InUse is the phase from there to the end of the response.
	InUse
	// Idle connections have carried requests and wait for the next one.
	Idle
)

// Connection is the state of one connection of a caller. All limits that are passed to its
// methods are those in force at that time.
type Connection struct {
	phase Phase
	// since is when the phase began.
	since time.Time
	// granted holds the limits in force then: those of a later time only ever loosen them for
	// what has begun.
	granted Limits
	// announced is the idle timeout in force when the response in progress began, if its
	// caller was told.
	announced time.Duration
	// begunAhead is set when the next request began during the response in progress.
	begunAhead bool
	headBytes  int
	requests   int
}

// NewConnection returns the state of a connection that was just accepted.
func NewConnection(now time.Time, limits Limits) Connection {
	return Connection{since: now, granted: limits}
}

// Phase returns what the connection is used for.
func (c *Connection) Phase() Phase { return c.phase }

// Since returns when the phase began.
func (c *Connection) Since() time.Time { return c.since }

// Requests counts the requests that were responded to.
func (c *Connection) Requests() int { return c.requests }

// Received records that count bytes were received.
func (c *Connection) Received(now time.Time, count int, limits Limits) {
	switch c.phase {
	case Unused, Idle:
		c.phase, c.since, c.granted, c.headBytes = ReadingHead, now, limits, count
	case ReadingHead:
		c.headBytes += count
	}
}

// ReceivedAhead records that the first byte of the next request was received before the end of
// the response in progress.
func (c *Connection) ReceivedAhead() { c.begunAhead = true }

// HeadRead records that the head of a request has been read.
func (c *Connection) HeadRead() { c.phase = InUse }

// Announce returns the number of whole seconds after the end of the response in progress for
// which its caller may use the connection again, 0 if it is told nothing. reusable is false if
// the idle timeout is too short to be told in seconds: the connection is closed then, since a
// request that its caller sent would cross the close.
func (c *Connection) Announce(limits Limits) (seconds int, reusable bool) {
	if limits.IdleTimeout <= 0 {
		return 0, true
	}
	seconds = int(announcedFraction * limits.IdleTimeout.Seconds())
	if seconds == 0 {
		return 0, false
	}
	c.announced = limits.IdleTimeout
	return seconds, true
}

// ResponseSent records that a response has been sent completely.
func (c *Connection) ResponseSent(now time.Time, limits Limits) {
	c.phase, c.since, c.granted = Idle, now, limits
	if c.announced > 0 {
		c.granted.IdleTimeout = looser(limits.IdleTimeout, c.announced)
	}
	c.announced = 0
	c.requests++
	if c.begunAhead {
		c.phase, c.headBytes, c.begunAhead = ReadingHead, 1, false
	}
}

// IdleTimeout returns how long the connection may be idle.
func (c *Connection) IdleTimeout(limits Limits) time.Duration {
	return c.granted.orLooser(limits).IdleTimeout
}

// Expires returns when the connection may be closed in its present phase if nothing is
// received; the zero time for never. drainingSince is when the server began to stop, or the zero
// time.
func (c *Connection) Expires(limits Limits, drainingSince time.Time) time.Time {
	current := c.granted.orLooser(limits)
	draining := !drainingSince.IsZero()
	since, timeout := c.since, current.IdleTimeout
	switch {
	case c.phase == InUse:
		return time.Time{}
	case c.phase == ReadingHead:
		timeout = current.HeaderTimeout
	case draining && c.phase == Idle:
		return drainingSince
	case draining:
		// A caller that has just connected sends its first request soon.
		timeout = current.HeaderTimeout
		if drainingSince.After(since) {
			since = drainingSince
		}
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return since.Add(timeout)
}

// HeadBytesLeft returns how many more bytes may be received before the end of the head of the
// request; false if the number is not limited.
func (c *Connection) HeadBytesLeft(limits Limits) (int, bool) {
	if c.phase == InUse {
		return 0, false
	}
	granted, received := limits, 0
	if c.phase == ReadingHead {
		granted, received = c.granted.orLooser(limits), c.headBytes
	}
	if granted.HeaderBytes <= 0 {
		return 0, false
	}
	return granted.HeaderBytes - received, true
}
