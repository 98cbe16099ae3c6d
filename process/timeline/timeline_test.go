package timeline_test

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/timeline"
)

// Sends messages between processes whose clocks are skewed by up to 5 s, and checks that
// the receipt of each message sorts after its sending.
func TestClock_CausalOrderUnderSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(2, 5).Draw(t, "processes")
		clocks := make([]timeline.Clock, processes)
		skew := make([]time.Duration, processes)
		for i := range skew {
			skew[i] = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
		}
		now := time.UnixMilli(1_700_000_000_000)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "step")) * time.Millisecond)
			sent := clocks[from].Next(now.Add(skew[from]))
			clocks[to].Observe(sent)
			received := clocks[to].Next(now.Add(skew[to]))
			if received <= sent {
				t.Fatalf("the receipt %d does not sort after the sending %d", received, sent)
			}
		}
	})
}

func TestRecorder_KeepsLatestEvents(t *testing.T) {
	recorder := timeline.NewRecorder("entry-1", 3)
	for attempt := range 5 {
		recorder.Record(timeline.Event{Kind: timeline.AttemptStarted, Request: "r", Position: attempt})
	}
	events := recorder.Events(timeline.Filter{Request: "r"})
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].Position, 2)
	assert.Equal(t, events[2].Position, 4)
	assert.Equal(t, len(recorder.Events(timeline.Filter{Request: "other"})), 0)
}

func TestFilter_QueryRoundTrip(t *testing.T) {
	filter := timeline.Filter{Request: "r", Target: "t", Revision: 7, Since: time.UnixMilli(1_700_000_000_000).UTC()}
	parsed, err := timeline.ParseFilter(filter.Query())
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, filter)
	_, err = timeline.ParseFilter(url.Values{"revision": {"x"}})
	assert.ErrorContains(t, err, "revision:")
}

func TestMergedEvents_WrittenAsTextAndTrace(t *testing.T) {
	entry := timeline.NewRecorder("entry-1", 8)
	agent := timeline.NewRecorder("agent-1", 8)
	sent := entry.Record(timeline.Event{Kind: timeline.AttemptStarted, Request: "r", Attempt: 1, Target: "t-1"})
	agent.Observe(sent)
	agent.Record(timeline.Event{Kind: timeline.AttemptBegan, Request: "r", Attempt: 1, Target: "t-1"})
	entry.Record(timeline.Event{Kind: timeline.AttemptEnded, Request: "r", Attempt: 1, Target: "t-1"})
	events := timeline.Merge(agent.Events(timeline.Filter{}), entry.Events(timeline.Filter{}))
	assert.Equal(t, events[0].Kind, timeline.AttemptStarted)
	assert.Equal(t, events[1].Kind, timeline.AttemptBegan)

	var text, trace bytes.Buffer
	assert.NilError(t, timeline.WriteText(&text, events))
	assert.Equal(t, strings.Count(text.String(), "\n"), 3)
	assert.NilError(t, timeline.WriteTrace(&trace, events))
	var file struct {
		TraceEvents []json.RawMessage `json:"traceEvents"`
	}
	assert.NilError(t, json.Unmarshal(trace.Bytes(), &file))
	assert.Equal(t, len(file.TraceEvents), 2+3+1)
}
