package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VersionFilter restricts the targets of an attempt by their version. The zero value allows all.
type VersionFilter struct {
	// Versions lists the versions that are allowed or, if Except is set, those that are not.
	// "" is the version of targets whose version is unknown.
	Versions []string
	Except   bool
	// Fraction limits how many of the targets of the allowed versions may be used: that fraction
	// of them, rounded up, the same ones in all entries that know the same registrations. Zero
	// means all.
	//
	// It is designed for a new version that gets a small part of the traffic: spread over all
	// of its targets, each would have less load than it will have later, and faults that show
	// under load would stay hidden.
	Fraction float64
	// Rotation, from 0 on, moves the part on: successive values use all targets in turns.
	Rotation int64
}

// IsZero reports whether the filter allows all targets.
func (f *VersionFilter) IsZero() bool { return len(f.Versions) == 0 && !f.Except && f.Fraction <= 0 }

// allows reports whether targets of a version may be used.
func (f *VersionFilter) allows(version string) bool {
	return len(f.Versions) == 0 && !f.Except || slices.Contains(f.Versions, version) != f.Except
}

// Versions returns the versions of the registered targets of a service, in order. "" stands for
// those whose version is unknown.
func (t *Table) Versions(service string) []string {
	var versions []string
	for _, target := range t.services[service] {
		if !slices.Contains(versions, target.Version) {
			versions = append(versions, target.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// allowed returns the targets of a service that a filter allows. The caller must not change the
// list.
func (t *Table) allowed(service string, filter *VersionFilter) []*Target {
	all := t.services[service]
	if filter.IsZero() {
		return all
	}
	targets := make([]*Target, 0, len(all))
	for _, target := range all {
		if filter.allows(target.Version) {
			targets = append(targets, target)
		}
	}
	if filter.Fraction > 0 && filter.Fraction < 1 {
		return limitTargets(targets, filter.Fraction, filter.Rotation)
	}
	return targets
}

// roundingError is subtracted before rounding up, so that a tenth of 30 targets is 3 of them.
const roundingError = 1e-9

// limitTargets limits targets to a fraction of them, by the rank of their addresses, which
// outlast restarts. Those that take no new work by their registrations, or that were replaced,
// are not counted and are kept.
func limitTargets(targets []*Target, fraction float64, rotation int64) []*Target {
	counts := func(target *Target) bool { return !target.Draining && !target.replaced }
	rank := func(target *Target) uint64 { return xxhash.Sum64String(target.Address) }
	ranks := make([]uint64, 0, len(targets))
	for _, target := range targets {
		if counts(target) {
			ranks = append(ranks, rank(target))
		}
	}
	if len(ranks) == 0 {
		return targets
	}
	slices.Sort(ranks)
	size := max(1, int(math.Ceil(fraction*float64(len(ranks))-roundingError)))
	first := int(max(0, rotation) % int64(len(ranks)) * int64(size) % int64(len(ranks)))
	return slices.DeleteFunc(targets, func(target *Target) bool {
		at, _ := slices.BinarySearch(ranks, rank(target))
		return counts(target) && (at-first+len(ranks))%len(ranks) >= size
	})
}

// mayShareState reports whether a KV copy of one target may be used by the other: their versions
// do not differ, or one of them is unknown.
func mayShareState(a, b *Target) bool {
	return a.Version == b.Version || a.Version == "" || b.Version == ""
}
