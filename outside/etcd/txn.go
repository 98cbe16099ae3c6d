package etcd

import (
	"context"

	"github.com/mulberrylane/mulberrylane/outside"
)

type compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type operation struct {
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure,omitempty"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range"`
}

type txnResponse struct {
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses"`
}

func revisionEquals(key string, expectedRevision int64) []compare {
	return []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: expectedRevision}}
}

// CompareAndSwap implements outside.Store.
func (s *Store) CompareAndSwap(ctx context.Context, swap outside.CompareAndSwapRequest) (outside.KeyValue, bool, error) {
	s.counters.writes.Add(1)
	read := operation{Range: &rangeRequest{Key: []byte(swap.Key)}}
	put := operation{Put: &putRequest{Key: []byte(swap.Key), Value: swap.Value, Lease: int64(swap.Lease)}}
	request := txnRequest{
		Compare: revisionEquals(swap.Key, swap.ExpectedRevision),
		Success: []operation{put, read},
		Failure: []operation{read},
	}
	var response txnResponse
	if err := s.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return outside.KeyValue{}, false, err
	}
	current := outside.KeyValue{Key: swap.Key}
	if n := len(response.Responses); n > 0 && response.Responses[n-1].Range != nil {
		current = firstKeyValue(swap.Key, response.Responses[n-1].Range.Kvs)
	}
	return current, response.Succeeded, nil
}

// Delete implements outside.Store.
func (s *Store) Delete(ctx context.Context, key string, expectedRevision int64) (bool, error) {
	s.counters.writes.Add(1)
	remove := operation{Delete: &deleteRequest{Key: []byte(key)}}
	request := txnRequest{Compare: revisionEquals(key, expectedRevision), Success: []operation{remove}}
	var response txnResponse
	if err := s.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return false, err
	}
	return response.Succeeded, nil
}
