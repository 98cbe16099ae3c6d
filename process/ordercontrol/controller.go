// Package ordercontrol sends orders to engines. For each service, one process at a
// time holds a lease in the store and sends the orders. Their fencing token is the
// store revision at which that process acquired the lease key.
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
	// leaseTTL is how long a lease stays held after its holder stopped renewing it.
	leaseTTL = 10 * time.Second
	// renewInterval is the period at which the lease holder renews the lease, and
	// acquireInterval the period at which other processes try to acquire it.
	renewInterval   = 3 * time.Second
	acquireInterval = 5 * time.Second
	// planInterval is the period at which targets are compared with the declared state.
	planInterval = 500 * time.Millisecond
	// orderTimeout bounds the execution of one order.
	orderTimeout = 10 * time.Minute
	// storeTimeout bounds one request to the store.
	storeTimeout = 2 * time.Second
	// resultBuffer is how many results may wait for the goroutine of Run.
	resultBuffer = 64
)

// LeaseKey returns the store key that the orders controller of a service holds.
func LeaseKey(service string) string { return "mulberrylane/orders/" + service }

// TargetSet is the set of targets that a process is linked to.
type TargetSet interface {
	// Targets returns the targets of a service in a fixed order.
	Targets(service string) []order.Target
	// Execute sends an order to the agent of a target and returns when the order was
	// executed or refused.
	Execute(ctx context.Context, service string, target request.TargetID, order outside.Order) error
}

// leaseStore is the part of outside.Store that a Controller needs.
type leaseStore interface {
	CompareAndSwap(ctx context.Context, swap outside.CompareAndSwapRequest) (outside.KeyValue, bool, error)
	Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error)
	KeepAlive(ctx context.Context, lease outside.LeaseID) (bool, error)
	Revoke(ctx context.Context, lease outside.LeaseID) error
}

// Controller tries to acquire the lease of each service and sends the orders of the
// services whose lease it holds.
type Controller struct {
	process   string
	store     leaseStore
	revisions *revision.Active
	targets   TargetSet
	// eligible reports whether this process may acquire leases.
	eligible    func() bool
	terms       map[string]*term
	lastAcquire map[string]time.Time
	results     chan result
}

// term is the period during which this process holds a lease.
type term struct {
	lease        outside.LeaseID
	fencingToken outside.FencingToken
	planner      *order.Planner
	// renewedAt is when the last successful renewal was requested.
	renewedAt time.Time
}

// isValid reports whether the lease cannot have expired yet.
func (t *term) isValid(now time.Time) bool { return now.Sub(t.renewedAt) < leaseTTL-renewInterval/2 }

// result is the result of one order.
type result struct {
	service string
	term    *term
	order.Assignment
	err error
}

// New returns a Controller that is idle until Run is called.
func New(process string, store leaseStore, revisions *revision.Active, targets TargetSet, eligible func() bool) *Controller {
	return &Controller{
		process: process, store: store, revisions: revisions, targets: targets, eligible: eligible,
		terms: map[string]*term{}, lastAcquire: map[string]time.Time{}, results: make(chan result, resultBuffer),
	}
}

// Run acquires leases and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	defer c.releaseAll()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.results:
			c.handleResult(r)
		case <-ticker.C:
			c.reconcile(ctx)
		}
	}
}

// reconcile sends the due orders of every service whose lease this process holds or
// can acquire, and releases the leases of services that get no orders any more.
func (c *Controller) reconcile(ctx context.Context) {
	services := c.revisions.Current().Document.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		desired, ok := order.DesiredOf(services[name])
		if !ok {
			continue
		}
		if t := c.ensureLease(ctx, name); t != nil {
			t.planner.SetDesired(desired)
			c.sendOrders(ctx, name, t)
		}
	}
	for name, t := range c.terms {
		if _, ok := order.DesiredOf(services[name]); !ok {
			c.release(name, t)
		}
	}
}

// ensureLease renews or tries to acquire the lease of a service if that is due. It
// returns the current term, or nil if this process does not hold the lease.
func (c *Controller) ensureLease(ctx context.Context, service string) *term {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := time.Now()
	if t, ok := c.terms[service]; ok {
		c.renew(ctx, service, t, now)
	} else if c.eligible() && now.Sub(c.lastAcquire[service]) >= acquireInterval {
		c.lastAcquire[service] = now
		c.acquire(ctx, service, now)
	}
	return c.terms[service]
}

func (c *Controller) renew(ctx context.Context, service string, t *term, now time.Time) {
	if now.Sub(t.renewedAt) >= renewInterval {
		alive, err := c.store.KeepAlive(ctx, t.lease)
		switch {
		case err != nil:
			klog.InfoS("order lease not renewed", "service", service, "err", err)
		case alive:
			t.renewedAt = now
		default:
			t.renewedAt = time.Time{}
		}
	}
	if !t.isValid(time.Now()) {
		delete(c.terms, service)
		klog.InfoS("order lease lost", "service", service, "fence", t.fencingToken)
	}
}

func (c *Controller) acquire(ctx context.Context, service string, now time.Time) {
	lease, err := c.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	swap := outside.CompareAndSwapRequest{Key: LeaseKey(service), Value: []byte(c.process), Lease: lease}
	current, acquired, err := c.store.CompareAndSwap(ctx, swap)
	if err != nil || !acquired {
		_ = c.store.Revoke(ctx, lease)
		return
	}
	t := &term{lease: lease, fencingToken: outside.FencingToken(current.ModRevision), renewedAt: now}
	t.planner = order.NewPlanner(t.fencingToken)
	c.terms[service] = t
	klog.InfoS("order lease acquired", "service", service, "fence", t.fencingToken)
}

// sendOrders sends the orders that are due if the lease is still valid.
func (c *Controller) sendOrders(ctx context.Context, service string, t *term) {
	now := time.Now()
	if !t.isValid(now) {
		return
	}
	for _, assignment := range t.planner.Plan(now, c.targets.Targets(service)) {
		klog.InfoS("order sent", "service", service, "target", assignment.Target, "kind", assignment.Order.Kind,
			"model", assignment.Order.Model, "role", assignment.Order.Role, "fence", t.fencingToken)
		go c.execute(ctx, service, t, assignment)
	}
}

func (c *Controller) execute(ctx context.Context, service string, t *term, assignment order.Assignment) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.targets.Execute(orderCtx, service, assignment.Target, assignment.Order)
	select {
	case c.results <- result{service: service, term: t, Assignment: assignment, err: err}:
	case <-ctx.Done():
	}
}

func (c *Controller) handleResult(r result) {
	if r.err != nil {
		klog.InfoS("order not carried out", "service", r.service, "target", r.Target, "kind", r.Order.Kind,
			"model", r.Order.Model, "fence", r.Order.FencingToken, "err", r.err)
	}
	if fault.KindOf(r.err) == fault.Fenced {
		if c.terms[r.service] == r.term {
			delete(c.terms, r.service)
		}
		return
	}
	r.term.planner.RecordResult(time.Now(), r.Assignment, r.err)
}

func (c *Controller) release(service string, t *term) {
	delete(c.terms, service)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = c.store.Revoke(ctx, t.lease)
}

// releaseAll releases all leases, so that other processes can acquire them at once.
func (c *Controller) releaseAll() {
	for service, t := range c.terms {
		c.release(service, t)
	}
}
