package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
)

func TestNonIdempotentCall_RunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := RetryState{MaxExecutions: rapid.IntRange(0, 5).Draw(t, "maxRuns")}
		mayHaveRun := 0
		for {
			outcome := AttemptOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
			if outcome != AttemptRefused && outcome != AttemptUnsent {
				mayHaveRun++
			}
			retry, charged := state.ShouldRetry(outcome)
			assert.Assert(t, !retry || charged == (outcome != AttemptUnsent))
			if !retry {
				if mayHaveRun > 0 && outcome != AttemptAnswered {
					assert.Equal(t, state.Kind(outcome), fault.TargetLost)
				}
				break
			}
		}
		assert.Assert(t, mayHaveRun <= 1)
		assert.Equal(t, state.MayHaveRun(), mayHaveRun == 1)
	})
}

func TestIdempotentCall_RespectsMaxExecutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxExecutions := rapid.IntRange(1, 4).Draw(t, "maxRuns")
		state := RetryState{Idempotent: true, MaxExecutions: maxExecutions}
		executions := 1
		for retry := true; retry; executions++ {
			retry, _ = state.ShouldRetry(AttemptBroken)
		}
		assert.Equal(t, executions-1, maxExecutions)
	})
}

func TestReplyOutcome_SuccessRequiresSignedMatchingReply(t *testing.T) {
	valid := Reply{Status: 200, MatchesRequest: true, Signed: true}
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
		"busy, maybe":    {func(r *Reply) { r.Status = 429 }, AttemptFailed},
		"late, maybe":    {func(r *Reply) { r.Status = 408 }, AttemptFailed},
		"bad request":    {func(r *Reply) { r.Status = 400 }, AttemptAnswered},
	} {
		reply := valid
		test.change(&reply)
		assert.Equal(t, reply.Outcome(), test.want, name)
	}
}

// replies calls check with each reply that differs in status or what its head says.
func replies(check func(Reply)) {
	for _, status := range []int{200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504} {
		for bits := range 1 << 6 {
			bit := func(i int) bool { return bits>>i&1 == 1 }
			reply := Reply{
				Status: status, MatchesRequest: bit(0) && !bit(1), NamesOtherRequest: bit(1), ConnectionReused: bit(2),
				Signed: bit(3), NotExecuted: bit(4) || status == 421, WrongTarget: status == 421, ContentEncoded: bit(5),
			}
			check(reply)
		}
	}
}

// A failing target sends a refusal once more on a connection that is in use again.
func TestReplyOutcome_RefusalMustBelongToRequest(t *testing.T) {
	refused := 0
	replies(func(r Reply) {
		outcome := r.Outcome()
		if outcome == AttemptRefused {
			refused++
			assert.Assert(t, r.NotExecuted && !r.NamesOtherRequest, "%+v", r)
			assert.Assert(t, r.MatchesRequest || !r.ConnectionReused, "%+v", r)
		}
		if !r.MatchesRequest && (r.NamesOtherRequest || r.ConnectionReused) {
			assert.Equal(t, outcome, AttemptBroken, "%+v", r)
		}
		if r.NotExecuted && (r.MatchesRequest || !r.NamesOtherRequest && !r.ConnectionReused) {
			assert.Equal(t, outcome, AttemptRefused, "%+v", r)
		}
	})
	assert.Assert(t, refused > 0)
}

func TestReplyOutcome_StatusThatGuaranteesNotRunIsNoAnswer(t *testing.T) {
	replies(func(r Reply) {
		if GuaranteesNotRun(r.Status) {
			assert.Assert(t, r.Outcome() != AttemptAnswered, "%+v", r)
		}
	})
}
