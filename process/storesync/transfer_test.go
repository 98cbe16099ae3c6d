package storesync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readBy replays a response of the given size that begins after a latency over a link, and reports whether
// it is read, and when it ended.
func readBy(size int, latency time.Duration, bytesPerSecond float64, toBegin time.Duration) (bool, time.Duration) {
	const chunk = 16 << 10
	at := latency
	for arrived := 0; arrived < size; {
		if at > TransferTime(toBegin, arrived) {
			return false, TransferTime(toBegin, arrived)
		}
		n := min(chunk, size-arrived)
		at += time.Duration(float64(n) / bytesPerSecond * float64(time.Second))
		arrived += n
	}
	return true, at
}

// A configuration of 1,400 routes and later of 2,800 was given up at each try over a link of 10 megabits a
// second, and never read.
func TestTransferTime_LargeResponsesAreReadAtTheRateOfTheLink(t *testing.T) {
	const megabit = 1e6 / 8
	for _, c := range []struct {
		size    int
		mbps    float64
		toBegin time.Duration
		read    bool
	}{
		{756_539, 10, 250 * time.Millisecond, true},
		{3 * 756_539, 10, 250 * time.Millisecond, true},
		{1_400_000, 10, 600 * time.Millisecond, true},
		{1_400_000, 2.2, 600 * time.Millisecond, true},
		// Where it ends: less than two megabits a second for this response.
		{1_400_000, 1, 600 * time.Millisecond, false},
	} {
		read, at := readBy(c.size, 90*time.Millisecond, c.mbps*megabit, c.toBegin)
		assert.Equal(t, read, c.read, "%d bytes at %v megabits a second, %s", c.size, c.mbps, at)
	}
}

func TestTransferTime_ResponsesThatDoNotBeginOrStallAreGivenUp(t *testing.T) {
	read, at := readBy(100, 700*time.Millisecond, 1e6, 600*time.Millisecond)
	assert.Assert(t, !read && at == 600*time.Millisecond)
	// A byte from time to time is no progress.
	read, at = readBy(1<<20, 0, 1000, 600*time.Millisecond)
	assert.Assert(t, !read && at < time.Second, "given up after %s", at)
}
