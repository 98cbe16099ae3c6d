package request_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

func last(actions []request.Action) request.Action { return actions[len(actions)-1] }

// The target fails after the last token but before the end of the attempt. Nothing is
// left to generate, so the output is complete.
func TestTargetLostAfterLastToken_CompletesRequest(t *testing.T) {
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

// The timer of a target reselection replaces the deadline timer, which must be set
// again afterwards.
func TestTargetReselection_KeepsDeadlineTimer(t *testing.T) {
	now := time.Now()
	deadline := now.Add(time.Minute)
	recovery := request.NewRecovery(request.RecoveryPolicy{Deadline: deadline, ResumeTimeout: time.Hour}, request.NewOutput(8))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7}})
	recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	timer := last(recovery.Step(now, request.Event{Type: request.EventNoTarget, Kind: fault.NoTarget}))
	assert.Equal(t, timer.Type, request.ActionSetTimer)
	assert.Assert(t, timer.At.Before(deadline))
	rearmed := last(recovery.Step(timer.At, request.Event{Type: request.EventTimer}))
	recovery.Step(timer.At, request.Event{Type: request.EventTargetSelected, Target: "t-2"})
	assert.Equal(t, rearmed.Type, request.ActionSetTimer)
	assert.Assert(t, rearmed.At.Equal(deadline))
	end := last(recovery.Step(deadline, request.Event{Type: request.EventTimer}))
	assert.Equal(t, end.Kind, fault.DeadlineExceeded)
}

// A refused attempt did not run; whether a lost attempt ran is unknown.
func TestWasRun_DistinguishesRefusalFromLoss(t *testing.T) {
	for _, test := range []struct {
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
		recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: test.kind})
		recovery.Step(now, request.Event{Type: request.EventCallerDisconnected})
		assert.Equal(t, recovery.WasRun(), test.want, test.kind.String())
	}
}

// The attempt at the draining target keeps running, with its tokens held, until the
// new attempt delivers a token.
func TestMigration_HoldsTokensOfDrainingTarget(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{}, request.NewOutput(8))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{1}})
	assert.Equal(t, last(recovery.Step(now, request.Event{Type: request.EventMigrate, Target: "t-1"})).Type, request.ActionSelectTarget)
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t-2"})
	held := recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Position: 1, Tokens: []request.TokenID{2}})
	assert.Equal(t, len(held), 0)
	migrated := recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 2, Position: 1, Tokens: []request.TokenID{9}})
	assert.Equal(t, migrated[0].Type, request.ActionCancelAttempt)
	assert.Equal(t, int(migrated[0].Attempt), 1)
	assert.DeepEqual(t, recovery.Output().Tokens(), []request.TokenID{1, 9})
}

