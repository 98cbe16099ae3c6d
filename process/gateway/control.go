package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/freshness"
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/origins"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/process/shutdown"
	"github.com/mulberrylane/mulberrylane/process/storesync"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// checkInterval is the interval between checks for silent targets while attempts
	// run.
	checkInterval = 50 * time.Millisecond
	// idleCheckInterval is that interval while no attempts run.
	idleCheckInterval = 250 * time.Millisecond
	// pauseThreshold is how late a check must be for the process to count as paused.
	pauseThreshold = 250 * time.Millisecond
	// commandBuffer is how many commands may queue for the control goroutine.
	commandBuffer = 256
)

// targetMonitor records the activity of one target.
type targetMonitor struct {
	id       request.TargetID
	address  string
	service  string
	detector *detector.Detector
	// lastSeen is when something was last received from the target, in nanoseconds
	// since the start of the process.
	lastSeen atomic.Int64
	// lastIdentified is when something that identifies the target was last received,
	// zero for never. Other activity may come from another process at its address.
	lastIdentified atomic.Int64
	// attempts holds the running attempts.
	attempts map[*attempt]struct{}
	probing  bool
	// suspectedAt is when the target last failed to answer a probe and was suspected, in
	// nanoseconds since the start of the process, zero if it has been active since.
	suspectedAt int64
	// broken holds the attempts whose responses broke off, until it is known whether the
	// target has crashed.
	broken []brokenAttempt
	// identifying is set while the address is probed for the target's successor,
	// lastIdentifyAttempt is when that was last started.
	identifying         bool
	lastIdentifyAttempt time.Time
}

