package wire

// Gossip is the part of a control frame that distributes configuration revisions,
// together with Revision, Document and WantDocument.
type Gossip struct {
	// ConfirmedAgeMillis is the time since the sender's revision was last confirmed
	// to be the newest, plus one. Zero means that it was never confirmed.
	ConfirmedAgeMillis int64 `cbor:"1,keyasint,omitempty"`
	// StoreUnavailable means that the sender queries the store and gets no response.
	StoreUnavailable bool `cbor:"2,keyasint,omitempty"`
	// Entries lists the entries that have a link to the sending agent.
	Entries []EntryStatus `cbor:"3,keyasint,omitempty"`
}

// EntryStatus is the state of an entry.
type EntryStatus struct {
	Process          string `cbor:"1,keyasint"`
	Revision         int64  `cbor:"2,keyasint"`
	StoreUnavailable bool   `cbor:"3,keyasint,omitempty"`
}
