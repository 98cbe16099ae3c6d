package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/freshness"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/process/registry"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// checkEvery is the period at which silences are looked at while attempts run.
	checkEvery = 50 * time.Millisecond
	// idleEvery is that period while none do.
	idleEvery = 250 * time.Millisecond
	// pauseAfter is how late a check comes when the process itself stood still.
	pauseAfter = 250 * time.Millisecond
	// commandBuffer is how many commands may wait for the control goroutine.
	commandBuffer = 256
)

// watch is what is known of the signs of life of one target.
type watch struct {
	id       request.TargetID
	address  string
	service  string
	detector *detector.Detector
	// heard is when the target last gave a sign, in nanoseconds since the start of
	// the process.
	heard atomic.Int64
	// identified is when it last gave one that names it, zero for never: something else
	// may answer at its address.
	identified atomic.Int64
	// attempts lists the running attempts.
	attempts map[*attempt]struct{}
	probing  bool
	// seeking says that the next life of the target is being asked for, sought when it
	// was last.
	seeking bool
	sought  time.Time
}

// control owns what the entry believes of targets, entries and budgets. One
// goroutine runs all commands, so nothing in it is locked.
type control struct {
	gateway  *Gateway
	commands chan func()
	// ended is closed when the control goroutine is over.
	ended    chan struct{}
	table    *placement.Table
	registry *registry.Registry
	watches  map[request.TargetID]*watch
	budgets  map[string]*admission.RetryBudget
	bounds   Bounds
	began    time.Time
	checked  time.Time

	// peers maps the names of other entries to their addresses, heard to when they
	// last said something.
	peers map[string]string
	heard map[string]time.Time
	// copies maps the sessions of this entry's streams to copies of their memory.
	copies map[string]heldCopy
	// theirs holds the last word of each other entry.
	theirs map[string]peers.Update
	// dead maps targets that this entry found dead to when it did, replaced those at
	// whose addresses it found others.
	dead     map[request.TargetID]time.Time
	replaced map[request.TargetID]time.Time
	// successors maps targets that this entry or another adopted to when it did.
	successors map[peers.Successor]time.Time
	// prompts remembers where prompts were read, located what other entries are told of
	// that.
	prompts *prompts.Index
	located map[peers.CachedPrompt]time.Time
	// ahead is by how much the clock with suspended time is ahead of the one without,
	// resumed when it was last seen to jump.
	ahead   time.Duration
	resumed time.Time

	outbox *peers.UpdateScheduler
	number uint64
	boot   int64
	told   time.Time
	tell   bool
	// placed lists the engines that were given prompts by the last command.
	placed []request.TargetID

	// fresh is read by requests; it is guarded by being replaced whole.
	fresh atomic.Pointer[freshness.Freshness]
}

func newControl(g *Gateway) *control {
	now := time.Now()
	c := &control{
		gateway:    g,
		commands:   make(chan func(), commandBuffer),
		ended:      make(chan struct{}),
		table:      placement.NewTable(),
		registry:   registry.New(),
		watches:    map[request.TargetID]*watch{},
		budgets:    map[string]*admission.RetryBudget{},
		bounds:     g.settings.Bounds,
		began:      now,
		checked:    now,
		peers:      map[string]string{},
		heard:      map[string]time.Time{},
		copies:     map[string]heldCopy{},
		theirs:     map[string]peers.Update{},
		dead:       map[request.TargetID]time.Time{},
		replaced:   map[request.TargetID]time.Time{},
		successors: map[peers.Successor]time.Time{},
		prompts:    prompts.New(),
		outbox:     peers.NewUpdateScheduler(),
		located:    map[peers.CachedPrompt]time.Time{},
		boot:       now.UnixNano(),
	}
	c.registry.SetAddressReuse(g.settings.Bounds.AddressReuse.Std())
	c.fresh.Store(freshness.New(g.settings.Bounds.RevokeWithin.Std()))
	return c
}

// suspendedClock returns a clock that goes on while the machine is suspended.
func suspendedClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

func (c *control) run() {
	defer close(c.ended)
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	var telling <-chan time.Time
	for {
		select {
		case <-c.gateway.background.Done():
			return
		case command := <-c.commands:
			command()
		case <-telling:
			telling = nil
			c.tellPeers()
		case <-timer.C:
			c.check(time.Now())
			timer.Reset(c.period())
		}
		c.tellPlaced()
		if c.tell && telling == nil {
			telling = time.After(max(tellAfter, c.outbox.Delay(time.Now())))
		}
	}
}

func (c *control) period() time.Duration {
	for _, w := range c.watches {
		if len(w.attempts) > 0 {
			return checkEvery
		}
	}
	return idleEvery
}

