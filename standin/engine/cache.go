package engine

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/request"
)

// prefixCache tracks which blocks of prompt prefixes are cached. lru lists them with
// the most recently used first. A block is identified by the digest of all tokens up
// to its end.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockDigests returns the digest of each complete block of the concatenated parts.
func blockDigests(parts ...[]request.TokenID) []uint64 {
	digest := xxhash.New()
	var digests []uint64
	var raw [4]byte
	count := 0
	for _, part := range parts {
		for _, token := range part {
			binary.LittleEndian.PutUint32(raw[:], uint32(token))
			_, _ = digest.Write(raw[:])
			count++
			if count%CacheBlockTokens == 0 {
				digests = append(digests, digest.Sum64())
			}
		}
	}
	return digests
}

// match returns how many leading tokens are cached, and marks their blocks as used.
func (c *prefixCache) match(tokens []request.TokenID) int {
	cached := 0
	for _, digest := range blockDigests(tokens) {
		element, ok := c.blocks[digest]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		cached += CacheBlockTokens
	}
	return cached
}

// insert adds the blocks of the concatenated parts and evicts the least recently used
// ones over capacity. It returns which blocks are new and which were evicted.
func (c *prefixCache) insert(parts ...[]request.TokenID) (stored, removed []uint64) {
	for _, digest := range blockDigests(parts...) {
		if element, ok := c.blocks[digest]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[digest] = c.lru.PushFront(digest)
		stored = append(stored, digest)
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		digest := oldest.Value.(uint64)
		c.lru.Remove(oldest)
		delete(c.blocks, digest)
		removed = append(removed, digest)
	}
	return stored, removed
}
