// Package oracle defines the tokens that stand-in engines generate, so that a
// lost, repeated, foreign or mixed token can be told from an answer alone.
//
// The next token is a function of the salt of the run, the model and every token
// before it, prompt included. No engine state is involved, so any engine goes on
// rightly from any prefix.
package oracle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
)

// Sequence walks the tokens of one sequence.
type Sequence struct {
	state uint64
	// tail is the lead byte of an unfinished UTF-8 sequence, or zero.
	tail byte
}

// NewSequence returns the sequence of a model under salt, before any token.
func NewSequence(salt, model string) *Sequence {
	return &Sequence{state: xxhash.Sum64String(salt + "\x00" + model)}
}

// Append adds tokens to the sequence.
func (s *Sequence) Append(tokens ...request.TokenID) {
	for _, token := range tokens {
		var raw [12]byte
		binary.LittleEndian.PutUint64(raw[:8], s.state)
		binary.LittleEndian.PutUint32(raw[8:], uint32(token))
		s.state = xxhash.Sum64(raw[:])
		s.tail = tailOf(token)
	}
}

// Next returns the token that follows, without adding it.
func (s *Sequence) Next() request.TokenID {
	pick := s.state >> 16
	if s.tail != 0 {
		return request.TokenID(0x80 + pick%0x30)
	}
	if pick%8 == 0 {
		return greekLead
	}
	return request.TokenID(vocabulary.FirstPieceToken + (pick>>8)%uint64(vocabulary.Syllables.Len()))
}

// greekLead begins two-byte letters of the Greek block.
const greekLead = 0xCE

func tailOf(token request.TokenID) byte {
	if token == greekLead {
		return greekLead
	}
	return 0
}

// Generate returns the n tokens that follow prompt.
func Generate(salt, model string, prompt []request.TokenID, n int) []request.TokenID {
	sequence := NewSequence(salt, model)
	sequence.Append(prompt...)
	tokens := make([]request.TokenID, 0, n)
	for range n {
		token := sequence.Next()
		sequence.Append(token)
		tokens = append(tokens, token)
	}
	return tokens
}
