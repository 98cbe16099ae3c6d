package etcd

import "sync/atomic"

// CallCounts holds the numbers of calls that an adapter has made since it was created,
// by kind. A watch is counted once, when it is opened.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
	// Failed counts the reads, writes and lease calls that failed.
	Failed int64 `json:"failed"`
}

// Total returns the number of calls of all kinds.
func (c CallCounts) Total() int64 { return c.Reads + c.Writes + c.Leases + c.Watches }

// counters holds the counters behind CallCounts.
type counters struct {
	reads, writes, leases, watches, failed atomic.Int64
}

// CallCounts returns the numbers of calls so far.
func (s *Store) CallCounts() CallCounts {
	return CallCounts{
		Reads:   s.counters.reads.Load(),
		Writes:  s.counters.writes.Load(),
		Leases:  s.counters.leases.Load(),
		Watches: s.counters.watches.Load(),
		Failed:  s.counters.failed.Load(),
	}
}
