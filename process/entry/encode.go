package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/mulberrylane/mulberrylane/request"
)

// eventEncoder encodes, without reflection, the events between the first and the last
// of one stream, whose data differ only in text and tokens. The output decodes to the
// same completionResponse as that of encoding/json.
type eventEncoder struct {
	// prefix and suffix are the encoded bytes before and after the text.
	prefix, suffix  []byte
	includeTokenIDs bool
	buffer          []byte
}

func newEventEncoder(template completionResponse, chat, includeTokenIDs bool) *eventEncoder {
	e := &eventEncoder{includeTokenIDs: includeTokenIDs}
	e.prefix = append(e.prefix, `data: {"id":`...)
	e.prefix = appendString(e.prefix, template.ID)
	e.prefix = append(e.prefix, `,"object":`...)
	e.prefix = appendString(e.prefix, template.Object)
	e.prefix = append(e.prefix, `,"created":`...)
	e.prefix = strconv.AppendInt(e.prefix, template.Created, 10)
	e.prefix = append(e.prefix, `,"model":`...)
	e.prefix = appendString(e.prefix, template.Model)
	e.prefix = append(e.prefix, `,"choices":[{"index":0,`...)
	if chat {
		e.prefix = append(e.prefix, `"delta":{"content":`...)
		e.suffix = []byte(`},"finish_reason":null`)
		return e
	}
	e.prefix = append(e.prefix, `"text":`...)
	e.suffix = []byte(`,"finish_reason":null`)
	return e
}

// encode returns one encoded event. The slice is valid until the next call.
func (e *eventEncoder) encode(id eventID, text []byte, tokens []request.TokenID) []byte {
	b := append(e.buffer[:0], "id: "...)
	b = id.append(b)
	b = append(b, '\n')
	b = append(b, e.prefix...)
	b = appendString(b, text)
	b = append(b, e.suffix...)
	if e.includeTokenIDs {
		b = appendTokenIDs(b, tokens)
	}
	b = append(b, "}]}\n\n"...)
	e.buffer = b
	return b
}

func appendTokenIDs(dst []byte, tokens []request.TokenID) []byte {
	dst = append(dst, `,"token_ids":[`...)
	for i, token := range tokens {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = strconv.AppendUint(dst, uint64(token), 10)
	}
	return append(dst, ']')
}

// appendString appends text as a JSON string.
func appendString[T string | []byte](dst []byte, text T) []byte {
	if !safeUnescaped(text) {
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

// safeUnescaped reports whether text can be copied into a JSON string as it is.
func safeUnescaped[T string | []byte](text T) bool {
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
