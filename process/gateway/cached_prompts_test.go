package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
)

// All entries crash at once, and their callers reconnect to new ones that have no
// state.
func TestCachedPrompts_NewEntryUsesEnginesThatCacheThem(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	first := d.startReadyEntry("entry-1")
	var sessions []string
	for range 6 {
		req := streamRequest()
		d.openStream(context.Background(), first, req).expectRest(t, req.AttemptID, 0)
		sessions = append(sessions, req.AttemptID)
	}
	d.startEngine("e2", "paros")
	d.startEngine("e3", "syros")
	d.store.Delete(platform.EntryPrefix + "entry-1")
	second := d.startReadyEntry("entry-2")
	d.waitUntil(func() bool {
		found := 0
		second.control.do(func() {
			for _, session := range sessions {
				if second.control.promptIndex.Find(time.Now(), session).Target == "e1" {
					found++
				}
			}
		})
		return found == len(sessions)
	})
	for _, session := range sessions {
		retry := streamRequest()
		retry.PromptID = session
		d.openStream(context.Background(), second, retry).expectRest(t, retry.AttemptID, 0)
		assert.Equal(t, d.fleet.ExecutionLog.Executions(retry.AttemptID)[0].Target, "e1")
	}
}
