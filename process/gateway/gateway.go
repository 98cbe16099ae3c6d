// Package gateway is the entry of a deployment on the users' platform. It accepts
// requests from callers and forwards them directly to targets. It keeps no durable
// state: configuration and registrations are in the platform's store.
//
// Decisions are made by the pure packages request, version/routes and those under
// process; this package owns sockets, timers and goroutines. One goroutine owns the
// control state, and each request has goroutines of its own.
package gateway

import (
	"context"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/eventlog"
	"github.com/mulberrylane/mulberrylane/process/lifecycle"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/shutdown"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

// memoryLimitFraction is the part of the process's memory that the Go runtime may use
// before it collects garbage more often; the rest is for stacks and sockets.
const memoryLimitFraction = 0.6

// syncBuffer is how many messages of other entries may queue for the watch on the store.
const syncBuffer = 4

// Gateway is one entry.
type Gateway struct {
	settings Settings
	log      *eventlog.Log
	metrics  *instruments
	control  *control
	pool     *target.Pool
	store    *platform.Store
	// eras follows the era of the store.
	eras  *storeEras
	peers *peers.Conn
	// registration is this entry's own key in the store.
	registration *registrationState
	// bodyMemory limits the memory of the bodies of requests and responses.
	bodyMemory *bodyMemory
	// bodyStallTimeout is how long the next part of a body of a caller may take to arrive.
	bodyStallTimeout time.Duration
	ingress          *ingress

	// table is the active configuration; nil until the first one has been read.
	table atomic.Pointer[routes.Table]
	// configuration is its value in the store. configurationMu is held while it is replaced.
	configuration   atomic.Pointer[[]byte]
	configurationMu sync.Mutex
	storeAnswers    *storeAnswers
	// reading is set while a response of the store is arriving or being applied.
	reading atomic.Bool
	// knowledgeLearned receives a value when another entry has told what it knows beside the store.
	knowledgeLearned chan struct{}
	// documentMu is held while a configuration is asked for over a connection.
	documentMu sync.Mutex
	// syncAnswers and syncAnnouncements pass messages of other entries to the watch on the
	// store.
	syncAnswers       chan peers.SyncAnswer
	syncAnnouncements chan announcement
	// synced is closed once a configuration and the targets have been read from the
	// store.
	synced chan struct{}
	// stopPlan is set when the process has been asked to stop. ending is cancelled when the
	// requests that are then still in progress have to end.
	stopPlan       atomic.Pointer[shutdown.Plan]
	ending         context.Context
	endRequests    context.CancelFunc
	activeRequests activeRequests
	// runs is the number of the last run of a stream.
	runs atomic.Uint64

	// background is cancelled when the process has stopped serving.
	background context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// New returns the fx application of a gateway.
func New(s Settings) *fx.App {
	return lifecycle.NewApp(
		fx.Supply(s),
		fx.Provide(
			func() *eventlog.Log { return eventlog.New(os.Stdout) },
			func(s Settings) *platform.Store { return platform.NewStore(s.Store) },
			newInstruments,
			target.NewPool,
			newGateway,
		),
		fx.Invoke(lifecycle.Hook[*Gateway]),
	)
}

func newGateway(s Settings, log *eventlog.Log, store *platform.Store, pool *target.Pool, m *instruments) *Gateway {
	background, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: s, log: log, store: store, pool: pool, metrics: m,
		background: background, cancel: cancel, synced: make(chan struct{}),
		syncAnswers: make(chan peers.SyncAnswer, syncBuffer), syncAnnouncements: make(chan announcement, syncBuffer),
	}
	g.ending, g.endRequests = context.WithCancel(background)
	g.registration = newRegistrationState()
	g.eras = newStoreEras(g)
	store.SetEras(g.eras)
	store.SetObserver(g.observeExchange)
	g.storeAnswers = newStoreAnswers()
	g.knowledgeLearned = make(chan struct{}, maxAskedEntries)
	g.control = newControl(g)
	g.bodyMemory = newBodyMemory(s.MemoryMB)
	g.bodyStallTimeout = bodyStallTimeout
	g.ingress = newIngress(g)
	return g
}

// Start opens the listeners and starts watching the store.
func (g *Gateway) Start(context.Context) error {
	if g.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(g.settings.MemoryMB) * (1 << 20)))
	}
	if err := g.ingress.listen(); err != nil {
		return err
	}
	if err := g.metrics.registerGauges(g); err != nil {
		return err
	}
	conn, err := peers.Listen(g.settings.Peers)
	if err != nil {
		return errors.WithStack(err)
	}
	g.peers = conn
	for _, loop := range []func(){
		g.control.run, g.watchStore, g.maintainRegistration, g.receivePeerUpdates, g.serveTransfers, g.reloadSettings, g.ingress.serve,
		g.discoverCachedPrompts, g.writeOrigins,
	} {
		g.done.Go(loop)
	}
	g.log.Event("started", "process", g.settings.Name, "failureDomain", g.settings.FailureDomain)
	return nil
}

// errStopping is the error of work that is cancelled because the process is stopping.
var errStopping = errors.New("the process is stopping")

// Stop keeps serving until callers have moved to other entries and running requests
// have ended, but no longer than the grace period.
func (g *Gateway) Stop(context.Context) error {
	start := time.Now()
	grace := g.currentBounds().Grace.Std()
	plan := shutdown.NewPlan(start, grace)
	g.stopPlan.Store(plan)
	g.log.Event("leaving", "running", g.activeRequests.count(), "grace", grace)
	time.Sleep(time.Until(plan.CloseIdle()))
	untilEnd, cancel := context.WithDeadline(g.background, plan.End())
	defer cancel()
	if err := g.ingress.shutdown(untilEnd); err != nil {
		g.log.Event("cut_off", "running", g.activeRequests.count())
		g.endRequests()
		untilClose, cancelClose := context.WithDeadline(g.background, plan.Close())
		defer cancelClose()
		if err := g.ingress.shutdown(untilClose); err != nil {
			g.recordConnectionsClosed()
		}
	}
	g.ingress.close()
	g.cancel()
	err := g.peers.Close()
	g.log.Event("stopped", "process", g.settings.Name, "after", time.Since(start))
	g.log.Close()
	return errors.Wrap(err, "peers")
}

// draining reports whether the process has been asked to stop.
func (g *Gateway) draining() bool { return g.stopPlan.Load() != nil }
