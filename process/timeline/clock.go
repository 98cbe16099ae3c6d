// Package timeline records typed events of a process and merges the events of several
// processes in causal order.
package timeline

import "time"

// Timestamp is a reading of a hybrid logical clock: Unix milliseconds in the upper
// 48 bits and a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// Time returns the physical part of t.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

func physicalTimestamp(now time.Time) Timestamp { return Timestamp(now.UnixMilli()) << counterBits }

// Clock is a hybrid logical clock.
//
// Invariant: returned timestamps strictly increase, and a timestamp returned after Observe
// is greater than the observed one. An event that was caused by a message therefore sorts
// after the sending of that message, even if the clocks of the hosts differ.
type Clock struct{ latest Timestamp }

// Next returns the timestamp of an event at the physical time now.
func (c *Clock) Next(now time.Time) Timestamp {
	c.latest = max(c.latest+1, physicalTimestamp(now))
	return c.latest
}

// Observe advances the clock to the timestamp of a received message.
func (c *Clock) Observe(remote Timestamp) { c.latest = max(c.latest, remote) }
