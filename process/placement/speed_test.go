package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// learnUsual lets a table see prefill and events of all engines at their usual speed.
func learnUsual(table *Table, now time.Time, engines int) {
	for range 20 {
		for i := range engines {
			table.RecordPrefill(now, targetID(i), 8000, time.Second)
			table.RecordEvents(now, targetID(i), table.PrefillMark(targetID(i)), 10, 360*time.Millisecond)
		}
	}
}

func (t *Table) relativeTimeOf(i int, now time.Time) float64 {
	return t.targets[targetID(i)].relativeTime.valueAt(now)
}

// Guards against prompts that go on to an engine in a slow spell, and against one that is avoided
// for good after it.
func TestSpeed_SlowSpellIsSeenAndFades(t *testing.T) {
	observations := map[string]func(table *Table, now time.Time){
		"prefill": func(table *Table, now time.Time) {
			for range 2 {
				table.RecordPrefill(now, targetID(0), 8000, 3400*time.Millisecond)
			}
		},
		"overdue prefill": func(table *Table, now time.Time) {
			for _, elapsed := range []time.Duration{500, 1500, 1700, 2000, 2800, 3300} {
				table.RecordOverduePrefill(now, targetID(0), 8000, elapsed*time.Millisecond)
			}
		},
		"events": func(table *Table, now time.Time) {
			for range 3 {
				table.RecordEvents(now, targetID(0), table.PrefillMark(targetID(0)), 10, 3400*360*time.Millisecond/1000)
			}
		},
	}
	for name, observe := range observations {
		t.Run(name, func(t *testing.T) {
			table := newEngineTable(3)
			learnUsual(table, start, 3)
			now := start.Add(10 * time.Second)
			observe(table, now)
			assert.Assert(t, table.relativeTimeOf(0, now) > 1.6)
			assert.Equal(t, table.SlowCount(now), 1)
			for range 20 {
				choice, err := table.Pick(now, promptRequirements("s"))
				assert.NilError(t, err)
				assert.Assert(t, choice.Target.ID != targetID(0))
			}
			after := now.Add(knownPeriod + forgottenPeriods*spellPeriod)
			assert.Assert(t, table.relativeTimeOf(0, after) < 1.05)
			assert.Equal(t, table.SlowCount(after), 0)
		})
	}
}

// Guards against engines that seem slow because other prompts were prefilled there at the same time.
func TestSpeed_PrefillOfOthersIsNotCounted(t *testing.T) {
	table := newEngineTable(1)
	learnUsual(table, start, 1)
	mark := table.PrefillMark(targetID(0))
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{targetID(0): {PrefillTokens: 8000}}})
	table.RecordEvents(start, targetID(0), mark, 10, time.Minute)
	pending := table.PrefillMark(targetID(0))
	table.RecordEvents(start, targetID(0), pending, 10, time.Minute)
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{targetID(0): {Decoding: 1}}})
	table.RecordEvents(start, targetID(0), mark, 10, time.Minute)
	assert.Assert(t, table.relativeTimeOf(0, start) < 1.1)
	// Short prompts say nothing about the rate.
	table.RecordPrefill(start, targetID(0), 10, time.Minute)
	assert.Assert(t, table.relativeTimeOf(0, start) < 1.1)
}

// Guards against a measure that moves with slow engines, so that the others seem fast.
func TestSpeed_MedianStaysWhileAThirdAreSlow(t *testing.T) {
	table := newEngineTable(9)
	learnUsual(table, start, 9)
	for i := range 300 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		for engine := range 9 {
			eventTime := 36 * time.Millisecond
			if engine%3 == 0 {
				eventTime *= 3
			}
			table.RecordEvents(now, targetID(engine), table.PrefillMark(targetID(engine)), 10, 10*eventTime)
		}
	}
	now := start.Add(12 * time.Second)
	assert.Assert(t, table.relativeTimeOf(0, now) > 2.8)
	assert.Assert(t, table.relativeTimeOf(1, now) > 0.95 && table.relativeTimeOf(1, now) < 1.05)
	assert.Assert(t, table.targets[targetID(0)].relativeTime.usual < 1.1, "a slow spell counts as usual")
}

// Guards against what only one entry knows, and against bytes for what all know.
func TestSpeed_OnlyNewsAreTold(t *testing.T) {
	first, second := newEngineTable(3), newEngineTable(3)
	learnUsual(first, start, 3)
	assert.Equal(t, len(first.Speeds(start)), 0, "engines of usual speed are no news")
	tell := func(now time.Time) int {
		speeds := first.Speeds(now)
		for id, value := range speeds {
			second.RecordPeerSpeed(now, id, value)
		}
		return len(speeds)
	}
	observe := func(now time.Time) {
		first.RecordEvents(now, targetID(0), first.PrefillMark(targetID(0)), 10, 1080*time.Millisecond)
	}
	told := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		observe(now)
		told += tell(now)
		if i > 5 {
			assert.Assert(t, second.relativeTimeOf(0, now) > 2, "after %d observations", i)
		}
	}
	t.Logf("told in %d of 50 updates within 10 s", told)
	assert.Assert(t, told < 40)
	// The one that was told does not tell it again, and believes its own eyes first.
	now := start.Add(10 * time.Second)
	assert.Equal(t, len(second.Speeds(now)), 0)
	second.RecordEvents(now, targetID(0), second.PrefillMark(targetID(0)), 10, 360*time.Millisecond)
	own := second.relativeTimeOf(0, now)
	second.RecordPeerSpeed(now, targetID(0), 9)
	assert.Equal(t, second.relativeTimeOf(0, now), own)
	second.RecordPeerSpeed(now, "unknown", 9)
}

// Guards against less urgent prompts that count as if they were served first.
func TestPick_LessUrgentPromptsThatWaitDelayLess(t *testing.T) {
	table := newEngineTable(2)
	less := promptRequirements("running")
	less.Rank = 2
	urgent := promptRequirements("urgent")
	for range 3 {
		table.AddAttempt(targetID(0), less)
	}
	for range 2 {
		table.AddAttempt(targetID(1), urgent)
	}
	choice, err := table.Pick(start, urgent)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(0))
	choice, err = table.Pick(start, less)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(1))
	for range 3 {
		table.RemoveAttempt(targetID(0), less, false)
	}
	assert.Equal(t, table.targets[targetID(0)].localWork, Work{})
}

// Guards against engines that crash because prompts exceed their memory.
func TestPick_FullEngineComesAfterAnyWait(t *testing.T) {
	table := newEngineTable(2)
	table.AddKVCopyTokens(targetID(0), engineMemory-promptTokens)
	for range 8 {
		table.AddAttempt(targetID(1), Requirements{PromptTokens: promptTokens})
	}
	choice, err := table.Pick(start, promptRequirements("s"))
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(1))
}
