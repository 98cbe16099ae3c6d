package wire

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// Call asks an agent to pass a call on to its application target.
type Call struct {
	Request request.ID       `cbor:"1,keyasint"`
	Body    request.CallBody `cbor:"2,keyasint"`
	// Nonce names the reservation; it is zero for an idempotent call, which
	// needs none.
	Nonce request.Nonce `cbor:"3,keyasint"`
	// Incarnation is the life of the agent that the reservation names.
	Incarnation request.Incarnation `cbor:"4,keyasint,omitempty"`
	// Deadline bounds an idempotent call, in Unix milliseconds.
	Deadline int64 `cbor:"5,keyasint,omitempty"`
	// MaxReplyBytes bounds the body of the reply.
	MaxReplyBytes int64 `cbor:"6,keyasint,omitempty"`
}

// Seal asks an agent never to pass a reservation on, unless it did already.
type Seal struct {
	Nonce       request.Nonce       `cbor:"1,keyasint"`
	Incarnation request.Incarnation `cbor:"2,keyasint"`
}

// CallReply answers Call and Seal.
type CallReply struct {
	// Request and Nonce repeat those of the Call; a Seal has only a nonce.
	Request request.ID    `cbor:"1,keyasint,omitempty"`
	Nonce   request.Nonce `cbor:"2,keyasint"`
	// State is what the gate promises of the reservation.
	State request.GateState `cbor:"3,keyasint"`
	// Reply is what the target answered, when it is known.
	Reply *request.CallReply `cbor:"4,keyasint,omitempty"`
	// Kind and Message say why there is no reply.
	Kind    fault.Kind `cbor:"5,keyasint,omitempty"`
	Message string     `cbor:"6,keyasint,omitempty"`
}
