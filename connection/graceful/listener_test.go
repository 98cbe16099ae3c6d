package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

const requestText = "GET / HTTP/1.1\r\nHost: entry.example\r\n\r\n"

// startServer starts a server whose handler waits until release is closed, and counts the
// requests that reach the handler.
func startServer(t *testing.T, release <-chan struct{}) (l *Listener, handled *atomic.Int64) {
	t.Helper()
	inner, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	l, handled = NewListener(inner), &atomic.Int64{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			handled.Add(1)
			<-release
		}),
	}
	l.ConfigureServer(server)
	l.SetLimits(keepalive.Limits{HeaderTimeout: time.Second})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, handled
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func exchange(c net.Conn) error {
	if _, err := io.WriteString(c, requestText); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return err
}

func released() <-chan struct{} {
	release := make(chan struct{})
	close(release)
	return release
}

func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func TestDrain_ClosesIdleConnectionsAtOnce(t *testing.T) {
	l, _ := startServer(t, released())
	c := dial(t, l)
	assert.NilError(t, exchange(c))
	l.StopAccepting()
	assert.NilError(t, l.Drain(t.Context()))
	expectClosed(t, c)
	_, err := net.Dial("tcp", l.Addr().String())
	assert.Assert(t, err != nil)
}

func TestDrain_WaitsForResponses(t *testing.T) {
	release := make(chan struct{})
	l, handled := startServer(t, release)
	c := dial(t, l)
	result := make(chan error, 1)
	go func() { result <- exchange(c) }()
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.StopAccepting()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, l.Drain(ctx), context.DeadlineExceeded)
	close(release)
	assert.NilError(t, <-result)
	assert.NilError(t, l.Drain(t.Context()))
	expectClosed(t, c)
}

func TestDrain_UnusedConnectionEndsWithHeaderTimeout(t *testing.T) {
	l, _ := startServer(t, released())
	c := dial(t, l)
	l.StopAccepting()
	start := time.Now()
	assert.NilError(t, l.Drain(t.Context()))
	assert.Assert(t, time.Since(start) < 3*time.Second)
	expectClosed(t, c)
}

// The kernel has queued connections when the listener is closed.
func TestStopAccepting_QueuedConnectionsGetResponses(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner)
	const callers = 20
	results := make(chan error, callers)
	for range callers {
		c := dial(t, l)
		go func() { results <- exchange(c) }()
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	l.ConfigureServer(server)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	l.StopAccepting()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	for range callers {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, <-drained)
}

// Callers send on kept connections at the moment at which the idle ones are closed.
func TestDrain_RequestThatReachedTheHandlerGetsResponse(t *testing.T) {
	const callers, rounds = 30, 20
	for range rounds {
		l, handled := startServer(t, released())
		var answered atomic.Int64
		var ready, callersDone sync.WaitGroup
		ready.Add(callers)
		for range callers {
			c := dial(t, l)
			callersDone.Go(func() {
				first := true
				for exchange(c) == nil {
					answered.Add(1)
					if first {
						first = false
						ready.Done()
					}
				}
			})
		}
		ready.Wait()
		l.StopAccepting()
		assert.NilError(t, l.Drain(t.Context()))
		callersDone.Wait()
		assert.Equal(t, handled.Load(), answered.Load())
	}
}

// A caller sends its second request before it has the first response, so that the server reads
// both at once and waits for neither.
func TestDrain_PipelinedRequestGetsResponse(t *testing.T) {
	release := make(chan struct{}, 1)
	l, handled := startServer(t, release)
	c := dial(t, l)
	_, err := io.WriteString(c, requestText+requestText)
	assert.NilError(t, err)
	release <- struct{}{}
	responses := bufio.NewReader(c)
	receive := func() {
		t.Helper()
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
	receive()
	for handled.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, l.Connections(), Connections{InUse: 1})
	l.StopAccepting()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, l.Drain(ctx), context.DeadlineExceeded)
	release <- struct{}{}
	receive()
	assert.NilError(t, l.Drain(t.Context()))
}

