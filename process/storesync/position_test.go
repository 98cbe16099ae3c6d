package storesync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPosition_EraOrdersBeforeRevision(t *testing.T) {
	assert.Assert(t, Position{Era: 2, Revision: 3}.After(Position{Era: 1, Revision: 900}))
	assert.Assert(t, !Position{Era: 1, Revision: 900}.After(Position{Era: 2, Revision: 3}))
	assert.Assert(t, Position{Era: 2, Revision: 4}.After(Position{Era: 2, Revision: 3}))
	assert.Assert(t, !Position{}.After(Position{}) && Position{}.IsZero())
}

func TestEras_Observe(t *testing.T) {
	var e Eras
	steps := []struct {
		era     int64
		stated  bool
		want    EraChange
		current int64
	}{
		{4, true, SameEra, 4}, // the first response begins nothing
		{0, false, NoEra, 4},
		{3, true, EarlierEra, 4},
		{-1, true, NoEra, 4},
		{5, true, NewEra, 5},
		{8, true, NewEra, 8},
		{8 + maxEraStep + 1, true, NoEra, 8},
		{8, true, SameEra, 8},
	}
	for i, s := range steps {
		assert.Equal(t, e.Observe(s.era, s.stated), s.want, "step %d", i)
		assert.Equal(t, e.Current(), s.current, "step %d", i)
	}
	var none Eras
	assert.Equal(t, none.Observe(0, false), NoEra)
	assert.Equal(t, none.Observe(1, true), NewEra, "a store that states eras from now on")
}

// Entries that notice a new era before the one that reads the store do not list it too.
func TestSchedule_EntryAheadOfItsRelayWaits(t *testing.T) {
	domains := fleet(3, 4)
	for domain, entries := range domains {
		for _, self := range entries {
			v := NewView(self, domain, domains, nil)
			if v.ReadsStore() {
				continue
			}
			var s Schedule
			for range maxAnswersBehind {
				assert.Equal(t, s.Next(v), v.upstream)
				s.RecordBehind()
			}
			s.RecordBehind()
			assert.Assert(t, s.Next(v) != v.upstream, "the relay does not learn of it")
			s.RecordAnswer()
			assert.Equal(t, s.Next(v), v.upstream)
		}
	}
}

// Hundreds of entries lose their registrations at once. The store must keep room for its operators.
func TestRewriteDelay_StaysBelowTheRateOfTheStore(t *testing.T) {
	for _, c := range []struct {
		entries int
		rate    float64
	}{{4, 400}, {31, 1200}, {100, 400}, {300, 1200}, {300, 3200}, {320, 0}} {
		writes := map[int]int{}
		last := time.Duration(0)
		for i := range c.entries {
			delay := RewriteDelay(fmt.Sprintf("edge-%d", i), c.entries, c.rate)
			last = max(last, delay)
			writes[int(delay/(100*time.Millisecond))] += writesPerEntry
		}
		most := 0
		for i := range 100 {
			second := 0
			for j := range 10 {
				second += writes[i+j]
			}
			most = max(most, second)
		}
		rate := c.rate
		if rate == 0 {
			rate = defaultWriteRate
		}
		t.Logf("%d entries, %.0f writes a second: at most %d within a second, the last after %s", c.entries, c.rate, most, last)
		assert.Assert(t, float64(most) < rate && last <= maxRewriteTime)
	}
}
