// Package calls submits non-idempotent calls, with duplicate submissions and under
// faults, and checks their outcomes against the executions that the stand-in for the
// application has recorded. The demonstration, the load tool and tests use it.
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
	// Service is the application service, Method and Path identify the call to it.
	Service string
	Method  string
	Path    string
	Body    []byte
	// BearerToken is the bearer token of the workspace.
	BearerToken string
	// IdempotencyKey is sent in the Idempotency-Key header unless it is empty.
	IdempotencyKey string
	// FirstSubmission declares that the key has not been submitted before.
	FirstSubmission bool
}

// CallResponse is the response to one submission.
type CallResponse struct {
	Status  int
	Body    []byte
	Outcome request.Outcome
}

// Client submits calls.
type Client struct{ http *http.Client }

// NewClient returns a client that sends its requests with client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Submit submits a call to the entry at the base URL. An error means that there was no
// complete response with a valid outcome.
func (c *Client) Submit(ctx context.Context, base string, call CallRequest) (CallResponse, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, call.Method, base+"/v1/services/"+call.Service+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return CallResponse{}, errors.Wrap(err, "request")
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Authorization", "Bearer "+call.BearerToken)
	httpRequest.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.FirstSubmission {
		httpRequest.Header.Set("X-Mulberrylane-First-Try", "true")
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return CallResponse{}, errors.Wrap(err, "submit")
	}
	defer func() { _ = response.Body.Close() }()
	result := CallResponse{Status: response.StatusCode}
	if result.Body, err = io.ReadAll(response.Body); err != nil {
		return CallResponse{}, errors.Wrap(err, "reply")
	}
	header := response.Header.Get("X-Mulberrylane-Outcome")
	if err := json.Unmarshal([]byte(header), &result.Outcome); err != nil {
		return result, errors.Wrapf(err, "outcome %q of status %d", header, result.Status)
	}
	return result, nil
}

// ExecutionCounts returns how often the application executed each key. The base URL may
// be that of any replica, as the stand-ins share their records.
func (c *Client) ExecutionCounts(ctx context.Context, base string) (map[string]int, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/executions", nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	response, err := c.http.Do(httpRequest)
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
