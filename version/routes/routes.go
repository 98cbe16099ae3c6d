// Package routes implements the routing table, which maps requests to services by
// host and longest path prefix and API keys to workspaces, and holds the limits for
// callers. A table is compiled from a complete document and is immutable.
//
// Nothing in this package does I/O, reads a clock or starts a goroutine.
package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Kind determines how the requests of a route may be retried.
type Kind uint8

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of numbered events.
	Streaming
)

// String returns the name of k for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Backend is one service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route is one declared route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response is on time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest interval between events that is on time.
	MaxEventGap time.Duration
	Priority    int
	Backends    []Backend
	// MaxAttempts is the maximum number of targets that may run one call. For a stream it
	// bounds the consecutive attempts without a new event.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may be resumed at another target.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for the request with the given id, chosen by weight. It
// is always the same for the same id.
func (r *Route) Service(id string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	position := int(xxhash.Sum64String(id) % uint64(total))
	for _, backend := range r.Backends {
		if position -= backend.Weight; position < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is one declared service.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one target from all
	// entries.
	MaxConnections int
	// HealthPath is the path at which a target reports its identity and health.
	HealthPath string
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVCapacityTokens is the capacity of an engine's KV cache in tokens.
	KVCapacityTokens int
	// SupportsKVCopies is set when an engine can send a KV copy of an attempt to
	// another engine.
	SupportsKVCopies bool
	// KVCopyTTL is how long a KV copy is kept after its attempt ended.
	KVCopyTTL time.Duration
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int
}

// Limits bounds the size of requests and the time that callers may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is one customer of the deployment.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Document is a complete configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	// RequiresKeys is set when requests need an API key, also if no workspace has one.
	RequiresKeys bool
}

// Table is a compiled document. It is immutable and safe for concurrent use.
type Table struct {
	version        int64
	limits         Limits
	routesByHost   map[string]map[string]*Route
	longestPrefix  map[string]int
	services       map[string]*Service
	workspaceByKey map[string]*Workspace
	// requiresKey is set when requests need an API key.
	requiresKey   bool
	routeCount    int
	longestStream time.Duration
	// outOfBounds names the numbers of the document that were out of their bounds.
	outOfBounds []string
}

// Compile returns the table of a document. Numbers out of their bounds do not reject the
// document: the nearest bound holds, or the default of a limit that is not positive.
func Compile(document Document) (*Table, error) {
	b := &bounder{}
	t := &Table{
		version:        document.Version,
		limits:         b.limits(document.Limits),
		routesByHost:   map[string]map[string]*Route{},
		longestPrefix:  map[string]int{},
		services:       map[string]*Service{},
		workspaceByKey: map[string]*Workspace{},
		requiresKey:    document.RequiresKeys || len(document.Workspaces) > 0,
		routeCount:     len(document.Routes),
	}
	for i := range document.Services {
		service := b.service(document.Services[i])
		t.services[service.Name] = &service
	}
	for i := range document.Routes {
		route := b.route(document.Routes[i])
		if err := t.addRoute(&route); err != nil {
			return nil, err
		}
	}
	for i := range document.Workspaces {
		for _, key := range document.Workspaces[i].Keys {
			t.workspaceByKey[key] = &document.Workspaces[i]
		}
	}
	t.outOfBounds = b.changed
	return t, nil
}

func (t *Table) addRoute(route *Route) error {
	if len(route.Backends) == 0 {
		return errors.Errorf("route %q has no service", route.Name)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	}
	host := hostName(route.Host)
	if t.routesByHost[host] == nil {
		t.routesByHost[host] = map[string]*Route{}
	}
	t.routesByHost[host][route.Prefix] = route
	t.longestPrefix[host] = max(t.longestPrefix[host], len(route.Prefix))
	if route.Kind == Streaming {
		t.longestStream = max(t.longestStream, route.Timeout)
	}
	return nil
}

// hostName returns host in lower case and without a port.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Version returns the version of the document.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of declared routes.
func (t *Table) RouteCount() int { return t.routeCount }

// LongestStream returns the longest time that a stream may take.
func (t *Table) LongestStream() time.Duration { return t.longestStream }

// OutOfBounds names the numbers of the document that were out of their bounds.
func (t *Table) OutOfBounds() []string { return t.outOfBounds }

// Match returns the route of host with the longest prefix of path, or nil. Its cost
// grows with the number of slashes in path, not with the number of routes.
func (t *Table) Match(host, path string) *Route {
	prefixes, ok := t.routesByHost[hostName(host)]
	if !ok {
		return nil
	}
	if longest := t.longestPrefix[hostName(host)]; len(path) > longest {
		path = path[:longest]
	}
	for {
		at := strings.LastIndexByte(path, '/')
		if at < 0 {
			return nil
		}
		if route, ok := prefixes[path[:at+1]]; ok {
			return route
		}
		path = path[:at]
	}
}

// Service returns the declared service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the names of the services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Workspace returns the workspace with the given name, or nil.
func (t *Table) Workspace(name string) *Workspace {
	for _, workspace := range t.workspaceByKey {
		if workspace.Name == name {
			return workspace
		}
	}
	return nil
}

// Authorize returns the workspace that key belongs to. Requests on anonymous routes,
// and all requests while the document requires no keys, need none and have no workspace.
func (t *Table) Authorize(route *Route, key string) (workspace *Workspace, ok bool) {
	if route.Anonymous || !t.requiresKey {
		return nil, true
	}
	workspace, ok = t.workspaceByKey[key]
	return workspace, ok
}
