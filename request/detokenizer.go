package request

import "unicode/utf8"

// Vocabulary maps the tokens of a model to bytes.
type Vocabulary interface {
	// TokenBytes appends the bytes of token to dst. An unknown token appends nothing.
	TokenBytes(dst []byte, token TokenID) []byte
}

// Detokenizer converts tokens to text as they arrive. It buffers the bytes of an
// incomplete UTF-8 sequence, so that Next never splits a character.
type Detokenizer struct {
	vocabulary Vocabulary
	pending    []byte
}

// NewDetokenizer returns a Detokenizer for the given vocabulary.
func NewDetokenizer(vocabulary Vocabulary) *Detokenizer {
	return &Detokenizer{vocabulary: vocabulary}
}

// Next adds tokens and returns the text that is now complete. The result is valid
// until the next call.
func (d *Detokenizer) Next(tokens []TokenID) []byte {
	for _, token := range tokens {
		d.pending = d.vocabulary.TokenBytes(d.pending, token)
	}
	complete := len(d.pending) - incompleteLen(d.pending)
	text := d.pending[:complete:complete]
	d.pending = append([]byte(nil), d.pending[complete:]...)
	return text
}

// Flush returns the buffered bytes, which are an incomplete UTF-8 sequence.
func (d *Detokenizer) Flush() []byte {
	rest := d.pending
	d.pending = nil
	return rest
}

// incompleteLen returns the length of an incomplete UTF-8 sequence at the end of b.
func incompleteLen(b []byte) int {
	for n := 1; n <= min(utf8.UTFMax-1, len(b)); n++ {
		c := b[len(b)-n]
		if !utf8.RuneStart(c) {
			continue
		}
		if utf8.FullRune(b[len(b)-n:]) {
			return 0
		}
		return n
	}
	return 0
}
