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

// orderTargets sends orders to the targets that the entry has links to. It implements
// ordercontrol.TargetSet.
type orderTargets struct{ entry *Entry }

// runOrdersController runs the orders controller until ctx ends: it competes for the
// lease of each service and sends orders for those whose lease it holds. Only entries
// that watch the store compete.
func (e *Entry) runOrdersController(ctx context.Context) {
	ordercontrol.New(e.settings.Name, e.store, e.revisions, orderTargets{e}, e.gossiper.WatchesStore).Run(ctx)
}

// Targets implements ordercontrol.TargetSet.
func (t orderTargets) Targets(service string) []order.Target {
	c := t.entry.control
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

// Execute implements ordercontrol.TargetSet.
func (t orderTargets) Execute(ctx context.Context, service string, target request.TargetID, engineOrder outside.Order) error {
	l := t.entry.peers.link(target)
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
	message := wire.Order{Service: service, Kind: engineOrder.Kind, Model: engineOrder.Model, Role: engineOrder.Role, FencingToken: engineOrder.FencingToken}
	if err := stream.Write(wire.ClientFrame{Order: &message}); err != nil {
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
