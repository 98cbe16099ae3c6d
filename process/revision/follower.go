package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/outside"
)

// DocumentKey is the key of the record in force in the store.
const DocumentKey = "mulberrylane/configuration"

const (
	// confirmEvery is the period at which a watching process reads the store, so
	// that a watch that fell silent is noticed.
	confirmEvery = 2 * time.Second
	// retryMin and retryMax bound the pauses between tries to reach the store.
	retryMin = 250 * time.Millisecond
	retryMax = 4 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
)

// watchStore is the part of outside.Store that a follower needs.
type watchStore interface {
	Get(ctx context.Context, key string) (outside.KeyValue, error)
	Watch(ctx context.Context, prefix string, after int64) (<-chan outside.WatchEvent, error)
}

// StoreWatcher watches the store while its spreader says that this process should.
type StoreWatcher struct {
	store    watchStore
	spreader *Gossiper
}

// NewStoreWatcher returns a follower that does nothing until Run.
func NewStoreWatcher(store watchStore, spreader *Gossiper) *StoreWatcher {
	return &StoreWatcher{store: store, spreader: spreader}
}

// Run follows the store until ctx ends.
func (f *StoreWatcher) Run(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		if !f.spreader.watches.Load() {
			f.await(ctx, confirmEvery)
			continue
		}
		if f.follow(ctx) {
			pause = retryMin
		}
		f.await(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMax)
	}
}

func (f *StoreWatcher) await(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.spreader.turned:
	case <-time.After(pause):
	}
}

// follow reads the store and watches it until either fails or another process
// watches instead. It says whether the store answered.
func (f *StoreWatcher) follow(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, err := f.Refresh(ctx)
	if err != nil {
		return false
	}
	changes, err := f.store.Watch(ctx, DocumentKey, revision)
	if err != nil {
		f.fail(ctx, err)
		return false
	}
	ticker := time.NewTicker(confirmEvery)
	defer ticker.Stop()
	for f.spreader.watches.Load() {
		select {
		case <-ctx.Done():
			return true
		case change, open := <-changes:
			if !open {
				return true
			}
			f.take(change)
		case <-ticker.C:
			if _, err := f.Refresh(ctx); err != nil {
				return true
			}
		}
	}
	return true
}

func (f *StoreWatcher) take(change outside.WatchEvent) {
	if change.Deleted || change.Key != DocumentKey {
		return
	}
	if err := f.spreader.fromWatch(change.ModRevision, change.Value); err != nil {
		klog.InfoS("configuration not taken", "revision", change.ModRevision, "err", err)
	}
}

// Refresh reads the store once and returns the revision that it holds.
func (f *StoreWatcher) Refresh(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	kv, err := f.store.Get(ctx, DocumentKey)
	if err != nil {
		f.fail(ctx, err)
		return 0, errors.Wrap(err, "read configuration")
	}
	if kv.ModRevision == 0 {
		return 0, nil
	}
	return kv.ModRevision, f.spreader.fromStore(asked, kv.ModRevision, kv.Value)
}

func (f *StoreWatcher) fail(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	klog.InfoS("configuration not read", "err", err)
	f.spreader.storeFailed()
}
