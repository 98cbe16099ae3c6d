package storesync

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultWriteRate is the rate of writes that a store takes from all entries together, in writes a
	// second, if it is not known.
	defaultWriteRate = 400
	// rewritePart is the part of that rate that entries use for what they write again. The rest is for
	// operators, targets, and what else entries write.
	rewritePart = 0.6
	// maxRewriteTime limits how long all entries together take.
	maxRewriteTime = 1800 * time.Millisecond
	// writesPerEntry is how many writes an entry makes: for its lease and its registration.
	writesPerEntry = 2
)

// RewriteDelay returns how long an entry waits before it writes again what the store lost. All entries
// learn of that at almost the same time, and a store that they keep busy is slow for its operators.
func RewriteDelay(entry string, entries int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		writesPerSecond = defaultWriteRate
	}
	period := min(maxRewriteTime, time.Duration(float64(writesPerEntry*entries)/(rewritePart*writesPerSecond)*float64(time.Second)))
	const fraction = 1.0 / (1 << 53)
	return time.Duration(float64(xxhash.Sum64String("rewrite/"+entry)>>11) * fraction * float64(period))
}
