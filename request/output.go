package request

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// AppendResult is the result of appending the tokens of an attempt to an Output.
type AppendResult uint8

// The results of Output.Append.
const (
	// Accepted means that at least one token was new and was appended.
	Accepted AppendResult = iota
	// Duplicate means that every token was already in the output.
	Duplicate
	// Gap means that tokens are missing between the end of the output and the position
	// of the first appended token.
	Gap
	// Mismatch means that a token differs from the accepted token at its position, or has a
	// position before the first.
	Mismatch
)

// Output holds the tokens generated so far for one request.
//
// Invariant: tokens are only ever appended, each at the next position, so a
// delivered token is never delivered again or replaced.
type Output struct {
	tokens []TokenID
	digest xxhash.Digest
}

// NewOutput returns an empty output with capacity for the given number of tokens.
func NewOutput(capacity int) *Output {
	o := &Output{tokens: make([]TokenID, 0, capacity)}
	o.digest.Reset()
	return o
}

// Len returns the number of accepted tokens, which is the next position.
func (o *Output) Len() int { return len(o.tokens) }

// Tokens returns the accepted tokens. The caller must not change them.
func (o *Output) Tokens() []TokenID { return o.tokens }

// Append adds tokens to the output; position is the position of tokens[0]. Tokens
// before the next position are compared with the accepted ones, and the rest are
// appended and returned as fresh. Nothing is appended unless the result is Accepted.
func (o *Output) Append(position int, tokens []TokenID) (fresh []TokenID, result AppendResult) {
	next := len(o.tokens)
	if position < 0 {
		return nil, Mismatch
	}
	if position > next {
		return nil, Gap
	}
	overlap := min(next-position, len(tokens))
	for i := range overlap {
		if o.tokens[position+i] != tokens[i] {
			return nil, Mismatch
		}
	}
	fresh = tokens[overlap:]
	if len(fresh) == 0 {
		return nil, Duplicate
	}
	for _, token := range fresh {
		o.append(token)
	}
	return fresh, Accepted
}

func (o *Output) append(token TokenID) {
	var raw [4]byte
	binary.LittleEndian.PutUint32(raw[:], uint32(token))
	_, _ = o.digest.Write(raw[:])
	o.tokens = append(o.tokens, token)
}

// Hash returns the xxHash of the accepted tokens.
func (o *Output) Hash() uint64 { return o.digest.Sum64() }

// Digest returns Hash in hexadecimal.
func (o *Output) Digest() string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], o.Hash())
	return hexDigest(sum)
}

// HashTokens returns the Hash of an Output that holds the given tokens.
func HashTokens(tokens []TokenID) uint64 {
	output := NewOutput(0)
	output.Append(0, tokens)
	return output.Hash()
}
