package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of a block of a prompt whose place in the
	// caches of targets is remembered.
	PrefixBlockBytes = 256
	// maxPrefixBlocks bounds the blocks of one prompt.
	maxPrefixBlocks = 64
	// maxRemembered bounds the blocks remembered of one target.
	maxRemembered = 1024
)

// PrefixDigests returns the digest of each leading block of the concatenated
// parts of a prompt. A digest covers all that stands before its end.
func PrefixDigests(parts ...string) []uint64 {
	digest := xxhash.New()
	var digests []uint64
	room := PrefixBlockBytes
	for _, part := range parts {
		for len(part) > 0 && len(digests) < maxPrefixBlocks {
			n := min(room, len(part))
			_, _ = digest.WriteString(part[:n])
			part = part[n:]
			room -= n
			if room == 0 {
				digests = append(digests, digest.Sum64())
				room = PrefixBlockBytes
			}
		}
	}
	return digests
}

// prefixMemory holds the blocks sent to one target lately. What it does not hold
// may still be cached there, and what it holds may have been dropped.
type prefixMemory struct {
	known map[uint64]int
	ring  [maxRemembered]uint64
	next  int
}

func newPrefixMemory() *prefixMemory { return &prefixMemory{known: map[uint64]int{}} }

// add remembers the blocks of a prompt and forgets the oldest over the bound.
func (m *prefixMemory) add(digests []uint64) {
	for _, digest := range digests {
		if old := m.ring[m.next]; m.known[old] == m.next+1 {
			delete(m.known, old)
		}
		m.ring[m.next] = digest
		m.known[digest] = m.next + 1
		m.next = (m.next + 1) % maxRemembered
	}
}

// match returns how many leading blocks are remembered.
func (m *prefixMemory) match(digests []uint64) int {
	for i, digest := range digests {
		if m.known[digest] == 0 {
			return i
		}
	}
	return len(digests)
}
