package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/detector"
	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// probeTimeout is how long a target has to answer a probe, which needs no slot:
	// some round trips and the set-up of a connection.
	probeTimeout = 220 * time.Millisecond
	// probes is how many are sent at once, so that one lost packet kills no target.
	probes = 2
	// reportBytes bounds the body of a probe's answer.
	reportBytes = 64 << 10
	// idleSilence is the silence that is suspicious while no attempt runs.
	idleSilence = time.Hour
)

// silenceBounds limits the silence after which a busy target is asked whether it
// lives. With the probe it leaves time to go on elsewhere within a pause of
// 700 ms, the longest that both deployments count as on time.
var silenceBounds = detector.Bounds{Min: 200 * time.Millisecond, Max: 350 * time.Millisecond}

// sinceStart returns the time since the start of the process in nanoseconds.
func (c *control) sinceStart() int64 { return int64(time.Since(c.began)) }

func (w *watch) sign(c *control) { w.heard.Store(c.sinceStart()) }

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
	w.detector.Heard(c.began.Add(time.Duration(w.heard.Load())))
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
	engine := false
	if t := c.gateway.table.Load(); t != nil {
		service := t.Service(w.service)
		engine = service != nil && service.Engine != nil
	}
	known := request.Incarnation(0)
	if t := c.table.Get(w.id); t != nil {
		known = t.Incarnation
	}
	go func() {
		alive, born := c.gateway.askAlive(w.address, engine)
		c.post(func() {
			w.probing = false
			switch {
			case !alive:
				c.lost(w.id, "no answer to a probe")
			case engine && known != 0 && born != 0 && born != known:
				c.table.Replaced(w.id)
				c.lost(w.id, "started anew")
			default:
				w.sign(c)
				w.detector.Heard(time.Now())
			}
		})
	}()
}

// askAlive says whether something answers at an address, and when it started if it
// says so.
func (g *Gateway) askAlive(address string, engine bool) (bool, request.Incarnation) {
	ctx, cancel := g.withTimeout(probeTimeout)
	defer cancel()
	type result struct {
		alive bool
		born  request.Incarnation
	}
	results := make(chan result, probes)
	for range probes {
		go func() {
			born, err := g.askReport(ctx, address, engine)
			results <- result{alive: err == nil, born: born}
		}()
	}
	for range probes {
		if r := <-results; r.alive {
			return true, r.born
		}
	}
	return false, 0
}

// askReport sends one probe on a connection of its own, since open ones may have
// gone silent. Any answer is a sign of life.
func (g *Gateway) askReport(ctx context.Context, address string, engine bool) (request.Incarnation, error) {
	g.metrics.probes.Add(ctx, 1)
	conn, err := target.Dial(ctx, address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if !engine {
		// A connection that is accepted is sign enough: probes of an application take
		// one of its few slots.
		return 0, nil
	}
	response, err := conn.Do(target.Request{
		Method: http.MethodGet, Path: platform.ReportPath, Host: address, Header: http.Header{},
	})
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, reportBytes))
	if err != nil {
		return 0, err //nolint:wrapcheck // only nil or not matters
	}
	report, err := platform.DecodeReport(body)
	if err != nil {
		g.log.Event("report_unreadable", "address", address, "error", err.Error())
		return 0, nil
	}
	return report.Incarnation, nil
}

// lost gives a target up: its attempts go elsewhere, and it is left alone for a
// while. Others of its failure domain that are busy are asked at once.
func (c *control) lost(id request.TargetID, reason string) {
	t := c.table.Get(id)
	now := time.Now()
	c.table.Lost(now, id)
	w := c.watches[id]
	running := 0
	if w != nil {
		running = len(w.attempts)
		for a := range w.attempts {
			a.abandon()
		}
		c.gateway.pool.Drop(w.address)
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
