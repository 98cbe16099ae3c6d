package etcd_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

func newTestStore(t *testing.T) (*kv.Store, *etcd.Store, context.Context) {
	t.Helper()
	state := kv.New()
	server := httptest.NewServer(state.EtcdHandler())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	return state, etcd.NewStore([]string{server.URL}, server.Client()), ctx
}

func mustSwap(ctx context.Context, t *testing.T, store outside.Store, swap outside.CompareAndSwapRequest) outside.KeyValue {
	t.Helper()
	current, swapped, err := store.CompareAndSwap(ctx, swap)
	assert.NilError(t, err)
	assert.Assert(t, swapped)
	return current
}

func TestLeaseExpiry_DeletesKeyAndRejectsWrites(t *testing.T) {
	state, store, ctx := newTestStore(t)
	lease, err := store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	first := mustSwap(ctx, t, store, outside.CompareAndSwapRequest{Key: "a", Value: []byte("1"), Lease: lease})
	alive, err := store.KeepAlive(ctx, lease)
	assert.NilError(t, err)
	assert.Assert(t, alive)
	state.ExpireLeases()
	alive, err = store.KeepAlive(ctx, lease)
	assert.NilError(t, err)
	assert.Assert(t, !alive)
	current, err := store.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, current.ModRevision, int64(0))
	_, _, err = store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: "a", Lease: lease})
	assert.Equal(t, fault.KindOf(err), fault.StoreUnavailable)
	second := mustSwap(ctx, t, store, outside.CompareAndSwapRequest{Key: "a"})
	assert.Assert(t, second.ModRevision > first.ModRevision)
	assert.NilError(t, store.Revoke(ctx, lease))
}

func TestWatch_OrderedAndResumesAfterCompaction(t *testing.T) {
	state, store, ctx := newTestStore(t)
	first := mustSwap(ctx, t, store, outside.CompareAndSwapRequest{Key: "p/a", Value: []byte("1")})
	second := mustSwap(ctx, t, store, outside.CompareAndSwapRequest{Key: "p/a", Value: []byte("2"), ExpectedRevision: first.ModRevision})
	third := mustSwap(ctx, t, store, outside.CompareAndSwapRequest{Key: "p/b", Value: []byte("3")})
	state.Compact(second.ModRevision)
	watch, err := store.Watch(ctx, "p/", first.ModRevision)
	assert.NilError(t, err)
	assert.Equal(t, (<-watch).ModRevision, second.ModRevision)
	assert.Equal(t, (<-watch).ModRevision, third.ModRevision)
	deleted, err := store.Delete(ctx, "p/a", second.ModRevision)
	assert.NilError(t, err)
	assert.Assert(t, deleted)
	event := <-watch
	assert.Equal(t, event.Key, "p/a")
	assert.Assert(t, event.Deleted)
	state.CloseWatches()
	_, open := <-watch
	assert.Assert(t, !open)
}

func TestCompareAndSwap_LostResponseTakesEffectOutageDoesNot(t *testing.T) {
	state, store, ctx := newTestStore(t)
	state.SetFaults(kv.Faults{ResponseLossRate: 1})
	_, _, err := store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: "a", Value: []byte("1")})
	assert.Equal(t, fault.KindOf(err), fault.StoreUnavailable)
	state.SetFaults(kv.Faults{Outage: true})
	_, _, err = store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: "b", Value: []byte("1")})
	assert.Equal(t, fault.KindOf(err), fault.StoreUnavailable)
	state.SetFaults(kv.Faults{})
	list, err := store.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Key, "a")
	assert.Equal(t, store.CallCounts().Writes, int64(2))
	assert.Equal(t, store.CallCounts().Failed, int64(2))
}
