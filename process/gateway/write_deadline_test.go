package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
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

// A caller that stopped sending the body of its request kept it running without an end.
func TestBody_CallerThatStopsSendingGetsAResponse(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	req.DeadlineRemaining = 500 * time.Millisecond
	refused := newCallerRequest(http.MethodPost, "/unknown", "a body")
	refused.DeadlineRemaining = req.DeadlineRemaining
	for req, status := range map[*callerRequest]int{req: http.StatusRequestTimeout, refused: http.StatusNotFound} {
		encoded := encodeRequest(t, g, req)
		conn := d.dialCaller(g)
		conn.send(t, encoded[:len(encoded)-1])
		assert.Equal(t, conn.receive(t), status)
		_, err := conn.responses.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 0)
	}
}

// The time limit of a body ends with it.
func TestBody_TimeLimitDoesNotOutlastTheBody(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 100 * time.Millisecond, Slots: 6})
	g := d.startReadyEntry("entry-1")
	conn := d.dialCaller(g)
	req := bookingRequest()
	req.DeadlineRemaining = time.Second
	conn.send(t, encodeRequest(t, g, req))
	assert.Equal(t, conn.receive(t), http.StatusOK)
	time.Sleep(req.DeadlineRemaining)
	conn.send(t, encodeRequest(t, g, bookingRequest()))
	assert.Equal(t, conn.receive(t), http.StatusOK)
}
