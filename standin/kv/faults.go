package kv

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// Faults are the failures that the store brings about.
type Faults struct {
	// Outage breaks every connection without an answer, running watches included.
	Outage bool `json:"outage"`
	// Silent takes calls and never answers them; only the users' platform has it.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to every call but running watches.
	Delay time.Duration `json:"delay"`
	// ResponseLossRate is the probability that a write takes effect and its answer is
	// lost; LoseWrite that it is lost before it takes effect.
	ResponseLossRate float64 `json:"loseAnswer"`
	WriteLossRate    float64 `json:"loseWrite"`
	// Seed starts the chance by which answers are lost.
	Seed uint64 `json:"seed"`
}

// Calls counts calls by kind; a watch counts once, and those that wait now are
// Watching.
type Calls struct {
	Ranges, Txns, Leases, Watches int64
	Watching                      int64
}

// SetFaults replaces the failures.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 1))
	if faults.Outage || faults.Silent {
		close(s.broken)
		s.broken = make(chan struct{})
	}
}

// CloseWatches ends all running watches, as when connections are reset.
func (s *Store) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// Calls returns the calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// fate is what becomes of one call.
type fate struct {
	delay               time.Duration
	dropped, answerLost bool
	silent              bool
}

func (s *Store) fate(write bool) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fate{delay: s.faults.Delay, dropped: s.faults.Outage, silent: s.faults.Silent}
	if write {
		f.dropped = f.dropped || s.random.Float64() < s.faults.WriteLossRate
		f.answerLost = s.random.Float64() < s.faults.ResponseLossRate
	}
	return f
}

// arrives delays a call, drops it or keeps it waiting for its end as was decided, and
// says whether it is to be carried out.
func (f fate) arrives(ctx context.Context) bool {
	wait(ctx, f.delay)
	if f.silent {
		<-ctx.Done()
		return false
	}
	if f.dropped {
		drop()
	}
	return true
}

// drop ends the connection of a call without an answer.
func drop() { panic(http.ErrAbortHandler) }

func wait(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}
