package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
)

// stoppingBody is the request of a caller whose body stops one byte before its end.
func stoppingBody(t *testing.T, g *Gateway, path string, size int) []byte {
	encoded := encodeRequest(t, g, newCallerRequest(http.MethodPost, path, strings.Repeat("a", size)))
	return encoded[:len(encoded)-1]
}

// Bodies that stopped were kept until the deadline of their requests. Those that have waited longest
// yield and are refused as not run, and an ordinary request is served beside them.
func TestCallerLimits_BodiesThatStopYield(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	settings := d.entrySettings("entry-1")
	settings.MemoryMB = 3
	g := d.startEntryWith(settings)
	d.waitUntil(func() bool { return g.ready() && g.targetCount() >= 1 })
	var crowd []*keptConnection
	const callers = 60
	for range callers {
		c := d.dialCaller(g)
		c.send(t, stoppingBody(t, g, "/book/7", 4000))
		crowd = append(crowd, c)
	}
	refused := 0
	for _, c := range crowd[:callers/4] {
		response, err := http.ReadResponse(c.responses, nil)
		if err != nil {
			// Its connection was closed.
			refused++
			continue
		}
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Close)
		refused++
	}
	assert.Equal(t, refused, callers/4)
	metrics, err := http.Get("http://" + g.ingress.metricsListener.Addr().String() + "/metrics")
	assert.NilError(t, err)
	text, err := io.ReadAll(metrics.Body)
	assert.NilError(t, err)
	assert.NilError(t, metrics.Body.Close())
	for _, name := range []string{"mulberrylane_callers_limited_total{", "mulberrylane_callers_memory_bytes", "mulberrylane_callers_connections"} {
		assert.Assert(t, strings.Contains(string(text), "\n"+name), "%s", name)
	}
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
	assert.Assert(t, g.bodyMemory.used() <= 3<<18)
	for _, c := range crowd {
		_ = c.Close()
	}
	d.waitUntil(func() bool { return g.activeRequests.count() == 0 })
}

// The body of a request is counted until its response has been sent, and given back then.
func TestCallerLimits_NothingStaysCounted(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	client := &http.Client{Transport: &http.Transport{}}
	for i := range 8 {
		for _, req := range []*callerRequest{
			newCallerRequest(http.MethodPost, "/book/7", strings.Repeat("a\n", 1+500*i)),
			newCallerRequest(http.MethodPost, "/nowhere", strings.Repeat("a", 4000)),
			newCallerRequest(http.MethodPost, "/book/7", strings.Repeat("a", 5000)),
			newCallerRequest(http.MethodGet, "/status/7", ""),
			streamRequest(),
		} {
			response, err := client.Do(req.httpRequest(context.Background(), g))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
		}
	}
	client.CloseIdleConnections()
	d.waitUntil(func() bool { return g.bodyMemory.used() == 0 && g.bodyMemory.memory.Connections() == 0 })
}

// The body of a request without a route was waited for for a minute.
func TestCallerLimits_RefusedBodyThatStopsEnds(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	c := d.dialCaller(g)
	c.send(t, stoppingBody(t, g, "/nowhere", 4000))
	response, err := http.ReadResponse(c.responses, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Assert(t, response.Close)
}

// A body that makes no progress ends although the time of its request goes on, and one that makes
// progress does not.
func TestCallerLimits_BodyWithoutProgressEnds(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	d.setTimeouts(2 * time.Minute)
	g := d.startReadyEntry("entry-1")
	g.bodyStallTimeout = 3 * time.Second
	send := func(pauses ...time.Duration) chan int {
		req := newCallerRequest(http.MethodPost, "/book/7", strings.Repeat("a", 4000))
		req.DeadlineRemaining = time.Minute
		encoded, c := encodeRequest(t, g, req), d.dialCaller(g)
		status := make(chan int, 1)
		go func() {
			half := len(encoded) - 2500
			_, _ = c.Write(encoded[:half])
			for _, pause := range pauses {
				time.Sleep(pause)
				part := min(1250, len(encoded)-half)
				_, _ = c.Write(encoded[half : half+part])
				half += part
			}
			response, err := http.ReadResponse(c.responses, nil)
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
		return status
	}
	stops, goesOn := send(), send(1800*time.Millisecond, 1800*time.Millisecond)
	assert.Equal(t, <-stops, http.StatusRequestTimeout)
	assert.Equal(t, <-goesOn, http.StatusOK)
}

// Anybody may send datagrams. A gateway remembered the updates of all senders, under any number of
// names; those of entries that are registered count in any case.
func TestPeers_UnregisteredSendersAreLimited(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	sender, err := peers.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = sender.Close() }()
	for i := range 200 {
		_, err = sender.Send(peers.Update{
			Entry: fmt.Sprint("nobody-", i), Incarnation: 1, Sequence: 1, Full: true,
			Work: map[request.TargetID][3]int{"a1": {1, 1, 1}},
		}, []string{g.peers.Address()})
		assert.NilError(t, err)
	}
	known := func() int {
		n := 0
		g.control.do(func() { n = len(g.control.peerUpdates) })
		return n
	}
	d.waitUntil(func() bool { return known() >= maxUnregisteredPeers })
	d.startReadyEntry("entry-2")
	registered := false
	d.waitUntil(func() bool {
		g.control.do(func() { _, registered = g.control.peerLastSeen["entry-2"] })
		return registered
	})
	assert.Assert(t, known() <= maxUnregisteredPeers+1)
}
