// Package agent is the process beside a target. It is the only way to the
// target: every generation, call and order passes it.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/application"
	"github.com/mulberrylane/mulberrylane/process/metrics"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

// Agent is one running agent.
type Agent struct {
	settings    settings.Agent
	incarnation request.Incarnation
	engine      outside.Engine
	// calls is set when the target is an application, else nil.
	calls     *callGate
	journal   *journal
	directory *directoryPart
	observer  *observe.Observer
	status    *engineStatus
	leaving   atomic.Bool
	// active counts the streams that are served, entries the links of entries.
	active   atomic.Int32
	entries  atomic.Int32
	links    link.Registry
	listener *link.Listener
	// configuration is what the agent hears of revisions.
	configuration *configuration
	orders        *orderDesk
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// NewWith returns an agent that reaches the given services. It serves nothing
// until Start.
func NewWith(s settings.Agent, outside Outside) *Agent {
	a := &Agent{
		settings:      s,
		incarnation:   request.Incarnation(time.Now().UnixNano()),
		engine:        outside.Engine,
		journal:       newJournal(),
		observer:      outside.Observer,
		status:        newEngineStatus(),
		configuration: newConfiguration(s),
		orders:        &orderDesk{engine: outside.Orders},
		directory:     newDirectoryPart(),
	}
	a.observer.RegisterGauges(metrics.LinkGauges(&a.links)...)
	if s.ApplicationURL != "" {
		a.calls = newCallGate(a.incarnation, application.NewTarget(s.ApplicationURL))
	}
	return a
}

// maxEngineConnections bounds the connections to one engine.
const maxEngineConnections = 4096

func engineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxEngineConnections,
		DisableCompression:  true,
	}}
}

// Start listens for links.
func (a *Agent) Start(context.Context) error {
	pair, err := keys.Load(a.settings.Keys)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	a.listener, err = link.Listen(a.settings.LinkAddress, pair.ServerConfig(keys.RoleEntry, keys.RoleOperator))
	if err != nil {
		return errors.Wrap(err, "links")
	}
	a.observer.OperatorServer.HandleStatus(a.Status)
	if err := a.observer.OperatorServer.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.observer.Record(timeline.Event{Kind: timeline.ProcessStarted, Target: a.target()})
	a.goTask(func() { a.configuration.spreader.Run(ctx) })
	a.goTask(func() { a.followDrain(ctx) })
	a.goTask(func() { a.watchRole(ctx) })
	a.goTask(func() { a.watchEngine(ctx) })
	a.goTask(func() { a.acceptLinks(ctx) })
	klog.InfoS("agent started", "name", a.settings.Name, "target", a.settings.Target,
		"links", a.Address(), "incarnation", a.incarnation)
	return nil
}

// Address returns the address that links are accepted at.
func (a *Agent) Address() string { return a.listener.Address() }

// OperatorAddress returns the address that operators are served at.
func (a *Agent) OperatorAddress() string { return a.observer.OperatorServer.Address() }

// Stop ends the agent: it refuses new work, waits until the running work has ended
// and its entries have all of it, or until ctx ends, and closes its links.
func (a *Agent) Stop(ctx context.Context) error {
	a.leave()
	a.observer.Record(timeline.Event{Kind: timeline.ProcessDraining, Target: a.target()})
	a.awaitIdle(ctx)
	a.Kill()
	return nil
}

// leave makes the agent refuse new work and tells all entries at once.
func (a *Agent) leave() {
	a.leaving.Store(true)
	a.status.signal()
}

const idlePoll = 20 * time.Millisecond

func (a *Agent) awaitIdle(ctx context.Context) {
	for a.running() > 0 || a.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idlePoll):
		}
	}
}

// running counts the attempts and calls that have not ended.
func (a *Agent) running() int {
	count := a.journal.running()
	if a.calls != nil {
		count += a.calls.count()
	}
	return count
}

// Kill ends the agent at once.
func (a *Agent) Kill() {
	if a.cancel == nil {
		return
	}
	a.cancel()
	_ = a.listener.Close()
	a.observer.OperatorServer.Close()
	a.tasks.Wait()
}

func (a *Agent) goTask(task func()) { a.tasks.Go(task) }

func (a *Agent) acceptLinks(ctx context.Context) {
	for {
		accepted, err := a.listener.Accept(ctx)
		if err != nil {
			return
		}
		a.goTask(func() { a.serveLink(ctx, accepted) })
	}
}
