// Package eventstream reads the server-sent events of a response. Each event must have a number
// from 1 as its id, which is its position within the stream.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of one event; an event holds a few tokens.
const maxEventBytes = 256 << 10

// Event is one server-sent event, as the target wrote it.
type Event struct {
	// ID is the number of the event within its stream, from 1.
	ID int
	// Raw holds the bytes of the event, including the empty line that ends it.
	Raw []byte
	// begun is set if the response broke off inside the event.
	begun bool
}

// Begun reports whether a response broke off inside the event.
func (e Event) Begun() bool { return e.begun }

// Reader reads events from the body of a response.
type Reader struct{ reader *bufio.Reader }

// NewReader returns a reader of the events in body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReader(body)}
}

// Next returns the next complete event. The error is io.EOF after the last event.
// It is a different error if the stream breaks off, including within an event.
func (e *Reader) Next() (Event, error) {
	event := Event{ID: -1}
	for {
		line, err := e.reader.ReadSlice('\n')
		if err != nil {
			event.begun = len(event.Raw)+len(line) > 0
			if errors.Is(err, io.EOF) && !event.begun {
				return event, io.EOF
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return event, errors.Wrap(err, "event")
		}
		if len(event.Raw)+len(line) > maxEventBytes {
			return event, errors.New("event exceeds the size limit")
		}
		event.Raw = append(event.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, errors.Wrap(event.validate(), "event")
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			event.ID, err = strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return event, errors.Wrap(err, "event id")
			}
		}
	}
}

func (e *Event) validate() error {
	if e.ID < 1 {
		return errors.New("event has no id above 0")
	}
	return nil
}

// Buffered reports whether a whole event is buffered, so that Next returns without waiting.
func (e *Reader) Buffered() bool {
	data, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n")))
}

// MayHoldEvents reports whether the body of a response may be a stream of events: its header
// names that type, or none.
func MayHoldEvents(header http.Header) bool {
	text := header.Get("Content-Type")
	if text == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(text)
	return err == nil && mediaType == "text/event-stream"
}

// IsEndOfStream reports whether err, returned by Next, means that the stream is
// complete.
func IsEndOfStream(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
