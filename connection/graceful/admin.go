package graceful

import (
	"net"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
)

// Limits of a listener for health checks, metrics or operators. Each has some of its own, so that a
// balancer is answered while callers press.
const (
	// adminMemory is enough for two of the largest heads.
	adminMemory = 3 << 20
	// maxAdminConnections are more than the balancers and the scrapers of a deployment. With few
	// descriptors they take adminDescriptorFraction of these at most.
	maxAdminConnections     = 32
	adminDescriptorFraction = 0.0625
	// adminBodyTime and adminWriteTime are how long a caller may take to send a body, although
	// none is asked for, and to read the response.
	adminBodyTime  = 3 * time.Second
	adminWriteTime = 30 * time.Second
)

// NewAdminListener returns a listener for health checks, metrics or operators. onYield is called
// for what is refused or ended because its memory or connections are used up.
func NewAdminListener(inner net.Listener, limits keepalive.Limits, onYield func(memory.Yield)) *Listener {
	bounds := quota.Limits{Bytes: adminMemory, Connections: maxAdminConnections}
	if descriptors := memory.DescriptorLimit(); descriptors > 0 {
		bounds.Connections = max(1, min(bounds.Connections, int(adminDescriptorFraction*float64(descriptors))))
	}
	l := NewListener(inner)
	l.Memory = memory.New(bounds)
	l.Memory.OnYield = onYield
	l.SetLimits(limits)
	return l
}

// NewAdminServer returns a server for the connections of such a listener. Its handler reads no
// bodies: requests whose bodies stop short end soon, as do those whose responses are not read.
func NewAdminServer(l *Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.ContentLength != 0 {
			Hold(r.Context(), quota.Receiving)
			_ = controller.SetReadDeadline(time.Now().Add(adminBodyTime))
		}
		// They fail if the connection is closed.
		_ = controller.SetWriteDeadline(time.Now().Add(adminWriteTime))
		handler.ServeHTTP(w, r)
	})}
	l.ConfigureServer(server)
	return server
}
