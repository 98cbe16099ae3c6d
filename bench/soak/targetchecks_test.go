package soak

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// viewBuilder builds what targets saw in a run of two entries, e1 and e2, and targets whose
// links are sound.
type viewBuilder struct {
	start time.Time
	view  *targetView
}

func newViewBuilder() *viewBuilder {
	return &viewBuilder{time.Now(), &targetView{
		requests: map[string]*requestRecord{}, store: &disruptions{}, stalls: &disruptions{},
		entries: map[string]*disruptions{"e1": {}, "e2": {}}, links: map[string]*disruptions{"i-1": {}, "i-2": {}},
	}}
}

func (b *viewBuilder) at(seconds float64) time.Time {
	return b.start.Add(time.Duration(seconds * float64(time.Second)))
}

// add adds a request that was sent and reached its target at the given time, and was answered
// 10 ms later.
func (b *viewBuilder) add(seconds float64, arrival replica.Arrival) *requestRecord {
	arrival.At = b.at(seconds)
	if arrival.Request == "" {
		arrival.Request = "r" + strconv.Itoa(len(b.view.arrivals))
	}
	b.view.arrivals = append(b.view.arrivals, arrival)
	record := &requestRecord{id: arrival.Request, sentAt: arrival.At, respondedAt: arrival.At.Add(10 * time.Millisecond), headStatus: 200}
	b.view.requests[record.id] = record
	return record
}

func (b *viewBuilder) disrupt(d *disruptions, kind disruptionKind, from, to float64) {
	d.list = append(d.list, &disruption{kind, b.at(from), b.at(to)})
}

func (b *viewBuilder) check(t *testing.T, want string) {
	t.Helper()
	violations := b.view.check()
	if want == "" {
		assert.Equal(t, len(violations), 0, "%v", violations)
		return
	}
	assert.Assert(t, len(violations) == 1 && strings.Contains(violations[0], want), "%v", violations)
}

func TestCheckLeaving(t *testing.T) {
	leaving := replica.Arrival{Target: "i-1", Entry: "e1", Leaving: true}
	for name, test := range map[string]struct {
		build func(b *viewBuilder)
		want  string
	}{
		"late":         {func(b *viewBuilder) { b.add(0, leaving); b.add(2.1, leaving) }, "i-1 from e1: r1 arrived, sent 2.09s after"},
		"soon":         {func(b *viewBuilder) { b.add(0, leaving); b.add(1.9, leaving) }, ""},
		"other entry":  {func(b *viewBuilder) { b.add(0, leaving); b.add(2.1, replica.Arrival{Target: "i-1", Entry: "e2"}) }, ""},
		"other target": {func(b *viewBuilder) { b.add(0, leaving); b.add(2.1, replica.Arrival{Target: "i-2", Entry: "e1"}) }, ""},
		"not leaving":  {func(b *viewBuilder) { b.add(0, replica.Arrival{Target: "i-1", Entry: "e1"}); b.add(2.1, leaving) }, ""},
		"store faulty": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.1, leaving)
			b.disrupt(b.view.store, storeFaulty, 0, 3)
		}, "sent 2.09s"},
		"store cut": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.1, leaving)
			b.disrupt(b.view.entries["e1"], storeCut, 0, 3)
		}, "sent 2.09s"},
		"restarted": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.1, leaving)
			b.disrupt(b.view.entries["e1"], restarted, 1, 1)
		}, ""},
		"paused": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.1, leaving)
			b.disrupt(b.view.entries["e1"], paused, -1, 1)
		}, ""},
		"paused before": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.1, leaving)
			b.disrupt(b.view.entries["e1"], paused, -2, -1)
		}, "sent 2.09s"},
		"told again after a restart": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.disrupt(b.view.entries["e1"], restarted, 1, 1)
			b.add(1.5, leaving)
			b.add(3.6, leaving)
		}, "r2 arrived, sent 2.09s"},
		"sent before": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(2.5, leaving).sentAt = b.at(1)
		}, ""},
		"answered by another target": {func(b *viewBuilder) {
			b.add(0, leaving)
			b.add(0.1, replica.Arrival{Request: "r0", Target: "i-2", Entry: "e1"})
			b.add(2.5, leaving)
		}, ""},
		"refused, answered by another target": {func(b *viewBuilder) {
			b.add(0, replica.Arrival{Target: "i-1", Entry: "e1", Leaving: true, Shed: true})
			b.add(0.1, replica.Arrival{Request: "r0", Target: "i-2", Entry: "e1"})
			b.add(2.5, leaving)
		}, "r2 arrived"},
		"refused over a faulty link": {func(b *viewBuilder) {
			b.add(0, replica.Arrival{Target: "i-1", Entry: "e1", Leaving: true, Shed: true})
			b.add(0.1, replica.Arrival{Request: "r0", Target: "i-2", Entry: "e1"})
			b.disrupt(b.view.links["i-1"], linkFault, 0, 1)
			b.add(2.5, leaving)
		}, ""},
		"no response": {func(b *viewBuilder) {
			b.add(0, leaving).respondedAt = time.Time{}
			b.add(2.5, leaving)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newViewBuilder()
			test.build(b)
			b.check(t, test.want)
		})
	}
}

