package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// storeTimeout bounds one call to the key-value service.
const storeTimeout = 2 * time.Second

// configuration is the agent's side of the gossip of configuration revisions. An agent
// never watches the store; it reads the store only for orders.
type configuration struct {
	revisions *revision.Active
	gossiper  *revision.Gossiper
	// draining is set while the active configuration drains the target.
	draining atomic.Bool
	// store is nil if the settings list no store URL.
	store *etcd.Store
}

func newConfiguration(s settings.Agent) *configuration {
	revisions := revision.NewActive()
	c := &configuration{revisions: revisions, gossiper: revision.NewGossiper(s.Name, gossip.Agent, revisions)}
	if len(s.Platform.StoreURLs) > 0 {
		c.store = etcd.NewStore(s.Platform.StoreURLs, &http.Client{Timeout: storeTimeout})
	}
	return c
}

// isDraining reports whether the target takes no new work because the agent is stopping
// or the configuration drains the target.
func (a *Agent) isDraining() bool { return a.stopping.Load() || a.configuration.draining.Load() }

// watchDraining updates draining from the active configuration until ctx ends.
func (a *Agent) watchDraining(ctx context.Context) {
	for {
		changed := a.configuration.revisions.Changed()
		drain, draining := a.configuration.revisions.Current().Document.Draining[a.settings.Target]
		if a.configuration.draining.Swap(draining) != draining {
			klog.InfoS("drain state changed", "target", a.settings.Target, "drained", draining, "reason", drain.Reason)
			a.status.notifyEntries()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Status returns the status that the agent reports to operators.
func (a *Agent) Status() operator.Status {
	identity := operator.Identity{Process: a.settings.Name, Role: gossip.Agent, FailureDomain: a.settings.FailureDomain}
	var calls etcd.CallCounts
	if a.configuration.store != nil {
		calls = a.configuration.store.CallCounts()
	}
	return operator.NewStatus(identity, a.configuration.revisions, a.configuration.gossiper.View(), calls)
}
