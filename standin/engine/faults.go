package engine

import (
	"context"
	"time"
)

// faults holds the state of the fault switches.
type faults struct {
	paused bool
	silent bool
	slow   float64
	cross  bool
}

func (f faults) slowdown() float64 {
	if f.slow <= 0 {
		return 1
	}
	return f.slow
}

// pausePoll is how often a paused engine looks whether it goes on.
const pausePoll = 2 * time.Millisecond

// Faults is the state of the switches that do not end the engine.
type Faults struct {
	// Pause stops the engine's steps; its connections stay open.
	Pause bool `json:"pause"`
	// Silent keeps every answer back, like a host that drops packets.
	Silent bool `json:"silent"`
	// Slow multiplies the step time; zero means no change.
	Slow float64 `json:"slow"`
	// Cross makes the next stream carry another request's identity.
	Cross bool `json:"cross"`
}

// SetFaults sets the switches.
func (e *Engine) SetFaults(fault Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults{paused: fault.Pause, silent: fault.Silent, slow: fault.Slow, cross: fault.Cross}
}

func (e *Engine) fault() faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeCross returns the cross switch and clears it.
func (e *Engine) takeCross() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	cross := e.faults.cross
	e.faults.cross = false
	return cross
}

// waitWhilePaused returns false when ctx ended.
func (e *Engine) waitWhilePaused(ctx context.Context) bool {
	for {
		state := e.fault()
		if !state.paused && !state.silent {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pausePoll):
		}
	}
}
