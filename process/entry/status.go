package entry

import (
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/operator"
)

// Status returns the status that the entry reports to operators.
func (e *Entry) Status() operator.Status {
	identity := operator.Identity{Process: e.settings.Name, Role: gossip.Entry, FailureDomain: e.settings.FailureDomain}
	return operator.NewStatus(identity, e.revisions, e.gossiper.View(), e.store.CallCounts())
}
