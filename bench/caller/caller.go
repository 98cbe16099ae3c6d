// Package caller is a caller of the completions API that checks every answer
// against the oracle and measures its pauses. Demo, load tool and tests use it.
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
	// Model is the service asked.
	Model string
	// Prompt is the text to continue.
	Prompt string
	// MaxTokens is the length asked for.
	MaxTokens int
	// BearerToken is the bearer token of the workspace.
	BearerToken string
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	// LastEventID asks to go on with an answer, or is empty.
	LastEventID string
	// OnProgress, when set, is called after each event with the count of tokens so far.
	OnProgress func(tokens int)
}

// CompletionResponse is what came of one request.
type CompletionResponse struct {
	// Status is the HTTP status, or zero when there was no answer.
	Status int
	Prompt []request.TokenID
	Tokens []request.TokenID
	Text   string
	// Arrivals holds the instant of each event with tokens and how many tokens came.
	Arrivals []Arrival
	// LastEventID is the id of the last event.
	LastEventID string
	// Outcome is nil when the answer broke off.
	Outcome *request.Outcome
	// Done says that the closing mark of the stream was seen.
	Done bool
	// OnTokens is called, when set, with the number of tokens of each event.
	OnTokens func(tokens int)
}

// Arrival is one event of an answer.
type Arrival struct {
	At     time.Time
	Tokens int
	// Target is where the tokens were made.
	Target request.TargetID
}

// Client sends requests to one entry after another.
type Client struct {
	client *http.Client
}

// New returns a caller over client, which must have no timeout of its own.
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

// Complete sends ask to the entry at the base URL and reads the answer to its
// end. With an error, the answer holds what came before it.
func (c *Client) Complete(ctx context.Context, base string, ask CompletionRequest) (*CompletionResponse, error) {
	answer := &CompletionResponse{}
	return answer, c.Resume(ctx, base, ask, answer)
}

// Resume is Complete for an answer that broke off: it appends to answer.
func (c *Client) Resume(ctx context.Context, base string, ask CompletionRequest, answer *CompletionResponse) error {
	response, err := c.post(ctx, base, ask)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return readRefusal(response.Body, answer)
	}
	return readEvents(response.Body, answer, ask.OnProgress)
}

func (c *Client) post(ctx context.Context, base string, ask CompletionRequest) (*http.Response, error) {
	data, err := json.Marshal(completionBody{Model: ask.Model, Prompt: ask.Prompt, MaxTokens: ask.MaxTokens, Stream: true, ReturnTokenIDs: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	post.Header.Set("Authorization", "Bearer "+ask.BearerToken)
	post.Header.Set("Content-Type", "application/json")
	setHeader(post, "Idempotency-Key", ask.IdempotencyKey)
	setHeader(post, "Last-Event-ID", ask.LastEventID)
	response, err := c.client.Do(post)
	return response, errors.Wrap(err, "post")
}

func setHeader(post *http.Request, name, value string) {
	if value != "" {
		post.Header.Set(name, value)
	}
}

func readRefusal(body io.Reader, answer *CompletionResponse) error {
	var refusal struct {
		Outcome *request.Outcome `json:"outcome"`
	}
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return errors.Wrap(err, "refusal")
	}
	answer.Outcome = refusal.Outcome
	return nil
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

func readEvents(body io.Reader, answer *CompletionResponse, seen func(int)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			answer.LastEventID = string(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			answer.Done = true
			return nil
		}
		if err := answer.add(data); err != nil {
			return err
		}
		if seen != nil {
			seen(len(answer.Tokens))
		}
	}
	if answer.Outcome != nil {
		return nil
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read")
	}
	return io.ErrUnexpectedEOF
}

func (a *CompletionResponse) add(data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "event")
	}
	if e.Outcome != nil {
		a.Outcome = e.Outcome
	}
	for _, choice := range e.Choices {
		a.Text += choice.Text
		a.Tokens = append(a.Tokens, choice.TokenIDs...)
		if choice.PromptTokenIDs != nil {
			a.Prompt = choice.PromptTokenIDs
		}
		if n := len(choice.TokenIDs); n > 0 {
			a.Arrivals = append(a.Arrivals, Arrival{At: time.Now(), Tokens: n, Target: targetOf(a.LastEventID)})
			a.report(n)
		}
	}
	return nil
}

func (a *CompletionResponse) report(tokens int) {
	if a.OnTokens != nil {
		a.OnTokens(tokens)
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
