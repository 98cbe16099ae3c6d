// Package timeline records what happens in a process as typed events and merges
// the events of all processes into one causal order.
package timeline

import "time"

// Timestamp is an instant of a hybrid logical clock: Unix milliseconds in the upper
// 48 bits and a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// Time returns the physical part of s.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

func physical(now time.Time) Timestamp { return Timestamp(now.UnixMilli()) << counterBits }

// Clock is a hybrid logical clock.
//
// Invariant: the stamps it returns only grow, and a stamp returned after Observe
// is greater than the observed one. So an event that was caused by a message
// sorts after the sending of that message, whatever the hosts' clocks say.
type Clock struct{ latest Timestamp }

// Next returns the stamp of an event at now.
func (c *Clock) Next(now time.Time) Timestamp {
	c.latest = max(c.latest+1, physical(now))
	return c.latest
}

// Observe takes note of the stamp of a received message.
func (c *Clock) Observe(remote Timestamp) { c.latest = max(c.latest, remote) }
