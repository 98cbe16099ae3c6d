package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
)

const (
	// reportEvery is the least time between two reports of a changed load to the
	// same entry, for each entry that has a link: with many entries each hears less
	// often, so that the traffic of the agent stays the same.
	reportEvery = 150 * time.Millisecond
	// loadStep is the change of pending tokens that is worth a report.
	loadStep = 256
)

// linkWork counts the streams that are served on one link.
type linkWork struct {
	active atomic.Int32
	// began is signalled when the first stream is served.
	began chan struct{}
}

func newLinkWork() *linkWork { return &linkWork{began: make(chan struct{}, 1)} }

func (a *Agent) beginWork(work *linkWork) {
	a.active.Add(1)
	if work.active.Add(1) > 1 {
		return
	}
	select {
	case work.began <- struct{}{}:
	default:
	}
}

func (a *Agent) endWork(work *linkWork) {
	a.active.Add(-1)
	work.active.Add(-1)
}

// sendHeartbeats keeps the peer informed until the link ends. Any frame on the
// link is a sign of life, so a heartbeat is sent only after a silence, when the
// load has changed, or at once when the state of the target has.
func (a *Agent) sendHeartbeats(ctx context.Context, l *link.Link, control *link.Stream, work *linkWork) {
	changed := a.status.changed()
	beat := a.heartbeat()
	frame := wire.ControlFrame{Heartbeat: &beat}
	for control.Write(frame) == nil {
		if !a.awaitHeartbeat(ctx, l, work, beat.PendingTokens, changed) {
			return
		}
		changed = a.status.changed()
		last := beat
		beat = a.heartbeat()
		sent := beat
		if sameModels(last.Models, beat.Models) {
			sent.Models = nil
			sent.ModelsUnchanged = true
		}
		frame = wire.ControlFrame{Heartbeat: &sent}
	}
}

// awaitHeartbeat waits until a heartbeat is due; false means that the link is over.
func (a *Agent) awaitHeartbeat(ctx context.Context, l *link.Link, work *linkWork, reported int, changed <-chan struct{}) bool {
	last := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.Context().Done():
			return false
		case <-changed:
			return true
		case <-work.began:
		case <-timer.C:
		}
		due := a.heartbeatDue(last, l.LastSent(), work.active.Load() > 0, reported)
		wait := time.Until(due)
		if wait <= 0 {
			return true
		}
		timer.Reset(min(wait, a.reportPeriod()))
	}
}

// heartbeatDue returns when the next heartbeat is due, given the last one and the
// last frame of any kind.
func (a *Agent) heartbeatDue(last, sent time.Time, busy bool, reported int) time.Time {
	due := last.Add(wire.IdleHeartbeatInterval)
	if _, pending := a.status.work(); max(pending-reported, reported-pending) > max(loadStep, reported/4) {
		due = last.Add(a.reportPeriod())
	}
	if silent := sent.Add(wire.BusyHeartbeatInterval); busy && silent.Before(due) {
		due = silent
	}
	return due
}

func (a *Agent) reportPeriod() time.Duration {
	return time.Duration(max(1, a.entries.Load())) * reportEvery
}

func sameModels(before, after []string) bool {
	if len(before) != len(after) {
		return false
	}
	for i := range before {
		if before[i] != after[i] {
			return false
		}
	}
	return true
}

func (a *Agent) heartbeat() wire.Heartbeat {
	report := a.status.report(time.Now())
	return wire.Heartbeat{
		TargetAlive:           report.alive,
		Draining:              a.isLeaving(),
		Running:               report.running,
		EngineRunning:         report.load.Running,
		EngineWaiting:         report.load.Waiting,
		LoadAgeMillis:         int(report.age.Milliseconds()),
		Models:                report.models,
		LastActivityAgeMillis: int(report.silent.Milliseconds()),
		StalledMillis:         int(report.stalled.Milliseconds()),
		PendingTokens:         report.pending,
		Entries:               int(a.entries.Load()),
		UndeclaredModels:      a.undeclaredInUse(),
		Role:                  a.orders.role(),
	}
}
