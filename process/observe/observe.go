// Package observe bundles what makes a process visible to its operators: the
// time line, the metrics and the endpoint that serves both.
package observe

import (
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/process/meter"
	"github.com/mulberrylane/mulberrylane/process/metrics"
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/timeline"
)

// Observer belongs to one process.
type Observer struct {
	Timeline       *timeline.Recorder
	Metrics        *metrics.Metrics
	OperatorServer *operator.Server
}

// New returns the observer of the named process, whose endpoint will listen at
// an IP address and TCP port for operators with one of the token digests. A
// process whose metrics cannot be set up goes on without them and says so.
func New(process, address string, digests []string) *Observer {
	o := &Observer{
		Timeline:       timeline.NewRecorder(process, timeline.DefaultCapacity),
		OperatorServer: operator.New(address, digests),
	}
	o.OperatorServer.Handle("GET /timeline", o.Timeline.Handler())
	instruments, err := metrics.New(process)
	if err != nil {
		klog.ErrorS(err, "metrics not available", "process", process)
		return o
	}
	o.Metrics = instruments
	o.OperatorServer.Handle("GET /metrics", instruments.Handler())
	return o
}

// Record adds an event to the time line.
func (o *Observer) Record(event timeline.Event) timeline.Timestamp { return o.Timeline.Record(event) }

// RegisterGauges adds gauges to the metrics. It must be called before the process starts.
func (o *Observer) RegisterGauges(gauges ...meter.Gauge) {
	if err := o.Metrics.RegisterGauges(gauges...); err != nil {
		klog.ErrorS(err, "gauges not available")
	}
}
