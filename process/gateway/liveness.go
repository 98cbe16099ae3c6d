package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// probeTimeout is how long a target has to respond to a probe, which needs no slot:
	// some round trips and the set-up of a connection.
	probeTimeout = 120 * time.Millisecond
	// secondProbeDelay is how long after the first probe a second one is sent if there
	// is no response: a live target responds within a few milliseconds.
	secondProbeDelay = 30 * time.Millisecond
	// maxTargetCallResponseBytes limits the body of a response to a probe or another
	// platform.TargetCall.
	maxTargetCallResponseBytes = 64 << 10
	// idleSilenceTimeout is the silence after which a target without attempts is
	// suspected.
	idleSilenceTimeout = time.Hour
)

// decodingSilenceBounds limits the silence after which a target is probed while an
// attempt is decoding there. Together with the probe it leaves time to resume at
// another target within a pause of 700 ms, the longest that both deployments count as
// on time.
var decodingSilenceBounds = detector.Bounds{Min: 200 * time.Millisecond, Max: 350 * time.Millisecond}

// prefillSilenceBounds apply while no attempt is decoding: the prefill of a prompt
// takes a second or so, in which an engine sends nothing.
var prefillSilenceBounds = detector.Bounds{Min: 500 * time.Millisecond, Max: 700 * time.Millisecond}

// sinceStart returns the time since the start of the process in nanoseconds.
func (c *control) sinceStart() int64 { return int64(time.Since(c.startedAt)) }

func (m *targetMonitor) recordSeen(c *control) { m.lastSeen.Store(c.sinceStart()) }

// recordIdentified records that the target sent something that identifies it.
func (m *targetMonitor) recordIdentified(c *control) {
	m.recordSeen(c)
	m.lastIdentified.Store(m.lastSeen.Load())
}

// recordSeen records that something was received in response to the attempt.
func (a *attempt) recordSeen() {
	c := a.exchange.gateway.control
	a.monitor.recordSeen(c)
	a.lastSeen.Store(c.sinceStart())
	a.setSuspected(false)
}

// addAttempt adds an attempt to the monitor of its target.
func (c *control) addAttempt(a *attempt) {
	id := a.target.ID
	m, ok := c.monitors[id]
	now := time.Now()
	if !ok {
		m = &targetMonitor{
			id: id, address: a.target.Address, service: a.target.Service,
			detector: detector.New(now, decodingSilenceBounds, idleSilenceTimeout),
			attempts: map[*attempt]struct{}{},
		}
		m.recordSeen(c)
		c.monitors[id] = m
	}
	a.monitor = m
	a.lastSeen.Store(c.sinceStart())
	m.attempts[a] = struct{}{}
	m.detector.SetBusy(now, true)
}

// removeAttempt removes an attempt from the monitor of its target.
func (c *control) removeAttempt(a *attempt) {
	m := a.monitor
	delete(m.attempts, a)
	if len(m.attempts) > 0 {
		return
	}
	m.detector.SetBusy(time.Now(), false)
	if c.table.Get(m.id) == nil {
		delete(c.monitors, m.id)
	}
}

func (c *control) checkSilence(now time.Time, m *targetMonitor) {
	if len(m.attempts) == 0 {
		return
	}
	bounds := prefillSilenceBounds
	for a := range m.attempts {
		if a.streaming {
			bounds = decodingSilenceBounds
		}
	}
	m.detector.SetBounds(bounds)
	m.detector.Observe(c.startedAt.Add(time.Duration(m.lastSeen.Load())))
	m.trustActive()
	if m.detector.State(now) != detector.Trusted {
		c.probe(m)
	}
}

// probe checks whether a target is alive, and marks it down if not.
func (c *control) probe(m *targetMonitor) {
	if m.probing {
		return
	}
	m.probing = true
	c.probeIncarnation(m.id, m.address, m.service, func(result probeResult) {
		m.probing = false
		if result.alive {
			m.recordSeen(c)
			m.detector.Observe(time.Now())
		}
		c.recordProbe(m.id, result)
	})
}

// recordProbe records the result of a probe of a target.
func (c *control) recordProbe(id request.TargetID, result probeResult) {
	t, now := c.table.Get(id), time.Now()
	alreadyDown := t != nil && t.AwaitingProbe()
	switch {
	case result.alive:
		c.cancelReplaced(id, result.incarnation)
		c.trust(id)
		if t != nil && t.AwaitingProbe() {
			c.table.RecordResponse(now, id, false, nil)
			c.gateway.log.Event("target_back", "target", id)
		}
	case result.gone:
		c.cancelAttempts(id)
		c.recordCrash(id)
	default:
		c.suspect(id, result.startedAt)
	}
	if !result.alive && !alreadyDown {
		c.setDown(id, "no answer to a probe")
	}
}

