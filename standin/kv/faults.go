package kv

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Faults selects the faults of the store.
type Faults struct {
	// Outage breaks every connection without a response, running watches included.
	Outage bool `json:"outage"`
	// Silent accepts calls and never responds; only PlatformHandler applies it to calls.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to every call except running watches.
	Delay time.Duration `json:"delay"`
	// ResponseLossRate is the probability that a write takes effect and its response is
	// lost; WriteLossRate that the write is lost before it takes effect.
	ResponseLossRate float64 `json:"loseAnswer"`
	WriteLossRate    float64 `json:"loseWrite"`
	// WriteTurns are what becomes of writes, in turns; PlatformHandler alone. A late write is
	// executed WriteLateness after its connection broke, if its conditions hold then.
	WriteTurns    []WriteFault  `json:"-"`
	WriteLateness time.Duration `json:"-"`
	// OnlyKeys limits losses and turns to transactions that write a key with this prefix.
	OnlyKeys string `json:"onlyKeys,omitempty"`
	// EraTexts replace what responses state as the era, in turns; "" leaves the header out.
	EraTexts []string `json:"eraTexts,omitempty"`
	eraTurn  int
	// Seed is the random seed for the losses.
	Seed uint64 `json:"seed"`
}

// WriteFault is what becomes of one write.
type WriteFault int

// The faults of writes. Of a write that is lost or late the connection breaks at once, of one whose
// answer is lost once it was executed.
const (
	WriteSound WriteFault = iota
	WriteLost
	WriteLate
	AnswerLost
)

// Calls counts calls by kind. Each watch counts once; Watching is the number of watches
// that are open now.
type Calls struct {
	Ranges, Txns, Leases, Watches int64
	Watching                      int64
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.writeTurn = faults, 0
	s.random = rand.New(rand.NewPCG(faults.Seed, 1))
	if faults.Outage || faults.Silent {
		close(s.watchesClosed)
		s.watchesClosed = make(chan struct{})
	}
}

// CloseWatches closes all running watches, as when connections are reset.
func (s *Store) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesClosed)
	s.watchesClosed = make(chan struct{})
}

// Calls returns the counts of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// callFaults are the faults of one call.
type callFaults struct {
	delay                     time.Duration
	requestLost, responseLost bool
	silent                    bool
	// lateness is how much later a write is executed whose connection breaks at once.
	lateness time.Duration
}

// drawFaults returns the faults of the next call. Writes are lost at random, at the
// configured rates, and in turns, if they are among those that OnlyKeys names.
func (s *Store) drawFaults(write bool, keys ...string) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := callFaults{delay: s.faults.Delay, requestLost: s.faults.Outage, silent: s.faults.Silent}
	hasPrefix := func(key string) bool { return strings.HasPrefix(key, s.faults.OnlyKeys) }
	if write && (s.faults.OnlyKeys == "" || slices.ContainsFunc(keys, hasPrefix)) {
		f.requestLost = f.requestLost || s.random.Float64() < s.faults.WriteLossRate
		f.responseLost = s.random.Float64() < s.faults.ResponseLossRate
		f.takeTurn(s.faults, s.writeTurn)
		s.writeTurn++
	}
	return f
}

// takeTurn adds the fault of a write with the given number.
func (f *callFaults) takeTurn(faults Faults, turn int) {
	if len(faults.WriteTurns) == 0 {
		return
	}
	switch faults.WriteTurns[turn%len(faults.WriteTurns)] {
	case WriteSound:
	case WriteLost:
		f.requestLost = true
	case WriteLate:
		f.lateness = faults.WriteLateness
	case AnswerLost:
		f.responseLost = true
	}
}

// deliver applies the faults that precede the execution of a call. It waits for the
// delay, then holds a silenced call until its caller gives up, or drops the connection of
// a lost one. It reports whether the call is to be executed.
func (f callFaults) deliver(ctx context.Context) bool {
	sleep(ctx, f.delay)
	if f.silent {
		<-ctx.Done()
		return false
	}
	if f.requestLost {
		dropConnection()
	}
	return true
}

// dropConnection ends the connection of a call without a response.
func dropConnection() { panic(http.ErrAbortHandler) }

func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}
