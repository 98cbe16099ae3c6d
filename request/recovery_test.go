package request_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

func last(actions []request.Action) request.Action { return actions[len(actions)-1] }

// TestLossAfterTheLastToken loses the target between the last token and the end:
// nothing is left to generate, so the answer is complete.
func TestLossAfterTheLastToken(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.Policy{MaxTokens: 2, ResumeWithin: time.Second}, request.NewAnswer(2))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventPicked, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7, 8}})
	actions := recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	assert.Equal(t, last(actions).Type, request.ActionEnd)
	assert.Equal(t, last(actions).Kind, fault.None)
	assert.Equal(t, last(actions).Finish, request.FinishLength)
	assert.Equal(t, recovery.WasRun(), request.RunYes)
}
