package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// routesOfBothKinds are the paths of calls and streams that run at most once, or may be
// repeated, with the services that serve them.
var routesOfBothKinds = map[string]string{"/book/visit": "bookings", "/status/7": "bookings", "/once/x": "writer", "/report/x": "writer"}

// A target that does not say that it has not run a request may have run it.
func TestTargetStatus_IsNoPromiseUnlessTheTargetSaysNotExecuted(t *testing.T) {
	for path, service := range routesOfBothKinds {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(path, " ", status), func(t *testing.T) {
				d := newDeployment(t)
				addPlainStream(d)
				target := d.startRawTarget("t1", service, func(e rawExchange) {
					e.write(fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbusy", status, e.id))
				})
				g := d.startReadyEntry("entry-1")
				req := newCallerRequest(http.MethodPost, path, "a body")
				response := d.send(g, req)
				assert.Assert(t, target.arrived(req.AttemptID) > 0)
				assert.Assert(t, !request.GuaranteesNotRun(response.status), "status %d", response.status)
				assert.Equal(t, response.header.Get("Response-Signature"), "", "the signature holds for another status")
			})
		}
	}
}

// guaranteed reports whether a response tells its caller that the request has not run.
func guaranteed(response callerResponse) bool { return request.GuaranteesNotRun(response.status) }

// callResponses are responses to a call that are whole, or are not. Those that end with
// their connection do so regularly or, if reset is set, not.
var callResponses = map[string]struct {
	whole, reset bool
	text         func(e rawExchange, body string) string
}{
	"length": {whole: true, text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	}},
	"unframed":       {whole: true, text: func(e rawExchange, body string) string { return e.head("\r\n" + body) }},
	"unframed close": {whole: true, text: func(e rawExchange, body string) string { return e.head("Connection: close\r\n\r\n" + body) }},
	"unframed reset": {reset: true, text: func(e rawExchange, body string) string { return e.head("\r\n" + body) }},
	"HTTP/1.0": {whole: true, text: func(e rawExchange, body string) string {
		return strings.Replace(e.head("\r\n"+body), "HTTP/1.1", "HTTP/1.0", 1)
	}},
	"HTTP/1.0 reset": {reset: true, text: func(e rawExchange, body string) string {
		return strings.Replace(e.head("\r\n"+body), "HTTP/1.1", "HTTP/1.0", 1)
	}},
	"HTTP/1.0 short": {text: func(e rawExchange, body string) string {
		return strings.Replace(e.head("Content-Length: 100\r\n\r\n"+body), "HTTP/1.1", "HTTP/1.0", 1)
	}},
	"short":          {text: func(e rawExchange, body string) string { return e.head("Content-Length: 100\r\n\r\n" + body) }},
	"no body":        {text: func(e rawExchange, _ string) string { return e.head("Content-Length: 100\r\n\r\n") }},
	"head only":      {text: func(e rawExchange, _ string) string { return e.head("") }},
	"cut length":     {text: func(e rawExchange, _ string) string { return e.head("Content-Length: 1") }},
	"cut field name": {text: func(e rawExchange, _ string) string { return e.head("Content-Le") }},
	"status line":    {text: func(rawExchange, string) string { return "HTTP/1.1 200 OK\r\n" }},
	"chunked": {whole: true, text: func(e rawExchange, body string) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n")
	}},
	"no last chunk": {text: func(e rawExchange, body string) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n" + chunk(body))
	}},
	"cut chunk": {text: func(e rawExchange, body string) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n40\r\n" + body)
	}},
	"cut trailer": {text: func(e rawExchange, body string) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\nX: ")
	}},
	"error in chunks": {text: func(e rawExchange, body string) string {
		return e.head("Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "HTTP/1.1 500 error\r\nContent-Length: 0\r\n\r\n")
	}},
	"two lengths": {text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("Content-Length: %d\r\nContent-Length: 3\r\n\r\n%s", len(body), body))
	}},
	"bad length": {text: func(e rawExchange, body string) string { return e.head("Content-Length: +5\r\n\r\n" + body) }},
	"NUL in a field": {text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("X: a\x00b\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}},
	"length and chunks": {whole: true, text: func(e rawExchange, body string) string {
		return e.head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n")
	}},
	"folded field": {whole: true, text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("X: a\r\n Content-Length: 3\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}},
	"interim responses": {whole: true, text: func(e rawExchange, body string) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + e.head(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}},
	"interim response only": {text: func(rawExchange, string) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" }},
	"longer than its length": {whole: true, text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("Content-Length: %d\r\n\r\n%s and more\r\nHTTP/1.1 200 OK\r\n\r\n", len(body), body))
	}},
	"two names": {text: func(e rawExchange, body string) string {
		return e.head(fmt.Sprintf("Attempt-Id: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}},
}

// What is not whole is never forwarded as whole, and nothing of a response reaches another
// request.
func TestCall_ResponseIsWholeAndItsOwnOrABadGateway(t *testing.T) {
	for name, response := range callResponses {
		for _, path := range []string{"/book/visit", "/status/7"} {
			for _, closes := range []bool{true, false} {
				if !closes && (!response.whole || strings.HasPrefix(name, "unframed") || strings.HasPrefix(name, "HTTP/1.0")) {
					continue
				}
				t.Run(fmt.Sprint(path, " ", name, " ", closes), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					target := d.startRawTarget("t1", "bookings", func(e rawExchange) {
						e.write(response.text(e, "answer to "+e.id))
						if response.reset {
							time.Sleep(transferTime)
							e.reset()
						}
						if closes {
							e.close()
						}
					})
					g := d.startReadyEntry("entry-1")
					for range 3 {
						req := newCallerRequest(http.MethodPost, path, "a body")
						got := d.send(g, req)
						assert.Assert(t, got.complete)
						if !response.whole {
							assert.Equal(t, got.status, http.StatusBadGateway)
							assert.Equal(t, got.body, "")
						} else {
							assert.Equal(t, got.status, http.StatusOK)
							assert.Equal(t, got.body, "answer to "+req.AttemptID)
						}
						assert.Assert(t, target.arrived(req.AttemptID) == 1 || path == "/status/7")
						time.Sleep(transferTime / 2)
					}
				})
			}
		}
	}
}
