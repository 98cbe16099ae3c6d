package peers

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/request"
)

func listen(t *testing.T) *Conn {
	t.Helper()
	conn, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, conn.Close()) })
	return conn
}

func exchange(t *testing.T, from, to *Conn, update Update) Update {
	t.Helper()
	_, err := from.Send(update, []string{to.Address()})
	assert.NilError(t, err)
	received, _, err := to.Receive()
	assert.NilError(t, err)
	return received
}

// Entries receive hundreds of small updates a second in a large fleet.
func TestReceive_AllocatesLittleForSmallUpdates(t *testing.T) {
	const updates = 200
	from, to := listen(t), listen(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range uint64(updates) {
		exchange(t, from, to, Update{Entry: "entry-1", Incarnation: 1, Sequence: i + 1, Ready: true})
	}
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) / updates
	assert.Assert(t, allocated < maxDatagram/4, "%d bytes an update", allocated)
}

func TestReceive_LaterUpdatesLeaveEarlierOnesAlone(t *testing.T) {
	from, to := listen(t), listen(t)
	want := Update{
		Entry: "entry-1", Incarnation: 1, Sequence: 1, Down: []request.TargetID{"writer-1"},
		Usage: map[string][2]int{"writer": {3, 1}}, Runs: map[kvcopies.Number]kvcopies.Run{1: {ID: "r1", Copy: kvcopies.Copy{RequestID: "r1", Handle: "copy-1"}}},
		Answer: &SyncAnswer{Answer: storesync.Answer{Changes: []storesync.Change{{Key: "key", Value: []byte("value")}}}},
	}
	received := exchange(t, from, to, want)
	exchange(t, from, to, Update{
		Entry: "entry-2", Incarnation: 9, Sequence: 9, Down: []request.TargetID{"xxxxxxxx"},
		Usage: map[string][2]int{"xxxxxx": {9, 9}}, Runs: map[kvcopies.Number]kvcopies.Run{2: {ID: "xx", Copy: kvcopies.Copy{RequestID: "xx", Handle: "xxxxxx"}}},
		Answer: &SyncAnswer{Answer: storesync.Answer{Changes: []storesync.Change{{Key: "xxx", Value: []byte("xxxxx")}}}},
	})
	assert.DeepEqual(t, received, want)
}
