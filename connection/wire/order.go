package wire

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Order passes an order to the engine beside an agent.
type Order struct {
	Service      string               `cbor:"1,keyasint"`
	Kind         outside.OrderKind    `cbor:"2,keyasint"`
	Model        string               `cbor:"3,keyasint,omitempty"`
	Role         string               `cbor:"4,keyasint,omitempty"`
	FencingToken outside.FencingToken `cbor:"5,keyasint"`
}

// OrderReply tells what became of an order; Kind is fault.None when it was carried out.
type OrderReply struct {
	Kind    fault.Kind `cbor:"1,keyasint,omitempty"`
	Message string     `cbor:"2,keyasint,omitempty"`
}
