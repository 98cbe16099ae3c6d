package order

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Gate is what an agent checks before it passes an order on. Its floor is the
// highest fencing number that it knows of; after a restart it knows none, and
// learns it from the store with the first order.
//
// Invariant: the floor never goes down.
type Gate struct{ floor outside.Fence }

// Floor returns the highest fencing number known, zero when none is.
func (g *Gate) Floor() outside.Fence { return g.floor }

// Refuse returns an error of kind Fenced when the order is known to be old
// without asking the store.
func (g *Gate) Refuse(order outside.Order) error {
	if order.Fence < g.floor {
		return fault.New(fault.Fenced, "the order carries number %d, below %d", order.Fence, g.floor)
	}
	return nil
}

// Admit decides on an order after the lease key was read: holder is the key's
// number, zero when nobody holds it. Only the holder's order may pass.
func (g *Gate) Admit(order outside.Order, holder outside.Fence) error {
	g.floor = max(g.floor, holder)
	if holder == 0 {
		return fault.New(fault.Fenced, "the order carries number %d, and nobody holds the lease", order.Fence)
	}
	if order.Fence != g.floor {
		return fault.New(fault.Fenced, "the order carries number %d, and %d holds the lease", order.Fence, g.floor)
	}
	return nil
}
