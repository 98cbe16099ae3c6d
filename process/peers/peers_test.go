package peers

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
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

// The return of a failure domain with a third of the targets is sent to all entries of a relay.
// Guards against a relay whose bytes grow with the square of the fleet.
func TestSyncAnswers_BytesOfBusiestRelay(t *testing.T) {
	value := []byte(`{"Service":"writer-service","Address":"10.100.100.100:8080","Zone":"naxos","Slots":128,"State":"ready","WarmupLeftMs":0,"Sequence":1,"born":1700000000000}`)
	bytes := func(changes int) int {
		answer := &SyncAnswer{ID: 1}
		for i := range changes {
			answer.Changes = append(answer.Changes, storesync.Change{Key: "servers/i-0123456789", Value: value, Revision: int64(100_000 + i)})
		}
		data, err := cbor.Marshal(Update{Entry: "edge-naxos-1", Partial: true, Answer: answer})
		assert.NilError(t, err)
		return len(data) + datagramOverhead
	}
	busiest := map[int]int{}
	for _, hosts := range []int{30, 100, 300} {
		domains := map[string][]string{}
		for i := range hosts {
			domain := []string{"naxos", "paros", "syros"}[i%3]
			domains[domain] = append(domains[domain], fmt.Sprintf("edge-%s-%d", domain, i))
		}
		for domain, entries := range domains {
			for _, self := range entries {
				v := storesync.NewView(self, domain, domains, nil)
				// The targets return within 40 s, ten for each host.
				busiest[hosts] = max(busiest[hosts], len(v.Downstream())*bytes(hosts*10/3)/40)
			}
		}
		t.Logf("%d hosts: the busiest entry sends %d kB a second of changes, %d kB with one relay for each failure domain", hosts, busiest[hosts]/1000, (hosts/3+1)*bytes(hosts*10/3)/40/1000)
	}
	assert.Assert(t, busiest[300] < 7*busiest[100], "the bytes of a relay grow faster than changes and a constant number of entries")
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
