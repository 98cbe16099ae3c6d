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
	recovery := request.NewRecovery(request.RecoveryPolicy{MaxTokens: 2, ResumeTimeout: time.Second}, request.NewOutput(2))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7, 8}})
	actions := recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	assert.Equal(t, last(actions).Type, request.ActionEnd)
	assert.Equal(t, last(actions).Kind, fault.None)
	assert.Equal(t, last(actions).Finish, request.FinishLength)
	assert.Equal(t, recovery.WasRun(), request.RunYes)
}

// TestDeadlineIsKeptWhileRepicking has a repick replace the wake at the deadline.
func TestDeadlineIsKeptWhileRepicking(t *testing.T) {
	now := time.Now()
	deadline := now.Add(time.Minute)
	recovery := request.NewRecovery(request.RecoveryPolicy{Deadline: deadline, ResumeTimeout: time.Hour}, request.NewOutput(8))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7}})
	recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	wake := last(recovery.Step(now, request.Event{Type: request.EventNoTarget, Kind: fault.NoTarget}))
	assert.Equal(t, wake.Type, request.ActionSetTimer)
	assert.Assert(t, wake.At.Before(deadline))
	again := last(recovery.Step(wake.At, request.Event{Type: request.EventTimer}))
	recovery.Step(wake.At, request.Event{Type: request.EventTargetSelected, Target: "t-2"})
	assert.Equal(t, again.Type, request.ActionSetTimer)
	assert.Assert(t, again.At.Equal(deadline))
	end := last(recovery.Step(deadline, request.Event{Type: request.EventTimer}))
	assert.Equal(t, end.Kind, fault.DeadlineExceeded)
}

// TestRefusedAttemptsWereNotRun tells refusals from losses.
func TestRefusedAttemptsWereNotRun(t *testing.T) {
	for _, told := range []struct {
		kind fault.Kind
		want request.WasRun
	}{
		{fault.Overloaded, request.RunNo},
		{fault.Draining, request.RunNo},
		{fault.BadRequest, request.RunNo},
		{fault.TargetLost, request.RunUnknown},
	} {
		now := time.Now()
		recovery := request.NewRecovery(request.RecoveryPolicy{ResumeTimeout: time.Second}, request.NewOutput(8))
		recovery.Step(now, request.Event{Type: request.EventStart})
		recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
		assert.Equal(t, recovery.WasRun(), request.RunUnknown)
		recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: told.kind})
		recovery.Step(now, request.Event{Type: request.EventCallerDisconnected})
		assert.Equal(t, recovery.WasRun(), told.want, told.kind.String())
	}
}

// TestMoveHoldsTheOldTokens lets a draining attempt go on until the new one delivers.
func TestMoveHoldsTheOldTokens(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{}, request.NewOutput(8))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{1}})
	assert.Equal(t, last(recovery.Step(now, request.Event{Type: request.EventMigrate, Target: "t-1"})).Type, request.ActionSelectTarget)
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-2"})
	held := recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Position: 1, Tokens: []request.TokenID{2}})
	assert.Equal(t, len(held), 0)
	moved := recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 2, Position: 1, Tokens: []request.TokenID{9}})
	assert.Equal(t, moved[0].Type, request.ActionCancelAttempt)
	assert.Equal(t, int(moved[0].Attempt), 1)
	assert.DeepEqual(t, recovery.Output().Tokens(), []request.TokenID{1, 9})
}

// BenchmarkToken gives the cost of one token in the core: recovery and answer.
func BenchmarkToken(b *testing.B) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{Deadline: now.Add(time.Hour)}, request.NewOutput(b.N))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	tokens := []request.TokenID{7}
	b.ReportAllocs()
	b.ResetTimer()
	for position := range b.N {
		recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Position: position, Tokens: tokens})
	}
}

// TestRefusalsAreBoundedByTime has every target refuse a resume: the request goes
// on asking until ResumeWithin is over, however often it is refused.
func TestRefusalsAreBoundedByTime(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{ResumeTimeout: 3 * time.Second, MaxAttempts: 5}, request.NewOutput(8))
	var wake time.Time
	var picks int
	var end request.Action
	step := func(event request.Event) {
		for _, action := range recovery.Step(now, event) {
			switch action.Type {
			case request.ActionSelectTarget:
				picks++
			case request.ActionSetTimer:
				wake = action.At
			case request.ActionEnd:
				end = action
			default:
			}
		}
	}
	step(request.Event{Type: request.EventStart})
	step(request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	step(request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7}})
	step(request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	lost := now
	for answered := 1; !recovery.Ended(); {
		if picks > answered {
			answered++
			step(request.Event{Type: request.EventTargetSelected, Target: "t-2"})
			step(request.Event{Type: request.EventFailed, Attempt: recovery.Attempts(), Kind: fault.Overloaded})
			continue
		}
		now = wake
		step(request.Event{Type: request.EventTimer})
	}
	assert.Equal(t, end.Kind, fault.Overloaded)
	assert.Equal(t, now.Sub(lost), 3*time.Second)
	assert.Assert(t, recovery.Attempts() > 5)
}

// TestFirstRefusalAfterALongQueue gives a request that waited longer than
// ResumeWithin for its first target another one when that refuses.
func TestFirstRefusalAfterALongQueue(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{ResumeTimeout: time.Second}, request.NewOutput(8))
	recovery.Step(now, request.Event{Type: request.EventStart})
	now = now.Add(time.Minute)
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.Draining})
	recovery.Step(now, request.Event{Type: request.EventTimer})
	assert.Assert(t, !recovery.Ended())
	actions := recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-2"})
	assert.Equal(t, actions[0].Type, request.ActionStartAttempt)
}
