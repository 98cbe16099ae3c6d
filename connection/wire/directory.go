package wire

import "github.com/mulberrylane/mulberrylane/request"

// Directory asks an agent for its part of the soft directory, which says where
// the request of an idempotency key runs. Exactly one field is set.
type Directory struct {
	// Put stores a place. It has no reply.
	Put *Place `cbor:"1,keyasint,omitempty"`
	// Find is answered by Found.
	Find *Find `cbor:"2,keyasint,omitempty"`
}

// Place says where the request of an idempotency key runs.
type Place struct {
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

// Find asks for the place of a key.
type Find struct {
	Workspace string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"`
}

// Found answers Find; Place is nil when the agent knows none.
type Found struct {
	Place *Place `cbor:"1,keyasint,omitempty"`
}
