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
	// checkEvery is the period at which silences are looked at while requests run
	// or wait, idleCheckEvery that while none do.
	checkEvery     = 10 * time.Millisecond
	idleCheckEvery = 100 * time.Millisecond
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

// attemptLoad is the load of one running attempt.
type attemptLoad struct {
	driver *generationDriver
	// expected bounds the tokens of the attempt, counted is how many of them were
	// taken off its target's load.
	expected, counted int
	// produced counts the tokens delivered so far.
	produced atomic.Int64
}

// control owns the routing table, the failure detectors and the list of running
// attempts. One goroutine runs all commands, so nothing in it is locked.
type control struct {
	commands chan func()
	// done is closed when the control goroutine has ended.
	done chan struct{}
	// busy counts the nanoseconds that the control goroutine worked.
	busy      atomic.Int64
	revisions *revision.Active
	observer  *observe.Observer
	table     *routing.Table
	watches   map[request.TargetID]*watch
	// period is the present period of checks, attempts counts those that run.
	period   time.Duration
	attempts int
	// checked is when the silences were last looked at, swept when the progress
	// of the running attempts was.
	checked, swept time.Time
	// produced counts the tokens of each service since the last sweep.
	produced   map[string]int
	desk       desk
	departures departures
	running    map[request.TargetID]map[runKey]*attemptLoad
}

func newControl(random *rand.Rand, revisions *revision.Active, observer *observe.Observer) *control {
	return &control{
		commands:   make(chan func(), commandBuffer),
		done:       make(chan struct{}),
		revisions:  revisions,
		observer:   observer,
		table:      routing.NewTable(random),
		produced:   map[string]int{},
		desk:       newDesk(),
		departures: newDepartures(),
		watches:    map[request.TargetID]*watch{},
		running:    map[request.TargetID]map[runKey]*attemptLoad{},
	}
}

func (c *control) run(ctx context.Context) {
	defer close(c.done)
	c.period = idleCheckEvery
	timer := time.NewTimer(c.period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			c.timed(command)
			if c.quicken(time.Now()) {
				timer.Reset(c.period)
			}
		case <-timer.C:
			c.timed(func() { c.checkSilence(time.Now()) })
			c.period = c.wantedPeriod()
			timer.Reset(c.period)
		}
	}
}

// wantedPeriod is how soon silences have to be looked at again.
func (c *control) wantedPeriod() time.Duration {
	if c.attempts > 0 || len(c.desk.waiting) > 0 {
		return checkEvery
	}
	return idleCheckEvery
}

// quicken ends the slow period when work has come. The time since the last check
// was no pause of this process.
func (c *control) quicken(now time.Time) bool {
	if c.period == checkEvery || c.wantedPeriod() != checkEvery {
		return false
	}
	c.period = checkEvery
	c.checked = now
	return true
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
func (c *control) pick(ctx context.Context, need routing.Requirements, reply chan<- request.Event) {
	c.do(ctx, func() { c.pickNow(time.Now(), need, reply) })
}

// hedge is pick for a second attempt beside the one on target. On mere suspicion
// it is taken from the budget of the service.
func (c *control) hedge(ctx context.Context, target request.TargetID, need routing.Requirements, reply chan<- request.Event) {
	c.do(ctx, func() {
		w, ok := c.watches[target]
		if ok && w.state == detector.Suspected && !c.budget(need.Service).Spend() {
			reply <- request.Event{Type: request.EventNoTarget, Kind: fault.RetriesExhausted}
			return
		}
		c.pickNow(time.Now(), need, reply)
	})
}

func (c *control) pickNow(now time.Time, need routing.Requirements, reply chan<- request.Event) {
	target, err := c.table.Pick(now, need)
	if err != nil {
		reply <- request.Event{Type: request.EventNoTarget, Kind: fault.KindOf(err)}
		return
	}
	reply <- request.Event{Type: request.EventTargetSelected, Target: target.ID}
}

// unpick gives back a pick for tokens that nobody took from reply.
func (c *control) unpick(reply <-chan request.Event, tokens int) {
	c.do(context.Background(), func() {
		select {
		case event := <-reply:
			c.table.Release(event.Target, tokens)
		default:
		}
	})
}

// started registers a running attempt, so that it hears of suspicions and its
// progress is taken off the load of its target.
func (c *control) started(ctx context.Context, target request.TargetID, key runKey, run *attemptLoad) {
	c.do(ctx, func() {
		runs := c.running[target]
		if runs == nil {
			runs = map[runKey]*attemptLoad{}
			c.running[target] = runs
		}
		runs[key] = run
		c.attempts++
		c.noteBusy(target)
	})
}

// ended removes a running attempt.
func (c *control) ended(target request.TargetID, key runKey, run *attemptLoad) {
	c.do(context.Background(), func() {
		c.count(target, run)
		c.table.Release(target, run.expected-run.counted)
		if _, ok := c.running[target][key]; ok {
			delete(c.running[target], key)
			c.attempts--
		}
		c.noteBusy(target)
		c.dispatch(time.Now(), run.driver.generation.Service)
	})
}

func (c *control) bounds(service string) detector.Bounds {
	profile := c.profile(service)
	if profile.SuspectAfter.Max == 0 {
		return defaultBounds
	}
	return detector.Bounds{Min: profile.SuspectAfter.Min.Std(), Max: profile.SuspectAfter.Max.Std()}
}

// tell sends an event to every attempt that runs on a target.
func (c *control) tell(id request.TargetID, event request.Event) {
	for key, run := range c.running[id] {
		event.Attempt = key.attempt
		run.driver.notify(event)
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
