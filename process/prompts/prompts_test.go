package prompts

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1000, 0)

func TestPlacesCountForLessWithAge(t *testing.T) {
	b := New()
	b.Record(start, "s", Location{Target: "e1", Incarnation: 7, Tokens: 8000})
	assert.Equal(t, b.Find(start, "s"), Location{Target: "e1", Incarnation: 7, Tokens: 8000})
	assert.Equal(t, b.Find(start.Add(Life/2), "s").Tokens, 4000)
	assert.Equal(t, b.Find(start.Add(Life), "s"), Location{})
	assert.Equal(t, b.Find(start, "other"), Location{})
	b.RemoveExpired(start.Add(Life))
	assert.Equal(t, len(b.places), 0)
}

// All entries start at once: each target is asked, and by one of them only.
func TestEntriesShareTheTargetsToAsk(t *testing.T) {
	var entries []string
	for i := range 26 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	most := 0
	asked := map[string]int{}
	for i := range 94 {
		target := request.TargetID(fmt.Sprintf("e-%d", i))
		count := 0
		for _, entry := range entries {
			if IsResponsible(entry, entries, target) {
				count++
				asked[entry]++
				most = max(most, asked[entry])
			}
		}
		assert.Equal(t, count, 1)
	}
	assert.Assert(t, most <= 12, "one entry asks %d", most)
	assert.Assert(t, IsResponsible("new", nil, "e-1"), "an entry that knows of no other asks all")
}
