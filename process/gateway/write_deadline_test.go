package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setTimeouts sets the timeouts of all routes.
func (d *deployment) setTimeouts(timeout time.Duration) {
	d.t.Helper()
	d.configure(func(config map[string]any) {
		for _, route := range config["Routes"].([]any) {
			route.(map[string]any)["TimeoutMs"] = timeout.Milliseconds()
		}
	})
}

// The entry could not write the end of a stream whose target was silent for longer than a write
// may take, and the response looked truncated.
func TestStream_EndAfterLongSilenceIsWritten(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startRawTarget("e1", "writer", func(e rawExchange) {
		e.write(e.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		events := e.events(1, 2)
		e.write(chunk(events))
		time.Sleep(writeTimeout + 500*time.Millisecond)
		e.write("0\r\n\r\n")
	})
	d.setTimeouts(time.Minute)
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.DeadlineRemaining = 30 * time.Second
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Assert(t, response.complete)
	assert.Equal(t, response.body, rawExchange{id: req.AttemptID}.events(1, 2))
}

const largeBodyBytes = 12 << 20

func startLargeResponses(d *deployment) {
	d.startRawTarget("a1", "bookings", func(e rawExchange) {
		e.write(e.head("Transfer-Encoding: chunked\r\n\r\n"))
		e.write(chunk(strings.Repeat("x", largeBodyBytes)))
		e.write("0\r\n\r\n")
	})
	d.setTimeouts(time.Minute)
}

// openLargeResponse asks for a response that exceeds the buffers of a connection.
func (d *deployment) openLargeResponse(g *Gateway) *keptConnection {
	conn := d.dialCaller(g)
	assert.NilError(d.t, conn.Conn.(*net.TCPConn).SetReadBuffer(256<<10))
	req := statusRequest()
	req.DeadlineRemaining = 30 * time.Second
	conn.send(d.t, encodeRequest(d.t, g, req))
	return conn
}

// A caller that read nothing kept its request running without an end.
func TestCall_CallerThatDoesNotReadEndsTheRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	startLargeResponses(d)
	g := d.startReadyEntry("entry-1")
	d.openLargeResponse(g)
	d.waitUntil(func() bool { return g.activeRequests.count() > 0 })
	d.waitWithin(3*writeTimeout, func() bool { return g.activeRequests.count() == 0 })
}

// A caller takes longer for the whole response than one write may take.
func TestCall_SlowReaderGetsTheWholeResponse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	startLargeResponses(d)
	g := d.startReadyEntry("entry-1")
	conn := d.openLargeResponse(g)
	response, err := http.ReadResponse(conn.responses, nil)
	assert.NilError(t, err)
	const pauses = 15
	for range pauses {
		time.Sleep(writeTimeout / 6)
		_, err := io.CopyN(io.Discard, response.Body, largeBodyBytes/pauses)
		assert.NilError(t, err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
}
