// Package openai is the adapter to engines that speak the OpenAI-compatible
// completions API with the token-id, tokenize and priority extensions that vLLM
// publishes.
package openai

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 1 << 20

// Engine is a client of one engine.
type Engine struct {
	baseURL string
	client  *http.Client
}

// NewEngine returns the adapter to the engine at the base URL.
func NewEngine(base string, client *http.Client) *Engine {
	return &Engine{baseURL: strings.TrimSuffix(base, "/"), client: client}
}

type tokenizeRequest struct {
	Model               string            `json:"model"`
	Prompt              string            `json:"prompt,omitempty"`
	Messages            []request.Message `json:"messages,omitempty"`
	AddGenerationPrompt bool              `json:"add_generation_prompt,omitempty"`
}

type tokenizeReply struct {
	Tokens []request.TokenID `json:"tokens"`
}

// Tokenize implements outside.Engine.
func (e *Engine) Tokenize(ctx context.Context, model string, prompt request.Prompt) ([]request.TokenID, error) {
	if prompt.Tokens != nil {
		return prompt.Tokens, nil
	}
	body := tokenizeRequest{Model: model, Prompt: prompt.Text, Messages: prompt.Messages}
	body.AddGenerationPrompt = len(prompt.Messages) > 0
	response, err := e.post(ctx, "/tokenize", body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply tokenizeReply
	if err := bounded.DecodeJSON(response.Body, &reply); err != nil {
		return nil, fault.Wrap(fault.TargetLost, err, "tokenize reply")
	}
	return reply.Tokens, nil
}

type completionRequest struct {
	Model          string            `json:"model"`
	Prompt         []request.TokenID `json:"prompt"`
	MaxTokens      int               `json:"max_tokens"`
	Temperature    float64           `json:"temperature"`
	TopP           float64           `json:"top_p,omitempty"`
	Seed           int64             `json:"seed,omitempty"`
	Stop           []string          `json:"stop,omitempty"`
	Stream         bool              `json:"stream"`
	Priority       int               `json:"priority,omitempty"`
	ReturnTokenIDs bool              `json:"return_token_ids"`
	RequestID      string            `json:"request_id,omitempty"`
}

// Generate implements outside.Engine.
func (e *Engine) Generate(ctx context.Context, generate outside.GenerateRequest) (outside.Stream, error) {
	body := completionRequest{
		Model:          generate.Model,
		Prompt:         generate.Prompt,
		MaxTokens:      generate.Sampling.MaxTokens,
		Temperature:    generate.Sampling.Temperature,
		TopP:           generate.Sampling.TopP,
		Seed:           generate.Sampling.Seed,
		Stop:           generate.Sampling.Stop,
		Stream:         true,
		Priority:       generate.Priority,
		ReturnTokenIDs: true,
		RequestID:      generate.RequestID,
	}
	response, err := e.post(ctx, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &stream{body: response.Body, scanner: scanner}, nil
}

func (e *Engine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode engine request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	return e.do(httpRequest)
}

func (e *Engine) do(httpRequest *http.Request) (*http.Response, error) {
	response, err := e.client.Do(httpRequest)
	if err != nil {
		return nil, fault.Wrap(fault.TargetLost, err, "the engine did not answer")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	status := &statusError{status: response.StatusCode, text: string(bytes.TrimSpace(text))}
	return nil, fault.Wrap(kindOf(response.StatusCode), status, "the engine refused the request")
}

// statusError is a response of the engine with a status other than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// kindOf maps the status of an engine's response to an error kind.
func kindOf(status int) fault.Kind {
	switch {
	case status == http.StatusNotFound:
		return fault.VersionGone
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fault.Overloaded
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return fault.BadRequest
	default:
		return fault.TargetLost
	}
}

type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// chunk is the last decoded event; its slices are reused for the next one.
	chunk    completionChunk
	finished bool
}

// completionChunk is one event of a completion with a single choice.
type completionChunk struct {
	ID      string              `json:"id"`
	Choices [1]completionChoice `json:"choices"`
}

type completionChoice struct {
	TokenIDs []request.TokenID `json:"token_ids"`
	// FinishReason is empty when the engine sends null.
	FinishReason request.FinishReason `json:"finish_reason"`
}

var dataPrefix = []byte("data: ")

// Next implements outside.Stream.
func (s *stream) Next() (outside.Chunk, error) {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			break
		}
		return s.decode(data)
	}
	if s.finished {
		return outside.Chunk{}, io.EOF
	}
	if err := s.scanner.Err(); err != nil {
		return outside.Chunk{}, fault.Wrap(fault.TargetLost, err, "the engine's stream broke")
	}
	return outside.Chunk{}, fault.New(fault.TargetLost, "the engine's stream ended early")
}

func (s *stream) decode(data []byte) (outside.Chunk, error) {
	chunk := &s.chunk
	choice := &chunk.Choices[0]
	chunk.ID = ""
	choice.TokenIDs = choice.TokenIDs[:0]
	choice.FinishReason = ""
	if err := json.Unmarshal(data, chunk); err != nil {
		return outside.Chunk{}, fault.Wrap(fault.TargetLost, err, "the engine sent a bad event")
	}
	s.finished = s.finished || choice.FinishReason != ""
	return outside.Chunk{RequestID: chunk.ID, Tokens: choice.TokenIDs, FinishReason: choice.FinishReason}, nil
}

// Close implements outside.Stream.
func (s *stream) Close() error { return errors.Wrap(s.body.Close(), "close stream") }
