package etcd

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
)

type grantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseMessage `json:"result"`
}

// Grant implements outside.Store. The service takes whole seconds, so ttl is rounded
// up.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	s.counters.leases.Add(1)
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response leaseMessage
	if err := s.call(ctx, "/v3/lease/grant", grantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return outside.LeaseID(response.ID), nil
}

// KeepAlive implements outside.Store.
func (s *Store) KeepAlive(ctx context.Context, lease outside.LeaseID) (bool, error) {
	s.counters.leases.Add(1)
	var response keepAliveResponse
	if err := s.call(ctx, "/v3/lease/keepalive", leaseMessage{ID: int64(lease)}, &response); err != nil {
		return false, err
	}
	return response.Result.TTL > 0, nil
}

// Revoke implements outside.Store. It returns no error if the lease has already expired.
func (s *Store) Revoke(ctx context.Context, lease outside.LeaseID) error {
	s.counters.leases.Add(1)
	var response struct{}
	err := s.call(ctx, "/v3/lease/revoke", leaseMessage{ID: int64(lease)}, &response)
	var status *statusError
	if errors.As(err, &status) && status.notFound() {
		return nil
	}
	return err
}
