package configuration_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
)

func startStore(t *testing.T) (*kv.Store, *configuration.Client, context.Context) {
	t.Helper()
	state := kv.New()
	server := httptest.NewServer(state.EtcdHandler())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(func() { cancel(); server.Close() })
	return state, configuration.NewClient(etcd.NewStore([]string{server.URL}, server.Client())), ctx
}

func documentWithShare(share int) version.Document {
	return version.Document{Workspaces: map[string]version.Workspace{"crew": {Share: share}}}
}

func apply(ctx context.Context, t *testing.T, c *configuration.Client, author string, base configuration.AcceptedRevision, share int) configuration.AcceptedRevision {
	t.Helper()
	accepted, err := c.Apply(ctx, configuration.Change{Author: author, Base: base, Document: documentWithShare(share)})
	assert.NilError(t, err)
	return accepted
}

func TestApply_ReportsConflictingChange(t *testing.T) {
	_, client, ctx := startStore(t)
	first := apply(ctx, t, client, "ana", configuration.AcceptedRevision{}, 1)
	second := apply(ctx, t, client, "ioana", first, 2)
	_, err := client.Apply(ctx, configuration.Change{Author: "ana", Base: first, Document: documentWithShare(3)})
	var conflict *configuration.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current.Author, "ioana")
	assert.Equal(t, conflict.Current.Revision, second.Revision)
	history, err := client.History(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[1].Revision, first.Revision)
	kept, err := client.GetRevision(ctx, first.Revision)
	assert.NilError(t, err)
	assert.Equal(t, kept.Document.Workspaces["crew"].Share, 1)
}

func TestApply_ResolvesLostReplies(t *testing.T) {
	state, client, ctx := startStore(t)
	base := apply(ctx, t, client, "ana", configuration.AcceptedRevision{}, 1)
	for seed := range uint64(8) {
		state.SetFaults(kv.Faults{ResponseLossRate: 0.5, WriteLossRate: 0.3, Seed: seed})
		base = apply(ctx, t, client, "ana", base, int(seed))
	}
	state.SetFaults(kv.Faults{})
	current, err := client.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Revision, base.Revision)
	assert.Equal(t, current.Sequence, int64(9))
}

func TestHistory_KeepsLatestRevisions(t *testing.T) {
	_, client, ctx := startStore(t)
	var base configuration.AcceptedRevision
	for i := range configuration.HistoryLength + 10 {
		base = apply(ctx, t, client, "ana", base, i)
	}
	history, err := client.History(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(history), configuration.HistoryLength+1)
	for i, accepted := range history {
		assert.Equal(t, accepted.Sequence, base.Sequence-int64(i))
	}
}
