package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

const (
	// successorProbeInterval is how often the address of a lost target is asked for its next life
	// while the store is away: several times within the time for which an address stays
	// with its service.
	successorProbeInterval = 200 * time.Millisecond
	// suspensionSlack is how far the clocks with and without suspended time may drift
	// apart between two checks without the host having been suspended.
	suspensionSlack = 50 * time.Millisecond
)

// detectSuspension notes whether the host was suspended, or the process stood still,
// since the last check. How long a target was silent is not known for a while then:
// what is read next may have been sent long ago.
func (c *control) detectSuspension(now time.Time, paused bool) {
	offset := bootClock() - now.Sub(c.startedAt)
	if paused || c.bootClockOffset != 0 && offset-c.bootClockOffset > suspensionSlack {
		c.lastResume = now
	}
	c.bootClockOffset = offset
}

// acceptsSuccessor says whether what answers now at the address of a lost target is its next
// life. Only signs of life that name the target count: one that was never heard may
// have ended long ago.
func (c *control) acceptsSuccessor(now time.Time, m *targetMonitor) bool {
	identified := m.lastIdentified.Load()
	if identified == 0 || now.Sub(c.lastResume) < c.bounds.AddressReuse.Std() {
		return false
	}
	return c.registry.IsSuccessor(time.Duration(c.sinceStart() - identified))
}

// findSuccessors asks at the addresses of lost targets for their next lives while the store
// cannot tell of them.
func (c *control) findSuccessors(now time.Time) {
	for _, m := range c.monitors {
		t := c.table.Get(m.id)
		if t == nil || t.Draining || !t.AwaitingProbe() || m.identifying || now.Sub(m.lastIdentifyAttempt) < successorProbeInterval || !c.acceptsSuccessor(now, m) {
			continue
		}
		m.identifying, m.lastIdentifyAttempt = true, now
		known := t.Incarnation
		go func() {
			id, incarnation, err := c.gateway.identifyTarget(m.address, m.service)
			c.post(func() {
				m.identifying = false
				switch {
				case err != nil:
					c.gateway.log.Event("target_not_identified", "target", m.id, "error", err.Error())
				case id == "" || incarnation == known && id == m.id:
				case c.acceptsSuccessor(time.Now(), m):
					c.adoptSuccessor(peers.Successor{Old: m.id, ID: id, Incarnation: incarnation})
				}
			})
		}()
	}
}

// adoptSuccessor takes up the next life of a target that has yet to be seen in the store.
func (c *control) adoptSuccessor(s peers.Successor) {
	old := c.table.Get(s.Old)
	if old == nil || old.Draining || s.Old == s.ID && old.Incarnation == s.Incarnation {
		return
	}
	if s.Old != s.ID && c.table.Get(s.ID) != nil {
		return
	}
	next := old.Registration
	next.ID, next.Incarnation = s.ID, max(s.Incarnation, old.Incarnation+1)
	c.registry.Adopt(s.ID)
	c.table.Register(next)
	c.recentSuccessors[s] = time.Now()
	c.gateway.metrics.targetsAdopted.Add(c.gateway.background, 1)
	c.updatePending = true
	c.gateway.log.Event("target_adopted", "target", s.ID, "after", s.Old, "address", next.Address,
		"incarnation", next.Incarnation, "configurationAge", c.gateway.configurationAge())
}

// identifyTarget asks which target answers at an address, and when it started if it says
// so. What answers must be an engine if, and only if, the service has engines.
func (g *Gateway) identifyTarget(address, service string) (request.TargetID, request.Incarnation, error) {
	var declared *routes.Service
	if table := g.table.Load(); table != nil {
		declared = table.Service(service)
	}
	if declared == nil || declared.HealthPath == "" {
		return "", 0, errors.Errorf("service %s has no health path", service)
	}
	incarnation, err := g.fetchReport(g.background, address, 0)
	switch {
	case err != nil && !errors.Is(err, errNoReport):
		return "", 0, err
	case (err == nil) != (declared.Engine != nil):
		return "", 0, errors.Errorf("the target at %s is not one of %s", address, service)
	}
	id, err := g.fetchTargetID(g.background, address, declared.HealthPath)
	return id, incarnation, err
}

// fetchTargetID asks a target who it is.
func (g *Gateway) fetchTargetID(ctx context.Context, address, path string) (request.TargetID, error) {
	g.metrics.probes.Add(ctx, 1)
	call := platform.TargetCall{Method: http.MethodGet, Path: path, Header: http.Header{}}
	status, header, _, err := g.callTarget(ctx, address, call, maxIdleTime, probeTimeout)
	if err != nil {
		return "", err
	}
	return platform.DecodeTargetID(status, header), nil
}
