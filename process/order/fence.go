package order

import (
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// FenceChecker checks the fencing token of each order before an agent forwards the
// order to its engine. It keeps the highest token seen. After a restart none is
// known, until the first order makes the agent read the lease key from the store.
//
// Invariant: the highest token never decreases.
type FenceChecker struct{ highest outside.FencingToken }

// HighestToken returns the highest fencing token known, or zero if none is known.
func (c *FenceChecker) HighestToken() outside.FencingToken { return c.highest }

// RejectStale returns an error of kind Fenced if the order is known to be stale
// without reading the store.
func (c *FenceChecker) RejectStale(order outside.Order) error {
	if order.FencingToken < c.highest {
		return fault.New(fault.Fenced, "the order carries number %d, below %d", order.FencingToken, c.highest)
	}
	return nil
}

// CheckHolder returns an error of kind Fenced unless the order comes from the lease
// holder. leaseToken is the fencing token read from the lease key, zero if nobody
// holds the lease.
func (c *FenceChecker) CheckHolder(order outside.Order, leaseToken outside.FencingToken) error {
	c.highest = max(c.highest, leaseToken)
	if leaseToken == 0 {
		return fault.New(fault.Fenced, "the order carries number %d, and nobody holds the lease", order.FencingToken)
	}
	if order.FencingToken != c.highest {
		return fault.New(fault.Fenced, "the order carries number %d, and %d holds the lease", order.FencingToken, c.highest)
	}
	return nil
}
