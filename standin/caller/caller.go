// Package caller is a small stand-in for the callers of the users' platform: it
// writes their requests and reads their answers.
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

// Request is one request of a caller.
type Request struct {
	Method, Path, Host string
	// AttemptID names this attempt of the caller.
	AttemptID string
	APIKey    string
	Body      string
	// Position is the last event that the caller has.
	Position          int
	DeadlineRemaining time.Duration
	// PromptID names the last part of the prompt; the ID where it is empty.
	PromptID string
	// Header holds fields besides those of the platform.
	Header http.Header
}

// The sizes of prompts and answers, in tokens: long prompts, as on both deployments.
const (
	sharedTokens = 200
	ownTokens    = 6000
	answerTokens = 100
)

// NewHTTPRequest returns the request to the entry at an IP address and port.
func (r Request) NewHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out.Host = r.Host
	// With GetBody the client library would send a request again by itself.
	out.GetBody = nil
	for name, values := range r.Header {
		out.Header[name] = values
	}
	session := r.PromptID
	if session == "" {
		session = r.AttemptID
	}
	out.Header.Set("Attempt-Id", r.AttemptID)
	out.Header.Set("Deadline-Remaining", strconv.FormatInt(r.DeadlineRemaining.Milliseconds(), 10))
	out.Header.Set("Key", r.APIKey)
	out.Header.Set("Model", "m")
	out.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", sharedTokens+ownTokens, answerTokens))
	out.Header.Set("Prompt-Prefix", fmt.Sprintf("aa:%d,%s:%d", sharedTokens, session, ownTokens))
	if r.Position > 0 {
		out.Header.Set("Last-Event-Id", strconv.Itoa(r.Position))
	}
	return out, nil
}

// HasValidSignature says whether an answer bears the signature of a target for the request.
func HasValidSignature(response *http.Response, id string) bool {
	return response.Header.Get("Response-Signature") == replica.Signature(id)
}

// RetryAfter returns when a refusal asks its caller to come back, or zero.
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

// Next returns the next event; io.EOF is the orderly end.
func (e *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := e.lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line != "" {
			return event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event, err //nolint:wrapcheck // io.EOF is the end
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
