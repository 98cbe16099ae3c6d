package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessTarget accepts connections, reads the head of a request, and sends prefix and then
// repeats chunk until the connection is closed. It returns its address and the bytes sent.
func endlessTarget(t *testing.T, prefix, chunk string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for data := prefix; ; data = chunk {
					n, err := conn.Write([]byte(data))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

func TestConn_EndlessHeadIsGivenUp(t *testing.T) {
	for name, target := range map[string]struct{ prefix, chunk string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("a", 1000)},
		"header line":       {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", 1000)},
		"header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: a\r\n", 100)},
		"interim responses": {"HTTP/1.1 103 Early Hints\r\n\r\n", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10)},
		"no response":       {"aaaa", strings.Repeat("a", 1000)},
	} {
		address, sent := endlessTarget(t, target.prefix, target.chunk)
		conn, err := Dial(context.Background(), address)
		assert.NilError(t, err)
		stop := time.AfterFunc(5*time.Second, conn.Close)
		start := time.Now()
		_, err = conn.Do(Request{Method: http.MethodGet, Path: "/x", Host: "h", Header: http.Header{}})
		stop.Stop()
		assert.Assert(t, err != nil, name)
		assert.Assert(t, time.Since(start) < time.Second, "%s: given up after %s", name, time.Since(start))
		// What is sent beyond the limit is in the buffers of the connection.
		assert.Assert(t, sent.Load() < 16<<20, "%s: %d bytes", name, sent.Load())
	}
}

func TestConn_LongButFiniteHeadIsRead(t *testing.T) {
	address, _ := endlessTarget(t, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("a", maxHeadBytes/2)+"\r\nContent-Length: 70000\r\n\r\n", strings.Repeat("b", 70000))
	conn, err := Dial(context.Background(), address)
	assert.NilError(t, err)
	defer conn.Close()
	response, err := conn.Do(Request{Method: http.MethodGet, Path: "/x", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	n, err := response.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}
