// Package order plans orders to engines. It compares the models and roles that the
// configuration declares with the state of the targets and plans the orders that
// are missing. It plans repeatedly, so that an order that was lost or refused, or
// whose effect was undone, is sent again.
//
// The package does no I/O, starts no goroutines, and receives the current time from
// its caller.
package order

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// UnloadDelay is how long a model that is no longer declared must be unused at
	// all targets before it is unloaded. A generation that lost its target uses no
	// model until it is resumed, and must still find its version loaded then.
	UnloadDelay = time.Minute
	// retryDelay is the delay before a target gets another order after one whose
	// outcome is unknown.
	retryDelay = 10 * time.Second
)

// Desired is the declared state of the targets of one service.
type Desired struct {
	// Models lists the models to load; the first is the version for new generations.
	Models []string
	// Role is the role of the targets; if empty, roles are left unchanged.
	Role string
	// MinReplicas is how many targets must stay in service while others execute orders.
	MinReplicas int
	// LoadsPerMinute limits the rate of loads to what the weight store can serve.
	LoadsPerMinute float64
}

// DesiredOf returns the desired state that a service declares; ok is false if its
// targets get no orders.
func DesiredOf(service version.Service) (desired Desired, ok bool) {
	model := service.Model
	if model == nil || model.LoadsPerMinute <= 0 {
		return Desired{}, false
	}
	models := append([]string{model.Version}, model.Preload...)
	return Desired{
		Models:         append(models, model.Adapters...),
		Role:           model.Role,
		MinReplicas:    model.MinReplicas,
		LoadsPerMinute: model.LoadsPerMinute,
	}, true
}

// Target is the observed state of one target.
type Target struct {
	ID request.TargetID
	// Up means that the target is linked, trusted and has reported its state;
	// Draining means that it takes no new work.
	Up, Draining bool
	// Models lists the loaded models.
	Models []string
	// InUse lists the models that running generations use but the configuration no
	// longer declares.
	InUse []string
	Role  string
}

// Assignment is an order for one target.
type Assignment struct {
	Target request.TargetID
	Order  outside.Order
}

// FailedOrder is an order that failed and is not retried until the declaration
// changes.
type FailedOrder struct {
	Target request.TargetID `json:"target"`
	Order  outside.Order    `json:"order"`
	Reason string           `json:"reason"`
}

// orderKey identifies an order to a target; the fencing token of the order is zero.
type orderKey struct {
	target request.TargetID
	order  outside.Order
}

// Planner plans the orders of one service.
type Planner struct {
	fencingToken outside.FencingToken
	desired      Desired
	// busy maps a target to when it may get its next order; the zero time means
	// once the current order has finished.
	busy   map[request.TargetID]time.Time
	failed map[orderKey]string
	// unusedSince maps a loaded but undeclared model to when it was first seen unused.
	unusedSince map[string]time.Time
	nextLoad    time.Time
}

// NewPlanner returns a planner whose orders carry fencingToken.
func NewPlanner(fencingToken outside.FencingToken) *Planner {
	return &Planner{
		fencingToken: fencingToken, busy: map[request.TargetID]time.Time{},
		failed: map[orderKey]string{}, unusedSince: map[string]time.Time{},
	}
}

// SetDesired sets the declared state. If it differs from the previous one, failed
// orders may be retried.
func (p *Planner) SetDesired(desired Desired) {
	if reflect.DeepEqual(p.desired, desired) {
		return
	}
	p.desired = desired
	clear(p.failed)
}

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time, targets []Target) []Assignment {
	p.recordUse(now, targets)
	serving := 0
	versionReplicas := 0
	for _, target := range targets {
		if p.isServing(now, target) {
			serving++
		}
		if target.Up && !target.Draining && slices.Contains(target.Models, p.desired.Models[0]) {
			versionReplicas++
		}
	}
	var plan []Assignment
	for _, target := range targets {
		if !target.Up || target.Draining || p.isBusy(now, target.ID) {
			continue
		}
		canLeaveService := !p.isServing(now, target) || serving > p.desired.MinReplicas
		order, ok := p.nextOrder(now, target, canLeaveService, versionReplicas)
		if !ok {
			continue
		}
		if p.isServing(now, target) && order.Kind != outside.OrderUnload {
			serving--
		}
		p.busy[target.ID] = time.Time{}
		order.FencingToken = p.fencingToken
		plan = append(plan, Assignment{Target: target.ID, Order: order})
	}
	return plan
}

