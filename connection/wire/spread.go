package wire

// Gossip is the part of a control frame by which revisions spread, besides
// Revision, Document and WantDocument.
type Gossip struct {
	// ConfirmedAgeMillis is how long ago the sender's revision was known to be
	// the newest, plus one; zero means never.
	ConfirmedAgeMillis int64 `cbor:"1,keyasint,omitempty"`
	// StoreUnavailable says that the sender asks the store and gets no answer.
	StoreUnavailable bool `cbor:"2,keyasint,omitempty"`
	// Entries lists the entries that have a link to the sending agent.
	Entries []EntryStatus `cbor:"3,keyasint,omitempty"`
}

// EntryStatus tells of an entry.
type EntryStatus struct {
	Process          string `cbor:"1,keyasint"`
	Revision         int64  `cbor:"2,keyasint"`
	StoreUnavailable bool   `cbor:"3,keyasint,omitempty"`
}
