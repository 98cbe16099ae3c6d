// Package entry implements the process that callers reach. It owns a request while
// the caller waits: it admits the request, runs attempts through the agents, and
// writes the response.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	defaultHostListInterval   = time.Second
	defaultMaxBodyBytes       = 4 << 20
	defaultMaxHeaderBytes     = 64 << 10
	defaultIdleTimeout        = 2 * time.Minute
	defaultCallerWriteTimeout = 10 * time.Second
	platformTimeout           = 2 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings     settings.Entry
	hosts        outside.HostList
	revisions    *revision.Active
	observer     *observe.Observer
	storeWatcher *revision.StoreWatcher
	gossiper     *revision.Gossiper
	store        Store
	control      *control
	peers        peers
	callExecutor *calls.Executor
	pageWriter   *calls.PageWriter
	// pageOptions sets how call pages are written.
	pageOptions calls.PageOptions
	dialer      *link.Dialer
	links       link.Registry
	listener    *graceful.Listener
	server      *http.Server
	draining    atomic.Bool
	// baseContext ends when the entry is stopped.
	baseContext context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
}

// NewWith returns an entry that uses the given dependencies. It serves nothing until
// Start is called.
func NewWith(s settings.Entry, deps Dependencies) *Entry {
	applyDefaults(&s)
	revisions := revision.NewActive()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	gossiper := revision.NewGossiper(s.Name, gossip.Entry, revisions)
	e := &Entry{
		settings:     s,
		hosts:        deps.Hosts,
		revisions:    revisions,
		observer:     deps.Observer,
		storeWatcher: revision.NewStoreWatcher(deps.Store, gossiper),
		gossiper:     gossiper,
		store:        deps.Store,
		control:      newControl(random, revisions, deps.Observer),
		peers:        peers{byTarget: map[request.TargetID]*peer{}},
	}
	e.observer.RegisterGauges(e.gauges()...)
	return e
}

func applyDefaults(s *settings.Entry) {
	setDefault(&s.Platform.HostListInterval, defaultHostListInterval)
	setDefault(&s.Limits.IdleTimeout, defaultIdleTimeout)
	setDefault(&s.Limits.CallerWriteTimeout, defaultCallerWriteTimeout)
	if s.Limits.MaxBodyBytes == 0 {
		s.Limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.Limits.MaxHeaderBytes == 0 {
		s.Limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
}

func setDefault[T ~int64](field *T, value time.Duration) {
	if *field == 0 {
		*field = T(value)
	}
}

// Start begins to serve callers and operators and opens links to the targets.
func (e *Entry) Start(context.Context) error {
	if memoryMB := e.settings.Limits.MemoryMB; memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryMB) * (1 << 20)))
	}
	if err := e.listen(); err != nil {
		return err
	}
	e.observer.OperatorServer.HandleStatus(e.Status)
	if err := e.observer.OperatorServer.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.baseContext = ctx
	e.cancel = cancel
	e.startCalls(ctx)
	e.observer.Record(timeline.Event{Kind: timeline.ProcessStarted})
	e.tasks.Go(func() { e.control.run(ctx) })
	e.tasks.Go(func() { e.gossiper.Run(ctx) })
	e.tasks.Go(func() { e.runOrdersController(ctx) })
	e.tasks.Go(func() { e.storeWatcher.Run(ctx) })
	e.tasks.Go(func() { e.followHostList(ctx) })
	e.tasks.Go(func() { _ = e.server.Serve(e.listener) })
	klog.InfoS("entry started", "name", e.settings.Name, "callers", e.Address())
	return nil
}

func (e *Entry) listen() error {
	credentials, err := keys.Load(e.settings.Keys)
	if err != nil {
		return errors.Wrap(err, "load keys")
	}
	host, _, err := net.SplitHostPort(e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	e.dialer, err = link.NewDialer(host, credentials.ClientConfig(keys.RoleAgent))
	if err != nil {
		return errors.Wrap(err, "link dialer")
	}
	listener, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.listener = graceful.NewListener(listener)
	e.listener.Memory = callerMemory(e.settings.Limits)
	e.listener.Memory.OnYield = e.observer.RecordYield("callers")
	e.listener.SetLimits(keepalive.Limits{
		HeaderBytes:   e.settings.Limits.MaxHeaderBytes,
		HeaderTimeout: e.settings.Limits.CallerWriteTimeout.Std(),
		IdleTimeout:   e.settings.Limits.IdleTimeout.Std(),
	})
	e.server = &http.Server{Handler: e.router()}
	e.listener.ConfigureServer(e.server)
	return nil
}

// Address returns the address on which the entry serves callers.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// OperatorAddress returns the address on which the entry serves operators.
func (e *Entry) OperatorAddress() string { return e.observer.OperatorServer.Address() }

// shutdownDelay is how long a stopping entry still accepts requests while it reports
// not ready, so that a load balancer sends nothing to a closed port.
const shutdownDelay = time.Second

// Stop shuts the entry down: it reports not ready, accepts no new requests after
// shutdownDelay, and waits for the running ones until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.observer.Record(timeline.Event{Kind: timeline.ProcessDraining})
	select {
	case <-time.After(shutdownDelay):
	case <-ctx.Done():
	}
	e.listener.StopAccepting()
	err := e.listener.Drain(ctx)
	e.callExecutor.Drain(ctx)
	e.Kill()
	return errors.Wrap(err, "shutdown")
}

// Kill stops the entry without waiting for running requests.
func (e *Entry) Kill() {
	_ = e.dialer.Close()
	e.cancel()
	_ = e.server.Close()
	e.observer.OperatorServer.Close()
	e.tasks.Wait()
}

func (e *Entry) router() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.NoRoute(noRoute)
	router.NoMethod(noRoute)
	router.Use(gin.CustomRecoveryWithWriter(io.Discard, handlePanic), e.setConnectionHeader, e.limitBody)
	router.GET("/health", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/ready", e.ready)
	v1 := router.Group("/v1", e.authenticate)
	v1.GET("/models", e.listModels)
	v1.GET("/models/:model", e.getModel)
	v1.POST("/completions", e.completions)
	v1.POST("/chat/completions", e.chatCompletions)
	e.routeCalls(router)
	return router
}

// setConnectionHeader tells callers for how long they may use their connections again. While the
// entry drains they are to open one to another entry for their next request.
func (e *Entry) setConnectionHeader(c *gin.Context) {
	if e.draining.Load() {
		c.Header("Connection", "close")
	}
	graceful.Announce(c.Request, c.Writer.Header())
	c.Next()
}

// ready responds to a readiness check: 200 if the entry has a configuration, knows a
// target that is up, and accepts new requests, else 503.
func (e *Entry) ready(c *gin.Context) {
	if e.draining.Load() || !e.Ready(1) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// Ready reports whether a configuration is active and at least minTargets targets are
// up and have reported their models.
func (e *Entry) Ready(minTargets int) bool {
	if e.revisions.Current().Revision == 0 {
		return false
	}
	return e.control.countReadyTargets() >= minTargets
}
