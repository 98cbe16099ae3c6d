package revision

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
)

// benchFleet runs the gossipers of many processes in one process, with in-memory
// links and one store over HTTP.
type benchFleet struct {
	store    *kv.Store
	entries  []*Gossiper
	agents   []*Gossiper
	adapters []*etcd.Store
	bytes    atomic.Int64
}

func startBenchFleet(b *testing.B, ctx context.Context, entries, agents int) *benchFleet {
	f := &benchFleet{store: kv.New()}
	server := httptest.NewServer(f.store.EtcdHandler())
	b.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range agents {
		g := NewGossiper(fmt.Sprintf("agent-%d", i), gossip.Agent, NewActive())
		go g.Run(ctx)
		f.agents = append(f.agents, g)
	}
	for i := range entries {
		g := NewGossiper(fmt.Sprintf("entry-%d", i), gossip.Entry, NewActive())
		go g.Run(ctx)
		adapter := etcd.NewStore([]string{server.URL}, server.Client())
		go NewStoreWatcher(adapter, g).Run(ctx)
		f.entries = append(f.entries, g)
		f.adapters = append(f.adapters, adapter)
		for j, agent := range f.agents {
			f.connect(g, fmt.Sprintf("entry-%d", i), agent, fmt.Sprintf("agent-%d", j))
		}
	}
	return f
}

// connect links an entry and an agent; each frame is encoded to count its bytes.
func (f *benchFleet) connect(entry *Gossiper, entryName string, agent *Gossiper, agentName string) {
	ready := make(chan struct{})
	var toEntry, toAgent *Session
	deliverTo := func(to **Session) func(any) error {
		return func(frame any) error {
			<-ready
			data, err := cbor.Marshal(frame)
			f.bytes.Add(int64(len(data)))
			(*to).Receive(frame.(wire.ControlFrame))
			return err
		}
	}
	toAgent = agent.OpenSession(entryName, gossip.Entry, deliverTo(&toEntry))
	toEntry = entry.OpenSession(agentName, gossip.Agent, deliverTo(&toAgent))
	close(ready)
}

func (f *benchFleet) apply(b *testing.B, sequence int64) int64 {
	body, err := version.RevisionRecord{Author: "bench", Sequence: sequence}.Encode()
	assert.NilError(b, err)
	f.store.Put(DocumentKey, body)
	return f.store.Revision()
}

func (f *benchFleet) await(revision int64) {
	for _, g := range append(f.entries[:len(f.entries):len(f.entries)], f.agents...) {
		for int64(g.active.Current().Revision) < revision {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

func (f *benchFleet) storeCalls() (total, watching int64) {
	for _, adapter := range f.adapters {
		total += adapter.CallCounts().Total()
	}
	return total, f.store.Calls().Watching
}

// BenchmarkGossip measures the time from the acceptance of a change to its activation
// at every process, and the load on the store and the links while nothing changes.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 5}, {5, 50}, {20, 320}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := startBenchFleet(b, ctx, size.entries, size.agents)
			f.await(f.apply(b, 1))
			time.Sleep(6 * time.Second)
			const idle = 10 * time.Second
			before, _ := f.storeCalls()
			sent := f.bytes.Load()
			time.Sleep(idle)
			after, watching := f.storeCalls()
			perLink := float64(f.bytes.Load()-sent) / float64(size.entries*size.agents) / idle.Seconds()
			b.ResetTimer()
			var slowest time.Duration
			for i := range b.N {
				startedAt := time.Now()
				f.await(f.apply(b, int64(i)+2))
				slowest = max(slowest, time.Since(startedAt))
			}
			b.ReportMetric(float64(after-before)/idle.Seconds(), "store-calls/s")
			b.ReportMetric(float64(watching), "watches")
			b.ReportMetric(perLink, "B/s/link")
			b.ReportMetric(float64(slowest.Microseconds())/1000, "slowest-ms")
		})
	}
}
