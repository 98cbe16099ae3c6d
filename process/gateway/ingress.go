package gateway

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// ingress accepts connections of callers, operators and health checks.
type ingress struct {
	gateway         *Gateway
	callerListener  *graceful.Listener
	callerServer    *http.Server
	healthListener  net.Listener
	metricsListener net.Listener
	adminServers    []*http.Server
}

// callerAcceptor logs connections of callers that cannot be accepted.
type callerAcceptor struct {
	*graceful.Listener
	gateway *Gateway
}

// Accept implements net.Listener.
func (a callerAcceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err //nolint:wrapcheck // net.Listener
		}
		a.gateway.log.Event("accept_failed", "error", err.Error())
		pause(a.gateway.background, checkInterval)
	}
}

func newIngress(g *Gateway) *ingress { return &ingress{gateway: g} }

func (i *ingress) listen() error {
	s := i.gateway.settings
	var callers net.Listener
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{{&callers, s.Callers}, {&i.healthListener, s.Health}, {&i.metricsListener, s.Metrics}} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			return errors.WithStack(err)
		}
		*open.listener = listener
	}
	i.callerListener = graceful.NewListener(callers)
	i.callerListener.OnIdleClose = i.gateway.recordIdleClose
	i.callerListener.Memory = i.gateway.bodyMemory.memory
	i.callerListener.Memory.OnYield = i.gateway.recordYield("callers")
	i.applyLimits(routes.DefaultLimits)
	i.callerServer = &http.Server{
		Handler:                      http.HandlerFunc(i.gateway.serveCaller),
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     klog.NewStandardLogger("WARNING"),
		BaseContext:                  func(net.Listener) context.Context { return i.gateway.background },
	}
	i.callerListener.ConfigureServer(i.callerServer)
	health := http.NewServeMux()
	health.HandleFunc("GET /v1/readyz", i.gateway.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", i.gateway.metrics.handler())
	metrics.HandleFunc("GET "+rollout.SummariesPath, i.gateway.serveRollouts)
	metrics.HandleFunc("GET "+WherePath, i.gateway.serveWhere)
	i.serveAdmin("health", i.healthListener, health)
	i.serveAdmin("metrics", i.metricsListener, metrics)
	return nil
}

// serveAdmin serves health checks or metrics at a listener of their own.
func (i *ingress) serveAdmin(name string, inner net.Listener, handler http.Handler) {
	limits := routes.DefaultLimits
	listener := graceful.NewAdminListener(inner, keepalive.Limits{
		HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	}, i.gateway.recordYield(name))
	server := graceful.NewAdminServer(listener, handler)
	server.ErrorLog = klog.NewStandardLogger("WARNING")
	i.adminServers = append(i.adminServers, server)
	go i.runServer(server, callerAcceptor{Listener: listener, gateway: i.gateway})
}

// recordYield returns a function that logs and counts what had to yield at a listener because
// memory or connections were used up.
func (g *Gateway) recordYield(listener string) func(memory.Yield) {
	return func(y memory.Yield) {
		g.metrics.countYield(listener, y.State.String(), y.Refused)
		g.log.Event("caller_limited", "listener", listener, "waitedFor", y.State.String(), "stalled", y.Stalled, "bytes", y.Bytes, "refused", y.Refused)
	}
}

func (i *ingress) runServer(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.gateway.log.Event("listener_lost", "address", listener.Addr().String(), "error", err.Error())
	}
}

// applyLimits applies limits to callers' connections.
func (i *ingress) applyLimits(limits routes.Limits) {
	i.callerListener.SetLimits(keepalive.Limits{
		HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
}

// serve serves callers until the listener is closed.
func (i *ingress) serve() {
	i.runServer(i.callerServer, callerAcceptor{Listener: i.callerListener, gateway: i.gateway})
}

// recordIdleClose logs and counts that the connection of a caller was closed as idle.
func (g *Gateway) recordIdleClose(closed graceful.IdleClose) {
	g.metrics.countIdleClose(closed.LateRequest, closed.Stopping)
	g.log.Event("idle_connection_closed", "idle", closed.Idle, "limit", closed.Limit, "requests", closed.Requests,
		"lateRequest", closed.LateRequest, "stopping", closed.Stopping)
}

// shutdown accepts no more connections, closes idle ones, and the others after the response
// in progress. It returns an error if ctx ends before all are closed.
func (i *ingress) shutdown(ctx context.Context) error {
	i.callerListener.StopAccepting()
	counts := i.callerListener.Connections()
	i.gateway.log.Event("connections_draining", "idle", counts.Idle, "inUse", counts.InUse, "unused", counts.Unused)
	return errors.WithMessage(i.callerListener.Drain(ctx), "connections of callers")
}

// close closes all connections.
func (i *ingress) close() {
	for _, server := range append(i.adminServers, i.callerServer) {
		_ = server.Close()
	}
}

// ready reports whether the entry should get new connections.
func (g *Gateway) ready() bool {
	return !g.draining() && g.control.currentFreshness().Ready(bootClock())
}

// serveReady responds to the balancer's health checks.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
