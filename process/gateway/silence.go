package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// probeTimeout is how long a target has to answer a probe, which needs no slot:
	// some round trips and the set-up of a connection.
	probeTimeout = 120 * time.Millisecond
	// probeAgain is when a second probe joins the first: a live target answers within a
	// few milliseconds.
	probeAgain = 30 * time.Millisecond
	// reportBytes bounds the body of a probe's answer.
	reportBytes = 64 << 10
	// idleSilence is the silence that is suspicious while no attempt runs.
	idleSilence = time.Hour
)

// silenceBounds limits the silence after which a busy target is asked whether it
// lives. With the probe it leaves time to go on elsewhere within a pause of
// 700 ms, the longest that both deployments count as on time.
var silenceBounds = detector.Bounds{Min: 200 * time.Millisecond, Max: 350 * time.Millisecond}

// readingBounds are those while no attempt answers: a prompt takes a second or so
// to read, in which an engine is silent.
var readingBounds = detector.Bounds{Min: 500 * time.Millisecond, Max: 700 * time.Millisecond}

// sinceStart returns the time since the start of the process in nanoseconds.
func (c *control) sinceStart() int64 { return int64(time.Since(c.began)) }

func (w *watch) sign(c *control) { w.heard.Store(c.sinceStart()) }

// identify notes a sign of life that names the target.
func (w *watch) identify(c *control) {
	w.sign(c)
	w.identified.Store(w.heard.Load())
}

// begin adds an attempt to those that are watched.
func (c *control) begin(a *attempt) {
	id := a.target.ID
	w, ok := c.watches[id]
	now := time.Now()
	if !ok {
		w = &watch{
			id: id, address: a.target.Address, service: a.target.Service,
			detector: detector.New(now, silenceBounds, idleSilence),
			attempts: map[*attempt]struct{}{},
		}
		w.sign(c)
		c.watches[id] = w
	}
	a.watch = w
	w.attempts[a] = struct{}{}
	w.detector.SetBusy(now, true)
}

// end takes an attempt off.
func (c *control) end(a *attempt) {
	w := a.watch
	delete(w.attempts, a)
	if len(w.attempts) > 0 {
		return
	}
	w.detector.SetBusy(time.Now(), false)
	if c.table.Get(w.id) == nil {
		delete(c.watches, w.id)
	}
}

func (c *control) checkTarget(now time.Time, w *watch) {
	if len(w.attempts) == 0 {
		return
	}
	bounds := readingBounds
	for a := range w.attempts {
		if a.answering {
			bounds = silenceBounds
		}
	}
	w.detector.SetBounds(bounds)
	w.detector.Observe(c.began.Add(time.Duration(w.heard.Load())))
	if w.detector.State(now) != detector.Trusted {
		c.probe(w)
	}
}

// probe asks a target whether it lives. Without an answer it is given up.
func (c *control) probe(w *watch) {
	if w.probing {
		return
	}
	w.probing = true
	c.ask(w.id, w.address, w.service, func(alive bool) {
		w.probing = false
		if !alive {
			c.lost(w.id, "no answer to a probe")
			return
		}
		w.sign(c)
		w.detector.Observe(time.Now())
	})
}

// ask finds out whether the life of a target that is registered still answers, and
// tells it on the control goroutine.
func (c *control) ask(id request.TargetID, address, service string, tell func(alive bool)) {
	engine := false
	if t := c.gateway.table.Load(); t != nil {
		s := t.Service(service)
		engine = s != nil && s.Engine != nil
	}
	known := request.Incarnation(0)
	if t := c.table.Get(id); t != nil {
		known = t.Incarnation
	}
	go func() {
		alive, born := c.gateway.askAlive(address, engine)
		c.post(func() {
			if alive && engine && known != 0 && born != 0 && born != known {
				c.replace(id)
				alive = false
			}
			tell(alive)
		})
	}()
}

// tryAgain asks targets that were lost and left alone for a while.
func (c *control) tryAgain(now time.Time) {
	for _, id := range c.table.ProbeDue(now) {
		t := c.table.Get(id)
		c.table.MarkDown(now, id)
		c.ask(id, t.Address, t.Service, func(alive bool) {
			if alive {
				c.table.RecordResponse(time.Now(), id, false, nil)
				c.gateway.log.Event("target_back", "target", id)
			}
		})
	}
}

