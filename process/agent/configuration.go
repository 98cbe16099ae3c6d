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

// platformTimeout bounds one call to the key-value service.
const platformTimeout = 2 * time.Second

// configuration is the agent's part in the spread of revisions. An agent never
// watches the store; it reads it only for orders.
type configuration struct {
	revisions *revision.Active
	spreader  *revision.Gossiper
	// drained says that the configuration drains the target.
	drained atomic.Bool
	// store is nil when the settings name none.
	store *etcd.Store
}

func newConfiguration(s settings.Agent) *configuration {
	revisions := revision.NewActive()
	c := &configuration{revisions: revisions, spreader: revision.NewGossiper(s.Name, gossip.Agent, revisions)}
	if len(s.Platform.StoreURLs) > 0 {
		c.store = etcd.NewStore(s.Platform.StoreURLs, &http.Client{Timeout: platformTimeout})
	}
	return c
}

// isLeaving says that the target takes no new work: the agent stops, or the
// configuration drains the target.
func (a *Agent) isLeaving() bool { return a.leaving.Load() || a.configuration.drained.Load() }

// followDrain keeps drained as the configuration in force says, until ctx ends.
func (a *Agent) followDrain(ctx context.Context) {
	for {
		changed := a.configuration.revisions.Changed()
		drain, drained := a.configuration.revisions.Current().Document.Draining[a.settings.Target]
		if a.configuration.drained.Swap(drained) != drained {
			klog.InfoS("drain changed", "target", a.settings.Target, "drained", drained, "reason", drain.Reason)
			a.status.signal()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Status returns what the agent tells operators of itself.
func (a *Agent) Status() operator.Status {
	who := operator.Identity{Process: a.settings.Name, Role: gossip.Agent, FailureDomain: a.settings.FailureDomain}
	var calls etcd.CallCounts
	if a.configuration.store != nil {
		calls = a.configuration.store.CallCounts()
	}
	return operator.NewStatus(who, a.configuration.revisions, a.configuration.spreader.View(), calls)
}
