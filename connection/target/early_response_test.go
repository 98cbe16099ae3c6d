package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The target responds before it has read a long body, keeps the connection and would read the
// next request as the rest of that body.
func TestPool_ConnectionWithAnUnsentBodyIsNotUsedAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	pool := NewPool()
	body := make([]byte, 64<<20)
	for range 2 {
		conn, err := pool.Get(context.Background(), listener.Addr().String(), time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, !conn.Reused)
		response, err := conn.Do(Request{Method: http.MethodPost, Path: "/x", Host: "h", Header: http.Header{}, Body: body})
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "ok")
		pool.Put(conn, response)
	}
}
