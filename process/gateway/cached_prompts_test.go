package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
)

// All entries die at once. Their callers come back to new ones, which know nothing.
func TestCallersReturnToTheEnginesThatHoldTheirPrompts(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	first := s.entry("entry-1")
	var sessions []string
	for range 6 {
		a := report()
		s.open(context.Background(), first, a).events(t, a.AttemptID, 0)
		sessions = append(sessions, a.AttemptID)
	}
	s.engine("e2", "paros")
	s.engine("e3", "syros")
	s.store.Delete(platform.EntryPrefix + "entry-1")
	second := s.entry("entry-2")
	s.eventually(func() bool {
		located := 0
		second.control.do(func() {
			for _, session := range sessions {
				if second.control.promptIndex.Find(time.Now(), session).Target == "e1" {
					located++
				}
			}
		})
		return located == len(sessions)
	})
	for _, session := range sessions {
		again := report()
		again.PromptID = session
		s.open(context.Background(), second, again).events(t, again.AttemptID, 0)
		assert.Equal(t, s.fleet.ExecutionLog.Executions(again.AttemptID)[0].Target, "e1")
	}
}
