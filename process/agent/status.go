package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

const (
	// probeInterval is the interval at which the target is probed for its load.
	probeInterval = 200 * time.Millisecond
	// inactivityThreshold is the time without activity after which a target with work is
	// probed.
	inactivityThreshold = 40 * time.Millisecond
	// activityCheckInterval is the interval at which the time since the last activity is
	// checked.
	activityCheckInterval = 20 * time.Millisecond
	// probeTimeout bounds one probe of the target.
	probeTimeout = 2 * time.Second
)

// targetStatus is the state of the target as last observed by the agent.
type targetStatus struct {
	mu       sync.Mutex
	alive    bool
	load     outside.EngineLoad
	models   []string
	probedAt time.Time
	// lastActivity is when the target last delivered a chunk or replied to a probe,
	// lastChunk when it last delivered a chunk.
	lastActivity, lastChunk time.Time
	// decoding counts the streams that have delivered a chunk and have not ended.
	decoding int
	// running counts the attempts and calls that have not ended, pending the tokens that
	// the attempts may still generate.
	running, pending int
	// probeRequested receives a signal when the target has to be probed immediately.
	probeRequested chan struct{}
	// change is closed and replaced when the entries have to be notified immediately.
	change chan struct{}
}

func newTargetStatus() *targetStatus {
	return &targetStatus{probeRequested: make(chan struct{}, 1), change: make(chan struct{}), lastActivity: time.Now()}
}

// statusSnapshot is the state of a target at one instant.
type statusSnapshot struct {
	alive                  bool
	load                   outside.EngineLoad
	models                 []string
	loadAge                time.Duration
	sinceActivity, stalled time.Duration
	running, pending       int
}

func (s *targetStatus) snapshot(now time.Time) statusSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := statusSnapshot{
		alive: s.alive, load: s.load, models: s.models, loadAge: now.Sub(s.probedAt),
		sinceActivity: now.Sub(s.lastActivity), running: s.running, pending: s.pending,
	}
	if s.decoding > 0 {
		r.stalled = now.Sub(s.lastChunk)
	}
	return r
}

// workload returns the numbers of running attempts and calls and of pending tokens, as
// last counted.
func (s *targetStatus) workload() (running, pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.pending
}

func (s *targetStatus) setWorkload(running, pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = running
	s.pending = pending
}

// changed returns a channel that is closed when the entries next have to be notified.
func (s *targetStatus) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change
}

// notifyEntries causes a heartbeat to be sent to all entries immediately.
func (s *targetStatus) notifyEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyEntriesLocked()
}

func (s *targetStatus) notifyEntriesLocked() {
	close(s.change)
	s.change = make(chan struct{})
}

// sinceActivity returns the time since the last activity of the target.
func (s *targetStatus) sinceActivity(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastActivity)
}

// markDown records that the target refuses or resets connections.
func (s *targetStatus) markDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alive {
		s.alive = false
		s.notifyEntriesLocked()
	}
}

// recordProbe records the reply to a probe.
func (s *targetStatus) recordProbe(now time.Time, load outside.EngineLoad, models []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.alive || !sameModels(s.models, models)
	s.alive = true
	s.load = load
	s.models = models
	s.probedAt = now
	s.lastActivity = now
	if changed {
		s.notifyEntriesLocked()
	}
}

// recordFailure records the failure of an attempt. If the target failed, it requests an
// immediate probe of the target.
func (s *targetStatus) recordFailure(err error) {
	if fault.KindOf(err) != fault.TargetLost {
		return
	}
	select {
	case s.probeRequested <- struct{}{}:
	default:
	}
}

// monitor wraps stream so that its chunks are recorded as activity of the target.
func (s *targetStatus) monitor(stream outside.Stream) outside.Stream {
	return &monitoredStream{Stream: stream, status: s}
}

type monitoredStream struct {
	outside.Stream
	status  *targetStatus
	started bool
}

// Next implements outside.Stream.
func (w *monitoredStream) Next() (outside.Chunk, error) {
	chunk, err := w.Stream.Next()
	if err != nil {
		return chunk, err
	}
	s := w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastActivity = time.Now()
	s.lastChunk = s.lastActivity
	if !w.started {
		w.started = true
		s.decoding++
	}
	return chunk, nil
}

// Close implements outside.Stream.
func (w *monitoredStream) Close() error {
	if w.started {
		w.status.mu.Lock()
		w.status.decoding--
		w.status.mu.Unlock()
	}
	return w.Stream.Close()
}

// probeTargetLoop probes the target until ctx ends: at intervals of probeInterval, when a
// target with work shows no activity, and when an attempt failed because of the target.
func (a *Agent) probeTargetLoop(ctx context.Context) {
	ticker := time.NewTicker(activityCheckInterval)
	defer ticker.Stop()
	probeDone := make(chan struct{}, 1)
	probing := false
	var lastProbe time.Time
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-probeDone:
			probing = false
			continue
		case <-a.status.probeRequested:
			requested = true
		case <-ticker.C:
			a.journal.evict(time.Now())
		}
		a.status.setWorkload(a.running(), a.journal.pendingTokens())
		now := time.Now()
		if probing || (!requested && !a.probeDue(now, lastProbe)) {
			continue
		}
		probing = true
		lastProbe = now
		a.goTask(func() {
			a.probeTarget(ctx)
			probeDone <- struct{}{}
		})
	}
}

func (a *Agent) probeDue(now, lastProbe time.Time) bool {
	elapsed := now.Sub(lastProbe)
	if elapsed >= probeInterval {
		return true
	}
	return a.activeStreams.Load() > 0 && elapsed >= inactivityThreshold && a.status.sinceActivity(now) >= inactivityThreshold
}

func (a *Agent) probeTarget(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if a.calls != nil {
		a.probeApplication(ctx)
		return
	}
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.recordProbeFailure(ctx, err)
		return
	}
	models, err := a.engine.Models(ctx)
	if err != nil {
		a.recordProbeFailure(ctx, err)
		return
	}
	a.status.recordProbe(time.Now(), load, models)
}

// recordProbeFailure marks the target down if the connection failed. A probe that timed
// out has no effect here: the time since the last activity, which heartbeats report,
// shows that the target does not respond.
func (a *Agent) recordProbeFailure(ctx context.Context, err error) {
	var typed *fault.Error
	if ctx.Err() == nil && errors.As(err, &typed) && typed.Cause != nil {
		a.status.markDown()
	}
}

// probeApplication probes an application target, which serves only its service.
func (a *Agent) probeApplication(ctx context.Context) {
	load, err := a.calls.application.Load(ctx)
	engineLoad := outside.EngineLoad{Running: load.Running, Waiting: load.Waiting}
	if err != nil {
		a.recordProbeFailure(ctx, err)
		return
	}
	a.status.recordProbe(time.Now(), engineLoad, []string{a.settings.Service})
}