// isServing reports whether the target counts as a replica in service.
func (p *Planner) isServing(now time.Time, target Target) bool {
	return target.Up && !target.Draining && len(target.Models) > 0 && !p.isBusy(now, target.ID)
}

func (p *Planner) isBusy(now time.Time, target request.TargetID) bool {
	until, busy := p.busy[target]
	if busy && !until.IsZero() && !now.Before(until) {
		delete(p.busy, target)
		return false
	}
	return busy
}

// nextOrder returns the next order for one target, if one is due. versionReplicas is how
// many targets have the version for new generations loaded; nothing is unloaded while they
// are too few.
func (p *Planner) nextOrder(now time.Time, target Target, canLeaveService bool, versionReplicas int) (outside.Order, bool) {
	missing := false
	for _, model := range p.desired.Models {
		if slices.Contains(target.Models, model) {
			continue
		}
		missing = true
		order := outside.Order{Kind: outside.OrderLoad, Model: model}
		if p.hasFailed(target.ID, order) || !canLeaveService || now.Before(p.nextLoad) {
			continue
		}
		p.nextLoad = now.Add(time.Duration(float64(time.Minute) / p.desired.LoadsPerMinute))
		return order, true
	}
	role := outside.Order{Kind: outside.OrderRole, Role: p.desired.Role}
	if role.Role != "" && target.Role != role.Role && canLeaveService && !p.hasFailed(target.ID, role) {
		return role, true
	}
	if missing || versionReplicas < max(1, p.desired.MinReplicas) {
		return outside.Order{}, false
	}
	return p.nextUnload(now, target)
}

// nextUnload returns an order to unload a model that is neither declared nor used.
func (p *Planner) nextUnload(now time.Time, target Target) (outside.Order, bool) {
	for _, model := range target.Models {
		since, unused := p.unusedSince[model]
		if !unused || now.Sub(since) < UnloadDelay {
			continue
		}
		order := outside.Order{Kind: outside.OrderUnload, Model: model}
		if !p.hasFailed(target.ID, order) {
			return order, true
		}
	}
	return outside.Order{}, false
}

// recordUse updates, for each undeclared model, since when no target has used it.
func (p *Planner) recordUse(now time.Time, targets []Target) {
	loaded := map[string]bool{}
	used := map[string]bool{}
	for _, target := range targets {
		for _, model := range target.Models {
			loaded[model] = true
		}
		for _, model := range target.InUse {
			used[model] = true
		}
	}
	for model := range loaded {
		if slices.Contains(p.desired.Models, model) || used[model] {
			delete(p.unusedSince, model)
			continue
		}
		if _, known := p.unusedSince[model]; !known {
			p.unusedSince[model] = now
		}
	}
	maps.DeleteFunc(p.unusedSince, func(model string, _ time.Time) bool { return !loaded[model] })
}

func (p *Planner) hasFailed(target request.TargetID, order outside.Order) bool {
	_, failed := p.failed[orderKey{target, order}]
	return failed
}

// RecordResult records the result of an order. An order that failed is not retried
// until the declaration changes. After one that was not sent or whose outcome is
// unknown, the target gets orders again after retryDelay, according to its observed
// state then.
func (p *Planner) RecordResult(now time.Time, done Assignment, err error) {
	switch fault.KindOf(err) {
	case fault.None:
		delete(p.busy, done.Target)
	case fault.TargetLost, fault.StoreUnavailable, fault.Draining, fault.DeadlineExceeded, fault.CallerGone, fault.NoTarget:
		p.busy[done.Target] = now.Add(retryDelay)
	default:
		delete(p.busy, done.Target)
		order := done.Order
		order.FencingToken = 0
		p.failed[orderKey{done.Target, order}] = err.Error()
	}
}

// FailedOrders returns the orders that failed, sorted by target.
func (p *Planner) FailedOrders() []FailedOrder {
	list := make([]FailedOrder, 0, len(p.failed))
	for key, reason := range p.failed {
		list = append(list, FailedOrder{Target: key.target, Order: key.order, Reason: reason})
	}
	slices.SortFunc(list, func(a, b FailedOrder) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Order.Kind, b.Order.Kind), cmp.Compare(a.Order.Model, b.Order.Model))
	})
	return list
}
