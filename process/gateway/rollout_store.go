package gateway

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

func isConflict(err error) bool { return errors.Is(err, platform.ErrConflict) }

// applyRollout applies an item of a roll-out; others are ignored.
func (w *storeWatcher) applyRollout(item platform.Item) {
	if service, ok := strings.CutPrefix(item.Key, platform.RolloutOrderPrefix); ok {
		w.applyRolloutOrder(service, item)
	} else if service, ok := strings.CutPrefix(item.Key, platform.RolloutStatusPrefix); ok {
		w.applyRolloutStatus(service, item)
	} else if service, ok := strings.CutPrefix(item.Key, platform.RolloutRecordPrefix); ok {
		w.applyRolloutRecord(service, item)
	}
}

func (w *storeWatcher) applyRolloutOrder(service string, item platform.Item) {
	g := w.gateway
	var order platform.RolloutOrder
	if !item.Removed {
		var err error
		if order, err = platform.DecodeRolloutOrder(item); err != nil {
			g.log.Event("rollout_order_unreadable", "key", item.Key, "revision", item.Revision, "error", err.Error())
			g.control.do(func() { g.control.rollouts.RemoveOrder(time.Now(), service, item.Position()) })
			return
		}
	}
	listed := !w.synced
	g.control.do(func() {
		c, now := g.control, time.Now()
		if item.Removed {
			c.rollouts.RemoveOrder(now, service, storesync.Position{Era: item.Era})
			return
		}
		c.rollouts.ApplyOrder(now, rollout.Order{
			Service: service, Version: order.Version, Duration: order.Duration, Revision: item.Revision, Era: item.Era, Listed: listed,
		}, c.table.Versions(service))
	})
	if item.Removed {
		g.log.Event("rollout_order_removed", "service", service, "revision", item.Revision)
		return
	}
	g.log.Event("rollout_ordered", "service", service, "version", order.Version, "limit", order.Duration, "revision", item.Revision)
}

func (w *storeWatcher) applyRolloutStatus(service string, item platform.Item) {
	g := w.gateway
	status := rollout.Status{}
	if !item.Removed {
		wire, err := platform.DecodeRolloutStatus(item)
		if err != nil {
			// The revision is still the condition of the next transaction.
			g.log.Event("rollout_status_unreadable", "key", item.Key, "error", err.Error())
		}
		for state, name := range rolloutStates {
			if name == wire.State {
				status = rollout.Status{State: state, Target: wire.Target}
			}
		}
	}
	g.control.do(func() {
		if item.Removed {
			g.control.rollouts.RemoveStatus(service)
			return
		}
		g.control.rollouts.ApplyStatus(service, status, item.Position())
	})
}

func (w *storeWatcher) applyRolloutRecord(service string, item platform.Item) {
	g := w.gateway
	if item.Removed {
		g.control.do(func() { g.control.rollouts.RemoveRecord(service, item.Position(), false) })
		return
	}
	record, err := rollout.DecodeRecord(item.Value)
	if err != nil {
		g.log.Event("rollout_record_unreadable", "key", item.Key, "error", err.Error())
		g.control.do(func() { g.control.rollouts.RemoveRecord(service, item.Position(), true) })
		return
	}
	g.control.do(func() {
		now := time.Now()
		g.control.rollouts.ApplyRecord(now, service, record, item.Position())
		g.control.logRollouts(now)
	})
}

// removeRollouts forgets what the store does not list any more at the given position.
func (c *control) removeRollouts(items []platform.Item, position storesync.Position) {
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
	}
	missing := func(key string) bool { _, ok := listed[key]; return !ok }
	for _, service := range c.rollouts.Names() {
		if missing(platform.RolloutOrderPrefix + service) {
			c.rollouts.RemoveOrder(time.Now(), service, storesync.Position{Era: position.Era})
		}
		if missing(platform.RolloutRecordPrefix + service) {
			c.rollouts.RemoveRecord(service, position, false)
		}
		if missing(platform.RolloutStatusPrefix + service) {
			c.rollouts.RemoveStatus(service)
		}
	}
}
