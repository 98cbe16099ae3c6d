package gate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/gate"
	"github.com/mulberrylane/mulberrylane/request"
)

const life = request.Incarnation(7)

var start = time.UnixMilli(1_700_000_000_000)

func nonce(deadline time.Time, number byte) request.Nonce {
	return request.NewNonce(deadline, [16]byte{number})
}

func TestPassesOnceAndRemembersTheReply(t *testing.T) {
	g := gate.New(life, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	assert.Assert(t, g.Admit(start, n, life, true).Forward)
	again := g.Admit(start, n, life, true)
	assert.Assert(t, !again.Forward)
	assert.Equal(t, again.State, request.GatePassed)
	g.RecordReply(n, &request.CallReply{Status: 201})
	assert.Equal(t, g.Seal(start, n, life).Reply.Status, 201)
}

func TestDrainingGateSeals(t *testing.T) {
	g := gate.New(life, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	assert.Equal(t, g.Admit(start, n, life, false).State, request.GateSealed)
	assert.Assert(t, !g.Admit(start, n, life, true).Forward)
}

func TestCallThatNeverReachedTheTargetIsSealed(t *testing.T) {
	g := gate.New(life, gate.DefaultLimits())
	n := nonce(start.Add(time.Second), 1)
	g.Admit(start, n, life, true)
	g.MarkNotSent(n)
	assert.Equal(t, g.Seal(start, n, life).State, request.GateSealed)
	assert.Assert(t, !g.Admit(start, n, life, true).Forward)
}

// fates is what the outside saw of each nonce.
type fates struct{ passed, sealed map[request.Nonce]bool }

// TestGateKeepsItsWord drives a gate with little memory through any schedule and
// checks that no nonce passes twice, after its deadline, under another life or
// after it was called sealed, and that none is called sealed after it passed.
func TestGateKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := gate.Limits{Passed: 3, Sealed: 2, ReplyBytes: 10, Keep: 3 * time.Second}
		g := gate.New(life, limits)
		now := start
		seen := fates{map[request.Nonce]bool{}, map[request.Nonce]bool{}}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			// the clock of the host may step back
			now = now.Add(time.Duration(rapid.IntRange(-2, 4).Draw(t, "seconds")) * time.Second)
			n := nonce(start.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "deadline"))*time.Second), byte(rapid.IntRange(0, 1).Draw(t, "number")))
			incarnation := life + request.Incarnation(rapid.IntRange(0, 8).Draw(t, "life")/8)
			if rapid.Bool().Draw(t, "seal") {
				noteVerdict(t, seen, n, g.Seal(now, n, incarnation))
				continue
			}
			verdict := g.Admit(now, n, incarnation, rapid.IntRange(0, 5).Draw(t, "open") > 0)
			if verdict.Forward {
				assert.Assert(t, incarnation == life && n.Deadline().After(now), "passed late or under another life")
				assert.Assert(t, !seen.passed[n] && !seen.sealed[n], "passed twice or after a seal")
				seen.passed[n] = true
				g.RecordReply(n, &request.CallReply{Body: make([]byte, 6)})
			}
			noteVerdict(t, seen, n, verdict)
		}
	})
}

func noteVerdict(t *rapid.T, seen fates, n request.Nonce, verdict gate.Decision) {
	switch verdict.State {
	case request.GateSealed:
		assert.Assert(t, !seen.passed[n], "sealed after it passed")
		seen.sealed[n] = true
	case request.GatePassed:
		assert.Assert(t, seen.passed[n], "said to have passed")
	}
}
