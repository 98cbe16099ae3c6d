package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of the prompt blocks whose presence in the caches of
	// targets is tracked.
	PrefixBlockBytes = 256
	// maxPrefixBlocks bounds the tracked blocks of one prompt.
	maxPrefixBlocks = 64
	// maxHistoryBlocks bounds the tracked blocks of one target.
	maxHistoryBlocks = 1024
)

// PrefixDigests returns the digest of each leading block of the concatenated parts of a
// prompt. Each digest covers the whole prompt up to the end of its block.
func PrefixDigests(parts ...string) []uint64 {
	digest := xxhash.New()
	var digests []uint64
	blockLeft := PrefixBlockBytes
	for _, part := range parts {
		for len(part) > 0 && len(digests) < maxPrefixBlocks {
			n := min(blockLeft, len(part))
			_, _ = digest.WriteString(part[:n])
			part = part[n:]
			blockLeft -= n
			if blockLeft == 0 {
				digests = append(digests, digest.Sum64())
				blockLeft = PrefixBlockBytes
			}
		}
	}
	return digests
}

// prefixHistory holds the blocks most recently sent to one target. Blocks that it does not
// hold may still be cached there, and blocks that it holds may have been evicted.
type prefixHistory struct {
	positions map[uint64]int
	ring      [maxHistoryBlocks]uint64
	next      int
}

func newPrefixHistory() *prefixHistory { return &prefixHistory{positions: map[uint64]int{}} }

// add adds the blocks of a prompt and drops the oldest blocks over the bound.
func (h *prefixHistory) add(digests []uint64) {
	for _, digest := range digests {
		if old := h.ring[h.next]; h.positions[old] == h.next+1 {
			delete(h.positions, old)
		}
		h.ring[h.next] = digest
		h.positions[digest] = h.next + 1
		h.next = (h.next + 1) % maxHistoryBlocks
	}
}

// match returns how many leading blocks the history holds.
func (h *prefixHistory) match(digests []uint64) int {
	for i, digest := range digests {
		if h.positions[digest] == 0 {
			return i
		}
	}
	return len(digests)
}
