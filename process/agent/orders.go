package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/order"
	"github.com/mulberrylane/mulberrylane/process/ordercontrol"
)

// roleEvery is the period at which the engine is asked for its role, where the
// configuration declares one.
const roleEvery = 2 * time.Second

// orderDesk passes orders on to the engine, one at a time.
type orderDesk struct {
	engine outside.OrderExecutor

	// turn is held from the reading of the lease to the engine's answer, so that
	// no order overtakes another here.
	turn sync.Mutex
	gate order.FenceChecker

	mu       sync.Mutex
	lastRole string
}

func (d *orderDesk) role() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastRole
}

func (d *orderDesk) setRole(role string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRole = role
}

// serveOrder passes one order on, or refuses it.
func (a *Agent) serveOrder(ctx context.Context, stream *link.Stream, ask wire.Order) {
	given := outside.Order{Kind: ask.Kind, Model: ask.Model, Role: ask.Role, FencingToken: ask.FencingToken}
	err := a.passOrder(ctx, ask.Service, given)
	klog.InfoS("order", "target", a.settings.Target, "kind", given.Kind, "model", given.Model, "role", given.Role,
		"fence", given.FencingToken, "result", fault.KindOf(err), "err", err)
	reply := wire.OrderReply{Kind: fault.KindOf(err)}
	if err != nil {
		reply.Message = err.Error()
	}
	_ = stream.Write(wire.ServerFrame{OrderReply: &reply})
	_ = stream.CloseWrite()
}

func (a *Agent) passOrder(ctx context.Context, service string, given outside.Order) error {
	if service != a.settings.Service || a.settings.EngineURL == "" {
		return fault.New(fault.BadRequest, "the order is for service %q", service)
	}
	a.orders.turn.Lock()
	defer a.orders.turn.Unlock()
	if err := a.orders.gate.RejectStale(given); err != nil {
		return err
	}
	holder, err := a.readHolder(ctx, service)
	if err != nil {
		return err
	}
	if err := a.orders.gate.CheckHolder(given, holder); err != nil {
		return err
	}
	return a.orders.engine.Execute(ctx, given)
}

// readHolder reads the number of the process that holds the orders of a service,
// zero when none does.
func (a *Agent) readHolder(ctx context.Context, service string) (outside.FencingToken, error) {
	if a.configuration.store == nil {
		return 0, fault.New(fault.StoreUnavailable, "the settings name no key-value service")
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	kv, err := a.configuration.store.Get(ctx, ordercontrol.LeaseKey(service))
	return outside.FencingToken(kv.ModRevision), err
}

// undeclaredInUse returns the models of running generations that the
// configuration does not declare any more.
func (a *Agent) undeclaredInUse() []string {
	desired, ok := order.DesiredOf(a.configuration.revisions.Current().Document.Services[a.settings.Service])
	if !ok {
		return nil
	}
	var list []string
	for _, model := range a.journal.modelsInUse() {
		if !slices.Contains(desired.Models, model) {
			list = append(list, model)
		}
	}
	return list
}

// modelsInUse returns the models of the generations that have not ended, each once.
func (j *journal) modelsInUse() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []string
	for _, r := range j.records {
		for _, model := range []string{r.generation.Version, modelName(r.generation)} {
			if r.since(0).end == nil && !slices.Contains(list, model) {
				list = append(list, model)
			}
		}
	}
	return list
}

// watchRole keeps the engine's role known while the configuration declares one.
func (a *Agent) watchRole(ctx context.Context) {
	ticker := time.NewTicker(roleEvery)
	defer ticker.Stop()
	for {
		if model := a.configuration.revisions.Current().Document.Services[a.settings.Service].Model; model != nil && model.Role != "" {
			if role, err := a.orders.engine.Role(ctx); err == nil {
				a.orders.setRole(role)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