// BenchmarkRecovery_Token measures the cost of one token in Recovery and Output.
func BenchmarkRecovery_Token(b *testing.B) {
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

// Every target refuses to resume the request. The request keeps selecting targets
// until ResumeTimeout expires, however often it is refused.
func TestRefusals_AreBoundedByResumeTimeout(t *testing.T) {
	now := time.Now()
	recovery := request.NewRecovery(request.RecoveryPolicy{ResumeTimeout: 3 * time.Second, MaxAttempts: 5}, request.NewOutput(8))
	var timerAt time.Time
	var selections int
	var end request.Action
	step := func(event request.Event) {
		for _, action := range recovery.Step(now, event) {
			switch action.Type {
			case request.ActionSelectTarget:
				selections++
			case request.ActionSetTimer:
				timerAt = action.At
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
	lostAt := now
	for answered := 1; !recovery.Ended(); {
		if selections > answered {
			answered++
			step(request.Event{Type: request.EventTargetSelected, Target: "t-2"})
			step(request.Event{Type: request.EventFailed, Attempt: recovery.Attempts(), Kind: fault.Overloaded})
			continue
		}
		now = timerAt
		step(request.Event{Type: request.EventTimer})
	}
	assert.Equal(t, end.Kind, fault.Overloaded)
	assert.Equal(t, now.Sub(lostAt), 3*time.Second)
	assert.Assert(t, recovery.Attempts() > 5)
}

// A request that was queued for longer than ResumeTimeout before its first target
// gets another target when the first one refuses it.
func TestFirstRefusalAfterLongQueueing_SelectsAnotherTarget(t *testing.T) {
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

// Load: a request that engines crash on, which no further target must get.
func TestRecovery_QuarantinedRequestEndsAtOnce(t *testing.T) {
	now := time.Unix(1, 0)
	recovery := request.NewRecovery(request.RecoveryPolicy{ResumeTimeout: time.Minute}, request.NewOutput(10))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t1"})
	recovery.Step(now, request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	end := last(recovery.Step(now, request.Event{Type: request.EventNoTarget, Kind: fault.Quarantined}))
	assert.Equal(t, end.Type, request.ActionEnd)
	assert.Equal(t, end.Kind, fault.Quarantined)
	assert.Equal(t, recovery.WasRun(), request.RunUnknown)
}

// suspectedRequest returns the recovery of a request whose only attempt runs at t1, which was
// suspected after the first token, and the actions that followed.
func suspectedRequest(now time.Time, maxAttempts int) (*request.Recovery, []request.Action) {
	recovery := request.NewRecovery(request.RecoveryPolicy{
		ResumeTimeout: time.Second, MaxAttempts: maxAttempts, ReplaceSuspected: true,
	}, request.NewOutput(10))
	recovery.Step(now, request.Event{Type: request.EventStart})
	recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t1"})
	recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Tokens: []request.TokenID{7}})
	return recovery, recovery.Step(now, request.Event{Type: request.EventSuspected, Target: "t1"})
}

func hasAction(actions []request.Action, actionType request.ActionType) bool {
	return slices.ContainsFunc(actions, func(a request.Action) bool { return a.Type == actionType })
}

// Load: targets that are sound and silent for longer than the resume timeout, while no other
// can be tried.
func TestRecovery_SuspectedAttemptGoesOnWithoutAnother(t *testing.T) {
	now := time.Unix(1, 0)
	recovery, actions := suspectedRequest(now, 5)
	for range 40 {
		assert.Assert(t, hasAction(actions, request.ActionSelectTarget))
		actions = recovery.Step(now, request.Event{Type: request.EventNoTarget, Kind: fault.RetriesExhausted})
		assert.Equal(t, last(actions).Type, request.ActionSetTimer)
		now = last(actions).At
		actions = recovery.Step(now, request.Event{Type: request.EventTimer})
	}
	assert.Assert(t, !recovery.Ended())
	actions = recovery.Step(now, request.Event{Type: request.EventTokens, Attempt: 1, Position: 1, Tokens: []request.TokenID{8}})
	assert.Assert(t, hasAction(actions, request.ActionDeliver))
}

func TestRecovery_LastAttemptIsNotReplaced(t *testing.T) {
	recovery, actions := suspectedRequest(time.Unix(1, 0), 1)
	assert.Assert(t, !hasAction(actions, request.ActionSelectTarget))
	assert.Assert(t, !recovery.Ended())
}

// The suspected attempt ends when the other one is sent, not before, so that one of them always
// runs and never both for long.
func TestRecovery_SuspectedAttemptEndsWhenAnotherIsSent(t *testing.T) {
	now := time.Unix(1, 0)
	recovery, actions := suspectedRequest(now, 5)
	assert.Assert(t, hasAction(actions, request.ActionSelectTarget))
	actions = recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t2"})
	assert.Assert(t, hasAction(actions, request.ActionStartAttempt))
	assert.Assert(t, !hasAction(actions, request.ActionCancelAttempt))
	actions = recovery.Step(now, request.Event{Type: request.EventSending, Attempt: 2})
	assert.Equal(t, actions[0].Type, request.ActionCancelAttempt)
	assert.Equal(t, actions[0].Attempt, request.AttemptNumber(1))
}

func TestRecovery_TargetThatSpeaksAgainKeepsItsAttempt(t *testing.T) {
	for name, event := range map[string]request.Event{
		"answers a probe": {Type: request.EventTrusted, Target: "t1"},
		"sends a token":   {Type: request.EventTokens, Attempt: 1, Position: 1, Tokens: []request.TokenID{8}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1, 0)
			recovery, _ := suspectedRequest(now, 5)
			recovery.Step(now, request.Event{Type: request.EventTargetSelected, Target: "t2"})
			actions := slices.Clone(recovery.Step(now, event))
			actions = append(actions, recovery.Step(now, request.Event{Type: request.EventSending, Attempt: 2})...)
			i := slices.IndexFunc(actions, func(a request.Action) bool { return a.Type == request.ActionCancelAttempt })
			assert.Assert(t, i >= 0)
			assert.Equal(t, actions[i].Attempt, request.AttemptNumber(2))
		})
	}
}
