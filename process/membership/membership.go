// Package membership is the deciding core that chooses to which targets a process
// keeps links. It does no I/O and reads no clock.
//
// While a service is small, every entry has a link to each of its targets. Over a
// bound, an entry keeps to a subset that depends on nothing but the names, so
// that the links of an entry stay constant as the fleet grows: rendezvous hashing
// within each failure domain, the same number from each. A subset that is short
// of capacity is widened, and narrowed again when the shortage is over.
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
	// widenAfter is how long a shortage lasts before the subset is doubled.
	widenAfter = 2 * time.Second
	// narrowAfter is how long there is none before it is halved.
	narrowAfter = time.Minute
)

// Subset keeps the size of one service's subset at one process.
type Subset struct {
	// self is the name of the process.
	self string
	// base is the least size.
	base int
	size int
	// short says whether there was a shortage at the last look, since is when
	// that last changed or the size did.
	short bool
	since time.Time
}

// NewSubset returns a subset of at least base targets for the process self.
func NewSubset(now time.Time, self string, base int) *Subset {
	return &Subset{self: self, base: base, size: base, since: now}
}

// Choose returns the targets to keep links to, in order of their ids. It is asked
// at a steady period and told whether requests wait for lack of room.
func (s *Subset) Choose(now time.Time, targets []Target, short bool) []request.TargetID {
	s.resize(now, len(targets), short)
	if len(targets) <= s.size {
		return ids(targets)
	}
	return ids(spread(s.self, targets, s.size))
}

func (s *Subset) resize(now time.Time, total int, short bool) {
	if short != s.short {
		s.short = short
		s.since = now
		return
	}
	held := now.Sub(s.since)
	switch {
	case short && held >= widenAfter && s.size < total:
		s.size = min(2*s.size, total)
		s.since = now
	case !short && held >= narrowAfter && s.size > s.base:
		s.size = max(s.size/2, s.base)
		s.since = now
	}
}

// spread chooses size targets by rendezvous hashing, in turn from each failure domain.
func spread(self string, targets []Target, size int) []Target {
	byDomain := map[string][]Target{}
	var domains []string
	for _, target := range targets {
		if byDomain[target.FailureDomain] == nil {
			domains = append(domains, target.FailureDomain)
		}
		byDomain[target.FailureDomain] = append(byDomain[target.FailureDomain], target)
	}
	slices.SortFunc(domains, func(a, b string) int { return compare(self, a, b) })
	for _, list := range byDomain {
		slices.SortFunc(list, func(a, b Target) int { return compare(self, string(a.ID), string(b.ID)) })
	}
	chosen := make([]Target, 0, size)
	for rank := 0; len(chosen) < size; rank++ {
		for _, domain := range domains {
			if list := byDomain[domain]; rank < len(list) && len(chosen) < size {
				chosen = append(chosen, list[rank])
			}
		}
	}
	return chosen
}

// compare orders names by their rendezvous weight for self, the greatest first.
func compare(self, a, b string) int {
	if order := cmp.Compare(weight(self, b), weight(self, a)); order != 0 {
		return order
	}
	return cmp.Compare(a, b)
}

func weight(self, name string) uint64 { return xxhash.Sum64String(self + "\x00" + name) }

func ids(targets []Target) []request.TargetID {
	list := make([]request.TargetID, 0, len(targets))
	for _, target := range targets {
		list = append(list, target.ID)
	}
	slices.Sort(list)
	return list
}
