package entry

import (
	"github.com/mulberrylane/mulberrylane/process/meter"
	"github.com/mulberrylane/mulberrylane/process/metrics"
)

// gauges returns the gauges that an entry exposes to operators.
func (e *Entry) gauges() []meter.Gauge {
	return append(metrics.LinkGauges(&e.links), []meter.Gauge{
		{Name: "mulberrylane.revision", Description: "Configuration revision in force", Read: func() int64 {
			return int64(e.revisions.Current().Revision)
		}},
		{Name: "mulberrylane.control.busy", Description: "Nanoseconds that the control goroutine worked", Read: e.control.busy.Load},
		{Name: "mulberrylane.store.reads", Description: "Reads of the key-value service", Read: func() int64 { return e.store.CallCounts().Reads }},
		{Name: "mulberrylane.store.writes", Description: "Writes to the key-value service", Read: func() int64 { return e.store.CallCounts().Writes }},
		{Name: "mulberrylane.store.leases", Description: "Lease calls of the key-value service", Read: func() int64 { return e.store.CallCounts().Leases }},
		{Name: "mulberrylane.store.watches", Description: "Watches opened at the key-value service", Read: func() int64 { return e.store.CallCounts().Watches }},
	}...)
}