// The same, and the server begins to stop while the first request is handled: the head of the
// first response was sent before, so it does not announce the close.
func TestDrain_PipelinedRequestReadBeforeItGetsResponse(t *testing.T) {
	release := make(chan struct{})
	l, handled := startServer(t, release)
	c := dial(t, l)
	_, err := io.WriteString(c, requestText+requestText)
	assert.NilError(t, err)
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.StopAccepting()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, l.Drain(ctx), context.Canceled)
	close(release)
	responses := bufio.NewReader(c)
	for range 2 {
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, handled.Load(), int64(2))
	assert.NilError(t, l.Drain(t.Context()))
}

// stalledConn does not read the next request until resume is closed, like a process on a busy
// host. Reads of one byte are those that watch for a disconnect.
type stalledConn struct {
	*net.TCPConn
	stalled chan struct{}
	resume  <-chan struct{}
}

func (c *stalledConn) Read(buffer []byte) (int, error) {
	select {
	case <-c.stalled:
		if len(buffer) > 1 {
			<-c.resume
		}
	default:
	}
	return c.TCPConn.Read(buffer)
}

type stalledListener struct {
	*net.TCPListener
	stalled chan struct{}
	resume  <-chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c, stalled: l.stalled, resume: l.resume}, nil
}

// startStalledServer starts a server that stops reading after a request for /stall.
func startStalledServer(t *testing.T, limits keepalive.Limits) (l *Listener, resume chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stalled, resume := make(chan struct{}), make(chan struct{})
	l = NewListener(&stalledListener{TCPListener: inner.(*net.TCPListener), stalled: stalled, resume: resume})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stall" {
				close(stalled)
				return
			}
			w.Header().Set("Connection", "close")
		}),
	}
	l.ConfigureServer(server)
	l.SetLimits(limits)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l, resume
}

// sendWhileStalled sends a second request once the server has stopped reading and returns the
// function that receives its response.
func sendWhileStalled(t *testing.T, l *Listener) (receive func()) {
	t.Helper()
	c := dial(t, l)
	responses := bufio.NewReader(c)
	request := func(path string) {
		t.Helper()
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: entry.example\r\n\r\n")
		assert.NilError(t, err)
	}
	receive = func() {
		t.Helper()
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
	request("/stall")
	receive()
	for l.Connections().Idle == 0 {
		time.Sleep(time.Millisecond)
	}
	request("/")
	// Data on a loopback connection has arrived when the write returns.
	return receive
}

// A request has arrived and has not been read yet when idle connections are closed.
func TestDrain_RequestThatArrivedGetsResponse(t *testing.T) {
	l, resume := startStalledServer(t, keepalive.Limits{})
	receive := sendWhileStalled(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, l.Drain(ctx), context.Canceled)
	close(resume)
	receive()
	assert.NilError(t, l.Drain(t.Context()))
}

// startIdleServer starts a server that closes idle connections after timeout, and returns the
// closes that its listener reports.
func startIdleServer(t *testing.T, timeout time.Duration) (*Listener, <-chan IdleClose) {
	t.Helper()
	inner, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	l, closes := NewListener(inner), make(chan IdleClose, 1)
	l.OnIdleClose = func(c IdleClose) { closes <- c }
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/announce" {
			Announce(r, w.Header())
		}
	})}
	l.ConfigureServer(server)
	l.SetLimits(keepalive.Limits{IdleTimeout: timeout})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, closes
}

// Operators could not see that the entry had closed the connection of a request that got no
// response.
func TestIdleClose_IsReported(t *testing.T) {
	const timeout = 50 * time.Millisecond
	l, closes := startIdleServer(t, timeout)
	for _, late := range []bool{false, true} {
		c := dial(t, l)
		for range 3 {
			assert.NilError(t, exchange(c))
		}
		expectClosed(t, c)
		if late {
			_, err := io.WriteString(c, requestText)
			assert.NilError(t, err)
		} else {
			assert.NilError(t, c.Close())
		}
		closed := <-closes
		assert.Assert(t, closed.Idle >= timeout, "%s", closed.Idle)
		closed.Idle = 0
		assert.Equal(t, closed, IdleClose{Limit: timeout, Requests: 3, LateRequest: late})
	}
}