// control owns what the entry knows about targets, other entries and budgets. One
// goroutine runs all commands, so its fields need no lock.
type control struct {
	gateway  *Gateway
	commands chan func()
	// stopped is closed when the control goroutine has returned.
	stopped   chan struct{}
	table     *placement.Table
	registry  *registry.Registry
	monitors  map[request.TargetID]*targetMonitor
	budgets   map[string]*admission.RetryBudget
	callQueue callQueue
	bounds    Bounds
	startedAt time.Time
	lastCheck time.Time
	// lastPause is when a check last found that the process had stood still.
	lastPause time.Time

	// storeHistory is what this entry knows of the store, with the newest changes for other entries.
	storeHistory storesync.History
	// withheld holds the registrations in the store that do not count, because the store came back from
	// an older copy.
	withheld map[request.TargetID]placement.Registration
	// entriesReturnUntil is until when entries whose registrations are not in that copy are kept,
	// knowledgeUntil until when entries tell each other what they know beside the store. While
	// runsUnknownUntil has not passed, entries may be running that this one does not know.
	entriesReturnUntil, knowledgeUntil, runsUnknownUntil time.Time
	// questions holds the IDs of the questions to other entries that may still be answered, and
	// latestVersion the latest version of the configuration that another entry told of.
	questions     map[uint64]time.Time
	latestVersion int64
	// lastReadFailed is set while this entry's own last read of the store failed, though
	// others may have answered since.
	lastReadFailed bool
	// peers maps the names of all entries to their registrations. peerLastSeen maps the names
	// of other entries to when their last full or delta update was received.
	peers        map[string]peer
	peerLastSeen map[string]time.Time
	// peerSilentUntil is until when callers may come back from an entry whose runs are not known.
	peerSilentUntil time.Time
	// departed maps entries that were silent when their registrations ended to until when streams may go
	// on there: they may be out of touch and serve on.
	departed map[string]time.Time
	// kvCopies knows the runs of streams, here and at other entries, and their KV copies.
	kvCopies *kvcopies.Index
	// origins knows which versions of services began streams.
	origins *origins.Index
	// peerUpdates holds the merged updates of each other entry.
	peerUpdates map[string]peers.Update
	// recentlyDown maps targets that this entry marked down to the time when it did so.
	// recentlyReplaced maps targets to the time when this entry found another target at
	// their address.
	recentlyDown     map[request.TargetID]time.Time
	recentlyReplaced map[request.TargetID]time.Time
	// recentlyDraining maps targets that announced to this entry that they drain to the time
	// when they did so.
	recentlyDraining map[peers.DrainingTarget]time.Time
	// recentSuccessors maps successors that this entry adopted, found by itself or
	// reported by another entry, to the time of their adoption.
	recentSuccessors map[peers.Successor]time.Time
	// promptIndex records which engines cache which prompts. discoveredPrompts holds
	// those that engines reported and that are still to be sent to other entries.
	promptIndex       *prompts.Index
	discoveredPrompts map[peers.CachedPrompt]time.Time
	// quarantine knows the prompt parts on which engines crash. recentCrashes and
	// recentSurvivals hold what this entry saw and the others may not know yet, with the
	// number of updates that reported it. storedParts holds the parts whose quarantine this
	// entry writes to the store.
	quarantine      *quarantine.Tracker
	recentCrashes   map[crashID]sentCrash
	recentSurvivals map[quarantine.Part]sentSurvival
	storedParts     map[quarantine.Part]struct{}
	// trials holds the parts in quarantine with which this entry may send one request.
	trials map[quarantine.Part]struct{}
	// trialsDue holds the parts whose quarantine is known from the store alone, and when this
	// entry may claim the trial of each.
	trialsDue map[quarantine.Part]time.Time
	// claimedTrials holds the parts whose trials this entry has claimed, until the ends of the
	// quarantines.
	claimedTrials map[quarantine.Part]time.Time
	// rollouts moves services to other versions on orders of operators.
	rollouts rollouts
	// bootClockOffset is the difference between the clock that includes suspended time
	// and the time since the start of the process, which excludes it; it grows when the
	// host is suspended. lastResume is when the host or the process was last seen to
	// resume from a suspension or pause.
	bootClockOffset time.Duration
	lastResume      time.Time

	updateScheduler *peers.UpdateScheduler
	sequence        uint64
	incarnation     int64
	// lastUpdateSent is when sendPeerUpdate last ran.
	lastUpdateSent time.Time
	updatePending  bool
	// newlyPlaced lists the engines that were given prompts by the last command.
	newlyPlaced []request.TargetID

	// durations maps services to the durations of the requests that they served.
	durations map[string]*shutdown.DurationEstimate
	// handovers maps services to how long their streams ran before another entry could have
	// gone on with them from a KV copy.
	handovers map[string]*shutdown.DurationEstimate

	// freshness is read by requests; it is never modified in place, only replaced as a
	// whole.
	freshness atomic.Pointer[freshness.Freshness]
}

