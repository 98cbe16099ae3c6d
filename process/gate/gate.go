// Package gate is the deciding core of the last gate before an application
// target. It lives in the agent beside the target and passes each reservation on
// at most once, only in the life of the agent that the reservation names, and
// never after the deadline of the call.
//
// The package does no I/O, has no goroutine and no lock, and is given the time.
package gate

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// Limits bounds the memory of a gate.
type Limits struct {
	// Passed bounds the reservations that were passed on and are remembered.
	Passed int
	// Sealed bounds the reservations that were sealed and are remembered.
	Sealed int
	// ReplyBytes bounds the bodies of the replies that are remembered.
	ReplyBytes int
	// Keep is how long after its deadline a passed reservation is remembered
	// while there is room.
	Keep time.Duration
}

// DefaultLimits takes at most about 50 MB.
func DefaultLimits() Limits {
	return Limits{Passed: 1 << 16, Sealed: 1 << 16, ReplyBytes: 32 << 20, Keep: 10 * time.Minute}
}

// reservation is what the gate remembers of one nonce.
type reservation struct {
	state request.GateState
	reply *request.CallReply
}

// Gate is the memory of one life of an agent.
//
// Invariants: a nonce turns from unknown to passed or sealed once; a sealed nonce
// never passes; a passed nonce turns sealed only when the target provably did not
// get the call. A forgotten nonce never passes, because only nonces past their
// deadline are forgotten; and it is never called sealed when it may have been
// passed, because horizon covers every passed nonce that was forgotten.
type Gate struct {
	incarnation request.Incarnation
	limits      Limits
	now         time.Time
	memory      map[request.Nonce]*reservation
	passed      int
	sealed      int
	replyBytes  int
	// horizon is the latest deadline of a passed reservation that was forgotten.
	horizon time.Time
	// swept and sweptEarly are when memory was last looked through.
	swept, sweptEarly time.Time
}

// New returns the gate of one life of an agent.
func New(incarnation request.Incarnation, limits Limits) *Gate {
	return &Gate{incarnation: incarnation, limits: limits, memory: map[request.Nonce]*reservation{}}
}

// Decision answers Admit and Seal.
type Decision struct {
	// Forward says that this caller, and no other, must pass the call on now.
	Forward bool
	State   request.GateState
	// Reply is the remembered reply of a passed reservation, or nil.
	Reply *request.CallReply
}

// Admit decides whether a call is passed on. With open false the gate takes no new
// work and seals what it does not know.
func (g *Gate) Admit(now time.Time, nonce request.Nonce, incarnation request.Incarnation, open bool) Decision {
	g.advance(now)
	if verdict, ok := g.known(nonce, incarnation); ok {
		return verdict
	}
	if g.passed >= g.limits.Passed {
		g.forgetEarly()
	}
	if !open || g.passed >= g.limits.Passed {
		return g.seal(nonce)
	}
	g.memory[nonce] = &reservation{state: request.GatePassed}
	g.passed++
	return Decision{Forward: true, State: request.GatePassed}
}

// Seal decides that a reservation is never passed on, unless it was.
func (g *Gate) Seal(now time.Time, nonce request.Nonce, incarnation request.Incarnation) Decision {
	g.advance(now)
	if verdict, ok := g.known(nonce, incarnation); ok {
		return verdict
	}
	return g.seal(nonce)
}

// known answers for a reservation whose fate is already decided.
func (g *Gate) known(nonce request.Nonce, incarnation request.Incarnation) (Decision, bool) {
	if incarnation != g.incarnation {
		return Decision{State: request.GateOtherIncarnation}, true
	}
	if r, ok := g.memory[nonce]; ok {
		return Decision{State: r.state, Reply: r.reply}, true
	}
	deadline := nonce.Deadline()
	if !deadline.After(g.horizon) {
		return Decision{State: request.GateUnknown}, true
	}
	if !deadline.After(g.now) {
		return Decision{State: request.GateSealed}, true
	}
	return Decision{}, false
}

func (g *Gate) seal(nonce request.Nonce) Decision {
	if g.sealed >= g.limits.Sealed {
		return Decision{State: request.GateUnknown}
	}
	g.memory[nonce] = &reservation{state: request.GateSealed}
	g.sealed++
	return Decision{State: request.GateSealed}
}

// RecordReply remembers the reply to a passed call. A reply that is over the limit is
// not remembered; the call stays passed.
func (g *Gate) RecordReply(nonce request.Nonce, reply *request.CallReply) {
	r, ok := g.memory[nonce]
	if !ok || r.state != request.GatePassed || r.reply != nil {
		return
	}
	if g.replyBytes+len(reply.Body) > g.limits.ReplyBytes {
		return
	}
	r.reply = reply
	g.replyBytes += len(reply.Body)
}

// MarkNotSent notes that a passed call provably did not reach the target, and seals it.
func (g *Gate) MarkNotSent(nonce request.Nonce) {
	r, ok := g.memory[nonce]
	if !ok || r.state != request.GatePassed || r.reply != nil {
		return
	}
	r.state = request.GateSealed
	g.passed--
	g.sealed++
}

// sweepEvery is the least time between two looks for what can be forgotten.
const sweepEvery = time.Second

// advance moves the gate's clock, which never goes back, and forgets what it may.
func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	if g.now.Sub(g.swept) < sweepEvery {
		return
	}
	g.swept = g.now
	for nonce, r := range g.memory {
		g.forget(nonce, r, g.limits.Keep)
	}
}

// forgetEarly makes room for new calls by forgetting every passed reservation
// whose deadline is over.
func (g *Gate) forgetEarly() {
	if g.now.Sub(g.sweptEarly) < sweepEvery {
		return
	}
	g.sweptEarly = g.now
	for nonce, r := range g.memory {
		g.forget(nonce, r, 0)
	}
}

func (g *Gate) forget(nonce request.Nonce, r *reservation, keep time.Duration) {
	deadline := nonce.Deadline()
	if r.state == request.GateSealed {
		if !deadline.After(g.now) {
			delete(g.memory, nonce)
			g.sealed--
		}
		return
	}
	if deadline.Add(keep).After(g.now) {
		return
	}
	delete(g.memory, nonce)
	g.passed--
	if r.reply != nil {
		g.replyBytes -= len(r.reply.Body)
	}
	if deadline.After(g.horizon) {
		g.horizon = deadline
	}
}
