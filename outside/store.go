// Package outside defines the interfaces to everything outside the system: the
// key-value service, the host list, the engines and the application targets. The
// adapters that implement them are in the packages below it.
package outside

import (
	"context"
	"time"
)

// KeyValue is one entry of the key-value service.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write of the key; zero
	// means that the key does not exist.
	ModRevision int64
	// Lease is the lease to which the key is bound, or zero.
	Lease LeaseID
}

// LeaseID identifies a lease of the key-value service.
type LeaseID int64

// WatchEvent is a change of one key.
type WatchEvent struct {
	KeyValue
	// Deleted means that the key was deleted.
	Deleted bool
}

// CompareAndSwapRequest writes Value if the key's ModRevision equals ExpectedRevision.
// Zero means that the key must not exist.
type CompareAndSwapRequest struct {
	Key              string
	Value            []byte
	ExpectedRevision int64
	// Lease binds the key to a lease; zero binds it to none.
	Lease LeaseID
}

// Store is the platform's key-value service. If a write returns an error of kind
// StoreUnavailable, the write may or may not have taken effect.
type Store interface {
	// Get reads one key. A missing key has ModRevision zero.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys with the given prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// CompareAndSwap executes swap. It returns the resulting entry, or, with swapped
	// false, the existing entry if the comparison failed.
	CompareAndSwap(ctx context.Context, swap CompareAndSwapRequest) (current KeyValue, swapped bool, err error)
	// Delete deletes key if its ModRevision equals expectedRevision.
	Delete(ctx context.Context, key string, expectedRevision int64) (deleted bool, err error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once; alive is false if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) (alive bool, err error)
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch reports changes under prefix that are newer than the store revision after.
	// The channel is closed when ctx is done or the connection fails.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error)
}