// suspect marks the attempts at a target as suspected that did not answer a probe sent at the
// given time. If something else has come from it since, it is those that have been silent
// themselves for longer than a prefill takes.
func (c *control) suspect(id request.TargetID, probedAt time.Time) {
	m := c.monitors[id]
	if m == nil {
		return
	}
	heard := m.lastSeen.Load() >= int64(probedAt.Sub(c.startedAt))
	m.suspectedAt = c.sinceStart()
	for a := range m.attempts {
		switch {
		case heard && m.suspectedAt-a.lastSeen.Load() <= int64(prefillSilenceBounds.Max):
		case a.withdraw():
		default:
			a.setSuspected(true)
		}
	}
}

// trust records that a target answered a probe.
func (c *control) trust(id request.TargetID) {
	m := c.monitors[id]
	if m == nil || m.suspectedAt == 0 {
		return
	}
	m.suspectedAt = 0
	for a := range m.attempts {
		a.setSuspected(false)
	}
}

// trustActive records which attempts of a suspected target have been active since.
func (m *targetMonitor) trustActive() {
	if m.suspectedAt == 0 {
		return
	}
	for a := range m.attempts {
		if a.lastSeen.Load() > m.suspectedAt {
			a.setSuspected(false)
		}
	}
}

// cancelAttempts cancels the attempts at a target that is no longer there.
func (c *control) cancelAttempts(id request.TargetID) {
	if m := c.monitors[id]; m != nil {
		for a := range m.attempts {
			a.handleTargetDown()
		}
	}
}

// probeIncarnation probes a registered target and calls done on the control goroutine.
// A target whose incarnation differs from the registered one is marked replaced and
// counts as not alive. If this process stood still meanwhile, a missing response says nothing
// about the target, which is probed once more.
func (c *control) probeIncarnation(id request.TargetID, address, service string, done func(probeResult)) {
	start := time.Now()
	c.probeIncarnationOnce(id, address, service, func(result probeResult) {
		if result.alive || !c.pausedSince(start) {
			done(result)
			return
		}
		c.gateway.log.Event("probed_again", "target", id, "after", time.Since(start))
		c.probeIncarnationOnce(id, address, service, done)
	})
}

// pausedSince reports whether this process stood still at some time since start.
func (c *control) pausedSince(start time.Time) bool {
	return c.lastPause.After(start) || time.Since(c.lastCheck) > idleCheckInterval+pauseThreshold
}

// probeIncarnationOnce is probeIncarnation with a single probe.
func (c *control) probeIncarnationOnce(id request.TargetID, address, service string, done func(probeResult)) {
	engine := c.gateway.hasEngines(service)
	known := request.Incarnation(0)
	if t := c.table.Get(id); t != nil {
		known = t.Incarnation
	}
	start := time.Now()
	go func() {
		result := probeResult{alive: true}
		c.gateway.protect("probe", func() { result = c.gateway.probeAddress(address, engine) })
		result.startedAt = start
		c.post(func() {
			switch {
			case !result.alive || !engine || known == 0 || result.incarnation == 0:
			case result.incarnation != known:
				c.markReplaced(id)
				result.alive, result.gone = false, true
			default:
				c.retractCrash(start, id, result.incarnation)
			}
			done(result)
		})
	}()
}

// hasEngines reports whether the targets of a service are engines.
func (g *Gateway) hasEngines(service string) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Engine != nil
}

// reprobeDown probes targets that have been down for long enough.
func (c *control) reprobeDown(now time.Time) {
	for _, id := range c.table.ProbeDue(now) {
		t := c.table.Get(id)
		c.table.MarkDown(now, id)
		c.probeIncarnation(id, t.Address, t.Service, func(result probeResult) { c.recordProbe(id, result) })
	}
}

// probeResult is the result of a probe.
type probeResult struct {
	startedAt time.Time
	// alive is set if something responded, with the incarnation if the response named one.
	alive       bool
	incarnation request.Incarnation
	// gone is set if the target is known not to run: its address refuses connections, or
	// another incarnation responded there. A target that is not gone may only be silent.
	gone bool
}

