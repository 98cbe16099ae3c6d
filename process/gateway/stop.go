package gateway

import (
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
	})
	return plan.Accept(time.Now(), r)
}

// observeDuration records how long a request took that was served completely.
func (g *Gateway) observeDuration(e *exchange, kind fault.Kind) {
	if kind != fault.None || e.route == nil {
		return
	}
	took := time.Since(e.arrived)
	g.control.post(func() {
		estimate := g.control.durations[e.service]
		if estimate == nil {
			estimate = &shutdown.DurationEstimate{}
			g.control.durations[e.service] = estimate
		}
		estimate.Observe(took)
	})
}
