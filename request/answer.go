package request

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what became of tokens that an attempt offered.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that at least one token was new and was appended.
	Accepted Verdict = iota
	// Duplicate means that every token was already in the answer.
	Duplicate
	// Gap means that tokens between the answer and the offer are missing.
	Gap
	// Mismatch means that a token differs from the one accepted at its position.
	Mismatch
)

// Output holds the tokens of one answer.
//
// Invariant: tokens are only ever appended, each at the next position, so a
// token that was delivered once is never delivered again nor replaced.
type Output struct {
	tokens []TokenID
	digest xxhash.Digest
}

// NewOutput returns an empty answer with room for capacity tokens.
func NewOutput(capacity int) *Output {
	a := &Output{tokens: make([]TokenID, 0, capacity)}
	a.digest.Reset()
	return a
}

// Len returns the number of accepted tokens, which is the next position.
func (a *Output) Len() int { return len(a.tokens) }

// Tokens returns the accepted tokens. The caller must not change them.
func (a *Output) Tokens() []TokenID { return a.tokens }

// Append appends those of tokens that lie at or after the next position. The
// first of tokens stands at position. Tokens that the answer already has are
// compared with it. Nothing is appended unless the verdict is Accepted.
func (a *Output) Append(position int, tokens []TokenID) (fresh []TokenID, verdict Verdict) {
	next := len(a.tokens)
	if position > next {
		return nil, Gap
	}
	known := min(next-position, len(tokens))
	for i := range known {
		if a.tokens[position+i] != tokens[i] {
			return nil, Mismatch
		}
	}
	fresh = tokens[known:]
	if len(fresh) == 0 {
		return nil, Duplicate
	}
	for _, token := range fresh {
		a.append(token)
	}
	return fresh, Accepted
}

func (a *Output) append(token TokenID) {
	var raw [4]byte
	binary.LittleEndian.PutUint32(raw[:], uint32(token))
	_, _ = a.digest.Write(raw[:])
	a.tokens = append(a.tokens, token)
}

// Hash identifies the accepted tokens.
func (a *Output) Hash() uint64 { return a.digest.Sum64() }

// Digest is Sum in hexadecimal.
func (a *Output) Digest() string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], a.Hash())
	return hexDigest(sum)
}

// HashTokens returns what Sum of an answer with the given tokens is.
func HashTokens(tokens []TokenID) uint64 {
	answer := NewOutput(0)
	answer.Append(0, tokens)
	return answer.Hash()
}
