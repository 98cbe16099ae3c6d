package wire

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// Call asks an agent to forward a call to its application target.
type Call struct {
	Request request.ID       `cbor:"1,keyasint"`
	Body    request.CallBody `cbor:"2,keyasint"`
	// Nonce identifies the reservation. It is zero for an idempotent call, which
	// needs no reservation.
	Nonce request.Nonce `cbor:"3,keyasint"`
	// Incarnation is the incarnation of the agent for which the reservation was made.
	Incarnation request.Incarnation `cbor:"4,keyasint,omitempty"`
	// Deadline is the deadline of an idempotent call, in Unix milliseconds.
	Deadline int64 `cbor:"5,keyasint,omitempty"`
	// MaxReplyBytes limits the size of the reply's body.
	MaxReplyBytes int64 `cbor:"6,keyasint,omitempty"`
}

// Seal asks an agent to seal a reservation: to never forward its call, unless the
// call was already forwarded.
type Seal struct {
	Nonce       request.Nonce       `cbor:"1,keyasint"`
	Incarnation request.Incarnation `cbor:"2,keyasint"`
}

// CallReply is the reply to Call and Seal.
type CallReply struct {
	// Request and Nonce are copied from the Call; a Seal has only a nonce.
	Request request.ID    `cbor:"1,keyasint,omitempty"`
	Nonce   request.Nonce `cbor:"2,keyasint"`
	// State is what the agent's gate guarantees about the reservation.
	State request.GateState `cbor:"3,keyasint"`
	// Reply is the target's reply, if it is known.
	Reply *request.CallReply `cbor:"4,keyasint,omitempty"`
	// Kind and Message give the reason when there is no reply.
	Kind    fault.Kind `cbor:"5,keyasint,omitempty"`
	Message string     `cbor:"6,keyasint,omitempty"`
}
