package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleTime_KeepsToTheLeastLimitKnown(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	d := &deployment{idleLimits: []idleLimit{{limit: time.Second}, {at(0), 3 * time.Second}, {at(10), 2 * time.Second}}}
	for name, test := range map[string]struct {
		from, to float64
		want     time.Duration
	}{
		"just grown":          {0.9, 0.95, 800 * time.Millisecond},
		"grown":               {1.1, 3, 2400 * time.Millisecond},
		"grown meanwhile":     {0.5, 3, 800 * time.Millisecond},
		"just shrunk":         {9, 10.9, 2400 * time.Millisecond},
		"shrunk meanwhile":    {9, 11.1, 1600 * time.Millisecond},
		"shrunk before":       {11.1, 12, 1600 * time.Millisecond},
		"before the first":    {-5, -3, 800 * time.Millisecond},
		"all known meanwhile": {0.5, 12, 800 * time.Millisecond},
	} {
		assert.Equal(t, d.idleTime(at(test.from), at(test.to)), test.want, name)
	}
}

func TestAnnouncedIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "timeout=12": 12 * time.Second, "max=5, timeout=3": 3 * time.Second, "timeout=soon": 0,
	} {
		response := &http.Response{Header: http.Header{"Keep-Alive": {value}}}
		assert.Equal(t, announcedIdleTime(response), want, value)
	}
}

func TestCheckClosings(t *testing.T) {
	for name, test := range map[string]struct {
		usable float64
		change func(b *viewBuilder)
		want   int
	}{
		"usable":             {2, func(*viewBuilder) {}, 1},
		"no longer usable":   {0.5, func(*viewBuilder) {}, 0},
		"stopped":            {2, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], ending, -2, -2) }, 0},
		"stopped before":     {2, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], ending, -9, -9) }, 1},
		"other entry stops":  {2, func(b *viewBuilder) { b.disrupt(b.view.entries["e2"], ending, -2, -2) }, 1},
		"store cut":          {2, func(b *viewBuilder) { b.disrupt(b.view.entries["e1"], storeCut, -2, -2) }, 1},
		"beside a stall":     {2, func(b *viewBuilder) { b.disrupt(b.view.stalls, stalled, 0, 0.2) }, 0},
		"long after a stall": {2, func(b *viewBuilder) { b.disrupt(b.view.stalls, stalled, -9, -8) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newViewBuilder()
			b.view.check()
			test.change(b)
			closing := &keptConnection{entry: "e1", openedAt: b.at(-5), idleSince: b.at(0), closedAt: b.at(1), usableUntil: b.at(test.usable)}
			assert.Equal(t, len(b.view.checkClosings([]*keptConnection{closing})), test.want)
		})
	}
}
