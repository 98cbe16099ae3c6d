package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// idleSuspicionTimeout is the silence after which a target without work is
	// suspected.
	idleSuspicionTimeout = 3 * wire.IdleHeartbeatInterval
	// pauseThreshold is how late a check may run before the delay is taken for a pause
	// of this process.
	pauseThreshold = 3 * busyCheckInterval
	// suspicionRepeatInterval is the interval at which attempts are notified again
	// while a suspicion lasts, since an attempt may have started in between.
	suspicionRepeatInterval = 50 * time.Millisecond
	// sweepInterval is the interval at which the progress of running attempts is
	// deducted from the load of their targets.
	sweepInterval = 100 * time.Millisecond
)

// targetHealth is the health of one linked target, as the control goroutine tracks it.
type targetHealth struct {
	detector *detector.Detector
	link     *link.Link
	state    detector.State
	// targetDown is set while the agent reports that the target is not alive, such as
	// when its port is closed.
	targetDown bool
	notifiedAt time.Time
	// entryCount is how many entries have a link to the agent.
	entryCount int
	// draining is set while the agent reports that it takes no new work.
	draining bool
}

// stateEvents maps a new state of a target to the event that records it.
var stateEvents = map[detector.State]timeline.Kind{
	detector.Trusted:   timeline.TargetTrusted,
	detector.Suspected: timeline.TargetSuspected,
	detector.Failed:    timeline.TargetDown,
}

// linkUp marks a target as up on the first control frame of a new link.
func (c *control) linkUp(ctx context.Context, hello wire.Hello, l *link.Link) {
	c.do(ctx, func() {
		now := time.Now()
		target := c.table.Upsert(hello.Target)
		target.Service = hello.Service
		target.FailureDomain = hello.FailureDomain
		target.Incarnation = hello.Incarnation
		target.MarkUp(now)
		c.health[hello.Target] = &targetHealth{
			detector: detector.New(now, c.detectorBounds(hello.Service), idleSuspicionTimeout),
			link:     l,
		}
		c.observer.Record(timeline.Event{Kind: timeline.TargetUp, Target: hello.Target})
		klog.InfoS("target up", "target", hello.Target, "incarnation", hello.Incarnation)
	})
}

// linkDown marks a target as down after its link l has closed and notifies its
// attempts.
func (c *control) linkDown(ctx context.Context, id request.TargetID, l *link.Link) {
	c.do(ctx, func() {
		h, ok := c.health[id]
		if !ok || h.link != l {
			return
		}
		if target := c.table.Get(id); target != nil {
			target.Up = false
		}
		delete(c.health, id)
		c.observer.Record(timeline.Event{Kind: timeline.TargetDown, Target: id})
		c.notifyAttempts(id, request.Event{Type: request.EventFailed, Kind: fault.TargetLost})
	})
}

// heartbeat applies the state that an agent reports.
func (c *control) heartbeat(ctx context.Context, id request.TargetID, beat wire.Heartbeat) {
	now := time.Now()
	c.do(ctx, func() {
		target := c.table.Get(id)
		h := c.health[id]
		if target == nil || h == nil {
			return
		}
		h.targetDown = !beat.TargetAlive
		h.detector.Observe(now.Add(-time.Duration(beat.LastActivityAgeMillis) * time.Millisecond))
		h.detector.SetStalled(time.Duration(beat.StalledMillis) * time.Millisecond)
		h.draining = beat.Draining
		c.updateDraining(now, id)
		h.entryCount = beat.Entries
		target.SetReport(now, routing.LoadReport{
			Attempts:      beat.Running,
			PendingTokens: beat.PendingTokens,
			Running:       beat.EngineRunning,
			Waiting:       beat.EngineWaiting,
		})
		if !beat.ModelsUnchanged {
			target.Models = beat.Models
		}
		target.InUse, target.Role = beat.UndeclaredModels, beat.Role
		c.evaluate(now, id, h)
	})
}

// updateBusy tells the detector of a target whether attempts run there.
func (c *control) updateBusy(id request.TargetID) {
	if h, ok := c.health[id]; ok {
		h.detector.SetBusy(time.Now(), len(c.runningAttempts[id]) > 0)
	}
}

// checkTargets evaluates all targets. When the check itself runs late, this process
// was paused, and the time of the pause is not counted as silence of the targets.
func (c *control) checkTargets(now time.Time) {
	late := now.Sub(c.lastCheck) - c.checkInterval
	paused := !c.lastCheck.IsZero() && late > pauseThreshold
	c.lastCheck = now
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
	for id, h := range c.health {
		if paused {
			h.detector.DiscountPause(late)
		}
		h.detector.SetBusy(now, len(c.runningAttempts[id]) > 0)
		c.evaluate(now, id, h)
	}
	c.dispatchAll(now)
}

// recordProgress deducts the tokens an attempt has delivered since the last call from
// the load of its target.
func (c *control) recordProgress(id request.TargetID, load *attemptLoad) {
	total := int(load.deliveredTokens.Load())
	newTokens := total - load.countedTokens
	load.countedTokens = total
	c.table.RecordTokens(id, newTokens)
	c.producedTokens[load.driver.generation.Service] += newTokens
}

// sweep records the progress of all running attempts, reports it to admission, and
// updates the detector bounds, the draining state and the number of entries.
func (c *control) sweep(now time.Time) {
	for id, loads := range c.runningAttempts {
		for _, load := range loads {
			c.recordProgress(id, load)
		}
	}
	for _, service := range c.admission.controller.Services() {
		c.admission.controller.RecordTokens(now, service, c.producedTokens[service])
	}
	clear(c.producedTokens)
	entryCount := 1
	for id, h := range c.health {
		entryCount = max(entryCount, h.entryCount)
		if target := c.table.Get(id); target != nil {
			h.detector.SetBounds(c.detectorBounds(target.Service))
		}
		c.updateDraining(now, id)
	}
	c.table.SetEntryCount(entryCount)
	c.admission.controller.SetEntryCount(entryCount)
}

// evaluate acts on the detector's state of a target. While the target is not trusted,
// its attempts are notified every suspicionRepeatInterval.
func (c *control) evaluate(now time.Time, id request.TargetID, h *targetHealth) {
	h.detector.Observe(h.link.LastReceived())
	state := h.detector.State(now)
	if h.targetDown {
		state = detector.Failed
	}
	if state != h.state {
		c.changeState(now, id, h, state)
	}
	if state == detector.Trusted || now.Sub(h.notifiedAt) < suspicionRepeatInterval {
		return
	}
	h.notifiedAt = now
	event := request.Event{Type: request.EventSuspected, Target: id}
	if state == detector.Failed {
		event = request.Event{Type: request.EventFailed, Kind: fault.TargetLost}
	}
	c.notifyAttempts(id, event)
}

// changeState records a new state of a target and marks it up or down in the routing
// table.
func (c *control) changeState(now time.Time, id request.TargetID, h *targetHealth, state detector.State) {
	klog.InfoS("target state changed", "target", id, "from", h.state, "to", state, "dead", h.targetDown, "attempts", len(c.runningAttempts[id]))
	failed := h.state == detector.Failed
	h.state = state
	h.notifiedAt = time.Time{}
	c.observer.Record(timeline.Event{Kind: stateEvents[state], Target: id})
	target := c.table.Get(id)
	switch {
	case target == nil:
	case state != detector.Trusted:
		target.Up = false
	case failed:
		target.MarkUp(now)
	default:
		target.Up = true
	}
}
