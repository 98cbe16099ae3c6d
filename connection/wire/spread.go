package wire

// Spread is the part of a control frame by which revisions spread, besides
// Revision, Document and WantDocument.
type Spread struct {
	// ConfirmedAgeMillis is how long ago the sender's revision was known to be
	// the newest, plus one; zero means never.
	ConfirmedAgeMillis int64 `cbor:"1,keyasint,omitempty"`
	// StoreFails says that the sender asks the store and gets no answer.
	StoreFails bool `cbor:"2,keyasint,omitempty"`
	// Entries lists the entries that have a link to the sending agent.
	Entries []EntryPresence `cbor:"3,keyasint,omitempty"`
}

// EntryPresence tells of an entry.
type EntryPresence struct {
	Process    string `cbor:"1,keyasint"`
	Revision   int64  `cbor:"2,keyasint"`
	StoreFails bool   `cbor:"3,keyasint,omitempty"`
}
