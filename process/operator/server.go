// Package operator serves the operators' HTTP endpoints of a process: health,
// status, metrics and time line.
package operator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

// readHeaderTimeout bounds how long request headers may take.
const readHeaderTimeout = 5 * time.Second

// Server is the operators' endpoint of one process.
type Server struct {
	address  string
	digests  []string
	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
}

// New returns a server for an IP address and TCP port. When digests is not
// empty, all but /health needs a bearer token with one of these SHA-256 digests.
func New(address string, digests []string) *Server {
	s := &Server{address: address, digests: digests, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return s
}

// Handle adds a handler, which operators reach with a token only. It must be
// called before Start.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, s.authorized(handler))
}

func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if len(s.digests) > 0 && !slices.Contains(s.digests, version.TokenDigest(token)) {
			http.Error(w, "no known operator token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "operators")
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server at once; closing one that never started does nothing.
func (s *Server) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
}

// Shutdown ends the server after its running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return errors.Wrap(s.server.Shutdown(ctx), "shutdown")
}
