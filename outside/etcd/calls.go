package etcd

import "sync/atomic"

// CallCounts counts the calls that an adapter made since its start, by kind. A watch
// counts once, when it is opened.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
	// Failed counts those among them that had no answer.
	Failed int64 `json:"failed"`
}

// Total returns the calls of all kinds.
func (c CallCounts) Total() int64 { return c.Reads + c.Writes + c.Leases + c.Watches }

// counters are the live counts behind Calls.
type counters struct {
	reads, writes, leases, watches, failed atomic.Int64
}

// CallCounts returns the calls so far.
func (s *Store) CallCounts() CallCounts {
	return CallCounts{
		Reads:   s.counters.reads.Load(),
		Writes:  s.counters.writes.Load(),
		Leases:  s.counters.leases.Load(),
		Watches: s.counters.watches.Load(),
		Failed:  s.counters.failed.Load(),
	}
}
