package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startKeepAliveTarget starts a target that announces timeout and answers a request per
// connection.
func startKeepAliveTarget(t *testing.T, timeout string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout="+timeout)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// exchangeAndPut sends a request on a connection to the target and returns the connection to
// the pool. It reads the body after a delay.
func exchangeAndPut(t *testing.T, pool *Pool, address string, delay time.Duration) {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, time.Minute)
	assert.NilError(t, err)
	response, err := conn.Do(Request{Method: http.MethodGet, Path: "/x", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	time.Sleep(delay)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	pool.Put(conn, response)
}

func isReused(t *testing.T, pool *Pool, address string) bool {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, time.Minute)
	assert.NilError(t, err)
	defer conn.Close()
	return conn.Reused
}

// A request was sent on a connection that its target was about to close by the time that it had
// announced.
func TestPool_AnnouncedIdleTimeIsKeptWithAMargin(t *testing.T) {
	pool, short, long := NewPool(), startKeepAliveTarget(t, "1"), startKeepAliveTarget(t, "60")
	exchangeAndPut(t, pool, short, 0)
	exchangeAndPut(t, pool, long, 0)
	time.Sleep(keepAliveMargin + 50*time.Millisecond)
	assert.Assert(t, !isReused(t, pool, short))
	assert.Assert(t, isReused(t, pool, long))
}

// The response was read late, on a busy host; its target counts from when it was sent.
func TestPool_IdleTimeCountsFromTheArrivalOfTheResponse(t *testing.T) {
	pool, short, long := NewPool(), startKeepAliveTarget(t, "1"), startKeepAliveTarget(t, "60")
	exchangeAndPut(t, pool, short, keepAliveMargin+50*time.Millisecond)
	exchangeAndPut(t, pool, long, keepAliveMargin+50*time.Millisecond)
	assert.Assert(t, !isReused(t, pool, short))
	assert.Assert(t, isReused(t, pool, long))
}
