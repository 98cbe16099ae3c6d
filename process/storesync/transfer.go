package storesync

import "time"

// minTransferRate is the rate, in bytes a second, below which a response counts as stalled: a fifth of a
// link of 10 megabits a second, which carries the requests of callers too. A response of the largest
// value that a store takes, a megabyte, ends within some seconds at this rate.
const minTransferRate = 256 << 10

// TransferTime returns how long an exchange may have taken once the given number of bytes of its
// response has arrived. It may take toBegin until the response begins, and after that as long as the
// response does not fall behind the least rate.
//
// A fixed time for all responses makes those that are too long for it fail each time, with what
// has arrived thrown away and a link that is loaded with the same bytes again, while the store is
// available all along.
func TransferTime(toBegin time.Duration, bytes int) time.Duration {
	return toBegin + time.Duration(float64(bytes)/minTransferRate*float64(time.Second))
}
