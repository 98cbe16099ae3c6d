package graceful

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

// limitedServer is a server whose callers may hold a limited amount of memory. Its handler responds
// to a request for /wait once release is closed.
type limitedServer struct {
	*Listener
	handled atomic.Int64
	release chan struct{}

	mu     sync.Mutex
	yields []memory.Yield
}

func startLimited(t *testing.T, limits quota.Limits) *limitedServer {
	t.Helper()
	inner, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	s := &limitedServer{Listener: NewListener(inner), release: make(chan struct{})}
	s.Memory = memory.New(limits)
	s.Memory.OnYield = func(y memory.Yield) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.yields = append(s.yields, y)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		if r.URL.Path == "/wait" {
			<-s.release
		}
	})}
	s.ConfigureServer(server)
	s.SetLimits(keepalive.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
	go func() { _ = server.Serve(s) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// waitUntil waits until a condition holds. The time only ends a test that fails.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true")
		}
	}
}

func expectStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, status)
}

// A crowd sends heads of very many short fields and stops before their ends. It is refused as not
// run, and an ordinary caller is served beside it.
func TestMemory_HeadsThatStopYield(t *testing.T) {
	s := startLimited(t, quota.Limits{Bytes: 4 << 20})
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 5000)
	crowd := make([]net.Conn, 8)
	for i := range crowd {
		crowd[i] = dial(t, s.Listener)
		_, err := io.WriteString(crowd[i], head)
		assert.NilError(t, err)
	}
	refused := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.yields) >= 6
	}
	waitUntil(t, refused)
	assert.NilError(t, exchange(dial(t, s.Listener)))
	assert.Equal(t, s.handled.Load(), int64(1))
	assert.Assert(t, s.Memory.Used() <= 4<<20)
	closed := 0
	for _, c := range crowd {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue
		}
		closed++
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Close)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
	assert.Assert(t, closed >= 5, "%d of the crowd were refused", closed)
}

// The head of one request may be as large as the limits allow.
func TestMemory_LargestHeadIsServedInCalm(t *testing.T) {
	s := startLimited(t, quota.Limits{Bytes: 4 << 20})
	c := dial(t, s.Listener)
	for range 3 {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", 5400)+"\r\n")
		assert.NilError(t, err)
		expectStatus(t, c, http.StatusOK)
	}
	assert.NilError(t, c.Close())
	waitUntil(t, func() bool { return s.Memory.Used() == 0 && s.Memory.Connections() == 0 })
}

// Connections without a request yield to new ones, those that carry a request do not. What was
// counted is given back.
func TestMemory_ConnectionsYieldUnlessInUse(t *testing.T) {
	s := startLimited(t, quota.Limits{Connections: 3})
	inUse := dial(t, s.Listener)
	_, err := io.WriteString(inUse, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	waitUntil(t, func() bool { return s.handled.Load() == 1 })
	unused := dial(t, s.Listener)
	waitUntil(t, func() bool { return s.Memory.Connections() == 2 })
	idle := dial(t, s.Listener)
	assert.NilError(t, exchange(idle))
	for range 5 {
		// The response is sent before the connection counts as idle.
		waitUntil(t, func() bool { return s.Listener.Connections().InUse == 1 })
		assert.NilError(t, exchange(dial(t, s.Listener)))
	}
	expectClosed(t, unused)
	expectClosed(t, idle)
	close(s.release)
	expectStatus(t, inUse, http.StatusOK)
	assert.Assert(t, s.Memory.Connections() <= 3)
}

// All connections carry requests: a new one is closed, and accepted once one is free.
func TestMemory_ConnectionIsClosedWhileAllAreInUse(t *testing.T) {
	s := startLimited(t, quota.Limits{Connections: 2})
	var inUse []net.Conn
	for range 2 {
		c := dial(t, s.Listener)
		_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		inUse = append(inUse, c)
	}
	waitUntil(t, func() bool { return s.handled.Load() == 2 })
	assert.Assert(t, exchange(dial(t, s.Listener)) != nil)
	assert.Equal(t, s.handled.Load(), int64(2))
	close(s.release)
	for _, c := range inUse {
		expectStatus(t, c, http.StatusOK)
	}
	waitUntil(t, func() bool { return exchange(dial(t, s.Listener)) == nil })
}

// Requests that were sent ahead count, and are served as long as there is memory.
func TestMemory_PipelinedRequestsAreServed(t *testing.T) {
	s := startLimited(t, quota.Limits{Bytes: 1 << 20})
	c := dial(t, s.Listener)
	var requests strings.Builder
	const count = 200
	for i := range count {
		fmt.Fprintf(&requests, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\na\nb\nc\n", i)
	}
	_, err := io.WriteString(c, requests.String())
	assert.NilError(t, err)
	responses := bufio.NewReader(c)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	for range count {
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.NilError(t, c.Close())
	waitUntil(t, func() bool { return s.Memory.Used() == 0 })
}

// A body that had to yield went on to be waited for when its handler extended the deadline at the
// same moment, and nothing else could take its memory.
func TestEndRead_HoldsWhenDeadlineIsExtended(t *testing.T) {
	inner, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	l, result := NewListener(inner), make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		EndRead(r.Context())
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Hour))
		_, err := io.ReadAll(r.Body)
		result <- err
	})}
	l.ConfigureServer(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c := dial(t, l)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\na")
	assert.NilError(t, err)
	assert.ErrorIs(t, <-result, os.ErrDeadlineExceeded)
	// The connection is not used for another request.
	expectStatus(t, c, http.StatusOK)
	waitUntil(t, func() bool { return l.Connections() == Connections{} })
}

// The server for health checks waited for ever for bodies that it does not read.
func TestAdminServer_BodyThatStopsEnds(t *testing.T) {
	inner, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(t, err)
	l := NewAdminListener(inner, keepalive.Limits{HeaderTimeout: time.Second}, nil)
	server := NewAdminServer(l, http.NotFoundHandler())
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c := dial(t, l)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\na")
	assert.NilError(t, err)
	expectStatus(t, c, http.StatusNotFound)
	waitUntil(t, func() bool { return l.Memory.Connections() == 0 })
}
