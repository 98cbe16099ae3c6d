// Package vocabulary maps the tokens of a model to bytes. The configuration of a model
// service names its vocabulary.
package vocabulary

import "github.com/mulberrylane/mulberrylane/request"

// FirstPieceToken is the first token that stands for a piece of a word. Smaller tokens
// are single bytes.
const FirstPieceToken = 256

// Bytes is the vocabulary of byte-level models, in which every token is one byte.
type Bytes struct{}

// TokenBytes implements request.Vocabulary.
func (Bytes) TokenBytes(dst []byte, token request.TokenID) []byte {
	if token < FirstPieceToken {
		return append(dst, byte(token))
	}
	return dst
}

// Pieces is a vocabulary of single bytes followed by pieces of words.
type Pieces struct{ pieces []string }

// NewPieces returns the vocabulary in which token FirstPieceToken+i is pieces[i].
func NewPieces(pieces []string) Pieces { return Pieces{pieces: pieces} }

// TokenBytes implements request.Vocabulary.
func (p Pieces) TokenBytes(dst []byte, token request.TokenID) []byte {
	if token < FirstPieceToken {
		return append(dst, byte(token))
	}
	if i := int(token) - FirstPieceToken; i < len(p.pieces) {
		return append(dst, p.pieces[i]...)
	}
	return dst
}

// Len returns the number of pieces.
func (p Pieces) Len() int { return len(p.pieces) }

// Syllables is the vocabulary of the models used in trials: short syllables with
// letters of one, two and three bytes.
var Syllables = NewPieces(makeSyllables())

func makeSyllables() []string {
	onsets := []string{"b", "d", "f", "g", "l", "m", "n", "p", "r", "s", "t", "v", "ș", "ț", "λ", "σ"}
	vowels := []string{"a", "e", "i", "o", "u", "ă", "î", "ω"}
	endings := []string{"", " ", "n ", "s "}
	var list []string
	for _, onset := range onsets {
		for _, vowel := range vowels {
			for _, end := range endings {
				list = append(list, onset+vowel+end)
			}
		}
	}
	return list
}

// ByName returns the vocabulary with the given name.
func ByName(name string) (vocabulary request.Vocabulary, ok bool) {
	switch name {
	case "bytes":
		return Bytes{}, true
	case "syllables":
		return Syllables, true
	default:
		return nil, false
	}
}
