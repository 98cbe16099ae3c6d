package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// checkEvery is the period at which silences are looked at.
	checkEvery = 10 * time.Millisecond
	// commandBuffer is how many commands may wait for the control goroutine.
	commandBuffer = 1024
)

// defaultBounds is used while a target's profile is not known.
var defaultBounds = detector.Bounds{Min: 200 * time.Millisecond, Max: time.Second}

// runKey names one running attempt.
type runKey struct {
	request request.ID
	attempt request.AttemptNumber
}

// control owns the routing table, the failure detectors and the list of running
// attempts. One goroutine runs all commands, so nothing in it is locked.
type control struct {
	commands chan func()
	// done is closed when the control goroutine has ended.
	done chan struct{}
	// busy counts the nanoseconds that the control goroutine worked.
	busy      atomic.Int64
	revisions *revision.Holder
	observer  *observe.Observer
	table     *routing.Table
	detectors map[request.TargetID]*detector.Detector
	running   map[request.TargetID]map[runKey]*generationDriver
}

func newControl(random *rand.Rand, revisions *revision.Holder, observer *observe.Observer) *control {
	return &control{
		commands:  make(chan func(), commandBuffer),
		done:      make(chan struct{}),
		revisions: revisions,
		observer:  observer,
		table:     routing.NewTable(random),
		detectors: map[request.TargetID]*detector.Detector{},
		running:   map[request.TargetID]map[runKey]*generationDriver{},
	}
}

func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			c.timed(command)
		case now := <-ticker.C:
			c.timed(func() { c.checkSilence(now) })
		}
	}
}

// timed runs work and counts the time that it takes.
func (c *control) timed(work func()) {
	begin := time.Now()
	work()
	c.busy.Add(int64(time.Since(begin)))
}

// do runs command on the control goroutine, without waiting for it.
func (c *control) do(ctx context.Context, command func()) {
	select {
	case c.commands <- command:
	case <-c.done:
	case <-ctx.Done():
	}
}

// pick chooses a target for an attempt and sends EventPicked or EventNoTarget to
// reply, which must have room for it.
func (c *control) pick(ctx context.Context, need routing.Need, reply chan<- request.Event) {
	c.do(ctx, func() {
		target, err := c.table.Pick(time.Now(), need)
		if err != nil {
			reply <- request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
			return
		}
		reply <- request.Event{Type: request.EventPicked, Target: target.ID}
	})
}

// unpick gives back a pick that nobody took from reply.
func (c *control) unpick(reply <-chan request.Event) {
	c.do(context.Background(), func() {
		select {
		case event := <-reply:
			c.table.Release(event.Target)
		default:
		}
	})
}

// started registers a running attempt, so that it hears of suspicions.
func (c *control) started(ctx context.Context, target request.TargetID, key runKey, driver *generationDriver) {
	c.do(ctx, func() {
		runs := c.running[target]
		if runs == nil {
			runs = map[runKey]*generationDriver{}
			c.running[target] = runs
		}
		runs[key] = driver
	})
}

// ended removes a running attempt.
func (c *control) ended(target request.TargetID, key runKey) {
	c.do(context.Background(), func() {
		c.table.Release(target)
		delete(c.running[target], key)
	})
}

// heard notes a sign of life of a target.
func (c *control) heard(ctx context.Context, target request.TargetID, now time.Time) {
	c.do(ctx, func() { c.noteHeard(target, now) })
}

func (c *control) noteHeard(id request.TargetID, now time.Time) {
	watch, ok := c.detectors[id]
	if !ok {
		return
	}
	watch.Heard(now)
	if target := c.table.Get(id); target != nil {
		target.Up = true
	}
}

// linkUp notes the first control frame on a new link.
func (c *control) linkUp(ctx context.Context, hello wire.Hello) {
	c.do(ctx, func() {
		target := c.table.Upsert(hello.Target)
		target.Service = hello.Service
		target.FailureDomain = hello.FailureDomain
		target.Incarnation = hello.Incarnation
		target.Up = true
		c.detectors[hello.Target] = detector.New(time.Now(), c.bounds(hello.Service))
		c.observer.Record(timeline.Event{Kind: timeline.TargetUp, Target: hello.Target})
		klog.InfoS("target up", "target", hello.Target, "incarnation", hello.Incarnation)
	})
}

func (c *control) bounds(service string) detector.Bounds {
	_, profile := c.revisions.Current().ProfileOf(service)
	if profile.SuspectAfter.Max == 0 {
		return defaultBounds
	}
	return detector.Bounds{Min: profile.SuspectAfter.Min.Std(), Max: profile.SuspectAfter.Max.Std()}
}

// heartbeat notes the state that an agent reports.
func (c *control) heartbeat(ctx context.Context, id request.TargetID, beat wire.Heartbeat) {
	now := time.Now()
	c.do(ctx, func() {
		target := c.table.Get(id)
		if target == nil {
			return
		}
		if beat.EngineAlive {
			c.noteHeard(id, now)
		}
		target.Leaving = beat.Leaving
		target.Running = beat.EngineRunning
		target.Waiting = beat.EngineWaiting
		target.Reported = now.Add(-time.Duration(beat.LoadAgeMillis) * time.Millisecond)
		target.Models = beat.Models
	})
}

// linkDown notes that the link to a target is over.
func (c *control) linkDown(ctx context.Context, id request.TargetID) {
	c.do(ctx, func() {
		if target := c.table.Get(id); target != nil {
			target.Up = false
		}
		delete(c.detectors, id)
		c.observer.Record(timeline.Event{Kind: timeline.TargetDown, Target: id})
		c.tell(id, request.Event{Type: request.EventFailed, Kind: fault.TargetLost})
	})
}

func (c *control) checkSilence(now time.Time) {
	for id, watch := range c.detectors {
		target := c.table.Get(id)
		switch watch.State(now) {
		case detector.Trusted:
		case detector.Suspected:
			target.Up = false
			c.tell(id, request.Event{Type: request.EventSuspected, Target: id})
		case detector.Failed:
			target.Up = false
			c.tell(id, request.Event{Type: request.EventFailed, Kind: fault.TargetLost})
		}
	}
}

// tell sends an event to every attempt that runs on a target.
func (c *control) tell(id request.TargetID, event request.Event) {
	for key, driver := range c.running[id] {
		event.Attempt = key.attempt
		driver.notify(event)
	}
}

// countUp returns how many targets are up and have reported.
func (c *control) countUp() int {
	reply := make(chan int, 1)
	c.do(context.Background(), func() {
		count := 0
		for _, target := range c.table.Targets() {
			if target.Up && len(target.Models) > 0 {
				count++
			}
		}
		reply <- count
	})
	select {
	case count := <-reply:
		return count
	case <-c.done:
		return 0
	}
}