func newControl(g *Gateway) *control {
	now := time.Now()
	c := &control{
		gateway:           g,
		commands:          make(chan func(), commandBuffer),
		stopped:           make(chan struct{}),
		table:             placement.NewTable(),
		registry:          registry.New(),
		monitors:          map[request.TargetID]*targetMonitor{},
		budgets:           map[string]*admission.RetryBudget{},
		callQueue:         newCallQueue(),
		bounds:            g.settings.Bounds,
		startedAt:         now,
		lastCheck:         now,
		peers:             map[string]peer{},
		peerLastSeen:      map[string]time.Time{},
		kvCopies:          kvcopies.New(),
		origins:           origins.New(),
		peerUpdates:       map[string]peers.Update{},
		recentlyDown:      map[request.TargetID]time.Time{},
		recentlyReplaced:  map[request.TargetID]time.Time{},
		recentlyDraining:  map[peers.DrainingTarget]time.Time{},
		recentSuccessors:  map[peers.Successor]time.Time{},
		promptIndex:       prompts.New(),
		quarantine:        quarantine.New(),
		recentCrashes:     map[crashID]sentCrash{},
		recentSurvivals:   map[quarantine.Part]sentSurvival{},
		storedParts:       map[quarantine.Part]struct{}{},
		trials:            map[quarantine.Part]struct{}{},
		trialsDue:         map[quarantine.Part]time.Time{},
		claimedTrials:     map[quarantine.Part]time.Time{},
		withheld:          map[request.TargetID]placement.Registration{},
		questions:         map[uint64]time.Time{},
		departed:          map[string]time.Time{},
		updateScheduler:   peers.NewUpdateScheduler(),
		discoveredPrompts: map[peers.CachedPrompt]time.Time{},
		durations:         map[string]*shutdown.DurationEstimate{},
		handovers:         map[string]*shutdown.DurationEstimate{},
		incarnation:       now.UnixNano(),
		rollouts:          newRollouts(g.settings.Bounds, g.settings.Name),
	}
	c.table.SetRandom(rand.New(rand.NewPCG(uint64(c.incarnation), xxhash.Sum64String(g.settings.Name))))
	c.kvCopies.SetKnowledge(kvcopies.Unannounced)
	c.registry.SetAddressReuse(g.settings.Bounds.AddressReuse.Std())
	c.freshness.Store(freshness.New(g.settings.Bounds.RevokeWithin.Std()))
	return c
}

// bootClock returns the time of a clock that keeps running while the machine is
// suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

func (c *control) run() {
	defer close(c.stopped)
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	var updateTimer <-chan time.Time
	for {
		select {
		case <-c.gateway.background.Done():
			return
		case command := <-c.commands:
			c.gateway.protect("control", command)
		case <-updateTimer:
			updateTimer = nil
			c.gateway.protect("peer update", c.sendPeerUpdate)
		case <-timer.C:
			c.gateway.protect("check", func() { c.check(time.Now()) })
			timer.Reset(c.nextCheckInterval())
		}
		c.gateway.protect("peer update", c.sendPartialUpdate)
		if c.updatePending && updateTimer == nil {
			updateTimer = time.After(max(updateDebounce, c.updateScheduler.Delay(time.Now())))
		}
	}
}

func (c *control) nextCheckInterval() time.Duration {
	for _, m := range c.monitors {
		if len(m.attempts) > 0 {
			return checkInterval
		}
	}
	return idleCheckInterval
}

