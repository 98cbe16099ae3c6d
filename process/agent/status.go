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
	// statusEvery is the period at which the target is asked for its load.
	statusEvery = 200 * time.Millisecond
	// probeAfter is the silence of a target with work after which it is asked.
	probeAfter = 40 * time.Millisecond
	// watchEvery is the period at which the silence is looked at.
	watchEvery = 20 * time.Millisecond
	// statusTimeout is how long the target may take to answer.
	statusTimeout = 2 * time.Second
)

// engineStatus is what the agent knows of its target.
type engineStatus struct {
	mu     sync.Mutex
	alive  bool
	load   outside.EngineLoad
	models []string
	at     time.Time
	// sign is when the target last gave a sign of life, moved when a stream that
	// had begun last brought tokens.
	sign, moved time.Time
	// decoding counts the streams that have begun and not ended.
	decoding int
	// running and pending are the journal's load.
	running, pending int
	// probe is signalled when the target has to be asked at once.
	probe chan struct{}
	// news is closed and replaced when the entries have to know at once.
	news chan struct{}
}

func newEngineStatus() *engineStatus {
	return &engineStatus{probe: make(chan struct{}, 1), news: make(chan struct{}), sign: time.Now()}
}

// statusReport is the state of a target at one instant.
type statusReport struct {
	alive            bool
	load             outside.EngineLoad
	models           []string
	age              time.Duration
	silent, stalled  time.Duration
	running, pending int
}

func (s *engineStatus) report(now time.Time) statusReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := statusReport{
		alive: s.alive, load: s.load, models: s.models, age: now.Sub(s.at),
		silent: now.Sub(s.sign), running: s.running, pending: s.pending,
	}
	if s.decoding > 0 {
		r.stalled = now.Sub(s.moved)
	}
	return r
}

// work returns the journal's load as it was last counted.
func (s *engineStatus) work() (running, pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.pending
}

func (s *engineStatus) setWork(running, pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = running
	s.pending = pending
}

// changed returns a channel that is closed at the next news.
func (s *engineStatus) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

// signal tells all entries the state at once.
func (s *engineStatus) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalLocked()
}

func (s *engineStatus) signalLocked() {
	close(s.news)
	s.news = make(chan struct{})
}

// silence returns how long ago the target gave a sign of life.
func (s *engineStatus) silence(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.sign)
}

// dead notes that the target's port refuses or resets connections.
func (s *engineStatus) dead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alive {
		s.alive = false
		s.signalLocked()
	}
}

// answered notes the answer to a probe.
func (s *engineStatus) answered(now time.Time, load outside.EngineLoad, models []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := !s.alive || !sameModels(s.models, models)
	s.alive = true
	s.load = load
	s.models = models
	s.at = now
	s.sign = now
	if news {
		s.signalLocked()
	}
}

// lost notes how an attempt failed: when the target did not answer, it is asked
// at once whether it still lives.
func (s *engineStatus) lost(err error) {
	if fault.KindOf(err) != fault.TargetLost {
		return
	}
	select {
	case s.probe <- struct{}{}:
	default:
	}
}

// watch returns stream with its chunks noted as signs of life.
func (s *engineStatus) watch(stream outside.Stream) outside.Stream {
	return &watchedStream{Stream: stream, status: s}
}

type watchedStream struct {
	outside.Stream
	status *engineStatus
	begun  bool
}

// Next implements outside.Stream.
func (w *watchedStream) Next() (outside.Chunk, error) {
	chunk, err := w.Stream.Next()
	if err != nil {
		return chunk, err
	}
	s := w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sign = time.Now()
	s.moved = s.sign
	if !w.begun {
		w.begun = true
		s.decoding++
	}
	return chunk, nil
}

// Close implements outside.Stream.
func (w *watchedStream) Close() error {
	if w.begun {
		w.status.mu.Lock()
		w.status.decoding--
		w.status.mu.Unlock()
	}
	return w.Stream.Close()
}

// watchEngine asks the target for its state: at its period, when a target with
// work falls silent, and when an attempt was lost.
func (a *Agent) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	answered := make(chan struct{}, 1)
	asking := false
	var asked time.Time
	for {
		lost := false
		select {
		case <-ctx.Done():
			return
		case <-answered:
			asking = false
			continue
		case <-a.status.probe:
			lost = true
		case <-ticker.C:
			a.journal.sweep(time.Now())
		}
		a.status.setWork(a.running(), a.journal.pendingTokens())
		now := time.Now()
		if asking || (!lost && !a.probeDue(now, asked)) {
			continue
		}
		asking = true
		asked = now
		a.goTask(func() {
			a.askEngine(ctx)
			answered <- struct{}{}
		})
	}
}

func (a *Agent) probeDue(now, asked time.Time) bool {
	since := now.Sub(asked)
	if since >= statusEvery {
		return true
	}
	return a.active.Load() > 0 && since >= probeAfter && a.status.silence(now) >= probeAfter
}

func (a *Agent) askEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if a.calls != nil {
		a.askApplication(ctx)
		return
	}
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.noteSilence(ctx, err)
		return
	}
	models, err := a.engine.Models(ctx)
	if err != nil {
		a.noteSilence(ctx, err)
		return
	}
	a.status.answered(time.Now(), load, models)
}

// noteSilence tells a target whose port is closed, which is dead, from one that
// does not answer in time, of which the silence tells.
func (a *Agent) noteSilence(ctx context.Context, err error) {
	var typed *fault.Error
	if ctx.Err() == nil && errors.As(err, &typed) && typed.Cause != nil {
		a.status.dead()
	}
}

// askApplication asks an application target, which serves its service and nothing else.
func (a *Agent) askApplication(ctx context.Context) {
	load, err := a.calls.application.Load(ctx)
	reported := outside.EngineLoad{Running: load.Running, Waiting: load.Waiting}
	if err != nil {
		a.noteSilence(ctx, err)
		return
	}
	a.status.answered(time.Now(), reported, []string{a.settings.Service})
}
