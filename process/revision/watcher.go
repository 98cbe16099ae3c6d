package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/outside"
)

// DocumentKey is the store key of the current configuration record.
const DocumentKey = "mulberrylane/configuration"

const (
	// confirmInterval is the period at which a watching process reads the store, so
	// that a watch that stopped delivering events is detected.
	confirmInterval = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts to reach the
	// store.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// readTimeout bounds one read of the store.
	readTimeout = 2 * time.Second
)

// configurationStore is the part of outside.Store that a StoreWatcher needs.
type configurationStore interface {
	Get(ctx context.Context, key string) (outside.KeyValue, error)
	Watch(ctx context.Context, prefix string, after int64) (<-chan outside.WatchEvent, error)
}

// StoreWatcher watches the store while its Gossiper reports that this process should.
type StoreWatcher struct {
	store    configurationStore
	gossiper *Gossiper
	// goneBackTo is the revision of the last configuration that was logged as earlier than the active one.
	goneBackTo int64
}

// NewStoreWatcher returns a StoreWatcher that is idle until Run is called.
func NewStoreWatcher(store configurationStore, gossiper *Gossiper) *StoreWatcher {
	return &StoreWatcher{store: store, gossiper: gossiper}
}

// Run watches the store until ctx ends.
func (w *StoreWatcher) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !w.gossiper.watches.Load() {
			w.wait(ctx, confirmInterval)
			continue
		}
		if w.watch(ctx) {
			delay = minRetryDelay
		}
		w.wait(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (w *StoreWatcher) wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.gossiper.watchesChanged:
	case <-time.After(delay):
	}
}

// watch reads the store and watches it until a request fails or other processes
// watch instead. It reports whether the first requests succeeded.
func (w *StoreWatcher) watch(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, err := w.Refresh(ctx)
	if err != nil {
		return false
	}
	changes, err := w.store.Watch(ctx, DocumentKey, revision)
	if err != nil {
		w.recordFailure(ctx, err)
		return false
	}
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for w.gossiper.watches.Load() {
		select {
		case <-ctx.Done():
			return true
		case change, open := <-changes:
			if !open {
				return true
			}
			w.handleChange(change)
		case <-ticker.C:
			if _, err := w.Refresh(ctx); err != nil {
				return true
			}
		}
	}
	return true
}

func (w *StoreWatcher) handleChange(change outside.WatchEvent) {
	if change.Deleted || change.Key != DocumentKey {
		return
	}
	if err := w.gossiper.handleWatchEvent(change.ModRevision, change.Value); err != nil {
		klog.InfoS("configuration rejected", "revision", change.ModRevision, "err", err)
	}
}

// Refresh reads the store once and returns the stored revision, zero if there is none.
func (w *StoreWatcher) Refresh(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	readAt := time.Now()
	kv, err := w.store.Get(ctx, DocumentKey)
	if err != nil {
		w.recordFailure(ctx, err)
		return 0, errors.Wrap(err, "read configuration")
	}
	if kv.ModRevision == 0 {
		return 0, nil
	}
	if active := int64(w.gossiper.active.Current().Revision); kv.ModRevision < active && kv.ModRevision != w.goneBackTo {
		w.goneBackTo = kv.ModRevision
		klog.InfoS("the store holds an earlier configuration than the active one; it may have gone back", "revision", kv.ModRevision, "active", active)
	}
	return kv.ModRevision, w.gossiper.handleStoreRead(readAt, kv.ModRevision, kv.Value)
}

func (w *StoreWatcher) recordFailure(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	klog.InfoS("cannot read configuration", "err", err)
	w.gossiper.storeFailed()
}
