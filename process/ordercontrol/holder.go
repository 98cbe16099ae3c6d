// Package ordercontrol gives orders to engines. For each service one process at a time
// holds a lease of the store and gives them; their fencing number is the store
// revision at which it took the lease key.
package ordercontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/order"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// leaseTTL is how long a holder that went silent keeps others out.
	leaseTTL = 10 * time.Second
	// keepEvery is the period at which the lease is renewed, and tryEvery that at
	// which a process that is not the holder tries to become it.
	keepEvery = 3 * time.Second
	tryEvery  = 5 * time.Second
	// planEvery is the period at which targets are compared with the declaration.
	planEvery = 500 * time.Millisecond
	// giveTimeout bounds one order.
	giveTimeout = 10 * time.Minute
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// doneBuffer is how many results may wait for the goroutine of the holder.
	doneBuffer = 64
)

// LeaseKey returns the key that the holder of a service's orders has.
func LeaseKey(service string) string { return "mulberrylane/orders/" + service }

// TargetSet is the targets of a process's links.
type TargetSet interface {
	// Targets returns the targets of a service in a fixed order.
	Targets(service string) []order.Target
	// Execute passes an order to the agent of a target and returns when it was
	// carried out or refused.
	Execute(ctx context.Context, service string, target request.TargetID, order outside.Order) error
}

// leaseStore is the part of outside.Store that a holder needs.
type leaseStore interface {
	CompareAndSwap(ctx context.Context, swap outside.CompareAndSwapRequest) (outside.KeyValue, bool, error)
	Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error)
	KeepAlive(ctx context.Context, lease outside.LeaseID) (bool, error)
	Revoke(ctx context.Context, lease outside.LeaseID) error
}

// Controller competes for the leases of all services and gives orders where it holds one.
type Controller struct {
	process   string
	store     leaseStore
	revisions *revision.Active
	fleet     TargetSet
	// eligible says whether this process may compete.
	eligible func() bool
	terms    map[string]*term
	tried    map[string]time.Time
	done     chan result
}

// term is one tenure of a lease.
type term struct {
	lease   outside.LeaseID
	fence   outside.FencingToken
	planner *order.Planner
	// renewed is when the last renewal that succeeded was asked for.
	renewed time.Time
}

// valid says whether the lease cannot have lapsed yet.
func (t *term) valid(now time.Time) bool { return now.Sub(t.renewed) < leaseTTL-keepEvery/2 }

// result is what became of one order.
type result struct {
	service string
	term    *term
	order.Assignment
	err error
}

// New returns a holder that does nothing until Run.
func New(process string, store leaseStore, revisions *revision.Active, fleet TargetSet, eligible func() bool) *Controller {
	return &Controller{
		process: process, store: store, revisions: revisions, fleet: fleet, eligible: eligible,
		terms: map[string]*term{}, tried: map[string]time.Time{}, done: make(chan result, doneBuffer),
	}
}

// Run competes and gives orders until ctx ends.
func (h *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	defer h.leave()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-h.done:
			h.take(r)
		case <-ticker.C:
			h.round(ctx)
		}
	}
}

// round looks at every service that is given orders.
func (h *Controller) round(ctx context.Context) {
	services := h.revisions.Current().Document.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		desired, ok := order.DesiredOf(services[name])
		if !ok {
			continue
		}
		if t := h.hold(ctx, name); t != nil {
			t.planner.SetDesired(desired)
			h.give(ctx, name, t)
		}
	}
	for name, t := range h.terms {
		if _, ok := order.DesiredOf(services[name]); !ok {
			h.end(name, t)
		}
	}
}

// hold returns the term of a service, renewed or taken when that is due, or nil.
func (h *Controller) hold(ctx context.Context, service string) *term {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := time.Now()
	if t, held := h.terms[service]; held {
		h.renew(ctx, service, t, now)
	} else if h.eligible() && now.Sub(h.tried[service]) >= tryEvery {
		h.tried[service] = now
		h.acquire(ctx, service, now)
	}
	return h.terms[service]
}

func (h *Controller) renew(ctx context.Context, service string, t *term, now time.Time) {
	if now.Sub(t.renewed) >= keepEvery {
		alive, err := h.store.KeepAlive(ctx, t.lease)
		switch {
		case err != nil:
			klog.InfoS("order lease not renewed", "service", service, "err", err)
		case alive:
			t.renewed = now
		default:
			t.renewed = time.Time{}
		}
	}
	if !t.valid(time.Now()) {
		delete(h.terms, service)
		klog.InfoS("order lease lost", "service", service, "fence", t.fence)
	}
}

func (h *Controller) acquire(ctx context.Context, service string, now time.Time) {
	lease, err := h.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	swap := outside.CompareAndSwapRequest{Key: LeaseKey(service), Value: []byte(h.process), Lease: lease}
	current, taken, err := h.store.CompareAndSwap(ctx, swap)
	if err != nil || !taken {
		_ = h.store.Revoke(ctx, lease)
		return
	}
	t := &term{lease: lease, fence: outside.FencingToken(current.ModRevision), renewed: now}
	t.planner = order.NewPlanner(t.fence)
	h.terms[service] = t
	klog.InfoS("order lease taken", "service", service, "fence", t.fence)
}

// give gives the orders that are due while the lease is known to stand.
func (h *Controller) give(ctx context.Context, service string, t *term) {
	now := time.Now()
	if !t.valid(now) {
		return
	}
	for _, assignment := range t.planner.Plan(now, h.fleet.Targets(service)) {
		klog.InfoS("order given", "service", service, "target", assignment.Target, "kind", assignment.Order.Kind,
			"model", assignment.Order.Model, "role", assignment.Order.Role, "fence", t.fence)
		go h.giveOne(ctx, service, t, assignment)
	}
}

func (h *Controller) giveOne(ctx context.Context, service string, t *term, assignment order.Assignment) {
	giveCtx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	err := h.fleet.Execute(giveCtx, service, assignment.Target, assignment.Order)
	select {
	case h.done <- result{service: service, term: t, Assignment: assignment, err: err}:
	case <-ctx.Done():
	}
}

func (h *Controller) take(r result) {
	if r.err != nil {
		klog.InfoS("order not carried out", "service", r.service, "target", r.Target, "kind", r.Order.Kind,
			"model", r.Order.Model, "fence", r.Order.FencingToken, "err", r.err)
	}
	if fault.KindOf(r.err) == fault.Fenced {
		if h.terms[r.service] == r.term {
			delete(h.terms, r.service)
		}
		return
	}
	r.term.planner.RecordResult(time.Now(), r.Assignment, r.err)
}

func (h *Controller) end(service string, t *term) {
	delete(h.terms, service)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = h.store.Revoke(ctx, t.lease)
}

// leave gives up all leases, so that another process takes over at once.
func (h *Controller) leave() {
	for service, t := range h.terms {
		h.end(service, t)
	}
}
