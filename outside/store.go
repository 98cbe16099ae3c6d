// Package outside holds the ports to everything outside the system: the
// key-value service, the host list, the weight store, the engines and the
// application targets. Adapters live in packages below it.
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
	// Lease is the lease that the key is bound to, or zero.
	Lease LeaseID
}

// LeaseID names a lease of the key-value service.
type LeaseID int64

// WatchEvent is one change that a watch reports.
type WatchEvent struct {
	KeyValue
	// Deleted says that the key was removed.
	Deleted bool
}

// CompareAndSwapRequest is one compare-and-swap: it writes Value when the key's ModRevision is
// still Expected, where zero means that the key must not exist.
type CompareAndSwapRequest struct {
	Key              string
	Value            []byte
	ExpectedRevision int64
	// Lease binds the key to a lease; zero binds it to none.
	Lease LeaseID
}

// Store is the platform's key-value service. An error of kind StoreUnavailable
// from a write means that the write may or may not have taken effect.
type Store interface {
	// Get reads one key. A missing key has ModRevision zero.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys with the given prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// CompareAndSwap carries out swap. When the comparison fails, swapped is
	// false and current is the entry as it stands; else current is the new entry.
	CompareAndSwap(ctx context.Context, swap CompareAndSwapRequest) (current KeyValue, swapped bool, err error)
	// Delete removes key when its ModRevision is still expected.
	Delete(ctx context.Context, key string, expected int64) (deleted bool, err error)
	// Grant makes a lease that lapses after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once; alive is false when it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) (alive bool, err error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch reports changes under prefix after the store revision after, until
	// ctx ends or the connection breaks, when the channel is closed.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error)
}
