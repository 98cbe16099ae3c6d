package wire

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Order asks an agent to have its engine execute an order.
type Order struct {
	Service      string               `cbor:"1,keyasint"`
	Kind         outside.OrderKind    `cbor:"2,keyasint"`
	Model        string               `cbor:"3,keyasint,omitempty"`
	Role         string               `cbor:"4,keyasint,omitempty"`
	FencingToken outside.FencingToken `cbor:"5,keyasint"`
}

// OrderReply is the outcome of an order. Kind is fault.None if the order was executed.
type OrderReply struct {
	Kind    fault.Kind `cbor:"1,keyasint,omitempty"`
	Message string     `cbor:"2,keyasint,omitempty"`
}
