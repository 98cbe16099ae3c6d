package order

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// FenceChecker is what an agent checks before it passes an order on. Its floor is the
// highest fencing number that it knows of; after a restart it knows none, and
// learns it from the store with the first order.
//
// Invariant: the floor never goes down.
type FenceChecker struct{ floor outside.FencingToken }

// Floor returns the highest fencing number known, zero when none is.
func (g *FenceChecker) Floor() outside.FencingToken { return g.floor }

// RejectStale returns an error of kind Fenced when the order is known to be old
// without asking the store.
func (g *FenceChecker) RejectStale(order outside.Order) error {
	if order.FencingToken < g.floor {
		return fault.New(fault.Fenced, "the order carries number %d, below %d", order.FencingToken, g.floor)
	}
	return nil
}

// CheckHolder decides on an order after the lease key was read: holder is the key's
// number, zero when nobody holds it. Only the holder's order may pass.
func (g *FenceChecker) CheckHolder(order outside.Order, holder outside.FencingToken) error {
	g.floor = max(g.floor, holder)
	if holder == 0 {
		return fault.New(fault.Fenced, "the order carries number %d, and nobody holds the lease", order.FencingToken)
	}
	if order.FencingToken != g.floor {
		return fault.New(fault.Fenced, "the order carries number %d, and %d holds the lease", order.FencingToken, g.floor)
	}
	return nil
}
