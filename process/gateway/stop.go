package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/shutdown"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// acceptsWhileStopping reports whether the process accepts a request: always, unless it was
// asked to stop.
func (g *Gateway) acceptsWhileStopping(e *exchange) bool {
	plan := g.stopPlan.Load()
	if plan == nil {
		return true
	}
	r := shutdown.Request{TimeLimit: e.timeLeft()}
	switch {
	case e.route.Kind == routes.Idempotent:
		r.Repeatability = shutdown.Repeatable
	case e.route.Idempotent():
		r.Repeatability = shutdown.Resumable
	}
	g.control.do(func() {
		if estimate := g.control.durations[e.service]; estimate != nil {
			r.Expected = *estimate
		}
		if estimate := g.control.handovers[e.service]; estimate != nil && e.usesKVCopies() {
			r.Handover = *estimate
		}
	})
	accepted := plan.Accept(time.Now(), r)
	if accepted {
		g.metrics.countStopping("accepted")
	} else {
		g.metrics.countStopping("refused")
	}
	return accepted
}

// stopFields returns log fields that tell how far a planned stop is; none unless the process
// was asked to stop.
func (g *Gateway) stopFields(now time.Time) []any {
	plan := g.stopPlan.Load()
	if plan == nil {
		return nil
	}
	return []any{"sinceStop", now.Sub(plan.Start()), "stopLeft", plan.End().Sub(now)}
}

// recordConnectionsClosed logs the requests whose connections are about to be closed although
// they have not ended.
func (g *Gateway) recordConnectionsClosed() {
	running := g.activeRequests.list()
	g.log.Event("connections_closed", "running", len(running))
	for _, e := range running {
		g.metrics.countStopping("connection_closed")
		g.log.Event("connection_closed", "request", e.inbound.ID, "took", time.Since(e.arrived))
	}
}

// activeRequests holds the requests in progress.
type activeRequests struct {
	mu  sync.Mutex
	set map[*exchange]struct{}
}

func (r *activeRequests) add(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil {
		r.set = map[*exchange]struct{}{}
	}
	r.set[e] = struct{}{}
}

func (r *activeRequests) remove(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.set, e)
}

func (r *activeRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.set)
}

func (r *activeRequests) list() []*exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.set))
}

// observeDuration records how long a request took that was served completely.
func (g *Gateway) observeDuration(e *exchange, kind fault.Kind) {
	if kind != fault.None || e.route == nil {
		return
	}
	took := time.Since(e.arrived)
	g.control.post(func() { observe(g.control.durations, e.service, took) })
}

// observeHandover records that a stream that began here had its first event after some time.
func (g *Gateway) observeHandover(e *exchange, firstEventDelay time.Duration) {
	if e.inbound.Position > 0 {
		return
	}
	g.control.post(func() { observe(g.control.handovers, e.service, firstEventDelay+firstCopyDelay) })
}

func observe(estimates map[string]*shutdown.DurationEstimate, service string, took time.Duration) {
	estimate := estimates[service]
	if estimate == nil {
		estimate = &shutdown.DurationEstimate{}
		estimates[service] = estimate
	}
	estimate.Observe(took)
}
