package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// busyCheckInterval is the interval between checks of the targets for silence
	// while requests run or wait, idleCheckInterval the interval while none do.
	busyCheckInterval = 10 * time.Millisecond
	idleCheckInterval = 100 * time.Millisecond
	// commandBuffer is how many commands may be queued for the control goroutine.
	commandBuffer = 1024
)

// defaultDetectorBounds applies while the profile of a target's service is unknown.
var defaultDetectorBounds = detector.Bounds{Min: 200 * time.Millisecond, Max: time.Second}

// attemptKey identifies one running attempt.
type attemptKey struct {
	request request.ID
	attempt request.AttemptNumber
}

// attemptLoad is the load of one running attempt on its target.
type attemptLoad struct {
	driver *generationDriver
	// expectedTokens is the most tokens that the attempt can produce, countedTokens
	// how many of them were already deducted from its target's load.
	expectedTokens, countedTokens int
	// deliveredTokens counts the tokens delivered to the caller so far.
	deliveredTokens atomic.Int64
}

// control owns the routing table, the failure detectors, admission and the list of
// running attempts. One goroutine runs all commands, so no locks are needed.
type control struct {
	commands chan func()
	// done is closed when the control goroutine has ended.
	done chan struct{}
	// busy counts the nanoseconds that the control goroutine spent working.
	busy      atomic.Int64
	revisions *revision.Active
	observer  *observe.Observer
	table     *routing.Table
	health    map[request.TargetID]*targetHealth
	// checkInterval is the current interval between checks, attemptCount the number
	// of running attempts.
	checkInterval time.Duration
	attemptCount  int
	// lastCheck is when the targets were last checked for silence, lastSweep when the
	// progress of the running attempts was last recorded.
	lastCheck, lastSweep time.Time
	// producedTokens counts the tokens of each service since the last sweep.
	producedTokens  map[string]int
	admission       admissionState
	draining        drainState
	runningAttempts map[request.TargetID]map[attemptKey]*attemptLoad
}

func newControl(random *rand.Rand, revisions *revision.Active, observer *observe.Observer) *control {
	return &control{
		commands:        make(chan func(), commandBuffer),
		done:            make(chan struct{}),
		revisions:       revisions,
		observer:        observer,
		table:           routing.NewTable(random),
		producedTokens:  map[string]int{},
		admission:       newAdmissionState(),
		draining:        newDrainState(),
		health:          map[request.TargetID]*targetHealth{},
		runningAttempts: map[request.TargetID]map[attemptKey]*attemptLoad{},
	}
}

func (c *control) run(ctx context.Context) {
	defer close(c.done)
	c.checkInterval = idleCheckInterval
	timer := time.NewTimer(c.checkInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			c.runTimed(command)
			if c.switchToBusyInterval(time.Now()) {
				timer.Reset(c.checkInterval)
			}
		case <-timer.C:
			c.runTimed(func() { c.checkTargets(time.Now()) })
			c.checkInterval = c.requiredCheckInterval()
			timer.Reset(c.checkInterval)
		}
	}
}

// requiredCheckInterval returns the check interval for the present work.
func (c *control) requiredCheckInterval() time.Duration {
	if c.attemptCount > 0 || len(c.admission.waiting) > 0 {
		return busyCheckInterval
	}
	return idleCheckInterval
}

// switchToBusyInterval switches from the idle to the busy check interval if work has
// arrived, and reports whether it did. It also restarts the time since the last
// check, so that the idle interval is not taken for a pause of this process.
func (c *control) switchToBusyInterval(now time.Time) bool {
	if c.checkInterval == busyCheckInterval || c.requiredCheckInterval() != busyCheckInterval {
		return false
	}
	c.checkInterval = busyCheckInterval
	c.lastCheck = now
	return true
}

// runTimed runs work and adds the time it takes to busy.
func (c *control) runTimed(work func()) {
	begin := time.Now()
	work()
	c.busy.Add(int64(time.Since(begin)))
}

// do queues command for the control goroutine and does not wait until it has run.
// The command is dropped if ctx or the control goroutine ends first.
func (c *control) do(ctx context.Context, command func()) {
	select {
	case c.commands <- command:
	case <-c.done:
	case <-ctx.Done():
	}
}

// selectTarget selects a target for an attempt and sends EventTargetSelected or
// EventNoTarget to reply, which must have room for it.
func (c *control) selectTarget(ctx context.Context, requirements routing.Requirements, reply chan<- request.Event) {
	c.do(ctx, func() { c.selectTargetNow(time.Now(), requirements, reply) })
}

// selectHedgeTarget selects a target for a hedge of the attempt on target. If that
// target is merely suspected, the hedge is charged to the hedge budget of the service.
func (c *control) selectHedgeTarget(ctx context.Context, target request.TargetID, requirements routing.Requirements, reply chan<- request.Event) {
	c.do(ctx, func() {
		h, ok := c.health[target]
		if ok && h.state == detector.Suspected && !c.hedgeBudget(requirements.Service).Spend() {
			reply <- request.Event{Type: request.EventNoTarget, Kind: fault.RetriesExhausted}
			return
		}
		c.selectTargetNow(time.Now(), requirements, reply)
	})
}

func (c *control) selectTargetNow(now time.Time, requirements routing.Requirements, reply chan<- request.Event) {
	target, err := c.table.Pick(now, requirements)
	if err != nil {
		reply <- request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
		return
	}
	reply <- request.Event{Type: request.EventTargetSelected, Target: target.ID}
}

// releaseSelection releases a selection that is still unread in reply. tokens is the
// number of tokens the target was selected for.
func (c *control) releaseSelection(reply <-chan request.Event, tokens int) {
	c.do(context.Background(), func() {
		select {
		case event := <-reply:
			c.table.Release(event.Target, tokens)
		default:
		}
	})
}

// addAttempt registers a running attempt, so that it is notified when its target is
// suspected and its progress is deducted from the load of the target.
func (c *control) addAttempt(ctx context.Context, target request.TargetID, key attemptKey, load *attemptLoad) {
	c.do(ctx, func() {
		loads := c.runningAttempts[target]
		if loads == nil {
			loads = map[attemptKey]*attemptLoad{}
			c.runningAttempts[target] = loads
		}
		loads[key] = load
		c.attemptCount++
		c.updateBusy(target)
	})
}

// removeAttempt removes a running attempt and deducts its remaining tokens from the
// load of the target.
func (c *control) removeAttempt(target request.TargetID, key attemptKey, load *attemptLoad) {
	c.do(context.Background(), func() {
		c.recordProgress(target, load)
		c.table.Release(target, load.expectedTokens-load.countedTokens)
		if _, ok := c.runningAttempts[target][key]; ok {
			delete(c.runningAttempts[target], key)
			c.attemptCount--
		}
		c.updateBusy(target)
		c.dispatch(time.Now(), load.driver.generation.Service)
	})
}

func (c *control) detectorBounds(service string) detector.Bounds {
	profile := c.profile(service)
	if profile.SuspectAfter.Max == 0 {
		return defaultDetectorBounds
	}
	return detector.Bounds{Min: profile.SuspectAfter.Min.Std(), Max: profile.SuspectAfter.Max.Std()}
}

// notifyAttempts sends an event to the driver of every attempt on a target.
func (c *control) notifyAttempts(id request.TargetID, event request.Event) {
	for key, load := range c.runningAttempts[id] {
		event.Attempt = key.attempt
		load.driver.notify(event)
	}
}

// countReadyTargets returns how many targets are up and have reported their models.
func (c *control) countReadyTargets() int {
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
