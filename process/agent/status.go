package agent

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
)

// statusEvery is the period at which the target is asked for its load.
const statusEvery = 200 * time.Millisecond

// statusTimeout is how long the target may take to answer.
const statusTimeout = 2 * time.Second

// engineStatus is what the agent last learnt of its target.
type engineStatus struct {
	mu     sync.Mutex
	alive  bool
	load   platform.EngineLoad
	models []string
	at     time.Time
}

func (s *engineStatus) set(alive bool, load platform.EngineLoad, models []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = alive
	if !alive {
		return
	}
	s.load = load
	s.models = models
	s.at = time.Now()
}

func (s *engineStatus) get() (alive bool, load platform.EngineLoad, models []string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive, s.load, s.models, time.Since(s.at)
}

func (a *Agent) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(statusEvery)
	defer ticker.Stop()
	for {
		a.askEngine(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
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
		a.status.set(false, load, nil)
		return
	}
	models, err := a.engine.Models(ctx)
	a.status.set(err == nil, load, models)
}

// askApplication asks an application target, which serves its service and nothing else.
func (a *Agent) askApplication(ctx context.Context) {
	load, err := a.calls.application.Load(ctx)
	reported := platform.EngineLoad{Running: load.Running, Waiting: load.Waiting}
	a.status.set(err == nil, reported, []string{a.settings.Service})
}
