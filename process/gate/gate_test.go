package gate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/gate"
	"github.com/mulberrylane/mulberrylane/request"
)

const agentIncarnation = request.Incarnation(7)

var start = time.UnixMilli(1_700_000_000_000)

func nonce(deadline time.Time, number byte) request.Nonce {
	return request.NewNonce(deadline, [16]byte{number})
}

func TestAdmit_ForwardsOnceAndKeepsReply(t *testing.T) {
	g := gate.New(agentIncarnation, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	assert.Assert(t, g.Admit(start, n, agentIncarnation, true).Forward)
	again := g.Admit(start, n, agentIncarnation, true)
	assert.Assert(t, !again.Forward)
	assert.Equal(t, again.State, request.GateForwarded)
	g.RecordReply(n, &request.CallReply{Status: 201})
	assert.Equal(t, g.Seal(start, n, agentIncarnation).Reply.Status, 201)
}

func TestAdmit_SealsWhileDraining(t *testing.T) {
	g := gate.New(agentIncarnation, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	assert.Equal(t, g.Admit(start, n, agentIncarnation, false).State, request.GateSealed)
	assert.Assert(t, !g.Admit(start, n, agentIncarnation, true).Forward)
}

func TestMarkNotSent_SealsCall(t *testing.T) {
	g := gate.New(agentIncarnation, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	g.Admit(start, n, agentIncarnation, true)
	g.MarkNotSent(n)
	assert.Equal(t, g.Seal(start, n, agentIncarnation).State, request.GateSealed)
	assert.Assert(t, !g.Admit(start, n, agentIncarnation, true).Forward)
}

// observedStates records the states that the gate reported for each nonce.
type observedStates struct{ forwarded, sealed map[request.Nonce]bool }

// TestGate_ForwardsEachNonceAtMostOnce runs random schedules on a gate with small
// limits. It checks that no call is forwarded twice, after its deadline, for another
// incarnation or after its nonce was reported sealed, and that no nonce is reported
// sealed after its call was forwarded.
func TestGate_ForwardsEachNonceAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := gate.Limits{MaxForwarded: 3, MaxSealed: 2, MaxReplyBytes: 10, Retention: 3 * time.Second}
		g := gate.New(agentIncarnation, limits)
		now := start
		seen := observedStates{map[request.Nonce]bool{}, map[request.Nonce]bool{}}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			// The host's clock may step back.
			now = now.Add(time.Duration(rapid.IntRange(-2, 4).Draw(t, "seconds")) * time.Second)
			n := nonce(start.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "deadline"))*time.Second), byte(rapid.IntRange(0, 1).Draw(t, "number")))
			incarnation := agentIncarnation + request.Incarnation(rapid.IntRange(0, 8).Draw(t, "life")/8)
			if rapid.Bool().Draw(t, "seal") {
				checkState(t, seen, n, g.Seal(now, n, incarnation))
				continue
			}
			decision := g.Admit(now, n, incarnation, rapid.IntRange(0, 5).Draw(t, "open") > 0)
			if decision.Forward {
				assert.Assert(t, incarnation == agentIncarnation && n.Deadline().After(now), "forwarded after the deadline or for another incarnation")
				assert.Assert(t, !seen.forwarded[n] && !seen.sealed[n], "forwarded twice or after it was sealed")
				seen.forwarded[n] = true
				g.RecordReply(n, &request.CallReply{Body: make([]byte, 6)})
			}
			checkState(t, seen, n, decision)
		}
	})
}

func checkState(t *rapid.T, seen observedStates, n request.Nonce, decision gate.Decision) {
	switch decision.State {
	case request.GateSealed:
		assert.Assert(t, !seen.forwarded[n], "reported sealed after it was forwarded")
		seen.sealed[n] = true
	case request.GateForwarded:
		assert.Assert(t, seen.forwarded[n], "reported as forwarded but never was")
	}
}
