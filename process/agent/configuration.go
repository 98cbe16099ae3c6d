package agent

import (
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/platform/etcd"
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/process/spread"
)

// platformTimeout bounds one call to the key-value service.
const platformTimeout = 2 * time.Second

// configuration is the agent's part in the spread of revisions. An agent never
// watches the store; it reads it only for orders.
type configuration struct {
	revisions *revision.Holder
	spreader  *revision.Spreader
	// store is nil when the settings name none.
	store *etcd.Store
}

func newConfiguration(s settings.Agent) *configuration {
	revisions := revision.NewHolder()
	c := &configuration{revisions: revisions, spreader: revision.NewSpreader(s.Name, spread.Agent, revisions)}
	if len(s.Platform.Store) > 0 {
		c.store = etcd.NewStore(s.Platform.Store, &http.Client{Timeout: platformTimeout})
	}
	return c
}

// Status returns what the agent tells operators of itself.
func (a *Agent) Status() operator.Status {
	who := operator.Identity{Process: a.settings.Name, Role: spread.Agent, FailureDomain: a.settings.FailureDomain}
	var calls etcd.Calls
	if a.configuration.store != nil {
		calls = a.configuration.store.Calls()
	}
	return operator.NewStatus(who, a.configuration.revisions, a.configuration.spreader.View(), calls)
}
