// Package observe bundles the observability of a process: the time line, the metrics and
// the operators' endpoint that serves both.
package observe

import (
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/process/meter"
	"github.com/mulberrylane/mulberrylane/process/metrics"
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/timeline"
)

// limitedLogInterval is the time between two log lines about what is refused or ended because
// memory or connections are used up.
const limitedLogInterval = time.Second

// Observer holds the time line, the metrics and the operators' endpoint of one process.
type Observer struct {
	Timeline       *timeline.Recorder
	Metrics        *metrics.Metrics
	OperatorServer *operator.Server
	// limitedLog limits the rate of log lines about what is refused or ended.
	limitedLog rate.Sometimes
}

// New returns the observer of the named process. Its endpoint listens on an IP address and
// TCP port once it is started, and accepts operators whose token has one of the digests. If
// the metrics cannot be set up, the error is logged and the process runs without them.
func New(process, address string, digests []string) *Observer {
	o := &Observer{
		Timeline:       timeline.NewRecorder(process, timeline.DefaultCapacity),
		OperatorServer: operator.New(address, digests),
		limitedLog:     rate.Sometimes{Interval: limitedLogInterval},
	}
	o.OperatorServer.OnYield = o.RecordYield("operators")
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

// Record adds an event to the time line and returns its timestamp.
func (o *Observer) Record(event timeline.Event) timeline.Timestamp { return o.Timeline.Record(event) }

// RegisterGauges adds gauges to the metrics. It must be called before the process starts.
func (o *Observer) RegisterGauges(gauges ...meter.Gauge) {
	if err := o.Metrics.RegisterGauges(gauges...); err != nil {
		klog.ErrorS(err, "gauges not registered")
	}
}

// RecordYield returns a function that counts what is refused or ended at a listener because memory
// or connections are used up, and logs it once a second at most.
func (o *Observer) RecordYield(listener string) func(memory.Yield) {
	return func(y memory.Yield) {
		o.Metrics.RecordLimited(listener, y.State.String(), y.Refused)
		o.limitedLog.Do(func() {
			klog.InfoS("caller limited", "listener", listener, "waitedFor", y.State.String(), "stalled", y.Stalled, "bytes", y.Bytes, "refused", y.Refused)
		})
	}
}
