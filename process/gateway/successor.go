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
	// successorProbeInterval is how often the address of a target that is down is
	// probed for its successor during a store outage: several times within the period
	// for which an address stays with its service.
	successorProbeInterval = 200 * time.Millisecond
	// suspensionSlack is how far the clocks with and without suspended time may drift
	// apart between two checks without the host having been suspended.
	suspensionSlack = 50 * time.Millisecond
)

// detectSuspension records whether the host was suspended, or the process paused, since
// the last check. For a while after that the silence of targets is unknown: what is
// read next may have been sent long ago.
func (c *control) detectSuspension(now time.Time, paused bool) {
	offset := bootClock() - now.Sub(c.startedAt)
	if paused || c.bootClockOffset != 0 && offset-c.bootClockOffset > suspensionSlack {
		c.lastResume = now
	}
	c.bootClockOffset = offset
}

// acceptsSuccessor reports whether a target that now responds at the monitored address
// may be taken for the successor of the one that is down. Only activity that identified
// the target counts: one that was never identified may have ended long ago.
func (c *control) acceptsSuccessor(now time.Time, m *targetMonitor) bool {
	identified := m.lastIdentified.Load()
	if identified == 0 || now.Sub(c.lastResume) < c.bounds.AddressReuse.Std() {
		return false
	}
	return c.registry.IsSuccessor(time.Duration(c.sinceStart() - identified))
}

// findSuccessors probes the addresses of targets that are down for their successors
// while the store is unavailable. What a target announced does not count for its successor;
// but an application that asked for no requests, and may be up, gets none.
func (c *control) findSuccessors(now time.Time) {
	for _, m := range c.monitors {
		t := c.table.Get(m.id)
		if t == nil || t.Draining || !t.AwaitingProbe() || m.identifying || now.Sub(m.lastIdentifyAttempt) < successorProbeInterval || !c.acceptsSuccessor(now, m) {
			continue
		}
		if t.BackingOff(now) && !c.gateway.hasEngines(m.service) {
			continue
		}
		m.identifying, m.lastIdentifyAttempt = true, now
		known := t.Incarnation
		go func() {
			var id request.TargetID
			var incarnation request.Incarnation
			err := errors.New("panic")
			c.gateway.protect("probe", func() { id, incarnation, err = c.gateway.identifyTarget(m.address, m.service, known) })
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

// adoptSuccessor adds the successor of a target before the store reports it.
func (c *control) adoptSuccessor(s peers.Successor) {
	old := c.table.Get(s.Old)
	if old == nil || old.Draining || s.Old == s.ID && old.Incarnation == s.Incarnation {
		return
	}
	if s.Old == s.ID && s.Incarnation == 0 && old.IsDraining() {
		// It may be the same process.
		return
	}
	if s.Old != s.ID && c.table.Get(s.ID) != nil {
		return
	}
	next := old.Registration
	next.ID, next.Incarnation = s.ID, max(s.Incarnation, old.Incarnation+1)
	// A process that was merely unreachable has the ID of before, and its registration too.
	next.AssumedIncarnation = s.ID != s.Old && next.Incarnation != s.Incarnation
	c.registry.Adopt(s.ID)
	c.table.Register(next)
	c.recentSuccessors[s] = time.Now()
	c.gateway.metrics.targetsAdopted.Add(c.gateway.background, 1)
	c.updatePending = true
	c.gateway.log.Event("target_adopted", "target", s.ID, "after", s.Old, "address", next.Address,
		"incarnation", next.Incarnation, "configurationAge", c.gateway.configurationAge())
}

// identifyTarget returns the ID of the target at an address, and its incarnation if the
// report names one. The target must be an engine if, and only if, the service has
// engines. The ID is empty if the incarnation is the known one, which is not asked for it.
func (g *Gateway) identifyTarget(address, service string, known request.Incarnation) (request.TargetID, request.Incarnation, error) {
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
		return "", 0, errors.Errorf("the target at %s does not match service %s", address, service)
	case incarnation != 0 && incarnation == known:
		return "", incarnation, nil
	}
	id, err := g.fetchTargetID(g.background, address, declared.HealthPath)
	return id, incarnation, err
}

// fetchTargetID requests a target's ID.
func (g *Gateway) fetchTargetID(ctx context.Context, address, path string) (request.TargetID, error) {
	g.metrics.probes.Add(ctx, 1)
	call := platform.TargetCall{Method: http.MethodGet, Path: path, Header: http.Header{}}
	status, header, _, err := g.callTarget(ctx, address, call, maxIdleTime, probeTimeout)
	if err != nil {
		return "", err
	}
	g.recordAnnouncementAt(address, platform.DecodeResponder(header), 0, platform.DecodeAnnouncement(status, header))
	return platform.DecodeTargetID(status, header), nil
}
