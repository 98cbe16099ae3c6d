package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownersPerEngine is how many entries own an engine. Each entry then owns enough engines
	// to find an idle one nearly always, and few other entries have to be told at once of a
	// prompt that it places.
	ownersPerEngine = 8
	// maxSharedEntries is the number of entries up to which all share all engines: they can
	// tell each other of every prompt.
	maxSharedEntries = 128
	// outsideSubsetCostTokens is the cost, in prompt tokens, of an engine that the entry does
	// not own: half of what a decoding attempt costs, so that idle engines of its own come
	// first and busy ones last.
	outsideSubsetCostTokens = decodingCostTokens / 2
)

// subsets assigns each engine to a few entries, its owners, by rendezvous hashing. Entries
// prefer the engines that they own.
//
// It is designed for fleets in which an entry cannot learn of each prompt that the others
// place before it places its own: without owners, all entries would choose the engines that
// were idle in their last updates.
type subsets struct {
	self string
	// entries lists all entries, ordered by name.
	entries []string
	// owners caches the owners of engines by their address, which outlasts restarts.
	owners map[string][]string
}

// setEntries sets the entries that share the engines.
func (s *subsets) setEntries(self string, entries []string) {
	sorted := slices.Sorted(slices.Values(entries))
	if self == s.self && slices.Equal(sorted, s.entries) {
		return
	}
	s.self, s.entries, s.owners = self, sorted, map[string][]string{}
}

// ownersOf returns the owners of the engine at an address: all entries if there are few.
func (s *subsets) ownersOf(address string) []string {
	if len(s.entries) <= maxSharedEntries {
		return s.entries
	}
	if owners, ok := s.owners[address]; ok {
		return owners
	}
	type ranked struct {
		entry string
		rank  uint64
	}
	ranks := make([]ranked, len(s.entries))
	for i, entry := range s.entries {
		ranks[i] = ranked{entry: entry, rank: xxhash.Sum64String(entry + "/" + address)}
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	owners := make([]string, ownersPerEngine)
	for i := range owners {
		owners[i] = ranks[i].entry
	}
	s.owners[address] = owners
	return owners
}

// owns reports whether self owns the engine at an address. An entry that knows of no others
// owns all.
func (s *subsets) owns(address string) bool {
	return len(s.entries) <= maxSharedEntries || slices.Contains(s.ownersOf(address), s.self)
}

// SetEntries sets this entry and all entries that share the engines, this one included.
func (t *Table) SetEntries(self string, entries []string) { t.subsets.setEntries(self, entries) }

// Owners returns the entries that prefer an engine.
func (t *Table) Owners(target *Target) []string { return t.subsets.ownersOf(target.Address) }
