package wire

import "github.com/mulberrylane/mulberrylane/request"

// DirectoryRequest asks an agent for its part of the soft directory, which says where
// the request of an idempotency key runs. Exactly one field is set.
type DirectoryRequest struct {
	// Put stores a place. It has no reply.
	Put *Location `cbor:"1,keyasint,omitempty"`
	// Lookup is answered by Found.
	Lookup *Lookup `cbor:"2,keyasint,omitempty"`
}

// Location says where the request of an idempotency key runs.
type Location struct {
	Workspace   string              `cbor:"1,keyasint"`
	Service     string              `cbor:"2,keyasint"`
	Key         string              `cbor:"3,keyasint"`
	Request     request.ID          `cbor:"4,keyasint"`
	Target      request.TargetID    `cbor:"5,keyasint"`
	Incarnation request.Incarnation `cbor:"6,keyasint,omitempty"`
	// Epoch is that of the attachment that started the attempt.
	Epoch uint64 `cbor:"7,keyasint"`
	// Attempt orders places of one epoch.
	Attempt request.AttemptNumber `cbor:"8,keyasint"`
	// BodyDigest identifies the body that the key came with.
	BodyDigest string `cbor:"9,keyasint"`
}

// Lookup asks for the place of a key.
type Lookup struct {
	Workspace string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"`
}

// LookupReply answers Find; Place is nil when the agent knows none.
type LookupReply struct {
	Location *Location `cbor:"1,keyasint,omitempty"`
}