// A connection that its caller closed was not closed as idle.
func TestIdleClose_ByCallerIsNotReported(t *testing.T) {
	l, closes := startIdleServer(t, time.Minute)
	c := dial(t, l)
	assert.NilError(t, exchange(c))
	assert.NilError(t, c.Close())
	for l.Connections() != (Connections{}) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(closes), 0)
}

// A stop closes many connections at once; those that lost nothing are not reported.
func TestIdleClose_ByDrainIsReportedIfARequestWasLate(t *testing.T) {
	l, closes := startIdleServer(t, time.Minute)
	punctual, late := dial(t, l), dial(t, l)
	for _, c := range []net.Conn{punctual, late} {
		assert.NilError(t, exchange(c))
	}
	l.StopAccepting()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	for _, c := range []net.Conn{punctual, late} {
		expectClosed(t, c)
	}
	_, err := io.WriteString(late, requestText)
	assert.NilError(t, err)
	assert.NilError(t, punctual.Close())
	assert.NilError(t, <-drained)
	closed := <-closes
	closed.Idle = 0
	assert.Equal(t, closed, IdleClose{Limit: time.Minute, Requests: 1, LateRequest: true, Stopping: true})
	assert.Equal(t, len(closes), 0)
}

// A request has arrived and has not been read yet when its connection has been idle for too long.
func TestIdleTimeout_RequestThatArrivedGetsResponse(t *testing.T) {
	const timeout = 50 * time.Millisecond
	l, resume := startStalledServer(t, keepalive.Limits{IdleTimeout: timeout, HeaderTimeout: timeout})
	receive := sendWhileStalled(t, l)
	time.Sleep(2 * timeout)
	close(resume)
	receive()
}

// An open connection kept the limit under which it was accepted and was closed although its
// caller could count on the one in force.
func TestIdleTimeout_GrownLimitAppliesToOpenConnections(t *testing.T) {
	const before, after = 2 * time.Second, time.Minute
	l, _ := startIdleServer(t, before)
	used, unused := dial(t, l), dial(t, l)
	assert.NilError(t, exchange(used))
	l.SetLimits(keepalive.Limits{IdleTimeout: after})
	time.Sleep(before + 500*time.Millisecond)
	assert.NilError(t, exchange(used))
	assert.NilError(t, exchange(unused))
}

// A response promised a longer time than the limit that came into force after it.
func TestIdleTimeout_ShrunkLimitAppliesAfterTheNextResponse(t *testing.T) {
	const before, after = time.Minute, 50 * time.Millisecond
	l, closes := startIdleServer(t, before)
	c := dial(t, l)
	assert.NilError(t, exchange(c))
	for l.Connections().Idle == 0 {
		time.Sleep(time.Millisecond)
	}
	l.SetLimits(keepalive.Limits{IdleTimeout: after})
	time.Sleep(4 * after)
	assert.NilError(t, exchange(c))
	expectClosed(t, c)
	assert.NilError(t, c.Close())
	assert.Equal(t, (<-closes).Limit, after)
}

// A caller opened a connection ahead; it was closed after the time that the head of a request
// may take.
func TestHeaderTimeout_CountsFromTheFirstByte(t *testing.T) {
	const timeout = 100 * time.Millisecond
	l, _ := startIdleServer(t, time.Minute)
	l.SetLimits(keepalive.Limits{HeaderTimeout: timeout, IdleTimeout: time.Minute})
	c := dial(t, l)
	time.Sleep(3 * timeout)
	assert.NilError(t, exchange(c))
	for _, c := range []net.Conn{c, dial(t, l)} {
		_, err := io.WriteString(c, requestText[:1])
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err = io.Copy(io.Discard, c)
		assert.NilError(t, err)
	}
}

// The first byte of the next request is read while a request is handled.
func TestHeaderTimeout_CountsForRequestThatBeganDuringAnother(t *testing.T) {
	release := make(chan struct{})
	l, handled := startServer(t, release)
	c := dial(t, l)
	_, err := io.WriteString(c, requestText)
	assert.NilError(t, err)
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(c, requestText[:1])
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	expectClosed(t, c)
}