func TestCheckBackoff(t *testing.T) {
	shed := replica.Arrival{Target: "i-1", Entry: "e1", Shed: true, RetryAfter: "1.5"}
	sound := replica.Arrival{Target: "i-1", Entry: "e1"}
	for name, test := range map[string]struct {
		times []float64
		last  replica.Arrival
		build func(b *viewBuilder)
		want  string
	}{
		"three":        {[]float64{0.6, 1, 1.4}, sound, nil, "3 requests arrived in the 1.5 s after it had shed r0"},
		"two":          {[]float64{0.6, 1.4}, sound, nil, ""},
		"under way":    {[]float64{0.1, 0.2, 0.3, 0.4, 0.6, 1}, sound, nil, ""},
		"after":        {[]float64{0.6, 1, 1.6}, sound, nil, ""},
		"other entry":  {[]float64{0.6, 1, 1.4}, replica.Arrival{Target: "i-1", Entry: "e2"}, nil, ""},
		"shed again":   {[]float64{0.6, 1, 1.4}, shed, nil, "3 requests arrived"},
		"restarted":    {[]float64{0.6, 1, 1.4}, sound, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], restarted, 0.2, 0.2) }, ""},
		"stalled":      {[]float64{0.6, 1, 1.4}, sound, func(b *viewBuilder) { b.disrupt(b.view.stalls, stalled, 0.2, 0.4) }, ""},
		"stalled late": {[]float64{0.6, 1, 1.4}, sound, func(b *viewBuilder) { b.disrupt(b.view.stalls, stalled, 0.6, 0.9) }, "3 requests arrived"},
		"link faulty":  {[]float64{0.6, 1, 1.4}, sound, func(b *viewBuilder) { b.disrupt(b.view.links["i-1"], linkFault, -1, 0.2) }, ""},
		"store faulty": {[]float64{0.6, 1, 1.4}, sound, func(b *viewBuilder) { b.disrupt(b.view.store, storeFaulty, -1, 2) }, "3 requests arrived"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newViewBuilder()
			b.add(0, shed)
			for _, at := range test.times {
				b.add(at, test.last)
			}
			if test.build != nil {
				test.build(b)
			}
			b.check(t, test.want)
		})
	}
}

func TestCheckPromptCrashes(t *testing.T) {
	crashing := replica.Arrival{Target: "i-1", Entry: "e1", PromptParts: "aa:200," + crashPart + ":200,r:6000"}
	for name, test := range map[string]struct {
		crashes int
		arrival replica.Arrival
		build   func(b *viewBuilder)
		want    string
	}{
		"four late":      {5, crashing, nil, "4 requests with the prompt part that crashes engines"},
		"four crashes":   {4, crashing, nil, ""},
		"other part":     {5, replica.Arrival{Target: "i-1", Entry: "e1", PromptParts: "aa:200,r:6000"}, nil, ""},
		"store faulty":   {5, crashing, func(b *viewBuilder) { b.disrupt(b.view.store, storeFaulty, 9, 9) }, ""},
		"entry restarts": {5, crashing, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], restarted, 9, 9) }, ""},
		"long before":    {5, crashing, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], restarted, 5, 5) }, "4 requests"},
		"others restart": {5, crashing, func(b *viewBuilder) { b.disrupt(b.view.entries["e2"], restarted, 9, 9) }, "4 requests"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newViewBuilder()
			for i := range test.crashes {
				b.view.promptCrashes = append(b.view.promptCrashes, b.at(float64(i)))
			}
			// These may still arrive, since the fifth crash was at 4 s.
			b.add(5, crashing)
			b.add(6.9, crashing)
			for _, at := range []float64{10, 10.1, 10.2, 10.3} {
				b.add(at, test.arrival)
			}
			if test.build != nil {
				test.build(b)
			}
			b.check(t, test.want)
		})
	}
}

