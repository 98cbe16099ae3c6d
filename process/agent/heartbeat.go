package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
)

const (
	// minReportInterval, multiplied by the number of entries that have a link, is the
	// minimum time between two reports of a changed load to the same entry. With more
	// entries each one gets fewer reports, so that the agent's traffic stays constant.
	minReportInterval = 150 * time.Millisecond
	// pendingChangeThreshold is the change in pending tokens above which the load is
	// reported.
	pendingChangeThreshold = 256
)

// linkActivity counts the request streams in progress on one link.
type linkActivity struct {
	activeStreams atomic.Int32
	// started receives a signal when a stream starts and no other is in progress.
	started chan struct{}
}

func newLinkActivity() *linkActivity { return &linkActivity{started: make(chan struct{}, 1)} }

func (a *Agent) streamStarted(activity *linkActivity) {
	a.activeStreams.Add(1)
	if activity.activeStreams.Add(1) > 1 {
		return
	}
	select {
	case activity.started <- struct{}{}:
	default:
	}
}

func (a *Agent) streamEnded(activity *linkActivity) {
	a.activeStreams.Add(-1)
	activity.activeStreams.Add(-1)
}

// sendHeartbeats sends heartbeats to the peer until the link ends. Any frame on the link
// shows the peer that the agent is alive, so a heartbeat is sent only after a period
// without frames, when the load has changed, or immediately when the state of the target
// has changed.
func (a *Agent) sendHeartbeats(ctx context.Context, l *link.Link, control *link.Stream, activity *linkActivity) {
	changed := a.status.changed()
	current := a.heartbeat()
	frame := wire.ControlFrame{Heartbeat: &current}
	for control.Write(frame) == nil {
		if !a.awaitHeartbeatDue(ctx, l, activity, current.PendingTokens, changed) {
			return
		}
		changed = a.status.changed()
		previous := current
		current = a.heartbeat()
		message := current
		if sameModels(previous.Models, current.Models) {
			message.Models = nil
			message.ModelsUnchanged = true
		}
		frame = wire.ControlFrame{Heartbeat: &message}
	}
}

// awaitHeartbeatDue waits until a heartbeat is due. It returns false when the link ends.
func (a *Agent) awaitHeartbeatDue(ctx context.Context, l *link.Link, activity *linkActivity, reportedPending int, changed <-chan struct{}) bool {
	lastHeartbeat := time.Now()
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
		case <-activity.started:
		case <-timer.C:
		}
		due := a.heartbeatDue(lastHeartbeat, l.LastSent(), activity.activeStreams.Load() > 0, reportedPending)
		wait := time.Until(due)
		if wait <= 0 {
			return true
		}
		timer.Reset(min(wait, a.reportInterval()))
	}
}

// heartbeatDue returns when the next heartbeat is due, given the times of the last
// heartbeat and of the last frame of any kind.
func (a *Agent) heartbeatDue(lastHeartbeat, lastSent time.Time, busy bool, reportedPending int) time.Time {
	due := lastHeartbeat.Add(wire.IdleHeartbeatInterval)
	if _, pending := a.status.workload(); max(pending-reportedPending, reportedPending-pending) > max(pendingChangeThreshold, reportedPending/4) {
		due = lastHeartbeat.Add(a.reportInterval())
	}
	if keepalive := lastSent.Add(wire.BusyHeartbeatInterval); busy && keepalive.Before(due) {
		due = keepalive
	}
	return due
}

func (a *Agent) reportInterval() time.Duration {
	return time.Duration(max(1, a.entryLinks.Load())) * minReportInterval
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
	status := a.status.snapshot(time.Now())
	return wire.Heartbeat{
		TargetAlive:           status.alive,
		Draining:              a.isDraining(),
		Running:               status.running,
		EngineRunning:         status.load.Running,
		EngineWaiting:         status.load.Waiting,
		LoadAgeMillis:         int(status.loadAge.Milliseconds()),
		Models:                status.models,
		LastActivityAgeMillis: int(status.sinceActivity.Milliseconds()),
		StalledMillis:         int(status.stalled.Milliseconds()),
		PendingTokens:         status.pending,
		Entries:               int(a.entryLinks.Load()),
		UndeclaredModels:      a.undeclaredModelsInUse(),
		Role:                  a.orders.role(),
	}
}
