package entry

import (
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/spread"
)

// Status returns what the entry tells operators of itself.
func (e *Entry) Status() operator.Status {
	who := operator.Identity{Process: e.settings.Name, Role: spread.Entry, FailureDomain: e.settings.FailureDomain}
	return operator.NewStatus(who, e.revisions, e.spreader.View(), e.store.CallCounts())
}
