package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bodilessResponses are responses that have no body, by their status or the method of their
// request; fields are header lines of theirs.
var bodilessResponses = map[string]struct {
	method string
	status int
	fields string
}{
	"204":          {method: http.MethodPost, status: http.StatusNoContent},
	"204 length":   {method: http.MethodPost, status: http.StatusNoContent, fields: "Content-Length: 5\r\n"},
	"304":          {method: http.MethodGet, status: http.StatusNotModified},
	"304 length":   {method: http.MethodGet, status: http.StatusNotModified, fields: "Content-Length: 5\r\n"},
	"HEAD":         {method: http.MethodHead, status: http.StatusOK},
	"HEAD length":  {method: http.MethodHead, status: http.StatusOK, fields: "Content-Length: 5\r\n"},
	"HEAD chunked": {method: http.MethodHead, status: http.StatusOK, fields: "Transfer-Encoding: chunked\r\n"},
}

// Targets send a body with responses that have none.
func TestBodilessResponse_BodyReachesNoCaller(t *testing.T) {
	for name, response := range bodilessResponses {
		for path, service := range routesOfBothKinds {
			for _, stray := range []string{"", "stray", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"} {
				t.Run(fmt.Sprint(name, " ", path, " ", len(stray)), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					addPlainStream(d)
					target := d.startRawTarget("t1", service, func(e rawExchange) {
						e.write(strings.Replace(e.head(response.fields+"\r\n"), "200", fmt.Sprint(response.status), 1) + stray)
					})
					g := d.startReadyEntry("entry-1")
					for range 3 {
						req := newCallerRequest(response.method, path, "")
						req.DeadlineRemaining = time.Second
						got := d.send(g, req)
						assert.Equal(t, got.status, response.status)
						assert.Assert(t, got.complete)
						assert.Equal(t, got.body, "")
						assert.Equal(t, target.arrived(req.AttemptID), 1)
					}
				})
			}
		}
	}
}
