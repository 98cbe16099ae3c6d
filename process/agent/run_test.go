package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// TestRecordThatFailsBeforeItsPrompt checks what a follower sees of an attempt
// whose engine died during tokenization: an end and no prompt.
func TestRecordThatFailsBeforeItsPrompt(t *testing.T) {
	r := newRecord(wire.Run{Generation: request.Generation{ID: "r"}, Attempt: 2}, func() {})
	r.finish(wire.End{Kind: fault.TargetLost})
	v := r.since(0)
	assert.Assert(t, v.prompt == nil)
	assert.Equal(t, v.end.Kind, fault.TargetLost)
	assert.Equal(t, v.end.Attempt, request.AttemptNumber(2))
	r.finish(wire.End{Finish: request.FinishStop})
	assert.Equal(t, r.since(0).end.Kind, fault.TargetLost)
}

// TestPriorityOnTheEngine orders resumes before new work of the same profile, and
// new work by the rank of its workspace.
func TestPriorityOnTheEngine(t *testing.T) {
	g := request.Generation{Priority: 50}
	resume := enginePriority(wire.Run{Generation: g, Rank: 9, Accepted: []request.TokenID{1}})
	small := enginePriority(wire.Run{Generation: g})
	large := enginePriority(wire.Run{Generation: g, Rank: 9})
	assert.Assert(t, resume < small)
	assert.Assert(t, small < large)
}
