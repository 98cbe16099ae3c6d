package entry

import (
	"context"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/order"
	"github.com/mulberrylane/mulberrylane/process/ordercontrol"
	"github.com/mulberrylane/mulberrylane/request"
)

// orderFleet reaches the targets of the entry's links. It implements ordercontrol.Fleet.
type orderFleet struct{ entry *Entry }

// giveOrders competes for the leases of orders, and gives orders where it holds
// one, until ctx ends. The entries that watch the store compete.
func (e *Entry) giveOrders(ctx context.Context) {
	ordercontrol.New(e.settings.Name, e.store, e.revisions, orderFleet{e}, e.spreader.WatchesStore).Run(ctx)
}

// Targets implements ordercontrol.Fleet.
func (f orderFleet) Targets(service string) []order.Target {
	c := f.entry.control
	reply := make(chan []order.Target, 1)
	c.do(context.Background(), func() {
		var list []order.Target
		for _, target := range c.table.Targets() {
			if target.Service != service {
				continue
			}
			list = append(list, order.Target{
				ID: target.ID, Up: target.Up, Draining: target.Draining,
				Models: target.Models, InUse: target.InUse, Role: target.Role,
			})
		}
		reply <- list
	})
	select {
	case list := <-reply:
		return list
	case <-c.done:
		return nil
	}
}

// Execute implements ordercontrol.Fleet.
func (f orderFleet) Execute(ctx context.Context, service string, target request.TargetID, given outside.Order) error {
	l := f.entry.peers.link(target)
	if l == nil {
		return fault.New(fault.TargetLost, "there is no link to %s", target)
	}
	stream, err := l.Open(ctx)
	if err != nil {
		return fault.Wrap(fault.TargetLost, err, "order")
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	ask := wire.Order{Service: service, Kind: given.Kind, Model: given.Model, Role: given.Role, FencingToken: given.FencingToken}
	if err := stream.Write(wire.ClientFrame{Order: &ask}); err != nil {
		return fault.Wrap(fault.TargetLost, err, "order")
	}
	var frame wire.ServerFrame
	if err := stream.Read(&frame); err != nil {
		return fault.Wrap(fault.TargetLost, err, "order")
	}
	if frame.OrderReply == nil {
		return fault.New(fault.TargetLost, "the agent does not know orders")
	}
	if frame.OrderReply.Kind != fault.None {
		return fault.New(frame.OrderReply.Kind, "%s", frame.OrderReply.Message)
	}
	return nil
}
