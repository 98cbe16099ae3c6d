// Package routes holds the table by which requests find their service: routes by
// host and longest prefix, workspaces by key, and the limits for callers. A table
// is compiled once from a whole document and never changes.
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

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of numbered events.
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
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is on time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events that is still on time.
	MaxEventGap time.Duration
	Priority    int
	Backends    []Backend
	// MaxAttempts bounds the targets that one request runs on.
	MaxAttempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams may go on at another target.
	Resumable bool
}

// Idempotent says whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service that takes the request with the given id. The same
// request always goes to the same one.
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
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, backend := range r.Backends {
		if at -= backend.Weight; at < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is one declared service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target from all entries.
	MaxConnections int
	// HealthPath is where a target says who it is and whether it is well.
	HealthPath string
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVCapacityTokens is how many tokens its memory holds.
	KVCapacityTokens int
	// SupportsKVCopies says that an engine can send the memory of a run to another.
	SupportsKVCopies bool
	// KVCopyTTL is how long a copy outlives its run.
	KVCopyTTL time.Duration
	// TokensPerEvent is how many tokens one event holds.
	TokensPerEvent int
}

// Limits bounds what callers may send and how long they may take.
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
	// Priority goes before that of the route; nil leaves the route's.
	Priority *int
}

// Document is a whole configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table is a compiled document. It is safe for concurrent use.
type Table struct {
	version  int64
	limits   Limits
	hosts    map[string]map[string]*Route
	longest  map[string]int
	services map[string]*Service
	keys     map[string]*Workspace
	// keyed says that requests need a key.
	keyed  bool
	routes int
}

// Compile returns the table of a document.
func Compile(document Document) (*Table, error) {
	t := &Table{
		version:  document.Version,
		limits:   document.Limits,
		hosts:    map[string]map[string]*Route{},
		longest:  map[string]int{},
		services: map[string]*Service{},
		keys:     map[string]*Workspace{},
		keyed:    len(document.Workspaces) > 0,
		routes:   len(document.Routes),
	}
	for i := range document.Services {
		t.services[document.Services[i].Name] = &document.Services[i]
	}
	for i := range document.Routes {
		if err := t.add(&document.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range document.Workspaces {
		for _, key := range document.Workspaces[i].Keys {
			t.keys[key] = &document.Workspaces[i]
		}
	}
	return t, nil
}

func (t *Table) add(route *Route) error {
	if len(route.Backends) == 0 {
		return errors.Errorf("route %q has no service", route.Name)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	}
	host := hostName(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*Route{}
	}
	t.hosts[host][route.Prefix] = route
	t.longest[host] = max(t.longest[host], len(route.Prefix))
	return nil
}

// hostName returns host in lower case and without a port.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Version returns the document's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns how many routes there are.
func (t *Table) RouteCount() int { return t.routes }

// Match returns the route of host with the longest prefix that begins path, or
// nil. Its cost grows with the number of slashes in path, not of routes.
func (t *Table) Match(host, path string) *Route {
	prefixes, ok := t.hosts[hostName(host)]
	if !ok {
		return nil
	}
	if longest := t.longest[hostName(host)]; len(path) > longest {
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

// Service returns a declared service, or nil.
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

// Authorize returns the workspace that holds key. Requests of anonymous routes,
// and all requests while no workspace is declared, need none and get nil.
func (t *Table) Authorize(route *Route, key string) (workspace *Workspace, ok bool) {
	if route.Anonymous || !t.keyed {
		return nil, true
	}
	workspace, ok = t.keys[key]
	return workspace, ok
}