func TestCheckPlannedWork(t *testing.T) {
	arrival := replica.Arrival{Target: "i-1", Entry: "e1"}
	for name, test := range map[string]struct {
		change func(b *viewBuilder, r *requestRecord)
		want   int
	}{
		"no response":    {func(*viewBuilder, *requestRecord) {}, 1},
		"response":       {func(_ *viewBuilder, r *requestRecord) { r.status = 503 }, 0},
		"abandoned":      {func(_ *viewBuilder, r *requestRecord) { r.abandoned = true }, 0},
		"after the run":  {func(b *viewBuilder, r *requestRecord) { r.finishedAt = b.at(9) }, 0},
		"stalled":        {func(b *viewBuilder, _ *requestRecord) { b.disrupt(b.view.stalls, stalled, -2, -1) }, 0},
		"stalled before": {func(b *viewBuilder, _ *requestRecord) { b.disrupt(b.view.stalls, stalled, -5, -4) }, 1},
		"stop":           {func(b *viewBuilder, _ *requestRecord) { b.disrupt(b.view.entries["e1"], ending, -1, -1) }, 1},
		"end of grace":   {func(b *viewBuilder, _ *requestRecord) { b.disrupt(b.view.entries["e1"], ending, -3, -3) }, 1},
		"sent soon after the signal, end of grace": {func(b *viewBuilder, r *requestRecord) {
			b.disrupt(b.view.entries["e1"], ending, -1, -1)
			r.finishedAt = b.at(2.5)
		}, 0},
		"reached no target": {func(b *viewBuilder, _ *requestRecord) { b.view.arrivals = nil }, 0},
		"held by an entry": {func(b *viewBuilder, r *requestRecord) {
			b.view.arrivals, r.writtenAt, r.finishedAt = nil, b.at(0.01), b.at(0.3)
		}, 1},
		"held by an entry, end of grace": {func(b *viewBuilder, r *requestRecord) {
			b.view.arrivals, r.writtenAt, r.finishedAt = nil, b.at(0.01), b.at(2.5)
			b.disrupt(b.view.entries["e1"], ending, -1, -1)
		}, 1},
		"on a kept connection": {func(b *viewBuilder, r *requestRecord) {
			b.view.arrivals, r.connection = nil, &keptConnection{entry: "e1", openedAt: b.at(-5), idleSince: b.at(-1)}
		}, 1},
		"on a kept connection, stop": {func(b *viewBuilder, r *requestRecord) {
			b.view.arrivals, r.connection = nil, &keptConnection{entry: "e1", openedAt: b.at(-5), idleSince: b.at(-1)}
			b.disrupt(b.view.entries["e1"], ending, -0.5, -0.5)
		}, 0},
		"crossed the end of the connection": {func(b *viewBuilder, r *requestRecord) {
			b.view.arrivals, r.writtenAt, r.finishedAt = nil, b.at(0.01), b.at(0.2)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newViewBuilder()
			r := b.add(0, arrival)
			r.entry, r.finishedAt = "e1", b.at(0.1)
			test.change(b, r)
			b.check(t, "")
			assert.Equal(t, len(b.view.checkPlannedWork(b.at(5))), test.want)
		})
	}
}

// A stream that goes on from the memory of another request of its session.
func TestCheckResumptions(t *testing.T) {
	b := newViewBuilder()
	for id, generation := range map[string]string{"r1": "g1", "r2": "g1", "r3": "g2"} {
		b.view.requests[id] = &requestRecord{id: id, generation: generation}
	}
	b.view.resumptions = []replica.Execution{{Request: "r1", KVCopyOf: "r1"}, {Request: "r2", KVCopyOf: "r1"}}
	b.check(t, "")
	assert.Equal(t, b.view.covered["callers who came back and resumed from a copy"], 1)
	b.view.resumptions = []replica.Execution{{Request: "r2", KVCopyOf: "r3"}}
	b.check(t, "r2 resumed from the KV copy of r3")
}
