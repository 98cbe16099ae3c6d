package storesync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReads_OnlyWhatIsSlowOverTheLinkIsReadApart(t *testing.T) {
	for _, c := range []struct {
		bytes int
		mbps  float64
		apart bool
	}{
		{1_122, 10, false},
		{290_031, 10, true},
		{290_031, 200, false},
		{1 << 20, 1000, false},
		{1 << 20, 100, true},
		{1 << 20, 0, false},
	} {
		var r Reads
		targetsApart, list := r.Next(c.bytes, c.mbps)
		assert.Equal(t, targetsApart, c.apart, "%d bytes over %v megabits a second", c.bytes, c.mbps)
		assert.Assert(t, !list)
		r.RecordRead(true)
		_, list = r.Next(c.bytes, c.mbps)
		assert.Equal(t, list, c.apart)
		r.RecordRead(false)
		_, list = r.Next(c.bytes, c.mbps)
		assert.Assert(t, !list)
	}
}

// A series of configurations of 1,400 and of 2,800 routes, three a second, over a link of 10 megabits a second that
// a reader has to itself. Reading each of them falls behind further and further.
func TestReads_SeriesOfConfigurationsOverASlowLink(t *testing.T) {
	const (
		poll     = 450 * time.Millisecond
		interval = 330 * time.Millisecond
		versions = 30
		mbps     = 10
	)
	written := func(now time.Duration) int { return min(versions, int(now/interval)) }
	for _, size := range []int{290_031, 567_415} {
		transferTime := time.Duration(wireFactor * float64(size) / (mbps * bytesPerMegabit) * float64(time.Second))
		var r Reads
		known, worst := 0, time.Duration(0)
		for now := time.Duration(0); known < versions; {
			_, list := r.Next(size, mbps)
			start := now
			newest := written(now)
			if list {
				now += transferTime
			} else {
				now += transferTime * time.Duration(newest-known)
			}
			r.RecordRead(newest > known)
			if newest > known {
				worst = max(worst, now-time.Duration(known+1)*interval)
			}
			known, now = newest, max(now, start+poll)
		}
		t.Logf("%d bytes: a version is in force after %s at most", size, worst)
		assert.Assert(t, worst < 3*time.Second, "%s", worst)
	}
}

// Changes of targets that arrive ahead of the position do not hide those before them.
func TestHistory_ChangesAheadOfThePosition(t *testing.T) {
	var h History
	h.List(nil, at(10))
	h.Append([]Change{{Key: "target", Value: []byte("leaving"), Revision: 13, Era: 1}}, at(10))
	assert.Equal(t, h.Position(), at(10))
	assert.Equal(t, h.Newest(), at(13))
	changes, _, complete := h.Since(at(10))
	assert.Assert(t, complete)
	assert.Equal(t, len(changes), 1)
	h.Append([]Change{
		{Key: "configuration", Revision: 11, Era: 1}, {Key: "target", Value: []byte("leaving"), Revision: 13, Era: 1},
		{Key: "other", Revision: 14, Era: 1},
	}, at(14))
	for since, want := range map[int64][]string{10: {"configuration", "target", "other"}, 11: {"target", "other"}, 13: {"other"}, 14: nil} {
		changes, _, complete = h.Since(at(since))
		assert.Assert(t, complete)
		var keys []string
		for _, change := range changes {
			keys = append(keys, change.Key)
		}
		assert.DeepEqual(t, keys, want)
	}
}
