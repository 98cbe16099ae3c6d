package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller may end its side of the connection after a whole request, send the next request
// early, or wait with the body for an interim response. Each request gets a response.
func TestCallerConnection_WholeRequestGetsAResponse(t *testing.T) {
	halfClose := func(conn net.Conn) error { return conn.(*net.TCPConn).CloseWrite() }
	for name, test := range map[string]struct {
		requests []*callerRequest
		change   func(text string) string
		then     func(conn net.Conn) error
	}{
		"half-closed call":   {requests: []*callerRequest{bookingRequest()}, then: halfClose},
		"half-closed stream": {requests: []*callerRequest{streamRequest()}, then: halfClose},
		"pipelined":          {requests: []*callerRequest{bookingRequest(), streamRequest(), bookingRequest()}},
		"pipelined, closed":  {requests: []*callerRequest{bookingRequest(), bookingRequest()}, then: halfClose},
		"expects 100-continue": {requests: []*callerRequest{bookingRequest()}, change: func(text string) string {
			return strings.Replace(text, "\r\n", "\r\nExpect: 100-continue\r\n", 1)
		}},
		"refused with a large body": {requests: []*callerRequest{newCallerRequest(http.MethodPost, "/no-route", strings.Repeat("a", 1<<20))}},
		"too large a body":          {requests: []*callerRequest{newCallerRequest(http.MethodPost, "/book/visit", strings.Repeat("a", 1<<20))}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startApplication("a1", "naxos")
			d.startEngine("e1", "naxos")
			g := d.startReadyEntry("entry-1")
			conn, err := net.Dial("tcp", g.callerAddress())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(6*time.Second)))
			var text strings.Builder
			for _, req := range test.requests {
				assert.NilError(t, req.httpRequest(context.Background(), g).Write(&text))
			}
			sent := text.String()
			if test.change != nil {
				sent = test.change(sent)
			}
			_, err = io.WriteString(conn, sent)
			assert.NilError(t, err)
			if test.then != nil {
				assert.NilError(t, test.then(conn))
			}
			reader := bufio.NewReader(conn)
			for i := range test.requests {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "request %d", i)
				if response.StatusCode == http.StatusContinue {
					response, err = http.ReadResponse(reader, nil)
					assert.NilError(t, err)
				}
				_, err = io.ReadAll(response.Body)
				assert.NilError(t, err, "request %d", i)
			}
		})
	}
}
