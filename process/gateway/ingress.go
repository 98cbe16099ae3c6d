package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// ingress accepts connections of callers. The limits of an http.Server cannot be
// changed while it runs, so each set of limits has its own server, which serves the
// connections accepted while those limits were active.
type ingress struct {
	gateway         *Gateway
	callerListener  *graceful.Listener
	healthListener  net.Listener
	metricsListener net.Listener
	adminServers    []*http.Server

	mu            sync.Mutex
	limits        routes.Limits
	current       *connListener
	callerServers []*http.Server
	closed        bool
}

// connListener is a listener whose connections are passed to it through a channel.
type connListener struct {
	conns chan net.Conn
	addr  net.Addr
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

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
	i.applyLimits(routes.DefaultLimits)
	health := http.NewServeMux()
	health.HandleFunc("GET /v1/readyz", i.gateway.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", i.gateway.metrics.handler())
	i.serveAdmin(i.healthListener, health)
	i.serveAdmin(i.metricsListener, metrics)
	return nil
}

// serveAdmin serves health checks or metrics at a listener of their own.
func (i *ingress) serveAdmin(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: routes.DefaultLimits.HeaderTimeout}
	i.adminServers = append(i.adminServers, server)
	go i.runServer(server, listener)
}

func (i *ingress) runServer(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.gateway.log.Event("listener_lost", "address", listener.Addr().String(), "error", err.Error())
	}
}

// applyLimits applies limits to connections that are accepted from now on.
func (i *ingress) applyLimits(limits routes.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || i.current != nil && limits == i.limits {
		return
	}
	i.limits = limits
	if i.current != nil {
		// The previous server keeps serving its connections under its limits.
		_ = i.current.Close()
	}
	i.current = &connListener{conns: make(chan net.Conn), addr: i.callerListener.Addr(), done: make(chan struct{})}
	server := &http.Server{
		Handler:                      http.HandlerFunc(i.gateway.serveCaller),
		ReadHeaderTimeout:            limits.HeaderTimeout,
		IdleTimeout:                  limits.IdleTimeout,
		MaxHeaderBytes:               limits.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    i.callerListener.ConnState,
		ConnContext:                  i.callerListener.ConnContext,
		ErrorLog:                     klog.NewStandardLogger("WARNING"),
		BaseContext:                  func(net.Listener) context.Context { return i.gateway.background },
	}
	i.callerServers = append(i.callerServers, server)
	go i.runServer(server, i.current)
}

// serve passes accepted connections to the server with the current limits.
func (i *ingress) serve() {
	for {
		conn, err := i.callerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			i.gateway.log.Event("accept_failed", "error", err.Error())
			pause(i.gateway.background, checkInterval)
			continue
		}
		for !i.dispatch(conn) {
		}
	}
}

// dispatch passes a connection to the server with the current limits. It returns false
// if the limits changed meanwhile.
func (i *ingress) dispatch(conn net.Conn) bool {
	i.mu.Lock()
	current, closed := i.current, i.closed
	i.mu.Unlock()
	if closed {
		_ = conn.Close()
		return true
	}
	select {
	case current.conns <- conn:
		return true
	case <-current.done:
		return false
	case <-i.gateway.background.Done():
		_ = conn.Close()
		return true
	}
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
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	for _, server := range append(i.callerServers, i.adminServers...) {
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
