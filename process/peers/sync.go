package peers

import (
	"time"

	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// SyncQuestion asks another entry for the changes of the store.
type SyncQuestion struct {
	// ID is repeated in the answer.
	ID uint64 `cbor:"1,keyasint"`
	// Revision and Era are the position up to which the sender knows all changes.
	Revision int64 `cbor:"2,keyasint"`
	Era      int64 `cbor:"3,keyasint,omitempty"`
	// LatestEra is set if the sender knows that the store is in a later era than that.
	LatestEra int64 `cbor:"4,keyasint,omitempty"`
	// Knowledge is what the sender knows beside the store, if the answer is to hold what the other
	// entry knows so.
	Knowledge *Knowledge `cbor:"5,keyasint,omitempty"`
	// Packed is set if the sender reads packed changes. Dictionary is the hash of a value that it has
	// and that the changes may replace.
	Packed     bool   `cbor:"6,keyasint,omitempty"`
	Dictionary uint64 `cbor:"7,keyasint,omitempty"`
}

// Position returns the position up to which the sender knows all changes.
func (q *SyncQuestion) Position() storesync.Position {
	return storesync.Position{Era: q.Era, Revision: q.Revision}
}

// SyncAnswer answers a SyncQuestion. Without an ID it only announces that there are changes
// up to its position.
type SyncAnswer struct {
	ID               uint64 `cbor:"1,keyasint,omitempty"`
	storesync.Answer `cbor:"2,keyasint"`
	Knowledge        *Knowledge `cbor:"3,keyasint,omitempty"`
	// Packed holds the changes in place of Changes, as PackChanges returns them. Dictionary is the hash of
	// the dictionary, zero for none.
	Packed     []byte `cbor:"4,keyasint,omitempty"`
	Dictionary uint64 `cbor:"5,keyasint,omitempty"`
	// TooLong means that the changes are known, and do not fit a datagram.
	TooLong bool `cbor:"6,keyasint,omitempty"`
}

// Knowledge is what an entry knows that the store may not hold any more, since it came back from an older
// copy.
type Knowledge struct {
	// Version is that of the entry's configuration. Document is the configuration, compressed, if the
	// asking entry has an earlier version.
	Version  int64  `cbor:"1,keyasint,omitempty"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	// EntriesReturn is how long entries may take to register again, if the store came back just now.
	EntriesReturn time.Duration `cbor:"4,keyasint,omitempty"`
	// PeersSilent is how long streams may go on at entries of which the sender hears nothing, and their
	// callers come back.
	PeersSilent time.Duration `cbor:"5,keyasint,omitempty"`
	// Targets holds what is known of targets against their registrations.
	Targets []registry.TargetKnowledge `cbor:"3,keyasint,omitempty"`
}
