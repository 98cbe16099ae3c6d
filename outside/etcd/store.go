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

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Store reaches the service through any of its endpoints.
type Store struct {
	endpoints []string
	client    *http.Client
	// watcher is the client without a timeout, since a watch waits.
	watcher  *http.Client
	next     atomic.Uint32
	counters counters
}

var _ outside.Store = (*Store)(nil)

// NewStore returns the adapter to the endpoints, which are base URLs.
func NewStore(endpoints []string, client *http.Client) *Store {
	trimmed := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		trimmed = append(trimmed, strings.TrimSuffix(endpoint, "/"))
	}
	watcher := *client
	watcher.Timeout = 0
	return &Store{endpoints: trimmed, client: client, watcher: &watcher}
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
	return first(key, response.Kvs), nil
}

// List implements outside.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]outside.KeyValue, error) {
	list, _, err := s.list(ctx, prefix)
	return list, err
}

// list reads all keys with the prefix and the revision of the store at the reading.
func (s *Store) list(ctx context.Context, prefix string) ([]outside.KeyValue, int64, error) {
	s.counters.reads.Add(1)
	var response rangeResponse
	ask := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := s.call(ctx, "/v3/kv/range", ask, &response); err != nil {
		return nil, 0, err
	}
	list := make([]outside.KeyValue, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		list = append(list, convert(kv))
	}
	return list, response.Header.Revision, nil
}

func first(key string, kvs []keyValue) outside.KeyValue {
	if len(kvs) == 0 {
		return outside.KeyValue{Key: key}
	}
	return convert(kvs[0])
}

func convert(kv keyValue) outside.KeyValue {
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

// statusError is an answer of the service that is no success.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string {
	return errors.Errorf("status %d: %s", e.status, e.text).Error()
}

// missing says that what the call named does not exist.
func (e *statusError) missing() bool { return e.status == http.StatusNotFound }

func (s *Store) call(ctx context.Context, path string, ask, reply any) error {
	err := s.exchange(ctx, path, ask, reply)
	if err != nil {
		s.counters.failed.Add(1)
	}
	return err
}

func (s *Store) exchange(ctx context.Context, path string, ask, reply any) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return errors.Wrap(err, "encode")
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
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return fault.Wrap(fault.StoreUnavailable, err, "the key-value service's answer broke off")
	}
	return nil
}

// post sends body to the endpoint whose turn it is; an error moves the turn on.
func (s *Store) post(ctx context.Context, client *http.Client, path string, body []byte) (*http.Response, error) {
	turn := s.next.Load()
	endpoint := s.endpoints[int(turn)%len(s.endpoints)]
	ask, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	ask.Header.Set("Content-Type", "application/json")
	response, err := client.Do(ask)
	if err != nil {
		s.next.CompareAndSwap(turn, turn+1)
		return nil, fault.Wrap(fault.StoreUnavailable, err, "the key-value service did not answer")
	}
	return response, nil
}
