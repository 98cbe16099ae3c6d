package callpage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.UnixMilli(1_700_000_000_000)

func nonce(number byte) request.Nonce {
	return request.NewNonce(start.Add(time.Second), [16]byte{number})
}

func reserve(key string, number byte) callpage.Operation {
	return callpage.Operation{
		Type: callpage.OpReserve, CallKey: callpage.CallKey{Workspace: "w", Key: key}, Digest: "d",
		Nonce: nonce(number), Target: "t", Incarnation: 1, Retention: time.Hour,
	}
}

func settle(key string, number byte, body []byte) callpage.Operation {
	op := reserve(key, number)
	op.Type = callpage.OpSettle
	op.Reply = &request.CallReply{Status: 201, Body: body}
	return op
}

// applyAndReload applies one operation and passes the changed page through its
// stored form.
func applyAndReload(t rapid.TB, p *callpage.Page, now time.Time, op callpage.Operation) (*callpage.Page, callpage.Result) {
	next, results, changed := p.Apply(now, []callpage.Operation{op})
	if !changed {
		return p, results[0]
	}
	data, err := next.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= next.Size(), "%d bytes, bound %d", len(data), next.Size())
	reloaded, err := callpage.Decode(data)
	assert.NilError(t, err)
	return reloaded, results[0]
}

func TestReserve_ReturnsRecordedOutcome(t *testing.T) {
	p, first := applyAndReload(t, &callpage.Page{}, start, reserve("k", 1))
	assert.Equal(t, first.Status, callpage.StatusReserved)
	p, again := applyAndReload(t, p, start, reserve("k", 1))
	assert.Equal(t, again.Status, callpage.StatusReserved)
	p, other := applyAndReload(t, p, start, reserve("k", 2))
	assert.Equal(t, other.Status, callpage.StatusFound)
	assert.Equal(t, other.Record.Nonce, nonce(1))
	p, _ = applyAndReload(t, p, start, settle("k", 1, []byte("receipt")))
	p, settled := applyAndReload(t, p, start, reserve("k", 3))
	assert.Assert(t, settled.IsFinal() && settled.Record.BodyStored)
	assert.Equal(t, string(settled.Record.Reply.Body), "receipt")
	conflicting := reserve("k", 4)
	conflicting.Digest = "another"
	_, conflict := applyAndReload(t, p, start, conflicting)
	assert.Equal(t, conflict.Status, callpage.StatusConflict)
}

func TestPrune_DroppedKeysAreReportedExpired(t *testing.T) {
	late := start.Add(3 * time.Hour)
	timed := timedKey(start)
	p := &callpage.Page{}
	for i, key := range []string{timed, "no-time"} {
		p, _ = applyAndReload(t, p, start, reserve(key, byte(i+1)))
		p, _ = applyAndReload(t, p, start, settle(key, byte(i+1), nil))
	}
	p, _ = applyAndReload(t, p, late, reserve(timedKey(late), 3))
	assert.Equal(t, p.Len(), 1)
	for _, key := range []string{timed, "no-time", timedKey(start.Add(time.Minute))} {
		_, result := applyAndReload(t, p, late, reserve(key, 4))
		assert.Equal(t, result.Status, callpage.StatusExpired, "%s", key)
	}
	_, fresh := applyAndReload(t, p, late, reserve("another-without-time", 5))
	assert.Equal(t, fresh.Status, callpage.StatusReserved)
}

// timedKey returns a UUIDv7 key with the given time.
func timedKey(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	return id.String()
}

func TestFullPage_RefusesNewCallsAndSettlesReservedOnes(t *testing.T) {
	p := &callpage.Page{}
	body := make([]byte, callpage.MaxStoredReplyBytes)
	full := -1
	for i := range 1000 {
		op := reserve(fmt.Sprintf("key-%d", i), byte(i))
		next, results, _ := p.Apply(start, []callpage.Operation{op})
		if results[0].Status == callpage.StatusFull {
			full = i
			break
		}
		p = next
	}
	assert.Assert(t, full > 100)
	for i := range full {
		op := settle(fmt.Sprintf("key-%d", i), byte(i), body)
		p, _, _ = p.Apply(start, []callpage.Operation{op})
	}
	data, err := p.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1<<20, "%d bytes", len(data))
}

// TestApply_MatchesModel applies random operations and compares the page with a
// plain map. Some operations are applied twice, as after a lost response.
func TestApply_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &callpage.Page{}
		model := map[string]request.Nonce{}
		done := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key"))
			op := reserve(key, byte(rapid.IntRange(1, 4).Draw(t, "nonce")))
			op.Type = callpage.OpType(rapid.IntRange(0, 3).Draw(t, "type"))
			op.Previous = nonce(byte(rapid.IntRange(1, 4).Draw(t, "previous")))
			op.Reply = &request.CallReply{Status: 200}
			var result callpage.Result
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				p, result = applyAndReload(t, p, start, op)
			}
			reserved, exists := model[key]
			switch {
			case op.Type == callpage.OpReserve && !done[key] && (!exists || reserved == op.Previous || reserved == op.Nonce):
				assert.Equal(t, result.Status, callpage.StatusReserved)
				model[key] = op.Nonce
			case op.Type == callpage.OpRelease && exists && !done[key] && reserved == op.Previous:
				assert.Equal(t, result.Status, callpage.StatusAbsent)
				delete(model, key)
			case op.Type == callpage.OpSettle && exists && !done[key] && reserved == op.Nonce:
				assert.Assert(t, result.IsFinal())
				done[key] = true
			case !exists:
				assert.Equal(t, result.Status, callpage.StatusAbsent)
			default:
				assert.Equal(t, result.Status, callpage.StatusFound)
				assert.Equal(t, result.Record.Nonce, reserved)
				assert.Equal(t, result.Record.Done, done[key])
			}
		}
		assert.Equal(t, p.Len(), len(model))
	})
}
