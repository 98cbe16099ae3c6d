package request

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A target that stops between its head and its first event closes the connection, as one does
// that has nothing left to send.
func TestStreamEnd_WithoutEventsNeedsASign(t *testing.T) {
	for bits := range 1 << 8 {
		bit := func(i int) int { return bits >> i & 1 }
		end := StreamEnd{
			Position: 7 * bit(0), Events: 3 * bit(1), Framed: bit(2) == 1, OtherContent: bit(3) == 1, Confirmed: bit(4) == 1,
			EventBegun: bit(5) == 1, TargetRuns: bit(6) == 1, Repeats: bit(7) == 1,
		}
		want := end.Events > 0 || !end.OtherContent && !end.EventBegun && !end.Repeats && (end.Framed || end.Position > 0 && end.Confirmed && end.TargetRuns)
		assert.Equal(t, end.Complete(), want, "%+v", end)
		end.Confirmed = true
		assert.Assert(t, !end.MayConfirm() || end.Complete() && end.TargetRuns, "%+v", end)
	}
}
