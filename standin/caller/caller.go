// Package caller is a small stand-in for the callers of the users' platform: it
// builds their requests and reads the responses.
package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Request is one attempt of a caller at a request.
type Request struct {
	Method, Path, Host string
	// AttemptID identifies this attempt of the caller.
	AttemptID string
	APIKey    string
	Body      string
	// Position is the ID of the last event that the caller received; zero means none.
	Position          int
	DeadlineRemaining time.Duration
	// PromptID identifies the last part of the prompt; if it is empty, AttemptID does.
	PromptID string
	// SharedParts lists the IDs of the parts of the prompt before the last; if it is empty,
	// there is one that all requests share.
	SharedParts []string
	// Header holds additional header fields, and replaces others of the same names.
	Header http.Header
}

// Sizes in tokens that the requests announce. Prompts are long, as on both deployments:
// a prefix that all requests share, and a part of their own.
const (
	sharedPrefixTokens = 200
	ownPrefixTokens    = 6000
	outputTokens       = 100
)

// NewHTTPRequest returns the HTTP request to the entry at address, an IP address and port.
func (r Request) NewHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out.Host = r.Host
	// With GetBody set, net/http would retry the request on its own.
	out.GetBody = nil
	promptID := r.PromptID
	if promptID == "" {
		promptID = r.AttemptID
	}
	out.Header.Set("Attempt-Id", r.AttemptID)
	replica.SetEntry(out.Header, address)
	out.Header.Set("Deadline-Remaining", strconv.FormatInt(r.DeadlineRemaining.Milliseconds(), 10))
	out.Header.Set("Key", r.APIKey)
	out.Header.Set("Model", "m")
	shared := r.SharedParts
	if len(shared) == 0 {
		shared = []string{"aa"}
	}
	prefix := ""
	for _, id := range shared {
		prefix += fmt.Sprintf("%s:%d,", id, sharedPrefixTokens)
	}
	out.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", len(shared)*sharedPrefixTokens+ownPrefixTokens, outputTokens))
	out.Header.Set("Prompt-Prefix", fmt.Sprintf("%s%s:%d", prefix, promptID, ownPrefixTokens))
	if r.Position > 0 {
		out.Header.Set("Last-Event-Id", strconv.Itoa(r.Position))
	}
	for name, values := range r.Header {
		out.Header[name] = values
	}
	return out, nil
}

// HasValidSignature reports whether a response carries the signature of a target for the
// request with this attempt ID.
func HasValidSignature(response *http.Response, id string) bool {
	return response.Header.Get("Response-Signature") == replica.Signature(id)
}

// RetryAfter returns the delay before a retry that a refusal asks for, or zero.
func RetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

// EventReader reads the events of a stream.
type EventReader struct{ lines *bufio.Reader }

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{lines: bufio.NewReader(body)} }

// Next returns the next event, or io.EOF when the stream ended at the end of a line.
func (e *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := e.lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line != "" {
			return event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event, err //nolint:wrapcheck // io.EOF marks the end of the stream
		}
		switch line = strings.TrimSpace(line); {
		case strings.HasPrefix(line, "id: "):
			if event.ID, err = strconv.Atoi(line[4:]); err != nil {
				return event, errors.Wrap(err, "event id")
			}
		case strings.HasPrefix(line, "data: "):
			event.Data = line[6:]
		case line == "":
			return event, nil
		}
	}
}
