package peers

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/request"
)

// FuzzUpdate checks that no datagram takes the process down when it is decoded and merged.
func FuzzUpdate(f *testing.F) {
	seed, err := cbor.Marshal(Update{Entry: "e", Full: true, Work: map[request.TargetID][3]int{"t": {1, 2, 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xbf, 0xff})
	extreme, err := cbor.Marshal(Update{
		Entry: strings.Repeat("e", 1<<10), Work: map[request.TargetID][3]int{"": {math.MinInt, math.MaxInt, -1}},
		FailureRates: map[request.TargetID]int{"t": math.MinInt}, LinkMbps: math.Inf(1), Sequence: math.MaxUint64,
		Answer: &SyncAnswer{Answer: storesync.Answer{Revision: math.MinInt64, Changes: []storesync.Change{{Key: "servers/x", Value: make([]byte, 1<<14)}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(extreme)
	// Arrays within arrays, and a map that announces more entries than it has.
	f.Add(bytes.Repeat([]byte{0x81}, 20000))
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var update Update
		if cbor.Unmarshal(data, &update) != nil {
			return
		}
		table := placement.NewTable()
		merged := Merge(Update{}, update)
		table.UpdatePeer(time.Unix(1000, 0), merged.Entry, merged.PeerState())
		table.RemovePeer(merged.Entry)
	})
}
