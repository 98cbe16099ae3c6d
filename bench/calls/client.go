// Package calls makes calls that may not be repeated, with repeats and under
// faults, and checks what came of them against the application stand-in's own
// count. Demo, load tool and tests use it.
package calls

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

// CallRequest is one submission of a call.
type CallRequest struct {
	// Service is the application service, Method and Path the call within it.
	Service string
	Method  string
	Path    string
	Body    []byte
	// BearerToken is the bearer token of the workspace.
	BearerToken string
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	// FirstSubmission marks the first submission of the key.
	FirstSubmission bool
}

// CallResponse is what a caller was told of one submission.
type CallResponse struct {
	Status  int
	Body    []byte
	Outcome request.Outcome
}

// Client submits calls.
type Client struct{ http *http.Client }

// NewClient returns a client over client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Submit submits ask to the entry at the base URL. With an error, the caller was
// told nothing.
func (c *Client) Submit(ctx context.Context, base string, ask CallRequest) (CallResponse, error) {
	post, err := http.NewRequestWithContext(ctx, ask.Method, base+"/v1/services/"+ask.Service+ask.Path, bytes.NewReader(ask.Body))
	if err != nil {
		return CallResponse{}, errors.Wrap(err, "request")
	}
	post.GetBody = nil
	post.Header.Set("Authorization", "Bearer "+ask.BearerToken)
	post.Header.Set("Content-Type", "application/json")
	if ask.IdempotencyKey != "" {
		post.Header.Set("Idempotency-Key", ask.IdempotencyKey)
	}
	if ask.FirstSubmission {
		post.Header.Set("X-Mulberrylane-First-Try", "true")
	}
	response, err := c.http.Do(post)
	if err != nil {
		return CallResponse{}, errors.Wrap(err, "submit")
	}
	defer func() { _ = response.Body.Close() }()
	told := CallResponse{Status: response.StatusCode}
	if told.Body, err = io.ReadAll(response.Body); err != nil {
		return CallResponse{}, errors.Wrap(err, "reply")
	}
	header := response.Header.Get("X-Mulberrylane-Outcome")
	if err := json.Unmarshal([]byte(header), &told.Outcome); err != nil {
		return told, errors.Wrapf(err, "outcome %q of status %d", header, told.Status)
	}
	return told, nil
}

// Executions reads how often the application ran each key, from the base URL of
// any of its stand-ins.
func (c *Client) Executions(ctx context.Context, base string) (map[string]int, error) {
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/executions", nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	response, err := c.http.Do(get)
	if err != nil {
		return nil, errors.Wrap(err, "executions")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(fmt.Sprintf("executions: status %d", response.StatusCode))
	}
	var executions map[string]int
	return executions, errors.Wrap(json.NewDecoder(response.Body).Decode(&executions), "executions")
}
