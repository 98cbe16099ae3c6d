// Package baseline implements a simple router with which the load tool compares the
// product. It forwards requests directly to engines as a plain proxy does, without
// agents, journals, control streams or admission. It has one hop fewer than the
// product, which is to its advantage.
package baseline

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/openai"
)

// Strategy is the rule by which a router chooses a target.
type Strategy string

// The strategies.
const (
	Random        Strategy = "random"
	RoundRobin    Strategy = "round-robin"
	LeastInFlight Strategy = "least-in-flight"
)

// Policy configures a router.
type Policy struct {
	Strategy Strategy
	// RerunFromPrompt restarts a lost generation from its prompt. Otherwise it is
	// resumed after the tokens already received.
	RerunFromPrompt bool
	// TokenTimeout is the fixed time without a token after which an attempt is
	// cancelled.
	TokenTimeout time.Duration
	// FirstTokenTimeout replaces TokenTimeout until the first token.
	FirstTokenTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// Target is one engine.
type Target struct {
	Name string
	URL  string
}

// Router is one running router.
type Router struct {
	policy   Policy
	version  string
	targets  func() []Target
	client   *http.Client
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	random   *rand.Rand
	turn     int
	inFlight map[string]int
	// ejected holds, by target, the time until which a failed target is not chosen.
	ejected map[string]time.Time
}

// ejectionPeriod is how long a target is not chosen after a failed attempt, as in
// plain proxies with outlier ejection.
const ejectionPeriod = 2 * time.Second

// maxIdleConnections is the maximum number of idle connections to one engine.
const maxIdleConnections = 256

// Start starts a router on a free loopback port. It serves the given model version
// with the targets that the targets function returns.
func Start(policy Policy, version string, seed uint64, targets func() []Target) (*Router, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Router{
		policy:   policy,
		version:  version,
		targets:  targets,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		listener: listener,
		random:   rand.New(rand.NewPCG(seed, 2)),
		inFlight: map[string]int{},
		ejected:  map[string]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", r.complete)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// URL returns the base URL of the router.
func (r *Router) URL() string { return "http://" + r.listener.Addr().String() }

// Kill closes the router and all its connections immediately.
func (r *Router) Kill() {
	_ = r.server.Close()
	r.client.CloseIdleConnections()
}

// pickTarget chooses among the targets that are not ejected, or among all if every
// one is ejected.
func (r *Router) pickTarget() (Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.targets()
	now := time.Now()
	list := slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return now.Before(r.ejected[t.Name]) })
	if len(list) == 0 {
		list = all
	}
	if len(list) == 0 {
		return Target{}, errors.New("no targets available")
	}
	chosen := r.choose(list)
	r.inFlight[chosen.Name]++
	return chosen, nil
}

// eject excludes a target from selection for ejectionPeriod.
func (r *Router) eject(target Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejected[target.Name] = time.Now().Add(ejectionPeriod)
}

func (r *Router) choose(list []Target) Target {
	switch r.policy.Strategy {
	case RoundRobin:
		r.turn++
		return list[r.turn%len(list)]
	case LeastInFlight:
		first := r.random.IntN(len(list))
		list = slices.Concat(list[first:], list[:first])
		return slices.MinFunc(list, func(a, b Target) int { return r.inFlight[a.Name] - r.inFlight[b.Name] })
	default:
		return list[r.random.IntN(len(list))]
	}
}

func (r *Router) release(target Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[target.Name]--
}

// attempt runs g on a target and passes each chunk to onChunk, until the generation
// ends or a token timeout expires.
func (r *Router) attempt(ctx context.Context, target Target, g outside.GenerateRequest, onChunk func(outside.Chunk) error) error {
	defer r.release(target)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(r.policy.FirstTokenTimeout, cancel)
	defer timeout.Stop()
	stream, err := openai.NewEngine(target.URL, r.client).Generate(ctx, g)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		timeout.Reset(r.policy.TokenTimeout)
		if err := onChunk(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
}
