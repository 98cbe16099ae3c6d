package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// rolloutBuilder builds what was seen of a roll-out of 10 s in which 2,000 requests reach old targets
// and 180 the new ones, of which the responses to the first 60 are bad.
type rolloutBuilder struct {
	*viewBuilder
	rollout *rolloutView
}

func newRolloutBuilder() *rolloutBuilder {
	b := &rolloutBuilder{viewBuilder: newViewBuilder()}
	b.view.covered = map[string]int{}
	b.rollout = &rolloutView{plannedOnly: true, orderedAt: b.at(0), finalAt: b.at(8), limit: 10 * time.Second, targets: b.view}
	b.status(0, "running")
	for i := range 2180 {
		version := oldVersion
		if i < 180 {
			version = newVersion
		}
		b.arrive(float64(i%180)/60, version)
	}
	for i := range 60 {
		b.rollout.bad = append(b.rollout.bad, replica.BadResponse{Version: newVersion, At: b.at(float64(i) / 60)})
	}
	return b
}

func (b *rolloutBuilder) arrive(seconds float64, version string) {
	b.add(seconds, replica.Arrival{Target: "i-1", Entry: "e1", Version: version})
	b.rollout.arrivals = append(b.rollout.arrivals, b.view.arrivals[len(b.view.arrivals)-1])
}

func (b *rolloutBuilder) status(seconds float64, state string) {
	value := fmt.Sprintf(`{"State":%q,"Target":"v2"}`, state)
	b.rollout.statuses = append(b.rollout.statuses, kv.Change{Value: []byte(value), At: b.at(seconds)})
}

// good makes the version a good one that is completed.
func (b *rolloutBuilder) good() {
	b.rollout.good, b.rollout.bad = true, nil
	b.status(8, "completed")
}

func (b *rolloutBuilder) execute(request, version string, position int, copyOf string) {
	b.rollout.executions = append(b.rollout.executions, replica.Execution{
		Request: request, Version: version, Position: position, FromKVCopy: copyOf != "", KVCopyOf: copyOf,
	})
}

// Each case breaks one rule, which the check must report, or none.
func TestRolloutCheck_FindsViolations(t *testing.T) {
	for name, test := range map[string]struct {
		build func(b *rolloutBuilder)
		want  string
	}{
		"rolled back":     {func(b *rolloutBuilder) { b.status(8, "rolled_back") }, ""},
		"completed":       {func(b *rolloutBuilder) { b.good() }, ""},
		"bad completed":   {func(b *rolloutBuilder) { b.status(8, "completed") }, "60 bad responses until then was completed"},
		"hardly bad":      {func(b *rolloutBuilder) { b.status(8, "completed"); b.rollout.bad = b.rollout.bad[:9] }, ""},
		"good undone":     {func(b *rolloutBuilder) { b.status(8, "rolled_back"); b.rollout.good = true }, "a good version was rolled back"},
		"no end":          {func(b *rolloutBuilder) { b.rollout.finalAt = time.Time{} }, "not done within 10s"},
		"late":            {func(b *rolloutBuilder) { b.good(); b.rollout.statuses[1].At = b.at(10.1) }, "not done within 10s"},
		"late and faulty": {func(b *rolloutBuilder) { b.good(); b.rollout.statuses[1].At, b.rollout.plannedOnly = b.at(10.1), false }, ""},
		"twice":           {func(b *rolloutBuilder) { b.status(8, "rolled_back"); b.status(9, "rolled_back") }, "the statuses were"},
		"back":            {func(b *rolloutBuilder) { b.good(); b.status(9, "running") }, "the statuses were"},
		"share": {func(b *rolloutBuilder) {
			b.status(8, "rolled_back")
			for range 120 {
				b.arrive(2, newVersion)
			}
		}, "300 of 2300 requests reached the bad version"},
		"too late": {func(b *rolloutBuilder) { b.status(8, "rolled_back"); b.arrive(5.9, newVersion) }, "sent 5.08"},
		"entry paused": {func(b *rolloutBuilder) {
			b.status(8, "rolled_back")
			b.arrive(5.9, newVersion)
			b.disrupt(b.view.entries["e1"], paused, 4, 5)
		}, ""},
		"just in time":  {func(b *rolloutBuilder) { b.status(8, "rolled_back"); b.arrive(5.7, newVersion) }, ""},
		"cut":           {func(b *rolloutBuilder) { b.good(); b.rollout.runningAtEnd = 1 }, "1 requests ran on old targets"},
		"old after":     {func(b *rolloutBuilder) { b.good(); b.arrive(8.5, oldVersion) }, "reached the old version 500ms after"},
		"other version": {func(b *rolloutBuilder) { b.good(); b.execute("r", "v1", 0, ""); b.execute("r", "v2", 3, "") }, `r went on after event 3 at "v2"`},
		"copy of other": {func(b *rolloutBuilder) { b.good(); b.execute("r", "v1", 0, ""); b.execute("s", "v2", 3, "r") }, `s went on at "v2" from a copy of r`},
		"copy":          {func(b *rolloutBuilder) { b.good(); b.execute("r", "v1", 0, ""); b.execute("s", "v1", 3, "r") }, ""},
		"resumed": {func(b *rolloutBuilder) {
			b.good()
			b.execute("r", "v2", 0, "")
			b.execute("r", "v1", 0, "")
			b.execute("r", "v1", 3, "")
		}, ""},
		"returned, retried":  {func(b *rolloutBuilder) { b.good(); b.execute("r", "v2", 3, ""); b.execute("r", "v1", 3, "") }, ""},
		"returned, moved":    {func(b *rolloutBuilder) { b.good(); b.execute("r", "v2", 3, ""); b.execute("r", "v1", 4, "") }, `r went on after event 4 at "v1"`},
		"retry from nothing": {func(b *rolloutBuilder) { b.good(); b.execute("r", "v2", 0, ""); b.execute("r", "v1", 0, "") }, ""},
	} {
		b := newRolloutBuilder()
		test.build(b)
		violations := b.rollout.check()
		if test.want == "" {
			assert.Equal(t, len(violations), 0, "%s: %v", name, violations)
			continue
		}
		assert.Assert(t, len(violations) == 1 && strings.Contains(violations[0], test.want), "%s: %v", name, violations)
	}
}
