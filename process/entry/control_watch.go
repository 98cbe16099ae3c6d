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
	// idleSilence is the silence that is suspicious on a link without work.
	idleSilence = 3 * wire.IdleHeartbeatInterval
	// ownPause is how late a check may come before the lateness is taken for a
	// pause of this process.
	ownPause = 3 * checkEvery
	// tellEvery is the period at which a lasting suspicion is told again, since
	// an attempt may have started in between.
	tellEvery = 50 * time.Millisecond
	// sweepEvery is the period at which progress is taken off the load of targets.
	sweepEvery = 100 * time.Millisecond
)

// watch is what the control goroutine keeps for the link to one target.
type watch struct {
	detector *detector.Detector
	link     *link.Link
	state    detector.State
	// dead says that the agent found the port of its target closed.
	dead bool
	told time.Time
	// entries is how many entries have a link to the agent.
	entries int
	// leaving says that the agent takes no new work.
	leaving bool
}

// stateEvents gives the event of each new state of a target.
var stateEvents = map[detector.State]timeline.Kind{
	detector.Trusted:   timeline.TargetTrusted,
	detector.Suspected: timeline.TargetSuspected,
	detector.Failed:    timeline.TargetDown,
}

// linkUp notes the first control frame on a new link.
func (c *control) linkUp(ctx context.Context, hello wire.Hello, l *link.Link) {
	c.do(ctx, func() {
		now := time.Now()
		target := c.table.Upsert(hello.Target)
		target.Service = hello.Service
		target.FailureDomain = hello.FailureDomain
		target.Incarnation = hello.Incarnation
		target.MarkUp(now)
		c.watches[hello.Target] = &watch{
			detector: detector.New(now, c.bounds(hello.Service), idleSilence),
			link:     l,
		}
		c.observer.Record(timeline.Event{Kind: timeline.TargetUp, Target: hello.Target})
		klog.InfoS("target up", "target", hello.Target, "incarnation", hello.Incarnation)
	})
}

// linkDown notes that the link l to a target is over.
func (c *control) linkDown(ctx context.Context, id request.TargetID, l *link.Link) {
	c.do(ctx, func() {
		w, ok := c.watches[id]
		if !ok || w.link != l {
			return
		}
		if target := c.table.Get(id); target != nil {
			target.Up = false
		}
		delete(c.watches, id)
		c.observer.Record(timeline.Event{Kind: timeline.TargetDown, Target: id})
		c.tell(id, request.Event{Type: request.EventFailed, Kind: fault.TargetLost})
	})
}

// heartbeat notes the state that an agent reports.
func (c *control) heartbeat(ctx context.Context, id request.TargetID, beat wire.Heartbeat) {
	now := time.Now()
	c.do(ctx, func() {
		target := c.table.Get(id)
		w := c.watches[id]
		if target == nil || w == nil {
			return
		}
		w.dead = !beat.TargetAlive
		w.detector.Observe(now.Add(-time.Duration(beat.LastActivityAgeMillis) * time.Millisecond))
		w.detector.SetStalled(time.Duration(beat.StalledMillis) * time.Millisecond)
		w.leaving = beat.Draining
		c.noteLeaving(now, id)
		w.entries = beat.Entries
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
		c.judge(now, id, w)
	})
}

// noteBusy tells the detector of a target whether work runs there.
func (c *control) noteBusy(id request.TargetID) {
	if w, ok := c.watches[id]; ok {
		w.detector.SetBusy(time.Now(), len(c.running[id]) > 0)
	}
}

// checkSilence looks at all targets. When the check itself comes late, this
// process was paused, and its own silence is no sign of the targets.
func (c *control) checkSilence(now time.Time) {
	late := now.Sub(c.checked) - c.period
	paused := !c.checked.IsZero() && late > ownPause
	c.checked = now
	if now.Sub(c.swept) >= sweepEvery {
		c.swept = now
		c.sweep(now)
	}
	for id, w := range c.watches {
		if paused {
			w.detector.DiscountPause(late)
		}
		w.detector.SetBusy(now, len(c.running[id]) > 0)
		c.judge(now, id, w)
	}
	c.dispatchAll(now)
}

// count takes the progress of one attempt off the load of its target.
func (c *control) count(id request.TargetID, run *attemptLoad) {
	total := int(run.produced.Load())
	fresh := total - run.counted
	run.counted = total
	c.table.RecordTokens(id, fresh)
	c.produced[run.driver.generation.Service] += fresh
}

// sweep takes the progress of all running attempts off the load of their targets,
// tells it to admission, and counts the entries.
func (c *control) sweep(now time.Time) {
	for id, runs := range c.running {
		for _, run := range runs {
			c.count(id, run)
		}
	}
	for _, service := range c.desk.controller.Services() {
		c.desk.controller.RecordTokens(now, service, c.produced[service])
	}
	clear(c.produced)
	entries := 1
	for id, w := range c.watches {
		entries = max(entries, w.entries)
		if target := c.table.Get(id); target != nil {
			w.detector.SetBounds(c.bounds(target.Service))
		}
		c.noteLeaving(now, id)
	}
	c.table.SetEntryCount(entries)
	c.desk.controller.SetEntryCount(entries)
}

// judge acts on what the detector of a target believes.
func (c *control) judge(now time.Time, id request.TargetID, w *watch) {
	w.detector.Observe(w.link.LastReceived())
	state := w.detector.State(now)
	if w.dead {
		state = detector.Failed
	}
	if state != w.state {
		c.turn(now, id, w, state)
	}
	if state == detector.Trusted || now.Sub(w.told) < tellEvery {
		return
	}
	w.told = now
	event := request.Event{Type: request.EventSuspected, Target: id}
	if state == detector.Failed {
		event = request.Event{Type: request.EventFailed, Kind: fault.TargetLost}
	}
	c.tell(id, event)
}

// turn notes a change of what is believed of a target.
func (c *control) turn(now time.Time, id request.TargetID, w *watch, state detector.State) {
	klog.InfoS("target state", "target", id, "from", w.state, "to", state, "dead", w.dead, "attempts", len(c.running[id]))
	failed := w.state == detector.Failed
	w.state = state
	w.told = time.Time{}
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
