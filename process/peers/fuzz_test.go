package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrylane/mulberrylane/process/placement"
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
