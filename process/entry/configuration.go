package entry

import (
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/operator"
)

// Status returns what the entry tells operators of itself.
func (e *Entry) Status() operator.Status {
	who := operator.Identity{Process: e.settings.Name, Role: gossip.Entry, FailureDomain: e.settings.FailureDomain}
	return operator.NewStatus(who, e.revisions, e.spreader.View(), e.store.CallCounts())
}
