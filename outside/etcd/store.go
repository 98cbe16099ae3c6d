// Package etcd is the adapter to a key-value service that speaks the JSON
// gateway of etcd v3.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Store is a client of the service. It uses one endpoint at a time and switches to the
// next one when a request gets no response.
type Store struct {
	endpoints []string
	client    *http.Client
	// watchClient has no timeout, because the response to a watch does not end.
	watchClient  *http.Client
	nextEndpoint atomic.Uint32
	counters     counters
}

var _ outside.Store = (*Store)(nil)

// NewStore returns the adapter to the endpoints, which are base URLs.
func NewStore(endpoints []string, client *http.Client) *Store {
	trimmed := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		trimmed = append(trimmed, strings.TrimSuffix(endpoint, "/"))
	}
	watchClient := *client
	watchClient.Timeout = 0
	return &Store{endpoints: trimmed, client: client, watchClient: &watchClient}
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

// Get implements outside.Store.
func (s *Store) Get(ctx context.Context, key string) (outside.KeyValue, error) {
	s.counters.reads.Add(1)
	var response rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return outside.KeyValue{}, err
	}
	return firstKeyValue(key, response.Kvs), nil
}

// List implements outside.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]outside.KeyValue, error) {
	list, _, err := s.list(ctx, prefix)
	return list, err
}

// list returns all keys with the prefix, and the store revision at which they were
// read.
func (s *Store) list(ctx context.Context, prefix string) ([]outside.KeyValue, int64, error) {
	s.counters.reads.Add(1)
	var response rangeResponse
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := s.call(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, 0, err
	}
	list := make([]outside.KeyValue, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		list = append(list, toKeyValue(kv))
	}
	return list, response.Header.Revision, nil
}

func firstKeyValue(key string, kvs []keyValue) outside.KeyValue {
	if len(kvs) == 0 {
		return outside.KeyValue{Key: key}
	}
	return toKeyValue(kvs[0])
}

func toKeyValue(kv keyValue) outside.KeyValue {
	return outside.KeyValue{
		Key:         string(kv.Key),
		Value:       kv.Value,
		ModRevision: kv.ModRevision,
		Lease:       outside.LeaseID(kv.Lease),
	}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// statusError is a response of the service with a status other than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string {
	return errors.Errorf("status %d: %s", e.status, e.text).Error()
}

// notFound reports whether the object of the call does not exist.
func (e *statusError) notFound() bool { return e.status == http.StatusNotFound }

func (s *Store) call(ctx context.Context, path string, request, reply any) error {
	err := s.roundTrip(ctx, path, request, reply)
	if err != nil {
		s.counters.failed.Add(1)
	}
	return err
}

func (s *Store) roundTrip(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode store request")
	}
	response, err := s.post(ctx, s.client, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		status := &statusError{status: response.StatusCode, text: string(bytes.TrimSpace(text))}
		return fault.Wrap(fault.StoreUnavailable, status, "the key-value service refused the call")
	}
	if err := bounded.DecodeJSON(response.Body, reply); err != nil {
		return fault.Wrap(fault.StoreUnavailable, err, "the key-value service's answer broke off")
	}
	return nil
}

// post sends body to the current endpoint. If there is no response, later calls use the
// next one.
func (s *Store) post(ctx context.Context, client *http.Client, path string, body []byte) (*http.Response, error) {
	index := s.nextEndpoint.Load()
	endpoint := s.endpoints[int(index)%len(s.endpoints)]
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create store request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := client.Do(httpRequest)
	if err != nil {
		s.nextEndpoint.CompareAndSwap(index, index+1)
		return nil, fault.Wrap(fault.StoreUnavailable, err, "the key-value service did not answer")
	}
	return response, nil
}
