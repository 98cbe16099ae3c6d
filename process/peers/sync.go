package peers

import "github.com/mulberrylane/mulberrylane/process/storesync"

// SyncQuestion asks another entry for the changes of the store.
type SyncQuestion struct {
	// ID is repeated in the answer.
	ID uint64 `cbor:"1,keyasint"`
	// Revision is the revision up to which the sender knows all changes.
	Revision int64 `cbor:"2,keyasint"`
}

// SyncAnswer answers a SyncQuestion. Without an ID it only announces that there are changes
// up to its revision.
type SyncAnswer struct {
	ID               uint64 `cbor:"1,keyasint,omitempty"`
	storesync.Answer `cbor:"2,keyasint"`
}
