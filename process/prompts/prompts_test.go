package prompts

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

func TestFind_TokensDecreaseWithAge(t *testing.T) {
	index := New()
	index.Record(start, "s", Location{Target: "e1", Incarnation: 7, Tokens: 8000})
	assert.Equal(t, index.Find(start, "s"), Location{Target: "e1", Incarnation: 7, Tokens: 8000})
	assert.Equal(t, index.Find(start.Add(LocationTTL/2), "s").Tokens, 4000)
	assert.Equal(t, index.Find(start.Add(LocationTTL), "s"), Location{})
	assert.Equal(t, index.Find(start, "other"), Location{})
	index.RemoveExpired(start.Add(LocationTTL))
	assert.Equal(t, len(index.locations), 0)
}

// All entries start at once: each target is asked by exactly one of them.
func TestIsResponsible_EntriesShareTargets(t *testing.T) {
	var entries []string
	for i := range 26 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	maxAssigned := 0
	assigned := map[string]int{}
	for i := range 94 {
		target := request.TargetID(fmt.Sprintf("e-%d", i))
		count := 0
		for _, entry := range entries {
			if IsResponsible(entry, entries, target) {
				count++
				assigned[entry]++
				maxAssigned = max(maxAssigned, assigned[entry])
			}
		}
		assert.Equal(t, count, 1)
	}
	assert.Assert(t, maxAssigned <= 12, "one entry asks %d", maxAssigned)
	assert.Assert(t, IsResponsible("new", nil, "e-1"), "an entry without peers asks all targets")
}
