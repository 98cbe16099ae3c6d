// Package agent implements the process that runs beside a target. All traffic to the
// target goes through it: generations, calls and orders.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
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

// Agent is the agent of one target.
type Agent struct {
	settings    settings.Agent
	incarnation request.Incarnation
	engine      outside.Engine
	// calls is nil unless the target is an application.
	calls     *callGate
	journal   *journal
	directory *directoryShard
	observer  *observe.Observer
	status    *targetStatus
	stopping  atomic.Bool
	// activeStreams counts the request streams in progress, entryLinks the open links
	// to entries.
	activeStreams atomic.Int32
	entryLinks    atomic.Int32
	links         link.Registry
	listener      *link.Listener
	// configuration holds the configuration revisions received by gossip.
	configuration *configuration
	orders        *orderForwarder
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// NewWith returns an agent that uses the given dependencies. It serves nothing
// until Start.
func NewWith(s settings.Agent, deps Dependencies) *Agent {
	a := &Agent{
		settings:      s,
		incarnation:   request.Incarnation(time.Now().UnixNano()),
		engine:        deps.Engine,
		journal:       newJournal(),
		observer:      deps.Observer,
		status:        newTargetStatus(),
		configuration: newConfiguration(s),
		orders:        &orderForwarder{engine: deps.Orders},
		directory:     newDirectoryShard(),
	}
	a.observer.RegisterGauges(metrics.LinkGauges(&a.links)...)
	if s.ApplicationURL != "" {
		a.calls = newCallGate(a.incarnation, application.NewTarget(s.ApplicationURL))
	}
	return a
}

// newEngineClient returns a client that opens a connection for each call. Responses of engines
// name no request, so one that a failing engine sends once more on a connection in use again
// could not be told from that to the next call. The engine is on the agent's host.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}}
}

// Start starts to accept links, to serve operators and to probe the target.
func (a *Agent) Start(context.Context) error {
	pair, err := keys.Load(a.settings.Keys)
	if err != nil {
		return errors.Wrap(err, "load keys")
	}
	a.listener, err = link.Listen(a.settings.LinkAddress, pair.ServerConfig(keys.RoleEntry, keys.RoleOperator))
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	a.observer.OperatorServer.HandleStatus(a.Status)
	if err := a.observer.OperatorServer.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.observer.Record(timeline.Event{Kind: timeline.ProcessStarted, Target: a.target()})
	a.goTask(func() { a.configuration.gossiper.Run(ctx) })
	a.goTask(func() { a.watchDraining(ctx) })
	a.goTask(func() { a.pollRole(ctx) })
	a.goTask(func() { a.probeTargetLoop(ctx) })
	a.goTask(func() { a.acceptLinks(ctx) })
	klog.InfoS("agent started", "name", a.settings.Name, "target", a.settings.Target,
		"links", a.Address(), "incarnation", a.incarnation)
	return nil
}

// Address returns the address at which links are accepted.
func (a *Agent) Address() string { return a.listener.Address() }

// OperatorAddress returns the address of the operators' endpoint.
func (a *Agent) OperatorAddress() string { return a.observer.OperatorServer.Address() }

// Stop drains the agent and ends it: it refuses new work, waits until the running work
// has ended and has been delivered to the entries, or until ctx ends, and then closes
// the links.
func (a *Agent) Stop(ctx context.Context) error {
	a.refuseNewWork()
	a.observer.Record(timeline.Event{Kind: timeline.ProcessDraining, Target: a.target()})
	a.awaitIdle(ctx)
	a.Kill()
	return nil
}

// refuseNewWork makes the agent refuse new work and notifies all entries immediately.
func (a *Agent) refuseNewWork() {
	a.stopping.Store(true)
	a.status.notifyEntries()
}

const idlePollInterval = 20 * time.Millisecond

func (a *Agent) awaitIdle(ctx context.Context) {
	for a.running() > 0 || a.activeStreams.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idlePollInterval):
		}
	}
}

// running returns the number of attempts and calls that have not ended.
func (a *Agent) running() int {
	count := a.journal.running()
	if a.calls != nil {
		count += a.calls.runningCalls()
	}
	return count
}

// Kill ends the agent immediately, without draining it.
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