// do runs a command on the control goroutine and waits for it. It returns false
// when the process ends before the command began; a command that began is over
// when do returns, so that the caller may read what it wrote.
func (c *control) do(command func()) bool {
	done := make(chan struct{})
	select {
	case c.commands <- func() { command(); close(done) }:
	case <-c.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ended:
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
	case <-c.ended:
	}
}

// check looks at silences, lapsed registrations and lost entries.
func (c *control) check(now time.Time) {
	late := now.Sub(c.checked) - idleEvery
	if late > pauseAfter {
		c.gateway.log.Event("paused", "for", late)
		for _, w := range c.watches {
			w.detector.DiscountPause(late)
		}
	}
	c.checked = now
	for _, id := range c.registry.TakeExpired(now) {
		c.drop(id, "lapsed")
	}
	for name, at := range c.heard {
		if now.Sub(at) > peerGone {
			delete(c.heard, name)
			delete(c.theirs, name)
			c.table.RemovePeer(name)
		}
	}
	for _, w := range c.watches {
		c.checkTarget(now, w)
	}
	c.noteSuspension(now, late > pauseAfter)
	c.tryAgain(now)
	c.seek(now)
	if now.Sub(c.told) > tellEvery {
		c.tell = true
	}
	c.prompts.RemoveExpired(now)
	c.gateway.pool.CloseExpired()
}

func (c *control) drop(id request.TargetID, reason string) {
	c.table.Remove(id)
	if w, ok := c.watches[id]; ok && len(w.attempts) == 0 {
		delete(c.watches, id)
	}
	c.gateway.log.Event("target_gone", "target", id, "reason", reason)
}

// entries returns how many entries share the budgets, this one included.
func (c *control) entries() int { return max(len(c.peers), len(c.heard)+1) }

func (c *control) budget(service string) *admission.RetryBudget {
	budget, ok := c.budgets[service]
	if !ok {
		b := c.bounds
		budget = admission.NewRetryBudget(budgetShare*b.RetryRatio, budgetShare*b.RetrySlack, b.RetryWindow.Std())
		c.budgets[service] = budget
	}
	return budget
}

// leastBudget returns how many repeats are left to the service that has fewest, or
// zero while no service had a request.
func (c *control) leastBudget(now time.Time) int64 {
	least, found := 0.0, false
	for service, budget := range c.budgets {
		left := budget.Remaining(now, c.entries(), c.others(now, service))
		if !found || left < least {
			least, found = left, true
		}
	}
	return int64(least)
}

// budgetShare is the part of the operators' bound on repeats that is used, since
// callers' own counts and those of entries differ by what is under way.
const budgetShare = 0.9

// freshNow returns the judge of the configuration's age.
func (c *control) freshNow() *freshness.Freshness { return c.fresh.Load() }

// confirm notes that the store confirmed the configuration as of the instant sent.
func (c *control) confirm(sent time.Duration) {
	next := *c.fresh.Load()
	next.Confirm(sent)
	c.fresh.Store(&next)
}

// replace notes that another target answers at the address of this one. While the
// store is away that is the only word of it.
func (c *control) replace(id request.TargetID) {
	if t := c.table.Get(id); t == nil || !c.table.MarkReplaced(id) {
		return
	}
	c.replaced[id] = time.Now()
	c.tell = true
	c.gateway.log.Event("target_replaced", "target", id)
}

// spend takes a repeat for a service from the budget, or says that none is left.
// Urgent repeats are those of answers that their callers are reading.
func (g *Gateway) spend(id request.ID, service string, urgent bool) (admission.Charge, bool) {
	var charge admission.Charge
	granted := false
	g.control.do(func() { charge, granted = g.control.spend(id, service, urgent) })
	return charge, granted
}

func (c *control) spend(id request.ID, service string, urgent bool) (admission.Charge, bool) {
	now := time.Now()
	budget := c.budget(service)
	others := c.others(now, service)
	if charge, ok := budget.Spend(now, c.entries(), others, urgent); ok {
		c.tell = true
		return charge, true
	}
	own := budget.Usage(now)
	c.gateway.metrics.denied.Add(context.Background(), 1)
	c.gateway.log.Event("budget_denied", "request", id, "service", service, "entries", c.entries(),
		"othersKnown", others != nil, "left", budget.Remaining(now, c.entries(), others),
		"ownRequests", own.Requests, "ownRepeats", own.Retries, "urgent", urgent)
	return admission.Charge{}, false
}

// withTimeout returns a context that ends with the process or after d.
func (g *Gateway) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.background, d)
}
