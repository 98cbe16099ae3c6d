package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve answers each connection with the given function, once the head of the request and some of its body have
// arrived.
func serve(t *testing.T, answer func(conn *net.TCPConn, body io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), request.Body)
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// read sends a request and reads its response, whose body it begins to read after a delay.
func read(t *testing.T, address, method string, body []byte, delay time.Duration) (string, error) {
	t.Helper()
	conn, err := Dial(context.Background(), address)
	assert.NilError(t, err)
	defer conn.Close()
	response, err := conn.Do(Request{Method: method, Path: "/x", Host: "h", Header: http.Header{}, Body: body})
	if err != nil {
		return "", err
	}
	time.Sleep(delay)
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// A target responds at once to a long upload, without a length, and ends the connection in the middle of
// the response while the upload is being written. Callers got the part as a whole response.
func TestConn_UnframedResponseCutDuringUploadIsNotWhole(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		for _, pause := range []time.Duration{0, 200 * time.Microsecond, 5 * time.Millisecond} {
			for _, part := range []int{20, 200_000} {
				t.Run(fmt.Sprintf("%s after %s and %d bytes", name, pause, part), func(t *testing.T) {
					address := serve(t, func(conn *net.TCPConn, body io.Reader) {
						_, _ = io.CopyN(io.Discard, body, 64<<10)
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part))
						time.Sleep(pause)
						if reset {
							_ = conn.SetLinger(0)
						}
					})
					for i := range 16 {
						text, err := read(t, address, http.MethodPost, make([]byte, 3<<20), time.Duration(i%3)*3*time.Millisecond)
						assert.Assert(t, err != nil, "response %d looks whole with %d bytes", i, len(text))
					}
				})
			}
		}
	}
}

// The upload is whole, and the connection is reset.
func TestConn_UnframedResponseThatEndsInOrderIsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		reset, whole bool
	}{"closed": {false, true}, "reset": {true, false}} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe body")
				if c.reset {
					time.Sleep(time.Millisecond)
					_ = conn.SetLinger(0)
				}
			})
			for range 50 {
				text, err := read(t, address, http.MethodPost, make([]byte, 100<<10), 0)
				if c.whole {
					assert.NilError(t, err)
					assert.Equal(t, text, "the body")
				} else {
					assert.Assert(t, err != nil, "%q looks whole", text)
				}
			}
			_, err := read(t, address, http.MethodHead, nil, 0)
			assert.NilError(t, err, "a response without a body")
		})
	}
}
