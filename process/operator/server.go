// Package operator serves the HTTP endpoints of a process for operators: health, status,
// metrics and time line.
package operator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// readHeaderTimeout bounds the time to read request headers, idleTimeout that between two
	// requests: scrapers come once a minute at least.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes bounds request headers. Those of operators hold a token.
	maxHeaderBytes = 16 << 10
)

// Server is the operators' endpoint of one process.
type Server struct {
	address  string
	digests  []string
	mux      *http.ServeMux
	server   *http.Server
	listener *graceful.Listener
	// OnYield, if set, is called for what is refused or ended because too much is held for
	// operators. It must be set before Start.
	OnYield func(memory.Yield)
}

// New returns a server for an IP address and TCP port. If digests is not empty, all paths
// but /health require a bearer token with one of these SHA-256 digests.
func New(address string, digests []string) *Server {
	s := &Server{address: address, digests: digests, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return s
}

// Handle adds a handler that requires an operator token. It must be called before Start.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, s.requireToken(handler))
}

func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if len(s.digests) > 0 && !slices.Contains(s.digests, version.TokenDigest(token)) {
			http.Error(w, "no known operator token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Start listens and serves requests in the background until Close or Shutdown.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	s.listener = graceful.NewAdminListener(listener, keepalive.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}, s.OnYield)
	s.server = graceful.NewAdminServer(s.listener, s.mux)
	go func() { _ = s.server.Serve(s.listener) }()
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server immediately. It does nothing if the server was never started.
func (s *Server) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
}

// Shutdown stops the server after its running requests have ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return errors.Wrap(s.server.Shutdown(ctx), "shutdown")
}
