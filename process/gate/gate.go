// Package gate decides, in the agent beside an application target, whether a call
// is forwarded to that target. A gate forwards the call of each reservation at
// most once, only in the incarnation of the agent that the reservation names, and
// never after the deadline of the call.
//
// The package does no I/O, starts no goroutines, takes no locks, and receives the
// current time from its caller.
package gate

import (
	"time"

	"github.com/mulberrylane/mulberrylane/request"
)

// Limits bounds the memory of a gate.
type Limits struct {
	// MaxForwarded bounds the number of stored reservations whose calls were forwarded.
	MaxForwarded int
	// MaxSealed bounds the number of stored reservations that were sealed.
	MaxSealed int
	// MaxReplyBytes bounds the total size of the bodies of stored replies.
	MaxReplyBytes int
	// Retention is how long after its deadline a forwarded reservation is stored
	// while there is room.
	Retention time.Duration
}

// DefaultLimits returns limits under which a gate takes at most about 50 MB of memory.
func DefaultLimits() Limits {
	return Limits{MaxForwarded: 1 << 16, MaxSealed: 1 << 16, MaxReplyBytes: 32 << 20, Retention: 10 * time.Minute}
}

// reservation is the stored state of one nonce.
type reservation struct {
	state request.GateState
	reply *request.CallReply
}

// Gate holds the reservations that one incarnation of an agent has decided on.
//
// Invariants: a nonce changes once from unknown to forwarded or sealed. The call of a
// sealed nonce is never forwarded. A forwarded nonce becomes sealed only when the
// target provably did not receive the call. The call of an evicted nonce is never
// forwarded, because only nonces past their deadline are evicted. An evicted nonce
// that may have been forwarded is never reported as sealed, because
// latestEvictedDeadline covers every forwarded nonce that was evicted.
type Gate struct {
	incarnation    request.Incarnation
	limits         Limits
	now            time.Time
	reservations   map[request.Nonce]*reservation
	forwardedCount int
	sealedCount    int
	replyBytes     int
	// latestEvictedDeadline is the latest deadline of any forwarded reservation that was evicted.
	latestEvictedDeadline time.Time
	// lastSweep and lastEarlySweep are the times of the last regular sweep and of
	// the last sweep for lack of room.
	lastSweep, lastEarlySweep time.Time
}

// New returns an empty gate for one incarnation of an agent.
func New(incarnation request.Incarnation, limits Limits) *Gate {
	return &Gate{incarnation: incarnation, limits: limits, reservations: map[request.Nonce]*reservation{}}
}

// Decision is the result of Admit and Seal.
type Decision struct {
	// Forward is set by exactly one Admit of a nonce; its caller must forward the call.
	Forward bool
	State   request.GateState
	// Reply is the stored reply of a forwarded reservation, or nil.
	Reply *request.CallReply
}

// Admit decides whether a call is forwarded. If accepting is false, the gate takes
// no new work and seals nonces that it does not know.
func (g *Gate) Admit(now time.Time, nonce request.Nonce, incarnation request.Incarnation, accepting bool) Decision {
	g.advance(now)
	if decision, ok := g.existingDecision(nonce, incarnation); ok {
		return decision
	}
	if g.forwardedCount >= g.limits.MaxForwarded {
		g.evictExpired()
	}
	if !accepting || g.forwardedCount >= g.limits.MaxForwarded {
		return g.seal(nonce)
	}
	g.reservations[nonce] = &reservation{state: request.GateForwarded}
	g.forwardedCount++
	return Decision{Forward: true, State: request.GateForwarded}
}

// Seal ensures that the call of a reservation is never forwarded, unless it
// already was.
func (g *Gate) Seal(now time.Time, nonce request.Nonce, incarnation request.Incarnation) Decision {
	g.advance(now)
	if decision, ok := g.existingDecision(nonce, incarnation); ok {
		return decision
	}
	return g.seal(nonce)
}

// existingDecision returns the decision on a reservation if it was already made
// or follows from its incarnation or deadline.
func (g *Gate) existingDecision(nonce request.Nonce, incarnation request.Incarnation) (Decision, bool) {
	if incarnation != g.incarnation {
		return Decision{State: request.GateOtherIncarnation}, true
	}
	if r, ok := g.reservations[nonce]; ok {
		return Decision{State: r.state, Reply: r.reply}, true
	}
	deadline := nonce.Deadline()
	if !deadline.After(g.latestEvictedDeadline) {
		return Decision{State: request.GateUnknown}, true
	}
	if !deadline.After(g.now) {
		return Decision{State: request.GateSealed}, true
	}
	return Decision{}, false
}

func (g *Gate) seal(nonce request.Nonce) Decision {
	if g.sealedCount >= g.limits.MaxSealed {
		return Decision{State: request.GateUnknown}
	}
	g.reservations[nonce] = &reservation{state: request.GateSealed}
	g.sealedCount++
	return Decision{State: request.GateSealed}
}

// RecordReply stores the reply to a forwarded call. A reply that would exceed
// MaxReplyBytes is not stored; the reservation stays forwarded.
func (g *Gate) RecordReply(nonce request.Nonce, reply *request.CallReply) {
	r, ok := g.reservations[nonce]
	if !ok || r.state != request.GateForwarded || r.reply != nil {
		return
	}
	if g.replyBytes+len(reply.Body) > g.limits.MaxReplyBytes {
		return
	}
	r.reply = reply
	g.replyBytes += len(reply.Body)
}

// MarkNotSent seals a forwarded reservation whose call provably did not reach the target.
func (g *Gate) MarkNotSent(nonce request.Nonce) {
	r, ok := g.reservations[nonce]
	if !ok || r.state != request.GateForwarded || r.reply != nil {
		return
	}
	r.state = request.GateSealed
	g.forwardedCount--
	g.sealedCount++
}

// sweepInterval is the minimum time between two sweeps of the same kind.
const sweepInterval = time.Second

// advance sets the gate's clock, which never goes back, and evicts reservations
// past their retention.
func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	if g.now.Sub(g.lastSweep) < sweepInterval {
		return
	}
	g.lastSweep = g.now
	for nonce, r := range g.reservations {
		g.evictIfExpired(nonce, r, g.limits.Retention)
	}
}

// evictExpired makes room for new calls by evicting every reservation past its
// deadline, without waiting for the end of the retention.
func (g *Gate) evictExpired() {
	if g.now.Sub(g.lastEarlySweep) < sweepInterval {
		return
	}
	g.lastEarlySweep = g.now
	for nonce, r := range g.reservations {
		g.evictIfExpired(nonce, r, 0)
	}
}

func (g *Gate) evictIfExpired(nonce request.Nonce, r *reservation, retention time.Duration) {
	deadline := nonce.Deadline()
	if r.state == request.GateSealed {
		if !deadline.After(g.now) {
			delete(g.reservations, nonce)
			g.sealedCount--
		}
		return
	}
	if deadline.Add(retention).After(g.now) {
		return
	}
	delete(g.reservations, nonce)
	g.forwardedCount--
	if r.reply != nil {
		g.replyBytes -= len(r.reply.Body)
	}
	if deadline.After(g.latestEvictedDeadline) {
		g.latestEvictedDeadline = deadline
	}
}
