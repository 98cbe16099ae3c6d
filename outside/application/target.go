// Package application is the adapter to application targets, which are HTTP services.
package application

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
)

// maxIdleConnections limits the idle connections that are kept for idempotent calls.
const maxIdleConnections = 64

// Target is a client of one application target.
type Target struct {
	baseURL string
	// singleUse opens a new connection for each call, because the standard transport
	// retries a request when a reused connection fails.
	singleUse *http.Client
	// pooled reuses connections.
	pooled *http.Client
}

// NewTarget returns the adapter to the target at the base URL.
func NewTarget(base string) *Target {
	return &Target{
		baseURL: strings.TrimSuffix(base, "/"),
		singleUse: newClient(&http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		}),
		pooled: newClient(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		}),
	}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements outside.Application.
func (t *Target) Call(ctx context.Context, call outside.ApplicationCall) (request.CallReply, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, call.Method, t.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return request.CallReply{}, fault.Wrap(fault.NoTarget, err, "the call cannot be written as a request")
	}
	for _, field := range call.Header {
		httpRequest.Header.Add(field.Name, field.Value)
	}
	httpClient := t.pooled
	if !call.Idempotent {
		httpClient = t.singleUse
		httpRequest.GetBody = nil
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return request.CallReply{}, classifySendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response, call.MaxReplyBytes)
}

// classifySendError distinguishes a failed connection attempt from a call that failed
// after it may have been sent.
func classifySendError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fault.Wrap(fault.NoTarget, err, "the target does not accept connections")
	}
	return fault.Wrap(fault.TargetLost, err, "the target did not answer")
}

// replyHeaders are the header fields of a reply that are returned to the caller.
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
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, t.baseURL+"/load", nil)
	if err != nil {
		return load, errors.Wrap(err, "create load request")
	}
	response, err := t.pooled.Do(httpRequest)
	if err != nil {
		return load, fault.Wrap(fault.TargetLost, err, "the target did not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return load, fault.New(fault.TargetLost, "the target answered %d", response.StatusCode)
	}
	return load, errors.Wrap(bounded.DecodeJSON(response.Body, &load), "decode load")
}
