package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// If the engine fails during tokenization, the record of the attempt has an end and no
// prompt.
func TestAttemptFailedBeforePrompt_HasEndAndNoPrompt(t *testing.T) {
	r := newRecord(wire.StartAttempt{Generation: request.Generation{ID: "r"}, Attempt: 2}, func() {})
	r.finish(wire.End{Kind: fault.TargetLost})
	v := r.snapshotFrom(0)
	assert.Assert(t, v.prompt == nil)
	assert.Equal(t, v.end.Kind, fault.TargetLost)
	assert.Equal(t, v.end.Attempt, request.AttemptNumber(2))
	r.finish(wire.End{Finish: request.FinishStop})
	assert.Equal(t, r.snapshotFrom(0).end.Kind, fault.TargetLost)
}

// Resumes run before new work of the same profile, and new work in the order of the
// ranks of its workspaces.
func TestEnginePriority_ResumesBeforeNewWork(t *testing.T) {
	g := request.Generation{Priority: 50}
	resume := enginePriority(wire.StartAttempt{Generation: g, Rank: 9, Accepted: []request.TokenID{1}})
	lowRank := enginePriority(wire.StartAttempt{Generation: g})
	highRank := enginePriority(wire.StartAttempt{Generation: g, Rank: 9})
	assert.Assert(t, resume < lowRank)
	assert.Assert(t, lowRank < highRank)
}
