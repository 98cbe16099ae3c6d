// Package caller is a client of the completions API that records when tokens arrive
// and checks every response against the oracle. The demo, the load tool and tests use
// it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

// CompletionRequest is one completion request.
type CompletionRequest struct {
	// Model is the name of the service.
	Model string
	// Prompt is the text to continue.
	Prompt string
	// MaxTokens is the number of tokens to generate.
	MaxTokens int
	// BearerToken is the bearer token of the workspace.
	BearerToken string
	// IdempotencyKey is sent in the Idempotency-Key header unless it is empty.
	IdempotencyKey string
	// LastEventID, when set, resumes a response after this event.
	LastEventID string
	// OnProgress, when set, is called after each event with the number of tokens
	// received so far.
	OnProgress func(tokens int)
}

// CompletionResponse is the response to one request, as far as it was received.
type CompletionResponse struct {
	// Status is the HTTP status, or zero if there was no response.
	Status int
	Prompt []request.TokenID
	Tokens []request.TokenID
	Text   string
	// Arrivals holds the time and number of tokens of each event with tokens.
	Arrivals []Arrival
	// LastEventID is the id of the last event.
	LastEventID string
	// Outcome is nil if the response broke off.
	Outcome *request.Outcome
	// Done reports whether the end marker of the stream was received.
	Done bool
	// OnTokens, when set, is called with the number of tokens of each event.
	OnTokens func(tokens int)
}

// Arrival is one event of a response.
type Arrival struct {
	At     time.Time
	Tokens int
	// Target is the target that generated the tokens.
	Target request.TargetID
}

// Client sends completion requests to entries.
type Client struct {
	client *http.Client
}

// New returns a Client that sends its requests with client, which must not have a
// timeout.
func New(client *http.Client) *Client { return &Client{client: client} }

type completionBody struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	ReturnTokenIDs bool   `json:"return_token_ids"`
}

type event struct {
	Choices []struct {
		Text           string            `json:"text"`
		TokenIDs       []request.TokenID `json:"token_ids"`
		PromptTokenIDs []request.TokenID `json:"prompt_token_ids"`
	} `json:"choices"`
	Outcome *request.Outcome `json:"outcome"`
}

// Complete sends req to the entry at baseURL and reads the response to its end. On an
// error, the response holds what was received before it.
func (c *Client) Complete(ctx context.Context, baseURL string, req CompletionRequest) (*CompletionResponse, error) {
	resp := &CompletionResponse{}
	return resp, c.Resume(ctx, baseURL, req, resp)
}

// Resume is like Complete for a response that broke off: it appends to resp.
func (c *Client) Resume(ctx context.Context, baseURL string, req CompletionRequest, resp *CompletionResponse) error {
	httpResponse, err := c.post(ctx, baseURL, req)
	if err != nil {
		return err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	resp.Status = httpResponse.StatusCode
	if httpResponse.StatusCode != http.StatusOK {
		return readRefusal(httpResponse.Body, resp)
	}
	return readEvents(httpResponse.Body, resp, req.OnProgress)
}

func (c *Client) post(ctx context.Context, baseURL string, req CompletionRequest) (*http.Response, error) {
	data, err := json.Marshal(completionBody{Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stream: true, ReturnTokenIDs: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+req.BearerToken)
	httpRequest.Header.Set("Content-Type", "application/json")
	setNonEmptyHeader(httpRequest, "Idempotency-Key", req.IdempotencyKey)
	setNonEmptyHeader(httpRequest, "Last-Event-ID", req.LastEventID)
	httpResponse, err := c.client.Do(httpRequest)
	return httpResponse, errors.Wrap(err, "post")
}

func setNonEmptyHeader(httpRequest *http.Request, name, value string) {
	if value != "" {
		httpRequest.Header.Set(name, value)
	}
}

func readRefusal(body io.Reader, resp *CompletionResponse) error {
	var refusal struct {
		Outcome *request.Outcome `json:"outcome"`
	}
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return errors.Wrap(err, "decode error response")
	}
	resp.Outcome = refusal.Outcome
	return nil
}

// maxEventBytes is the maximum size of one line of the event stream.
const maxEventBytes = 1 << 20

func readEvents(body io.Reader, resp *CompletionResponse, onProgress func(int)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			resp.LastEventID = string(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			resp.Done = true
			return nil
		}
		if err := resp.addEvent(data); err != nil {
			return err
		}
		if onProgress != nil {
			onProgress(len(resp.Tokens))
		}
	}
	if resp.Outcome != nil {
		return nil
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read events")
	}
	return io.ErrUnexpectedEOF
}

func (r *CompletionResponse) addEvent(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if e.Outcome != nil {
		r.Outcome = e.Outcome
	}
	for _, choice := range e.Choices {
		r.Text += choice.Text
		r.Tokens = append(r.Tokens, choice.TokenIDs...)
		if choice.PromptTokenIDs != nil {
			r.Prompt = choice.PromptTokenIDs
		}
		if n := len(choice.TokenIDs); n > 0 {
			r.Arrivals = append(r.Arrivals, Arrival{At: time.Now(), Tokens: n, Target: targetOf(r.LastEventID)})
			r.reportTokens(n)
		}
	}
	return nil
}

func (r *CompletionResponse) reportTokens(tokens int) {
	if r.OnTokens != nil {
		r.OnTokens(tokens)
	}
}

// targetOf returns the target that an event id names.
func targetOf(eventID string) request.TargetID {
	parts := strings.Split(eventID, "/")
	if len(parts) < 2 {
		return ""
	}
	return request.TargetID(parts[1])
}