// refusedBytes sends a head without an end until the connection breaks and returns how much was
// sent before the refusal.
func refusedBytes(t *testing.T, c net.Conn) int {
	t.Helper()
	refused := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			refused <- 0
			return
		}
		refused <- response.StatusCode
	}()
	sent, err := io.WriteString(c, requestText[:len(requestText)-2]+"X-Wide: ")
	assert.NilError(t, err)
	for {
		select {
		case status := <-refused:
			assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
			return sent
		default:
		}
		n, err := io.WriteString(c, strings.Repeat("x", 1<<10))
		sent += n
		if err != nil {
			assert.Equal(t, <-refused, http.StatusRequestHeaderFieldsTooLarge)
			return sent
		}
	}
}

// A caller within the limit in force was refused on a connection that was accepted before.
func TestHeaderBytes_LimitInForceAppliesToOpenConnections(t *testing.T) {
	l, _ := startIdleServer(t, time.Minute)
	limits := keepalive.Limits{HeaderBytes: 1 << 10, IdleTimeout: time.Minute}
	l.SetLimits(limits)
	c, endless := dial(t, l), dial(t, l)
	assert.NilError(t, exchange(c))
	large := requestText[:len(requestText)-2] + "X-Wide: " + strings.Repeat("x", 40<<10) + "\r\n\r\n"
	assert.Assert(t, refusedBytes(t, endless) > limits.HeaderBytes)
	limits.HeaderBytes = 64 << 10
	l.SetLimits(limits)
	_, err := io.WriteString(c, large)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func TestHeaderBytes_HeadWithoutAnEndIsRefused(t *testing.T) {
	l, _ := startIdleServer(t, time.Minute)
	c := dial(t, l)
	assert.NilError(t, exchange(c))
	assert.Assert(t, refusedBytes(t, c) > http.DefaultMaxHeaderBytes)
	for l.Connections() != (Connections{}) {
		time.Sleep(time.Millisecond)
	}
}

func TestAnnounce_TellsIdleTimeUnlessTheConnectionCloses(t *testing.T) {
	const timeout = 20 * time.Second
	l, _ := startIdleServer(t, timeout)
	send := func(request string) *http.Response {
		c := dial(t, l)
		_, err := io.WriteString(c, request+"\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		return response
	}
	const request = "GET /announce HTTP/1.1\r\nHost: entry.example"
	response := send(request)
	assert.Equal(t, response.Header.Get("Keep-Alive"), "timeout=16")
	assert.Assert(t, !response.Close)
	assert.Equal(t, send(request+"\r\nConnection: close").Header.Get("Keep-Alive"), "")
	assert.Equal(t, send("GET /announce HTTP/1.0").Header.Get("Keep-Alive"), "")
	l.SetLimits(keepalive.Limits{})
	response = send(request)
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
	assert.Assert(t, !response.Close)
}

// An idle timeout under a second was announced in no response, and requests crossed the close.
func TestAnnounce_IdleTimeoutTooShortToAnnounceClosesTheConnection(t *testing.T) {
	l, _ := startIdleServer(t, time.Second)
	c := dial(t, l)
	_, err := io.WriteString(c, "GET /announce HTTP/1.1\r\nHost: entry.example\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
}

// A caller goes on sending after its request was refused, and the limits change meanwhile.
func TestHeaderBytes_RefusalEndsAlthoughLimitsChange(t *testing.T) {
	l, _ := startIdleServer(t, time.Minute)
	l.SetLimits(keepalive.Limits{HeaderBytes: 1 << 10, IdleTimeout: time.Minute})
	c := dial(t, l)
	refusedBytes(t, c)
	l.SetLimits(keepalive.Limits{HeaderBytes: 2 << 10})
	deadline := time.Now().Add(10 * refusalTime)
	for l.Connections() != (Connections{}) {
		assert.Assert(t, time.Now().Before(deadline))
		_, _ = io.WriteString(c, "x")
		time.Sleep(time.Millisecond)
	}
}
