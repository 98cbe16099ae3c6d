package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/mulberrylane/mulberrylane/request"
)

// eventEncoder writes the events between the first and the last of one answer,
// which differ in text and tokens only, without reflection. What it writes reads
// as the same reply that encoding/json writes.
type eventEncoder struct {
	// before and after surround the text.
	before, after []byte
	withTokens    bool
	buffer        []byte
}

func newEventEncoder(head reply, chat, withTokens bool) *eventEncoder {
	e := &eventEncoder{withTokens: withTokens}
	e.before = append(e.before, `data: {"id":`...)
	e.before = appendText(e.before, head.ID)
	e.before = append(e.before, `,"object":`...)
	e.before = appendText(e.before, head.Object)
	e.before = append(e.before, `,"created":`...)
	e.before = strconv.AppendInt(e.before, head.Created, 10)
	e.before = append(e.before, `,"model":`...)
	e.before = appendText(e.before, head.Model)
	e.before = append(e.before, `,"choices":[{"index":0,`...)
	if chat {
		e.before = append(e.before, `"delta":{"content":`...)
		e.after = []byte(`},"finish_reason":null`)
		return e
	}
	e.before = append(e.before, `"text":`...)
	e.after = []byte(`,"finish_reason":null`)
	return e
}

// encode returns one event, which is valid until the next call.
func (e *eventEncoder) encode(id eventID, text []byte, tokens []request.TokenID) []byte {
	b := append(e.buffer[:0], "id: "...)
	b = id.append(b)
	b = append(b, '\n')
	b = append(b, e.before...)
	b = appendText(b, text)
	b = append(b, e.after...)
	if e.withTokens {
		b = appendTokens(b, tokens)
	}
	b = append(b, "}]}\n\n"...)
	e.buffer = b
	return b
}

func appendTokens(dst []byte, tokens []request.TokenID) []byte {
	dst = append(dst, `,"token_ids":[`...)
	for i, token := range tokens {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = strconv.AppendUint(dst, uint64(token), 10)
	}
	return append(dst, ']')
}

// appendText appends text as a JSON string.
func appendText[T string | []byte](dst []byte, text T) []byte {
	if !plain(text) {
		quoted, err := json.Marshal(string(text))
		if err != nil {
			return append(dst, `""`...)
		}
		return append(dst, quoted...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// plain says that text stands for itself in a JSON string.
func plain[T string | []byte](text T) bool {
	ascii := true
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.ValidString(string(text))
}
