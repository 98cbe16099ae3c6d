package wire

import "github.com/mulberrylane/mulberrylane/request"

// DirectoryRequest updates or queries an agent's part of the soft directory, which
// maps idempotency keys to the locations of their requests. Exactly one field is set.
type DirectoryRequest struct {
	// Put stores a location. It has no reply.
	Put *Location `cbor:"1,keyasint,omitempty"`
	// Lookup queries a location. LookupReply is the reply.
	Lookup *Lookup `cbor:"2,keyasint,omitempty"`
}

// Location is the place where the request of an idempotency key runs.
type Location struct {
	Workspace   string              `cbor:"1,keyasint"`
	Service     string              `cbor:"2,keyasint"`
	Key         string              `cbor:"3,keyasint"`
	Request     request.ID          `cbor:"4,keyasint"`
	Target      request.TargetID    `cbor:"5,keyasint"`
	Incarnation request.Incarnation `cbor:"6,keyasint,omitempty"`
	// Epoch is the epoch of the attachment that started the attempt.
	Epoch uint64 `cbor:"7,keyasint"`
	// Attempt orders locations of the same epoch.
	Attempt request.AttemptNumber `cbor:"8,keyasint"`
	// BodyDigest identifies the body of the request that was submitted with the key.
	BodyDigest string `cbor:"9,keyasint"`
}

// Lookup asks for the location of a key.
type Lookup struct {
	Workspace string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"`
}

// LookupReply is the reply to Lookup. Location is nil if the agent knows none.
type LookupReply struct {
	Location *Location `cbor:"1,keyasint,omitempty"`
}
