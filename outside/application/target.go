// Package application is the adapter to application targets that are reached over
// HTTP.
package application

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxConnections bounds the idle connections that are kept for repeatable calls.
const maxConnections = 64

// Target reaches one application target.
type Target struct {
	base string
	// once opens a connection for each call: the standard transport sends a
	// request again when a connection that served before breaks.
	once *http.Client
	// repeat keeps connections open.
	repeat *http.Client
}

// NewTarget returns the adapter to the target at the base URL.
func NewTarget(base string) *Target {
	return &Target{
		base:   strings.TrimSuffix(base, "/"),
		once:   client(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
		repeat: client(&http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}),
	}
}

func client(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements outside.Application.
func (t *Target) Call(ctx context.Context, call outside.ApplicationCall) (request.CallReply, error) {
	ask, err := http.NewRequestWithContext(ctx, call.Method, t.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return request.CallReply{}, fault.Wrap(fault.NoTarget, err, "the call cannot be written as a request")
	}
	for _, field := range call.Header {
		ask.Header.Add(field.Name, field.Value)
	}
	sender := t.repeat
	if !call.Idempotent {
		sender = t.once
		ask.GetBody = nil
	}
	response, err := sender.Do(ask)
	if err != nil {
		return request.CallReply{}, sendFault(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response, call.MaxReplyBytes)
}

// sendFault tells a connection that never was from a call that broke off.
func sendFault(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fault.Wrap(fault.NoTarget, err, "the target does not accept connections")
	}
	return fault.Wrap(fault.TargetLost, err, "the target did not answer")
}

// replyHeaders are the headers of a reply that are passed back.
var replyHeaders = []string{"Content-Type", "Location", "ETag", "Content-Language"}

func readReply(response *http.Response, limit int64) (request.CallReply, error) {
	reply := request.CallReply{Status: response.StatusCode}
	for _, name := range replyHeaders {
		if value := response.Header.Get(name); value != "" {
			reply.Header = append(reply.Header, request.HeaderField{Name: name, Value: value})
		}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return reply, fault.Wrap(fault.TargetLost, err, "the reply broke off")
	}
	if int64(len(body)) > limit {
		return reply, fault.New(fault.TooLarge, "the reply is over %d bytes", limit)
	}
	reply.Body = body
	return reply, nil
}

// Load implements outside.Application.
func (t *Target) Load(ctx context.Context) (outside.ApplicationLoad, error) {
	var load outside.ApplicationLoad
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+"/load", nil)
	if err != nil {
		return load, errors.Wrap(err, "request")
	}
	response, err := t.repeat.Do(ask)
	if err != nil {
		return load, fault.Wrap(fault.TargetLost, err, "the target did not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return load, fault.New(fault.TargetLost, "the target answered %d", response.StatusCode)
	}
	return load, errors.Wrap(json.NewDecoder(response.Body).Decode(&load), "load")
}
