package keepalive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	shortLimits = Limits{HeaderBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	longLimits  = Limits{HeaderBytes: 4000, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second}
)

// at returns the time a number of seconds after the start of a replay.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// idleConnection returns a connection whose first response began and ended at the given seconds.
func idleConnection(began, ended float64, atHead, atEnd Limits) Connection {
	c := NewConnection(at(0), atHead)
	c.Received(at(began), 100, atHead)
	c.HeadRead()
	c.Announce(atHead)
	c.ResponseSent(at(ended), atEnd)
	return c
}

// A caller used a connection for as long as the limit in force or the response allowed, and the
// entry had closed it by another limit.
func TestReplay_IdleConnectionIsKeptAsLongAsItsCallerMayExpect(t *testing.T) {
	for _, test := range []struct {
		name                  string
		atHead, atEnd, later  Limits
		began, ended, expires float64
	}{
		{"the limit never changes", shortLimits, shortLimits, shortLimits, 1, 2, 17},
		{"it grows while the connection is idle", shortLimits, shortLimits, longLimits, 1, 2, 62},
		{"it grows during the response", shortLimits, longLimits, longLimits, 1, 2, 62},
		{"it shrinks while the connection is idle", longLimits, longLimits, shortLimits, 1, 2, 62},
		{"it shrinks during the response", longLimits, shortLimits, shortLimits, 1, 2, 62},
		{"a stream lasts longer than the limit", shortLimits, shortLimits, shortLimits, 1, 90, 105},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := idleConnection(test.began, test.ended, test.atHead, test.atEnd)
			assert.Equal(t, c.Expires(test.later, time.Time{}), at(test.expires))
			// The next response promises what is in force then.
			c.Received(at(test.ended+1), 100, test.later)
			c.HeadRead()
			c.ResponseSent(at(test.ended+2), test.later)
			assert.Equal(t, c.Expires(test.later, time.Time{}), at(test.ended+2).Add(test.later.IdleTimeout))
		})
	}
	without := idleConnection(1, 2, shortLimits, Limits{})
	assert.Assert(t, without.Expires(shortLimits, time.Time{}).IsZero())
}

func TestReplay_CallersAreToldLessThanTheIdleTimeout(t *testing.T) {
	for _, test := range []struct {
		idleTimeout time.Duration
		seconds     int
		reusable    bool
	}{
		{0, 0, true},
		{-time.Second, 0, true},
		{1200 * time.Millisecond, 0, false},
		{1250 * time.Millisecond, 1, true},
		{15 * time.Second, 12, true},
		{16 * time.Second, 12, true},
		{2 * time.Minute, 96, true},
	} {
		c := NewConnection(at(0), Limits{})
		seconds, reusable := c.Announce(Limits{IdleTimeout: test.idleTimeout})
		assert.Equal(t, seconds, test.seconds, "%s", test.idleTimeout)
		assert.Equal(t, reusable, test.reusable, "%s", test.idleTimeout)
	}
}

// A caller that opened a connection ahead had the time for the head of a request counted from
// the accept.
func TestReplay_HeaderTimeoutCountsFromFirstByte(t *testing.T) {
	c := NewConnection(at(0), shortLimits)
	assert.Equal(t, c.Expires(shortLimits, time.Time{}), at(15))
	assert.Equal(t, c.Expires(longLimits, time.Time{}), at(60))
	c.Received(at(10), 1, shortLimits)
	c.Received(at(12), 1, shortLimits)
	assert.Equal(t, c.Phase(), ReadingHead)
	assert.Equal(t, c.Expires(shortLimits, time.Time{}), at(13))
	assert.Equal(t, c.Expires(longLimits, time.Time{}), at(15))
	c.HeadRead()
	assert.Assert(t, c.Expires(shortLimits, at(20)).IsZero())
}

func TestReplay_HeaderBytesInForceApplyToOpenConnections(t *testing.T) {
	left := func(c Connection, limits Limits) int {
		n, limited := c.HeadBytesLeft(limits)
		assert.Assert(t, limited)
		return n
	}
	c := idleConnection(1, 2, shortLimits, shortLimits)
	assert.Equal(t, left(c, longLimits), 4000)
	c.Received(at(3), 900, shortLimits)
	assert.Equal(t, left(c, shortLimits), 100)
	assert.Equal(t, left(c, longLimits), 3100)
	c = idleConnection(1, 2, longLimits, longLimits)
	assert.Equal(t, left(c, shortLimits), 1000)
	c.Received(at(3), 900, longLimits)
	c.Received(at(3), 900, shortLimits)
	assert.Equal(t, left(c, shortLimits), 2200)
	c.HeadRead()
	_, limited := c.HeadBytesLeft(shortLimits)
	assert.Assert(t, !limited)
}

func TestReplay_StopEndsIdleConnectionsAtOnceAndOthersSoon(t *testing.T) {
	idle := idleConnection(1, 2, shortLimits, shortLimits)
	assert.Equal(t, idle.Expires(shortLimits, at(5)), at(5))
	unused := NewConnection(at(0), shortLimits)
	assert.Equal(t, unused.Expires(shortLimits, at(5)), at(8))
	late := NewConnection(at(6), shortLimits)
	assert.Equal(t, late.Expires(shortLimits, at(5)), at(9))
	reading := NewConnection(at(0), shortLimits)
	reading.Received(at(4), 1, shortLimits)
	assert.Equal(t, reading.Expires(shortLimits, at(5)), at(7))
}

// A caller sends its next request before it has the whole response.
func TestReplay_RequestThatBeganDuringTheResponseIsBeingRead(t *testing.T) {
	c := NewConnection(at(0), shortLimits)
	c.Received(at(1), 100, shortLimits)
	c.HeadRead()
	c.ReceivedAhead()
	c.ResponseSent(at(4), shortLimits)
	assert.Equal(t, c.Phase(), ReadingHead)
	assert.Equal(t, c.Expires(shortLimits, at(3)), at(7))
	c.HeadRead()
	c.ResponseSent(at(8), shortLimits)
	assert.Equal(t, c.Phase(), Idle)
}