// probeAddress probes an address. If there is no response soon, a second probe is sent on a new
// connection: open connections may have gone silent, and packets get lost.
func (g *Gateway) probeAddress(address string, engine bool) probeResult {
	type result struct {
		incarnation request.Incarnation
		err         error
	}
	// The buffer lets the slower probe finish when nobody reads its result.
	results := make(chan result, 2)
	send := func(maxIdle time.Duration) {
		r := result{err: errors.New("panic")}
		g.protect("probe", func() { r.incarnation, r.err = g.sendProbe(g.background, address, engine, maxIdle) })
		results <- r
	}
	go send(maxIdleTime)
	secondProbe := time.NewTimer(secondProbeDelay)
	defer secondProbe.Stop()
	gone := false
	for sent, failed := 1, 0; ; {
		select {
		case <-secondProbe.C:
		case r := <-results:
			if r.err == nil {
				return probeResult{alive: true, incarnation: r.incarnation}
			}
			failed++
			gone = gone || errors.Is(r.err, syscall.ECONNREFUSED)
		}
		switch {
		case sent == 1:
			sent++
			go send(0)
		case failed == sent:
			return probeResult{gone: gone}
		}
	}
}

// sendProbe sends one probe, on a connection that was idle for less than maxIdle or on
// a new one. Any response shows that the target is alive.
func (g *Gateway) sendProbe(ctx context.Context, address string, engine bool, maxIdle time.Duration) (request.Incarnation, error) {
	if !engine {
		// For an application an accepted connection is enough: a request would take one
		// of its few slots.
		conn, err := target.Dial(ctx, address)
		if err == nil {
			conn.Close()
		}
		return 0, errors.WithStack(err)
	}
	incarnation, err := g.fetchReport(ctx, address, maxIdle)
	if errors.Is(err, errNoReport) {
		g.log.Event("report_unreadable", "address", address, "error", err.Error())
		return 0, nil
	}
	return incarnation, err
}

// errNoReport means that a target responded without a report: it is not an engine, or
// it is failing.
var errNoReport = errors.New("the response is not a report")

// fetchReport requests an engine's report and returns the incarnation, if the report
// names one.
func (g *Gateway) fetchReport(ctx context.Context, address string, maxIdle time.Duration) (request.Incarnation, error) {
	g.metrics.probes.Add(ctx, 1)
	call := platform.TargetCall{Method: http.MethodGet, Path: platform.ReportPath, Header: http.Header{}}
	status, header, body, err := g.callTarget(ctx, address, call, maxIdle, probeTimeout)
	if err != nil {
		return 0, err
	}
	incarnation, err := platform.DecodeIncarnation(body)
	g.recordAnnouncementAt(address, "", incarnation, platform.DecodeAnnouncement(status, header))
	if err != nil {
		return 0, errors.WithMessage(errNoReport, err.Error())
	}
	return incarnation, nil
}

// markDown marks a target down that is no longer there. Its attempts are cancelled so that
// they are retried at other targets, unless keepWhenDown is set.
func (c *control) markDown(id request.TargetID, reason string) {
	c.cancelAttempts(id)
	c.setDown(id, reason)
}

// cancelReplaced cancels the attempts at earlier incarnations of a target, which is known by now
// to be of the given one, if that is not zero.
func (c *control) cancelReplaced(id request.TargetID, incarnation request.Incarnation) {
	m := c.monitors[id]
	if m == nil || incarnation == 0 {
		return
	}
	for a := range m.attempts {
		if known := a.target.Incarnation; known != 0 && known != incarnation && !a.target.AssumedIncarnation {
			a.handleTargetDown()
		}
	}
}

// setDown records that a target is down: it gets no work for a while. Busy targets of the same
// failure domain are probed at once.
func (c *control) setDown(id request.TargetID, reason string) {
	t := c.table.Get(id)
	now := time.Now()
	c.table.MarkDown(now, id)
	c.recentlyDown[id] = now
	c.updatePending = true
	c.replaceCopiesOn(id)
	c.recordCrash(id)
	m := c.monitors[id]
	running := 0
	if m != nil {
		running = len(m.attempts)
		c.gateway.pool.CloseIdle(m.address)
	}
	c.gateway.metrics.targetsLost.Add(context.Background(), 1)
	domain := ""
	if t != nil {
		domain = t.FailureDomain
	}
	c.gateway.log.Event("target_lost", "target", id, "failureDomain", domain, "reason", reason, "running", running)
	for _, other := range c.monitors {
		o := c.table.Get(other.id)
		if o != nil && other.id != id && o.FailureDomain == domain && len(other.attempts) > 0 && !o.Down(now) {
			c.probeIfSilent(other)
		}
	}
}

// probeIfSilent probes a target that has been silent for longer than is usual for a
// busy one.
func (c *control) probeIfSilent(m *targetMonitor) {
	if c.sinceStart()-m.lastSeen.Load() > int64(decodingSilenceBounds.Min)/2 {
		c.probe(m)
	}
}

// probeAfterFailure probes a target at which an attempt failed without a complete
// response.
func (g *Gateway) probeAfterFailure(id request.TargetID) {
	g.control.post(func() {
		if m, ok := g.control.monitors[id]; ok {
			g.control.probe(m)
		}
	})
}