// do runs a command on the control goroutine and waits for it. It returns false if the
// process stopped before the command started; a command that has started is always
// finished when do returns, so the caller may read what it wrote. A command that panics
// counts as finished.
func (c *control) do(command func()) bool {
	done := make(chan struct{})
	select {
	case c.commands <- func() { defer close(done); command() }:
	case <-c.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.stopped:
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// post runs a command on the control goroutine without waiting for it.
func (c *control) post(command func()) {
	select {
	case c.commands <- command:
	case <-c.stopped:
	}
}

// check looks for silent targets, expired registrations and entries that stopped
// sending updates.
func (c *control) check(now time.Time) {
	delay := now.Sub(c.lastCheck) - idleCheckInterval
	if delay > pauseThreshold {
		c.lastPause = now
		c.gateway.log.Event("paused", "for", delay)
		for _, m := range c.monitors {
			m.detector.DiscountPause(delay)
		}
	}
	c.lastCheck = now
	for _, id := range c.registry.TakeExpired(now) {
		c.deregister(id, "lapsed")
	}
	c.settleEra(now)
	c.removeSilentPeers(now)
	c.updateRunKnowledge(now)
	for _, m := range c.monitors {
		c.checkSilence(now, m)
		c.checkPrefill(now, m)
	}
	c.detectSuspension(now, delay > pauseThreshold)
	c.logEndedBackoffs(now)
	c.reprobeDown(now)
	c.findSuccessors(now)
	if now.Sub(c.lastUpdateSent) > updateInterval {
		c.updatePending = true
	}
	c.promptIndex.RemoveExpired(now)
	c.kvCopies.RemoveExpired(now)
	c.checkOrigins(now)
	c.evaluateCrashes(now)
	c.forgetEndedQuarantines(now)
	c.stepRollouts(now)
	c.gateway.pool.CloseExpired()
}

func (c *control) deregister(id request.TargetID, reason string) {
	c.table.Remove(id)
	if m, ok := c.monitors[id]; ok && len(m.attempts) == 0 {
		delete(c.monitors, id)
	}
	c.gateway.log.Event("target_gone", "target", id, "reason", reason)
}

// entryCount returns how many entries share the retry budgets, including this one.
func (c *control) entryCount() int { return max(len(c.peers), len(c.peerLastSeen)+1) }

func (c *control) budget(service string) *admission.RetryBudget {
	budget, ok := c.budgets[service]
	if !ok {
		b := c.bounds
		budget = admission.NewRetryBudget(budgetFraction*b.RetryRatio, budgetFraction*b.RetrySlack, b.RetryWindow.Std())
		c.budgets[service] = budget
	}
	return budget
}

// minRetriesLeft returns the number of retries left to the service that has the fewest,
// or zero while no service has had a request.
func (c *control) minRetriesLeft(now time.Time) int64 {
	least, found := 0.0, false
	for service, budget := range c.budgets {
		left := budget.Remaining(now, c.entryCount(), c.peerUsage(now, service))
		if !found || left < least {
			least, found = left, true
		}
	}
	return int64(least)
}

// budgetFraction is the fraction of the operators' bound on retries that the entries use.
// The rest is a margin: the callers' own counts and those of the entries differ by the
// requests in flight.
const budgetFraction = 0.9

func (c *control) currentFreshness() *freshness.Freshness { return c.freshness.Load() }

// confirmFreshness records that the store confirmed the configuration in its response to
// a call sent at the given time.
func (c *control) confirmFreshness(sent time.Duration) {
	next := *c.freshness.Load()
	next.Confirm(sent)
	c.freshness.Store(&next)
}

// markReplaced records that another target responds at the address of this one. During a
// store outage nothing else reports that.
func (c *control) markReplaced(id request.TargetID) {
	if t := c.table.Get(id); t == nil || !c.table.MarkReplaced(id) {
		return
	}
	c.recordCrash(id)
	c.recentlyReplaced[id] = time.Now()
	c.updatePending = true
	c.gateway.log.Event("target_replaced", "target", id)
}

// takeRetry takes a retry for a service from its budget and reports whether one was
// left. All retries are urgent except hedges and those of streams of which nothing has
// been written to the caller yet.
func (g *Gateway) takeRetry(id request.ID, service string, urgent bool) (admission.Charge, bool) {
	var charge admission.Charge
	granted := false
	g.control.do(func() { charge, granted = g.control.takeRetry(id, service, urgent) })
	return charge, granted
}

func (c *control) takeRetry(id request.ID, service string, urgent bool) (admission.Charge, bool) {
	now := time.Now()
	budget := c.budget(service)
	peerUsage := c.peerUsage(now, service)
	if charge, ok := budget.Spend(now, c.entryCount(), peerUsage, urgent); ok {
		c.updatePending = true
		return charge, true
	}
	local := budget.Usage(now)
	c.gateway.metrics.retriesDenied.Add(context.Background(), 1)
	c.gateway.log.Event("budget_denied", "request", id, "service", service, "entries", c.entryCount(),
		"othersKnown", len(peerUsage), "left", budget.Remaining(now, c.entryCount(), peerUsage),
		"ownRequests", local.Requests, "ownRepeats", local.Retries, "urgent", urgent)
	return admission.Charge{}, false
}

// withStoreTimeout returns a context for a call with a small response. It is cancelled when the process
// stops or after storeTimeout.
func (g *Gateway) withStoreTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.background, storeTimeout)
}
