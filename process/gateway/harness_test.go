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
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	testKey    = "key-of-crew"
	testHost   = "ponds.example"
	testEvents = 20
)

// deployment is a complete deployment in one process: a store, targets and entries.
type deployment struct {
	t             *testing.T
	store         *kv.Store
	address       string
	fleet         *replica.Fleet
	configuration map[string]any
	version       int
	startCount    int
	// log is the log of the entries; nil discards it.
	log *eventlog.Log
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := kv.New()
	server := httptest.NewServer(store.PlatformHandler())
	t.Cleanup(server.CloseClientConnections)
	d := &deployment{
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
	d.configuration = map[string]any{
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
	d.configure(nil)
	return d
}

// configure modifies the configuration with change, if given, and publishes it as the
// next version.
func (d *deployment) configure(change func(config map[string]any)) {
	d.t.Helper()
	if change != nil {
		change(d.configuration)
	}
	d.version++
	d.configuration["Version"] = d.version
	value, err := json.Marshal(d.configuration)
	assert.NilError(d.t, err)
	d.store.Put(platform.ConfigurationKey, value)
}

// startEngine starts a model engine and registers it.
func (d *deployment) startEngine(id, failureDomain string) *replica.Replica {
	return d.startReplica(replica.Config{
		ID: id, Service: "writer", FailureDomain: failureDomain, Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
}

// startApplication starts an application replica and registers it.
func (d *deployment) startApplication(id, failureDomain string) *replica.Replica {
	return d.startReplica(replica.Config{ID: id, Service: "bookings", FailureDomain: failureDomain, CallTime: 10 * time.Millisecond, Slots: 6})
}

func (d *deployment) startReplica(config replica.Config) *replica.Replica {
	d.t.Helper()
	d.startCount++
	config.Incarnation = int64(1000 + d.startCount)
	if config.Address == "" {
		config.Address = network.ProcessAddress()
	}
	r, err := d.fleet.Start(config)
	assert.NilError(d.t, err)
	d.t.Cleanup(r.Crash)
	d.register(r, "ready")
	return r
}

func (d *deployment) register(r *replica.Replica, state string) {
	d.store.Put(platform.TargetPrefix+r.Config().ID, r.RegistrationValue(state))
}

// startReadyEntry starts an entry and waits until it is ready and knows all targets.
func (d *deployment) startReadyEntry(name string) *Gateway {
	d.t.Helper()
	return d.startEntryWithTargets(name, len(d.storeValues(platform.TargetPrefix)))
}

// startEntryWithTargets starts an entry and waits until it is ready and knows the given
// number of targets.
func (d *deployment) startEntryWithTargets(name string, targets int) *Gateway {
	g := d.startEntry(name)
	d.waitUntil(func() bool { return g.ready() && g.targetCount() >= targets })
	return g
}

// startEntry starts an entry without waiting for it.
func (d *deployment) startEntry(name string) *Gateway {
	d.t.Helper()
	return d.startEntryWith(d.entrySettings(name))
}

func (d *deployment) entrySettings(name string) Settings {
	anyPort := "127.0.0.1:0"
	return Settings{
		Name: name, FailureDomain: "naxos", Callers: anyPort, Health: anyPort, Metrics: anyPort, Peers: anyPort, Store: d.address,
		Bounds: Bounds{
			RevokeWithin: version.Duration(3 * time.Second), Grace: version.Duration(4 * time.Second),
			AddressReuse: version.Duration(2 * time.Second),
			RetryRatio:   0.8, RetrySlack: 150, RetryWindow: version.Duration(10 * time.Second),
		},
	}
}

func (d *deployment) startEntryWith(settings Settings) *Gateway {
	d.t.Helper()
	m, err := newInstruments(settings)
	assert.NilError(d.t, err)
	g := newGateway(settings, d.log, platform.NewStore(d.address), target.NewPool(), m)
	assert.NilError(d.t, g.Start(context.Background()))
	d.t.Cleanup(func() {
		if !g.draining() {
			g.ingress.callerListener.StopAccepting()
			g.ingress.close()
			g.cancel()
			_ = g.peers.Close()
		}
	})
	return g
}

// storeValues reads the store directly: a call may fail, as those of entries do.
func (d *deployment) storeValues(prefix string) [][]byte { return d.store.Values(prefix) }

// targetCount returns how many targets an entry knows.
func (g *Gateway) targetCount() int {
	n := 0
	g.control.do(func() { n = g.control.table.Len() })
	return n
}

func (g *Gateway) callerAddress() string { return g.ingress.callerListener.Addr().String() }

// waitForKnowledge waits until an entry finds its knowledge of the others' runs to be as given.
func (d *deployment) waitForKnowledge(g *Gateway, want kvcopies.Knowledge) {
	d.t.Helper()
	d.waitUntil(func() bool {
		knowledge := want
		g.control.do(func() { knowledge = g.control.kvCopies.Knowledge() })
		return knowledge == want
	})
}

// waitUntil waits until a condition holds, for up to 6 s, the longest that any
// documented bound allows.
func (d *deployment) waitUntil(condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(6 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatal("the condition did not become true within 6 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var requestCounter atomic.Int64

// callerRequest is a request of a caller.
type callerRequest struct{ caller.Request }

func newCallerRequest(method, path, body string) *callerRequest {
	return &callerRequest{caller.Request{
		Method: method, Path: path, Body: body, Host: testHost, APIKey: testKey, DeadlineRemaining: 5 * time.Second,
		AttemptID: fmt.Sprintf("request-%d", requestCounter.Add(1)),
	}}
}

func (req *callerRequest) httpRequest(ctx context.Context, g *Gateway) *http.Request {
	r, err := req.NewHTTPRequest(ctx, g.callerAddress())
	if err != nil {
		panic(err)
	}
	return r
}

// callerResponse is what a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// complete is set if the response was received completely.
	complete bool
}

// send sends a request and reads its whole response.
func (d *deployment) send(g *Gateway, req *callerRequest) callerResponse {
	d.t.Helper()
	response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// streamReader reads the events of a stream as they arrive.
type streamReader struct {
	response *http.Response
	stream   *caller.EventReader
}

func (d *deployment) openStream(ctx context.Context, g *Gateway, req *callerRequest) *streamReader {
	d.t.Helper()
	response, err := http.DefaultClient.Do(req.httpRequest(ctx, g))
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = response.Body.Close() })
	return &streamReader{response: response, stream: caller.NewEventReader(response.Body)}
}

// expectRest checks that the rest of a stream contains each event with an ID above
// after once, in order, and then ends.
func (r *streamReader) expectRest(t *testing.T, request string, after int) {
	t.Helper()
	for want := after + 1; want <= testEvents; want++ {
		event, err := r.stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, event.ID, want)
		assert.Equal(t, event.Data, replica.EventData(request, want))
	}
	_, err := r.stream.Next()
	assert.ErrorIs(t, err, io.EOF)
}

// skipTo reads events up to the one with the given ID.
func (r *streamReader) skipTo(t *testing.T, until int) {
	t.Helper()
	for id := 0; id < until; {
		event, err := r.stream.Next()
		assert.NilError(t, err)
		id = event.ID
	}
}
