// Package weights is a small stand-in for the platform's weight store, which is
// rate-limited.
package weights

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Store serves the weights of models.
type Store struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	fetches map[string]int
	missing map[string]bool
}

// New returns a store that serves the weights of perMinute models per minute; zero means
// no limit.
func New(perMinute float64) *Store {
	limit := rate.Inf
	if perMinute > 0 {
		limit = rate.Limit(perMinute / 60)
	}
	return &Store{limiter: rate.NewLimiter(limit, 1), fetches: map[string]int{}, missing: map[string]bool{}}
}

// Fetch waits for the rate limit, then returns. It fails if the model's weights are
// missing.
func (s *Store) Fetch(ctx context.Context, model string) error {
	s.mu.Lock()
	s.fetches[model]++
	missing := s.missing[model]
	s.mu.Unlock()
	if missing {
		return errors.Errorf("there are no weights of %q", model)
	}
	return errors.Wrap(s.limiter.Wait(ctx), "weights")
}

// SetMissing sets whether the fetches of a model fail.
func (s *Store) SetMissing(model string, missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missing[model] = missing
}

// FetchCount returns how often the weights of a model were requested.
func (s *Store) FetchCount(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches[model]
}
