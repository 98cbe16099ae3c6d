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

// rolePollInterval is the interval at which the engine is asked for its role, if the
// configuration declares one.
const rolePollInterval = 2 * time.Second

// orderForwarder forwards orders to the engine, one at a time.
type orderForwarder struct {
	engine outside.OrderExecutor

	// executeMu is held from reading the lease until the engine has replied, so that
	// orders cannot overtake each other in the agent.
	executeMu    sync.Mutex
	fenceChecker order.FenceChecker

	mu       sync.Mutex
	lastRole string
}

func (f *orderForwarder) role() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRole
}

func (f *orderForwarder) setRole(role string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRole = role
}

// serveOrder executes or refuses one order and replies with the result.
func (a *Agent) serveOrder(ctx context.Context, stream *link.Stream, req wire.Order) {
	engineOrder := outside.Order{Kind: req.Kind, Model: req.Model, Role: req.Role, FencingToken: req.FencingToken}
	err := a.executeOrder(ctx, req.Service, engineOrder)
	klog.InfoS("order", "target", a.settings.Target, "kind", engineOrder.Kind, "model", engineOrder.Model, "role", engineOrder.Role,
		"fence", engineOrder.FencingToken, "result", fault.KindOf(err), "err", err)
	reply := wire.OrderReply{Kind: fault.KindOf(err)}
	if err != nil {
		reply.Message = err.Error()
	}
	_ = stream.Write(wire.ServerFrame{OrderReply: &reply})
	_ = stream.CloseWrite()
}

func (a *Agent) executeOrder(ctx context.Context, service string, engineOrder outside.Order) error {
	if service != a.settings.Service || a.settings.EngineURL == "" {
		return fault.New(fault.BadRequest, "the order is for service %q", service)
	}
	a.orders.executeMu.Lock()
	defer a.orders.executeMu.Unlock()
	if err := a.orders.fenceChecker.RejectStale(engineOrder); err != nil {
		return err
	}
	holder, err := a.readLeaseHolder(ctx, service)
	if err != nil {
		return err
	}
	if err := a.orders.fenceChecker.CheckHolder(engineOrder, holder); err != nil {
		return err
	}
	return a.orders.engine.Execute(ctx, engineOrder)
}

// readLeaseHolder reads the fencing token of the process that holds the orders lease of a
// service. It returns zero if no process holds the lease.
func (a *Agent) readLeaseHolder(ctx context.Context, service string) (outside.FencingToken, error) {
	if a.configuration.store == nil {
		return 0, fault.New(fault.StoreUnavailable, "the settings name no key-value service")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := a.configuration.store.Get(ctx, ordercontrol.LeaseKey(service))
	return outside.FencingToken(kv.ModRevision), err
}

// undeclaredModelsInUse returns the models of running generations that the configuration
// no longer declares.
func (a *Agent) undeclaredModelsInUse() []string {
	desired, ok := order.DesiredOf(a.configuration.revisions.Current().Document.Services[a.settings.Service])
	if !ok {
		return nil
	}
	var undeclared []string
	for _, model := range a.journal.modelsInUse() {
		if !slices.Contains(desired.Models, model) {
			undeclared = append(undeclared, model)
		}
	}
	return undeclared
}

// modelsInUse returns the models of the generations that have not ended, without
// duplicates.
func (j *journal) modelsInUse() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var models []string
	for _, r := range j.records {
		for _, model := range []string{r.generation.Version, modelName(r.generation)} {
			if r.snapshotFrom(0).end == nil && !slices.Contains(models, model) {
				models = append(models, model)
			}
		}
	}
	return models
}

// pollRole reads the engine's role periodically while the configuration declares one.
func (a *Agent) pollRole(ctx context.Context) {
	ticker := time.NewTicker(rolePollInterval)
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
