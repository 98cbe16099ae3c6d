// Package order is the deciding core of orders to engines. It compares what the
// configuration declares with what the targets have loaded and orders the
// difference, again and again, so that an order which was lost, refused or undone
// is given anew.
//
// It does no I/O, has no goroutine, and is given the time.
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
	// UnloadAfter is how long a model that is no longer declared must be unused at
	// all targets before it is unloaded: a generation that lost its target runs
	// nowhere until it is resumed.
	UnloadAfter = time.Minute
	// retryAfter is the pause before an order whose outcome is not known is planned anew.
	retryAfter = 10 * time.Second
)

// Desired is what the targets of one service should be like.
type Desired struct {
	// Models lists what should be loaded; the first is the version of new generations.
	Models []string
	// Role is the role they should have; empty leaves it alone.
	Role string
	// MinReplicas is how many targets stay in service while others carry out orders.
	MinReplicas int
	// LoadsPerMinute paces loads to the rate of the weight store.
	LoadsPerMinute float64
}

// DesiredOf returns what a service declares; ok is false when its targets are
// given no orders.
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

// Target is what is known of one target.
type Target struct {
	ID request.TargetID
	// Up says that it is linked, trusted and has reported; Leaving that it takes no new work.
	Up, Draining bool
	// Models lists what is loaded.
	Models []string
	// InUse lists models of running generations that are no longer declared.
	InUse []string
	Role  string
}

// Assignment is an order for one target.
type Assignment struct {
	Target request.TargetID
	Order  outside.Order
}

// Held is an order that failed and is not given again until the declaration changes.
type Held struct {
	Target request.TargetID `json:"target"`
	Order  outside.Order    `json:"order"`
	Reason string           `json:"reason"`
}

// what names an order at a target, apart from its number.
type what struct {
	target request.TargetID
	order  outside.Order
}

// Planner plans the orders of one service.
type Planner struct {
	fence   outside.FencingToken
	desired Desired
	// busy maps a target to when it may be given its next order; the zero time
	// means when the running one is done.
	busy map[request.TargetID]time.Time
	held map[what]string
	// unused maps a loaded model that is not declared to when its last use was seen over.
	unused   map[string]time.Time
	nextLoad time.Time
}

// NewPlanner returns a planner whose orders carry fence.
func NewPlanner(fence outside.FencingToken) *Planner {
	return &Planner{
		fence: fence, busy: map[request.TargetID]time.Time{},
		held: map[what]string{}, unused: map[string]time.Time{},
	}
}

// SetDesired sets what is declared. A changed declaration releases what is held.
func (p *Planner) SetDesired(desired Desired) {
	if reflect.DeepEqual(p.desired, desired) {
		return
	}
	p.desired = desired
	clear(p.held)
}

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time, targets []Target) []Assignment {
	p.noteUse(now, targets)
	serving := 0
	ready := 0
	for _, target := range targets {
		if p.serves(now, target) {
			serving++
		}
		if target.Up && !target.Draining && slices.Contains(target.Models, p.desired.Models[0]) {
			ready++
		}
	}
	var plan []Assignment
	for _, target := range targets {
		if !target.Up || target.Draining || p.isBusy(now, target.ID) {
			continue
		}
		spare := !p.serves(now, target) || serving > p.desired.MinReplicas
		order, ok := p.next(now, target, spare, ready)
		if !ok {
			continue
		}
		if p.serves(now, target) && order.Kind != outside.OrderUnload {
			serving--
		}
		p.busy[target.ID] = time.Time{}
		order.FencingToken = p.fence
		plan = append(plan, Assignment{Target: target.ID, Order: order})
	}
	return plan
}

// serves says whether taking the target out would be felt.
func (p *Planner) serves(now time.Time, target Target) bool {
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

// next chooses the next order of one target.
func (p *Planner) next(now time.Time, target Target, spare bool, ready int) (outside.Order, bool) {
	missing := false
	for _, model := range p.desired.Models {
		if slices.Contains(target.Models, model) {
			continue
		}
		missing = true
		order := outside.Order{Kind: outside.OrderLoad, Model: model}
		if p.holds(target.ID, order) || !spare || now.Before(p.nextLoad) {
			continue
		}
		p.nextLoad = now.Add(time.Duration(float64(time.Minute) / p.desired.LoadsPerMinute))
		return order, true
	}
	role := outside.Order{Kind: outside.OrderRole, Role: p.desired.Role}
	if role.Role != "" && target.Role != role.Role && spare && !p.holds(target.ID, role) {
		return role, true
	}
	if missing || ready < max(1, p.desired.MinReplicas) {
		return outside.Order{}, false
	}
	return p.surplus(now, target)
}

// surplus returns an order to unload a model that is not declared and not used.
func (p *Planner) surplus(now time.Time, target Target) (outside.Order, bool) {
	for _, model := range target.Models {
		since, unused := p.unused[model]
		if !unused || now.Sub(since) < UnloadAfter {
			continue
		}
		order := outside.Order{Kind: outside.OrderUnload, Model: model}
		if !p.holds(target.ID, order) {
			return order, true
		}
	}
	return outside.Order{}, false
}

// noteUse keeps since when each model that is not declared is used nowhere.
func (p *Planner) noteUse(now time.Time, targets []Target) {
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
			delete(p.unused, model)
			continue
		}
		if _, known := p.unused[model]; !known {
			p.unused[model] = now
		}
	}
	maps.DeleteFunc(p.unused, func(model string, _ time.Time) bool { return !loaded[model] })
}

func (p *Planner) holds(target request.TargetID, order outside.Order) bool {
	_, held := p.held[what{target, order}]
	return held
}

// RecordResult notes what became of an order. One that failed is held; one that was not
// passed on, or whose outcome is not known, is planned anew from what is observed.
func (p *Planner) RecordResult(now time.Time, done Assignment, err error) {
	switch fault.KindOf(err) {
	case fault.None:
		delete(p.busy, done.Target)
	case fault.TargetLost, fault.StoreUnavailable, fault.Draining, fault.DeadlineExceeded, fault.CallerGone, fault.NoTarget:
		p.busy[done.Target] = now.Add(retryAfter)
	default:
		delete(p.busy, done.Target)
		order := done.Order
		order.FencingToken = 0
		p.held[what{done.Target, order}] = err.Error()
	}
}

// Held returns the orders that are held, in order of their targets.
func (p *Planner) Held() []Held {
	list := make([]Held, 0, len(p.held))
	for w, reason := range p.held {
		list = append(list, Held{Target: w.target, Order: w.order, Reason: reason})
	}
	slices.SortFunc(list, func(a, b Held) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Order.Kind, b.Order.Kind), cmp.Compare(a.Order.Model, b.Order.Model))
	})
	return list
}
