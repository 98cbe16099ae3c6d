package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// A response head that ends early must not be taken for a whole one, wherever it is cut.
func TestConn_TruncatedHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nTransfer-Encoding: chunked\r\nResponse-Signature: s\r\n\r\n",
		"close":   "HTTP/1.0 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\n\r\n",
		"newline": "HTTP/1.1 200 OK\nAttempt-Id: request-1\nContent-Length: 12\n\n",
	} {
		for cut := range len(head) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(head[:cut]))
				}
			}()
			conn, err := Dial(context.Background(), listener.Addr().String())
			assert.NilError(t, err)
			_, err = conn.Do(Request{Method: http.MethodPost, Path: "/x", Host: "h", Header: http.Header{}})
			assert.Assert(t, err != nil, "%s: a head cut after %d bytes: %q", name, cut, head[:cut])
			assert.Assert(t, !errors.Is(err, ErrNotSent), "%s: cut after %d bytes", name, cut)
			conn.Close()
			assert.NilError(t, listener.Close())
		}
	}
}
