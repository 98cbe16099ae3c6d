package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// startEntries starts entries and waits until each knows which one reads the store.
func (d *deployment) startEntries(names ...string) []*Gateway {
	var entries []*Gateway
	for _, name := range names {
		entries = append(entries, d.startReadyEntry(name))
	}
	d.waitUntil(func() bool {
		readers := 0
		for _, g := range entries {
			known := 0
			g.control.do(func() { known = len(g.control.peerLastSeen) })
			if known < len(names)-1 {
				return false
			}
			if v := g.view(); v.ReadsStore() {
				readers++
			}
		}
		return readers == 1
	})
	return entries
}

func (g *Gateway) view() storesync.View {
	var v storesync.View
	g.control.do(func() { v = g.control.syncView() })
	return v
}

func reader(entries []*Gateway) (int, *Gateway) {
	for i, g := range entries {
		if v := g.view(); v.ReadsStore() {
			return i, g
		}
	}
	return -1, nil
}

func TestStoreSync_EntriesTogetherReadTheStoreOnceASecond(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.startEntries("entry-1", "entry-2", "entry-3", "entry-4")
	// The reader holds its calls open in the first seconds after its start.
	time.Sleep(longPollPeriod)
	calls := func() int64 { return d.store.Calls().Watches + d.store.Calls().Ranges }
	before := calls()
	const period = 3 * time.Second
	time.Sleep(period)
	assert.Assert(t, calls()-before <= int64(period/pollInterval)+1, "%d calls in %s", calls()-before, period)
}

// A key is revoked after the entry that read the store has stopped.
func TestStoreSync_RevocationAppliesAfterLossOfReader(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	lost, g := reader(entries)
	g.cancel()
	assert.NilError(t, g.peers.Close())
	g.ingress.close()
	d.configure(func(config map[string]any) {
		config["Tenants"] = []any{map[string]any{"Name": "crew", "ApiKeys": []string{"another key"}}}
	})
	for i, g := range entries {
		if i == lost {
			continue
		}
		d.waitWithin(g.settings.Bounds.RevokeWithin.Std(), func() bool { return d.send(g, bookingRequest()).status == http.StatusUnauthorized })
	}
}

// During an outage all entries refuse keys before the revocation bound has passed, and serve
// soon after its end.
func TestStoreSync_OutageAndItsEndReachAllEntries(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	d.store.SetFaults(kv.Faults{Outage: true})
	time.Sleep(entries[0].settings.Bounds.RevokeWithin.Std())
	for _, g := range entries {
		assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusServiceUnavailable)
	}
	d.store.SetFaults(kv.Faults{})
	for _, g := range entries {
		d.waitWithin(time.Second, func() bool { return d.send(g, bookingRequest()).status == http.StatusOK })
	}
}

// A target is deregistered; every entry stops using it within the bound of the deployments.
func TestStoreSync_ChangesReachAllEntriesAtOnce(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	gone := d.startApplication("a2", "paros")
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	d.store.Delete("servers/" + gone.Config().ID)
	start := time.Now()
	for _, g := range entries {
		d.waitWithin(applyTimeout, func() bool { return !g.knowsTarget("a2") })
	}
	assert.Assert(t, time.Since(start) < pollInterval+storesync.QuestionInterval, "took %s", time.Since(start))
}

// The store turns away the entry that reads it. Others may answer that entry, but it must not
// answer them: all would wait for each other instead of reading the store.
func TestStoreSync_ReaderTurnedAwayDoesNotAnswer(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	names := []string{"entry-1", "entry-2", "entry-3"}
	var turnedAway atomic.Bool
	backend, err := url.Parse("http://" + d.address)
	assert.NilError(t, err)
	forward := httputil.NewSingleHostReverseProxy(backend)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if turnedAway.Load() {
			panic(http.ErrAbortHandler)
		}
		forward.ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.CloseClientConnections)
	direct := d.address
	var entries []*Gateway
	for _, name := range names {
		d.address = direct
		if v := storesync.NewView(name, "naxos", map[string][]string{"naxos": names}, nil); v.ReadsStore() {
			d.address = strings.TrimPrefix(proxy.URL, "http://")
		}
		entries = append(entries, d.startEntry(name))
	}
	d.address = direct
	d.waitUntil(func() bool {
		for _, g := range entries {
			known := 0
			g.control.do(func() { known = len(g.control.peerLastSeen) })
			if known < len(names)-1 || !g.ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(peerDiscoveryTime)
	_, readerEntry := reader(entries)
	turnedAway.Store(true)
	stranger, err := peers.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = stranger.Close() }()
	time.Sleep(pollInterval + storesync.QuestionInterval)
	for id := range uint64(10) {
		question := peers.Update{Entry: "stranger", Question: &peers.SyncQuestion{ID: id + 1, Revision: 1}}
		_, err = stranger.Send(question, []string{readerEntry.peers.Address()})
		assert.NilError(t, err)
		answer, _, err := stranger.Receive()
		assert.NilError(t, err)
		assert.Assert(t, answer.Answer.Unavailable, "question %d", id)
		time.Sleep(100 * time.Millisecond)
	}
	d.configure(func(config map[string]any) {
		config["Tenants"] = []any{map[string]any{"Name": "crew", "ApiKeys": []string{"another key"}}}
	})
	for _, g := range entries {
		d.waitWithin(applyTimeout, func() bool { return d.send(g, bookingRequest()).status == http.StatusUnauthorized })
	}
}

// An entry that asks another one advances its own revision, so that it gets each change once.
func TestStoreSync_RevisionAdvancesWithAnswers(t *testing.T) {
	d := newDeployment(t)
	entries := d.startEntries("entry-1", "entry-2", "entry-3")
	time.Sleep(peerDiscoveryTime)
	for i := range 3 {
		d.startApplication(fmt.Sprintf("a%d", i), "naxos")
	}
	for _, g := range entries {
		d.waitWithin(applyTimeout, func() bool {
			revision := int64(0)
			g.control.do(func() { revision = g.control.storeHistory.Position().Revision })
			return revision == d.store.Revision() && g.targetCount() == 3
		})
	}
}
