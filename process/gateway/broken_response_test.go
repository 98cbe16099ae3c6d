package gateway

import (
	"fmt"
	"net/http"
	"testing"

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
