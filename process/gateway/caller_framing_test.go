package gateway

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

// callerVersions change the requests of callers whose connections end with the response.
var callerVersions = map[string]func(text string) string{
	"HTTP/1.0":       func(text string) string { return strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1) },
	"HTTP/1.1 close": func(text string) string { return strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1) },
}

// sendAs sends a request on a connection of its own, with its text changed, and reads the
// response. The error is that of reading the body.
func (d *deployment) sendAs(g *Gateway, req *callerRequest, change func(text string) string) (*http.Response, string, error) {
	d.t.Helper()
	var text strings.Builder
	assert.NilError(d.t, req.httpRequest(context.Background(), g).Write(&text))
	conn, err := net.Dial("tcp", g.callerAddress())
	assert.NilError(d.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, change(text.String()))
	assert.NilError(d.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Callers that know no chunks learn from the end of the connection whether a stream is
// complete.
func TestCallerFraming_StreamThatBrokeOffIsNotComplete(t *testing.T) {
	for version, change := range callerVersions {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprint(version, " whole ", whole), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.startRawTarget("t1", "writer", func(e rawExchange) {
					if e.position > 0 {
						e.close()
						return
					}
					last := deliveredBefore
					if whole {
						last = testEvents
					}
					e.write(framings["chunked"](e, e.events(1, last), whole))
					time.Sleep(transferTime)
					e.close()
				})
				g := d.startReadyEntry("entry-1")
				req := streamRequest()
				req.DeadlineRemaining = 1500 * time.Millisecond
				response, body, err := d.sendAs(g, req, change)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				if whole {
					assert.NilError(t, err)
					assert.Equal(t, body, rawExchange{id: req.AttemptID}.events(1, testEvents))
				} else {
					assert.Equal(t, body, rawExchange{id: req.AttemptID}.events(1, deliveredBefore))
					assert.Assert(t, err != nil, "a stream that broke off looks complete")
				}
			})
		}
	}
}

// A stream is in progress when the entry closes the connections of its callers.
func TestCallerFraming_StreamAtTheEndOfTheEntryIsNotComplete(t *testing.T) {
	for version, change := range callerVersions {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			forwarded := make(chan struct{})
			d.startRawTarget("t1", "writer", func(e rawExchange) {
				e.write(e.streamHead() + e.events(1, deliveredBefore))
				time.Sleep(transferTime)
				close(forwarded)
				time.Sleep(time.Second)
				e.close()
			})
			g := d.startReadyEntry("entry-1")
			go func() {
				<-forwarded
				g.ingress.close()
			}()
			response, _, err := d.sendAs(g, streamRequest(), change)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Assert(t, err != nil, "a stream that broke off looks complete")
		})
	}
}

// The whole response of a call is known before its head is written.
func TestCallerFraming_ResponseOfACallHasALength(t *testing.T) {
	for version, change := range callerVersions {
		for _, size := range []int{0, 10, 100 << 10} {
			for framing, frame := range framings {
				t.Run(fmt.Sprint(version, " ", size, " ", framing), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					d.startRawTarget("t1", "bookings", func(e rawExchange) {
						e.write(frame(e, strings.Repeat("a", size), true))
						e.close()
					})
					g := d.startReadyEntry("entry-1")
					response, body, err := d.sendAs(g, bookingRequest(), change)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, len(body), size)
					assert.Equal(t, response.ContentLength, int64(size))
				})
			}
		}
	}
}
