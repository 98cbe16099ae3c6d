package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func (d *deployment) setLimits(g *Gateway, idleTimeout time.Duration, headerBytes int) {
	d.t.Helper()
	d.configure(func(config map[string]any) {
		config["Limits"] = map[string]any{
			"MaxHeaderBytes": headerBytes, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000,
			"IdleTimeoutMs": idleTimeout.Milliseconds(),
		}
	})
	d.waitUntil(func() bool { return g.table.Load().Version() == int64(d.version) })
}

// The entry closed an open connection by the idle timeout under which it was accepted, although
// its caller could count on the one in force.
func TestIdleTimeout_GrownLimitAppliesToOpenConnections(t *testing.T) {
	t.Parallel()
	const before, after = 2 * time.Second, time.Minute
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.setLimits(g, before, 16384)
	used, unused := d.dialCaller(g), d.dialCaller(g)
	used.send(t, encodeRequest(t, g, statusRequest()))
	assert.Equal(t, used.receive(t), http.StatusOK)
	d.setLimits(g, after, 16384)
	time.Sleep(before + 500*time.Millisecond)
	for _, conn := range []*keptConnection{used, unused} {
		conn.send(t, encodeRequest(t, g, bookingRequest()))
		assert.Equal(t, conn.receive(t), http.StatusOK)
	}
}

// Callers used connections until the entry closed them, which cost some a response.
func TestIdleTimeout_CallersAreToldInEachResponse(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	d.startApplication("a1", "naxos")
	d.startRawTarget("raw", "raw", func(e rawExchange) {
		e.write(e.head("Keep-Alive: timeout=999\r\nContent-Length: 2\r\n\r\nok"))
	})
	d.configure(func(config map[string]any) {
		config["Services"] = append(config["Services"].([]any), map[string]any{"Name": "raw", "MaxConnections": 10})
		config["Routes"] = append(config["Routes"].([]any), map[string]any{
			"Name": "raw", "Host": testHost, "Prefix": "/raw/", "RouteType": "idempotent", "TimeoutMs": 5000,
			"TargetLatencyMs": 500, "Service": "raw", "MaxAttempts": 2,
		})
	})
	g := d.startReadyEntry("entry-1")
	stream := streamRequest()
	oversized := bookingRequest()
	oversized.Body = strings.Repeat("x", 5000)
	for _, test := range []struct {
		request   *callerRequest
		status    int
		keepAlive string
	}{
		{bookingRequest(), http.StatusOK, "timeout=12"},
		{stream, http.StatusOK, "timeout=12"},
		{newCallerRequest(http.MethodGet, "/unknown", ""), http.StatusNotFound, "timeout=12"},
		{newCallerRequest(http.MethodGet, "/raw/1", ""), http.StatusOK, "timeout=12"},
		// The rest of the body is not read.
		{oversized, http.StatusRequestEntityTooLarge, ""},
	} {
		response := d.send(g, test.request)
		assert.Equal(t, response.status, test.status)
		assert.Equal(t, response.header.Get("Keep-Alive"), test.keepAlive, test.request.Path)
	}
	d.setLimits(g, 1200*time.Millisecond, 16384)
	assert.Equal(t, d.send(g, bookingRequest()).header.Get("Keep-Alive"), "")
	conn := d.dialCaller(g)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	conn.send(t, encodeRequest(t, g, bookingRequest()))
	response, err := http.ReadResponse(conn.responses, nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
}

// A caller within the limits in force was refused on a connection that was accepted before.
func TestLimits_ChangeAppliesToOpenConnections(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	conn := d.dialCaller(g)
	conn.send(t, encodeRequest(t, g, statusRequest()))
	assert.Equal(t, conn.receive(t), http.StatusOK)
	d.setLimits(g, 15*time.Second, 64<<10)
	large := bookingRequest()
	large.Header = http.Header{"X-Wide": {strings.Repeat("x", 40000)}}
	conn.send(t, encodeRequest(t, g, large))
	assert.Equal(t, conn.receive(t), http.StatusOK)
	d.setLimits(g, 15*time.Second, 8<<10)
	conn.send(t, encodeRequest(t, g, large))
	assert.Equal(t, conn.receive(t), http.StatusRequestHeaderFieldsTooLarge)
}

// A storm of limits kept the server of each.
func TestLimits_ChangesEndNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: 10 * time.Millisecond, EventInterval: 50 * time.Millisecond, Slots: 128,
	})
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 1)
	conn, slow := d.dialCaller(g), d.dialCaller(g)
	encoded := encodeRequest(t, g, bookingRequest())
	for i := range 20 {
		slow.send(t, encoded[:40])
		d.setLimits(g, 9*time.Second+time.Duration(i)*time.Millisecond, 16384+i)
		conn.send(t, encodeRequest(t, g, bookingRequest()))
		assert.Equal(t, conn.receive(t), http.StatusOK)
		slow.send(t, encoded[40:])
		assert.Equal(t, slow.receive(t), http.StatusOK)
	}
	r.expectRest(t, req.AttemptID, 1)
}

// A caller connected to a starting entry, which kept the limits from before it had read the
// configuration for that connection.
func TestLimits_OfFirstConfigurationApplyToConnectionsAcceptedBeforeIt(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.configure(func(config map[string]any) {
		config["Limits"] = map[string]any{
			"MaxHeaderBytes": 64 << 10, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 60000,
		}
	})
	d.store.SetFaults(kv.Faults{Outage: true})
	g := d.startEntry("entry-1")
	conn := d.dialCaller(g)
	d.waitUntil(func() bool { return g.ingress.callerListener.Connections().Unused == 1 })
	assert.Assert(t, g.table.Load() == nil)
	d.store.SetFaults(kv.Faults{})
	d.waitUntil(func() bool { return g.ready() && g.targetCount() == 1 })
	large := bookingRequest()
	large.Header = http.Header{"X-Wide": {strings.Repeat("x", 40000)}}
	conn.send(t, encodeRequest(t, g, large))
	assert.Equal(t, conn.receive(t), http.StatusOK)
}
