package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/eventlog"
	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	testKey    = "key-of-crew"
	testHost   = "ponds.example"
	testEvents = 20
)

// site is a whole deployment in one process: a store, targets and entries.
type site struct {
	t       *testing.T
	store   *kv.Store
	address string
	fleet   *replica.Fleet
	config  map[string]any
	version int
	started int
	// log is that of the entries; nil writes nothing.
	log *eventlog.Log
}

func newSite(t *testing.T) *site {
	t.Helper()
	store := kv.New()
	server := httptest.NewServer(store.PlatformHandler())
	t.Cleanup(server.CloseClientConnections)
	s := &site{
		t: t, store: store, fleet: replica.NewFleet(),
		address: strings.TrimPrefix(server.URL, "http://"),
	}
	route := func(prefix, kind, service string, more map[string]any) map[string]any {
		fields := map[string]any{
			"Name": prefix, "Host": testHost, "Prefix": prefix, "RouteType": kind, "TimeoutMs": 5000,
			"TargetLatencyMs": 500, "Service": service, "MaxAttempts": 2,
		}
		for name, value := range more {
			fields[name] = value
		}
		return fields
	}
	s.config = map[string]any{
		"Routes": []any{
			route("/report/", "streaming", "writer", map[string]any{"StreamResumption": true, "MaxAttempts": 5, "GapAimMs": 700}),
			route("/book/", "non_idempotent", "bookings", nil),
			route("/status/", "idempotent", "bookings", nil),
			route("/open/", "idempotent", "bookings", map[string]any{"Anonymous": true}),
		},
		"Services": []any{
			map[string]any{"Name": "writer", "MaxConnections": 600, "HealthPath": replica.HealthPath, "Engine": map[string]any{
				"Slots": 128, "KvCapacityTokens": 88000, "Backups": true, "HandleS": 2.0, "Stride": 5,
			}},
			map[string]any{"Name": "bookings", "MaxConnections": 100, "HealthPath": replica.HealthPath},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "crew", "ApiKeys": []string{testKey}, "Priority": 1}},
	}
	s.configure(nil)
	return s
}

// configure puts a configuration in force, changed by change.
func (s *site) configure(change func(config map[string]any)) {
	s.t.Helper()
	if change != nil {
		change(s.config)
	}
	s.version++
	s.config["Version"] = s.version
	value, err := json.Marshal(s.config)
	assert.NilError(s.t, err)
	s.store.Put(platform.ConfigurationKey, value)
}

// engine starts a model engine and registers it.
func (s *site) engine(id, zone string) *replica.Replica {
	return s.start(replica.Config{
		ID: id, Service: "writer", FailureDomain: zone, Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
}

// application starts an application replica and registers it.
func (s *site) application(id, zone string) *replica.Replica {
	return s.start(replica.Config{ID: id, Service: "bookings", FailureDomain: zone, CallTime: 10 * time.Millisecond, Slots: 6})
}

func (s *site) start(config replica.Config) *replica.Replica {
	s.t.Helper()
	s.started++
	config.Incarnation = int64(1000 + s.started)
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	r, err := s.fleet.Start(config)
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Crash)
	s.register(r, "ready")
	return r
}

func (s *site) register(r *replica.Replica, state string) {
	s.store.Put(platform.TargetPrefix+r.Config().ID, r.RegistrationValue(state))
}

// entry starts an entry and waits until it is ready and knows all targets.
func (s *site) entry(name string) *Gateway {
	s.t.Helper()
	return s.entryKnowing(name, len(s.items(platform.TargetPrefix)))
}

// entryKnowing starts an entry and waits until it is ready and knows so many targets.
func (s *site) entryKnowing(name string, targets int) *Gateway {
	g := s.startEntry(name)
	s.eventually(func() bool { return g.ready() && g.targets() >= targets })
	return g
}

// startEntry starts an entry.
func (s *site) startEntry(name string) *Gateway {
	s.t.Helper()
	any0 := "127.0.0.1:0"
	settings := Settings{
		Name: name, FailureDomain: "naxos", Callers: any0, Health: any0, Metrics: any0, Peers: any0, Store: s.address,
		Bounds: Bounds{
			RevokeWithin: version.Duration(3 * time.Second), Grace: version.Duration(4 * time.Second),
			AddressReuse: version.Duration(2 * time.Second),
			RetryRatio:   0.8, RetrySlack: 150, RetryWindow: version.Duration(10 * time.Second),
		},
	}
	m, err := newInstruments(settings)
	assert.NilError(s.t, err)
	g := newGateway(settings, s.log, platform.NewStore(s.address), target.NewPool(), m)
	assert.NilError(s.t, g.Start(context.Background()))
	s.t.Cleanup(func() {
		if !g.draining.Load() {
			g.ingress.stopAccepting()
			g.ingress.close()
			g.cancel()
			_ = g.peers.Close()
		}
	})
	return g
}

func (s *site) items(prefix string) [][]byte {
	items, _, err := platform.NewStore(s.address).Range(context.Background(), prefix)
	assert.NilError(s.t, err)
	values := make([][]byte, len(items))
	for i, item := range items {
		values[i] = item.Value
	}
	return values
}

// targets returns how many targets an entry knows.
func (g *Gateway) targets() int {
	n := 0
	g.control.do(func() { n = g.control.table.Len() })
	return n
}

func (g *Gateway) callers() string { return g.ingress.callerListener.Addr().String() }

// eventually waits until a condition holds, for as long as any bound of the pages
// allows it to take.
func (s *site) eventually(holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(6 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatal("the condition did not come to hold")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var lastRequest atomic.Int64

// ask is a request of a caller.
type ask struct{ caller.Request }

func newAsk(method, path, body string) *ask {
	return &ask{caller.Request{
		Method: method, Path: path, Body: body, Host: testHost, APIKey: testKey, DeadlineRemaining: 5 * time.Second,
		AttemptID: fmt.Sprintf("request-%d", lastRequest.Add(1)),
	}}
}

func (a *ask) request(ctx context.Context, g *Gateway) *http.Request {
	r, err := a.NewHTTPRequest(ctx, g.callers())
	if err != nil {
		panic(err)
	}
	return r
}

// got is what a caller received.
type got struct {
	status int
	header http.Header
	body   string
	// whole says that the answer did not break off.
	whole bool
}

// send sends a request and reads its whole answer.
func (s *site) send(g *Gateway, a *ask) got {
	s.t.Helper()
	response, err := http.DefaultClient.Do(a.request(context.Background(), g))
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return got{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}
}

// reader reads the events of a stream as they come.
type reader struct {
	response *http.Response
	stream   *caller.EventReader
}

func (s *site) open(ctx context.Context, g *Gateway, a *ask) *reader {
	s.t.Helper()
	response, err := http.DefaultClient.Do(a.request(ctx, g))
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return &reader{response: response, stream: caller.NewEventReader(response.Body)}
}

// events checks that the rest of a stream holds each event after from once, in
// order, and ends after the last.
func (r *reader) events(t *testing.T, request string, from int) {
	t.Helper()
	for want := from + 1; want <= testEvents; want++ {
		event, err := r.stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, event.ID, want)
		assert.Equal(t, event.Data, replica.EventData(request, want))
	}
	_, err := r.stream.Next()
	assert.ErrorIs(t, err, io.EOF)
}

// skip reads events until the one with the given id.
func (r *reader) skip(t *testing.T, until int) {
	t.Helper()
	for id := 0; id < until; {
		event, err := r.stream.Next()
		assert.NilError(t, err)
		id = event.ID
	}
}
