package engine

import (
	"context"
	"time"
)

// faultState holds the state of the fault switches.
type faultState struct {
	paused         bool
	silent         bool
	slow           float64
	wrongRequestID bool
}

func (f faultState) slowdown() float64 {
	if f.slow <= 0 {
		return 1
	}
	return f.slow
}

// pausePollInterval is how often a paused or silent engine checks whether it may
// continue.
const pausePollInterval = 2 * time.Millisecond

// Faults is the state of the fault switches; Server.Kill and Server.Shutdown end the
// engine.
type Faults struct {
	// Pause stops the engine's steps; its connections stay open.
	Pause bool `json:"pause"`
	// Silent holds back every response, like a host that drops packets.
	Silent bool `json:"silent"`
	// Slow is a factor on the step time; zero means no change.
	Slow float64 `json:"slow"`
	// WrongRequestID makes the next stream carry another request's ID.
	WrongRequestID bool `json:"cross"`
}

// SetFaults replaces the state of the switches.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faultState{paused: faults.Pause, silent: faults.Silent, slow: faults.Slow, wrongRequestID: faults.WrongRequestID}
}

func (e *Engine) currentFaults() faultState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeWrongRequestID returns the state of the WrongRequestID switch and clears it.
func (e *Engine) takeWrongRequestID() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	wrongRequestID := e.faults.wrongRequestID
	e.faults.wrongRequestID = false
	return wrongRequestID
}

// waitWhilePaused blocks while the engine is paused or silent. It returns false if ctx
// has ended.
func (e *Engine) waitWhilePaused(ctx context.Context) bool {
	for {
		faults := e.currentFaults()
		if !faults.paused && !faults.silent {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pausePollInterval):
		}
	}
}