// askAlive says whether something answers at an address, and when it started if it
// says so. A second probe, on a connection of its own, joins one that is not answered
// soon: open connections may have gone silent, and packets get lost.
func (g *Gateway) askAlive(address string, engine bool) (bool, request.Incarnation) {
	type result struct {
		born request.Incarnation
		err  error
	}
	// Nobody reads the result of the probe that comes second.
	results := make(chan result, 2)
	ask := func(idle time.Duration) {
		born, err := g.askReport(g.background, address, engine, idle)
		results <- result{born, err}
	}
	go ask(reuseMost)
	second := time.NewTimer(probeAgain)
	defer second.Stop()
	for asked, failed := 1, 0; ; {
		select {
		case <-second.C:
		case r := <-results:
			if r.err == nil {
				return true, r.born
			}
			failed++
		}
		switch {
		case asked == 1:
			asked++
			go ask(0)
		case failed == asked:
			return false, 0
		}
	}
}

// askReport sends one probe, on a connection that was idle for less than idle or a
// new one. Any answer is a sign of life.
func (g *Gateway) askReport(ctx context.Context, address string, engine bool, idle time.Duration) (request.Incarnation, error) {
	if !engine {
		// A connection that is accepted is sign enough: probes of an application take
		// one of its few slots.
		conn, err := target.Dial(ctx, address)
		if err == nil {
			conn.Close()
		}
		return 0, errors.WithStack(err)
	}
	born, err := g.readReport(ctx, address, idle)
	if errors.Is(err, errNoReport) {
		g.log.Event("report_unreadable", "address", address, "error", err.Error())
		return 0, nil
	}
	return born, err
}

// errNoReport means that a target answered without a report: it is no engine, or one
// that is failing.
var errNoReport = errors.New("the answer is no report")

// readReport asks an engine for its report and returns when it started, if it says so.
func (g *Gateway) readReport(ctx context.Context, address string, idle time.Duration) (request.Incarnation, error) {
	g.metrics.probes.Add(ctx, 1)
	call := platform.TargetCall{Method: http.MethodGet, Path: platform.ReportPath, Header: http.Header{}}
	_, body, err := g.callEngine(ctx, address, call, idle, probeTimeout)
	if err != nil {
		return 0, err
	}
	born, err := platform.DecodeIncarnation(body)
	if err != nil {
		return 0, errors.WithMessage(errNoReport, err.Error())
	}
	return born, nil
}

// lost gives a target up: its attempts go elsewhere, and it is left alone for a
// while. Others of its failure domain that are busy are asked at once.
func (c *control) lost(id request.TargetID, reason string) {
	t := c.table.Get(id)
	now := time.Now()
	c.table.MarkDown(now, id)
	c.dead[id] = now
	c.tell = true
	c.copyLost(id)
	w := c.watches[id]
	running := 0
	if w != nil {
		running = len(w.attempts)
		for a := range w.attempts {
			a.abandon()
		}
		c.gateway.pool.CloseIdle(w.address)
	}
	c.gateway.metrics.lost.Add(context.Background(), 1)
	domain := ""
	if t != nil {
		domain = t.FailureDomain
	}
	c.gateway.log.Event("target_lost", "target", id, "failureDomain", domain, "reason", reason, "running", running)
	for _, other := range c.watches {
		o := c.table.Get(other.id)
		if o != nil && other.id != id && o.FailureDomain == domain && len(other.attempts) > 0 && !o.Down(now) {
			c.probeQuiet(other)
		}
	}
}

// probeQuiet probes a target that has not given a sign for longer than a busy one
// usually takes.
func (c *control) probeQuiet(w *watch) {
	if c.sinceStart()-w.heard.Load() > int64(silenceBounds.Min)/2 {
		c.probe(w)
	}
}

// suspect probes a target on which an attempt failed without an answer.
func (g *Gateway) suspect(id request.TargetID) {
	g.control.post(func() {
		if w, ok := g.control.watches[id]; ok {
			g.control.probe(w)
		}
	})
}
