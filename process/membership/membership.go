// Package membership chooses the targets to which a process keeps links. It does no I/O and
// reads no clock.
//
// While a service is small, every entry has a link to each of its targets. Above a bound,
// an entry uses a subset that depends only on the names, so that the number of links of an
// entry stays constant as the fleet grows: rendezvous hashing within each failure domain,
// with the same number of targets from each. A subset that is short of capacity is widened,
// and narrowed again when the shortage is over.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

// Target is one target of a service, as the host list shows it.
type Target struct {
	ID            request.TargetID
	FailureDomain string
}

const (
	// widenDelay is how long a shortage lasts before the subset is doubled.
	widenDelay = 2 * time.Second
	// narrowDelay is how long there is no shortage before the subset is halved.
	narrowDelay = time.Minute
)

// Subset holds the size of the subset of one service at one process.
type Subset struct {
	// self is the name of the process.
	self string
	// minSize is the size without a shortage.
	minSize int
	size    int
	// shortage reports whether there was a shortage at the last call of Choose. since is
	// when shortage or size last changed.
	shortage bool
	since    time.Time
}

// NewSubset returns a subset of at least minSize targets for the process named self.
func NewSubset(now time.Time, self string, minSize int) *Subset {
	return &Subset{self: self, minSize: minSize, size: minSize, since: now}
}

// Choose returns the targets to keep links to, ordered by ID. It is to be called at a fixed
// interval; shortage reports whether requests are waiting for lack of capacity.
func (s *Subset) Choose(now time.Time, targets []Target, shortage bool) []request.TargetID {
	s.resize(now, len(targets), shortage)
	if len(targets) <= s.size {
		return sortedIDs(targets)
	}
	return sortedIDs(selectAcrossDomains(s.self, targets, s.size))
}

func (s *Subset) resize(now time.Time, total int, shortage bool) {
	if shortage != s.shortage {
		s.shortage = shortage
		s.since = now
		return
	}
	elapsed := now.Sub(s.since)
	switch {
	case shortage && elapsed >= widenDelay && s.size < total:
		s.size = min(2*s.size, total)
		s.since = now
	case !shortage && elapsed >= narrowDelay && s.size > s.minSize:
		s.size = max(s.size/2, s.minSize)
		s.since = now
	}
}

// selectAcrossDomains selects size targets by rendezvous hashing, taking one from each
// failure domain in turn.
func selectAcrossDomains(self string, targets []Target, size int) []Target {
	byDomain := map[string][]Target{}
	var domains []string
	for _, target := range targets {
		if byDomain[target.FailureDomain] == nil {
			domains = append(domains, target.FailureDomain)
		}
		byDomain[target.FailureDomain] = append(byDomain[target.FailureDomain], target)
	}
	slices.SortFunc(domains, func(a, b string) int { return compareByWeight(self, a, b) })
	for _, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b Target) int { return compareByWeight(self, string(a.ID), string(b.ID)) })
	}
	chosen := make([]Target, 0, size)
	for rank := 0; len(chosen) < size; rank++ {
		for _, domain := range domains {
			if candidates := byDomain[domain]; rank < len(candidates) && len(chosen) < size {
				chosen = append(chosen, candidates[rank])
			}
		}
	}
	return chosen
}

// compareByWeight orders names by their rendezvous weight for self, highest first.
func compareByWeight(self, a, b string) int {
	if c := cmp.Compare(weight(self, b), weight(self, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func weight(self, name string) uint64 { return xxhash.Sum64String(self + "\x00" + name) }

func sortedIDs(targets []Target) []request.TargetID {
	ids := make([]request.TargetID, 0, len(targets))
	for _, target := range targets {
		ids = append(ids, target.ID)
	}
	slices.Sort(ids)
	return ids
}
