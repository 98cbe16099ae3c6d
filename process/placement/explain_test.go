package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// An explanation that names a target which Pick would not choose, or that changes a later choice,
// misleads operators.
func TestExplain_AgreesWithPickAndChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	build := func() *Table {
		table := NewTable()
		table.SetEngineMemory("writer", 88000)
		for _, id := range []request.TargetID{"a", "b", "c", "d"} {
			table.Register(Registration{
				Endpoint: request.Endpoint{ID: id, Address: "10.0.0.1:" + string(id)}, Service: "writer", FailureDomain: "x", Slots: 4,
			})
		}
		table.MarkDown(now, "b")
		table.Register(Registration{Endpoint: request.Endpoint{ID: "c", Address: "10.0.0.1:c"}, Service: "writer", FailureDomain: "x", Slots: 4, Draining: true})
		table.AddAttempt("d", Requirements{PromptTokens: 20000})
		return table
	}
	requirements := Requirements{Service: "writer", Session: "s", PromptTokens: 8000}
	explained, plain := build(), build()
	candidates := explained.Explain(now, requirements)
	assert.Equal(t, len(candidates), 4)
	reasons := map[request.TargetID]string{}
	for _, c := range candidates {
		reasons[c.ID] = c.Excluded
	}
	assert.DeepEqual(t, reasons, map[request.TargetID]string{"a": "", "b": excludedDown, "c": excludedDraining, "d": ""})
	assert.Equal(t, candidates[0].ID, request.TargetID("a"))
	for range 20 {
		got, err := explained.Pick(now, requirements)
		assert.NilError(t, err)
		want, err := plain.Pick(now, requirements)
		assert.NilError(t, err)
		assert.Equal(t, got.Target.ID, want.Target.ID)
		explained.AddAttempt(got.Target.ID, requirements)
		plain.AddAttempt(want.Target.ID, requirements)
		explained.Explain(now, requirements)
	}
}

// Where only targets are left that Pick takes as a last resort, the explanation shows those.
func TestExplain_LastResort(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Register(Registration{Endpoint: request.Endpoint{ID: "a", Address: "10.0.0.1:1"}, Service: "bookings", Slots: 4})
	table.MarkDown(now, "a")
	assert.Equal(t, table.Explain(now, Requirements{Service: "bookings"})[0].Excluded, excludedDown)
	later := now.Add(maxDownPeriod)
	assert.Equal(t, table.Explain(later, Requirements{Service: "bookings"})[0].Excluded, "")
	table.AddAttempt("a", Requirements{})
	assert.Equal(t, table.Explain(later, Requirements{Service: "bookings"})[0].Excluded, excludedAwaitingProbe)
}
