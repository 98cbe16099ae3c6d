// Package oracle defines the tokens that stand-in engines generate, so that a
// lost, repeated, foreign or mixed token can be detected from a response alone.
//
// The next token is a function of the salt of the run, the model and every token
// before it, prompt included. No engine state is involved, so any engine continues any
// prefix correctly.
package oracle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
)

// Sequence computes the tokens of one sequence.
type Sequence struct {
	state uint64
	// leadByte is the lead byte of an unfinished UTF-8 sequence, or zero.
	leadByte byte
}

// NewSequence returns the empty sequence of a model with the given salt.
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
		s.leadByte = unfinishedLeadByte(token)
	}
}

// Next returns the next token without appending it.
func (s *Sequence) Next() request.TokenID {
	bits := s.state >> 16
	if s.leadByte != 0 {
		return request.TokenID(0x80 + bits%0x30)
	}
	if bits%8 == 0 {
		return greekLeadByte
	}
	return request.TokenID(vocabulary.FirstPieceToken + (bits>>8)%uint64(vocabulary.Syllables.Len()))
}

// greekLeadByte is the UTF-8 lead byte of two-byte letters in the Greek block.
const greekLeadByte = 0xCE

func unfinishedLeadByte(token request.TokenID) byte {
	if token == greekLeadByte {
		return greekLeadByte
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
