// Package baseline is a small router that the load tool compares the product
// with. It speaks to the engines directly, without agents, journals, control
// streams or admission: what a plain proxy in front of the engines would do. It
// has one hop less than the product, which is to its advantage.
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

// Strategy says how a router chooses a target.
type Strategy string

// The choices.
const (
	Random        Strategy = "random"
	RoundRobin    Strategy = "round-robin"
	LeastInFlight Strategy = "least-in-flight"
)

// Policy is what a router does.
type Policy struct {
	Strategy Strategy
	// RerunFromPrompt starts a lost generation anew from its prompt; else it is resumed from
	// the tokens that came.
	RerunFromPrompt bool
	// TokenTimeout is the fixed time without a token after which an attempt is given up.
	TokenTimeout time.Duration
	// FirstTokenTimeout is the same before the first token.
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
	// ejected holds until when a target that failed is left out.
	ejected map[string]time.Time
}

// ejection is how long a target is left out after an attempt failed there, as
// plain proxies do.
const ejection = 2 * time.Second

// idleConnections bounds the idle connections to one engine.
const idleConnections = 256

// Start starts a router at a free loopback port. It serves the model version
// given on the targets that the function returns.
func Start(policy Policy, version string, seed uint64, targets func() []Target) (*Router, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Router{
		policy:   policy,
		version:  version,
		targets:  targets,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
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

// Kill ends the router at once.
func (r *Router) Kill() {
	_ = r.server.Close()
	r.client.CloseIdleConnections()
}

// pick chooses a target that did not fail of late, when there is one.
func (r *Router) pick() (Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.targets()
	now := time.Now()
	list := slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return now.Before(r.ejected[t.Name]) })
	if len(list) == 0 {
		list = all
	}
	if len(list) == 0 {
		return Target{}, errors.New("there is no target")
	}
	chosen := r.choose(list)
	r.inFlight[chosen.Name]++
	return chosen, nil
}

// eject leaves a target out for a while.
func (r *Router) eject(target Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejected[target.Name] = time.Now().Add(ejection)
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

// attempt runs g on a target and hands each chunk to take, until the generation
// ends or the target falls silent.
func (r *Router) attempt(ctx context.Context, target Target, g outside.GenerateRequest, take func(outside.Chunk) error) error {
	defer r.release(target)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(r.policy.FirstTokenTimeout, cancel)
	defer silence.Stop()
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
		silence.Reset(r.policy.TokenTimeout)
		if err := take(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
}
