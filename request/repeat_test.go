package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
)

func TestCallThatMayNotBeRepeatedRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeat := RetryState{MaxExecutions: rapid.IntRange(0, 5).Draw(t, "maxRuns")}
		mayHaveRun := 0
		for {
			outcome := AttemptOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
			if outcome != AttemptRefused && outcome != AttemptUnsent {
				mayHaveRun++
			}
			again, paid := repeat.ShouldRetry(outcome)
			assert.Assert(t, !again || paid == (outcome != AttemptUnsent))
			if !again {
				if mayHaveRun > 0 && outcome != AttemptAnswered {
					assert.Equal(t, repeat.Kind(outcome), fault.TargetLost)
				}
				break
			}
		}
		assert.Assert(t, mayHaveRun <= 1)
		assert.Equal(t, repeat.MayHaveRun(), mayHaveRun == 1)
	})
}

func TestIdempotentCallRunsNoMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "maxRuns")
		repeat := RetryState{Idempotent: true, MaxExecutions: most}
		runs := 1
		for again := true; again; runs++ {
			again, _ = repeat.ShouldRetry(AttemptBroken)
		}
		assert.Equal(t, runs-1, most)
	})
}

func TestReplyCountsAsSuccessOnlyWhenItIsTheTargetsOwn(t *testing.T) {
	own := Reply{Status: 200, MatchesRequest: true, Signed: true}
	for name, test := range map[string]struct {
		change func(*Reply)
		want   AttemptOutcome
	}{
		"own":            {func(*Reply) {}, AttemptAnswered},
		"unsigned":       {func(r *Reply) { r.Signed = false }, AttemptBroken},
		"nameless":       {func(r *Reply) { r.MatchesRequest = false }, AttemptBroken},
		"crossed":        {func(r *Reply) { r.MatchesRequest, r.NamesOtherRequest = false, true }, AttemptBroken},
		"encoded":        {func(r *Reply) { r.ContentEncoded = true }, AttemptBroken},
		"refused":        {func(r *Reply) { r.Status, r.NotExecuted = 503, true }, AttemptRefused},
		"crossed refuse": {func(r *Reply) { r.Status, r.NotExecuted, r.NamesOtherRequest = 503, true, true }, AttemptBroken},
		"failed":         {func(r *Reply) { r.Status = 500 }, AttemptFailed},
		"full, maybe":    {func(r *Reply) { r.Status = 503 }, AttemptFailed},
		"bad request":    {func(r *Reply) { r.Status = 400 }, AttemptAnswered},
	} {
		reply := own
		test.change(&reply)
		assert.Equal(t, reply.Outcome(), test.want, name)
	}
}
