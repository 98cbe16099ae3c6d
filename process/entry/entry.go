// Package entry is the process that callers reach. It owns a request while its
// caller waits: it admits it, runs attempts through the agents, and writes the
// answer.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

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
	defaultHostListEvery = time.Second
	defaultMaxBody       = 4 << 20
	defaultMaxHeader     = 64 << 10
	defaultIdleTimeout   = 2 * time.Minute
	defaultSlowCaller    = 10 * time.Second
	platformTimeout      = 2 * time.Second
)

// Entry is one running entry.
type Entry struct {
	settings  settings.Entry
	hosts     outside.HostList
	revisions *revision.Active
	observer  *observe.Observer
	follower  *revision.StoreWatcher
	spreader  *revision.Gossiper
	store     Store
	control   *control
	peers     peers
	calls     *calls.Executor
	pages     *calls.PageWriter
	// pageOptions says how pages are written.
	pageOptions calls.PageOptions
	dialer      *link.Dialer
	links       link.Registry
	listener    net.Listener
	server      *http.Server
	draining    atomic.Bool
	// base ends with the entry.
	base   context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewWith returns an entry that reaches the given services. It serves nothing
// until Start.
func NewWith(s settings.Entry, outside Outside) *Entry {
	withDefaults(&s)
	revisions := revision.NewActive()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	spreader := revision.NewGossiper(s.Name, gossip.Entry, revisions)
	e := &Entry{
		settings:  s,
		hosts:     outside.Hosts,
		revisions: revisions,
		observer:  outside.Observer,
		follower:  revision.NewStoreWatcher(outside.Store, spreader),
		spreader:  spreader,
		store:     outside.Store,
		control:   newControl(random, revisions, outside.Observer),
		peers:     peers{byTarget: map[request.TargetID]*peer{}},
	}
	e.observer.RegisterGauges(e.gauges()...)
	return e
}

func withDefaults(s *settings.Entry) {
	setDefault(&s.Platform.HostListInterval, defaultHostListEvery)
	setDefault(&s.Limits.IdleTimeout, defaultIdleTimeout)
	setDefault(&s.Limits.CallerWriteTimeout, defaultSlowCaller)
	if s.Limits.MaxBodyBytes == 0 {
		s.Limits.MaxBodyBytes = defaultMaxBody
	}
	if s.Limits.MaxHeaderBytes == 0 {
		s.Limits.MaxHeaderBytes = defaultMaxHeader
	}
}

func setDefault[T ~int64](field *T, value time.Duration) {
	if *field == 0 {
		*field = T(value)
	}
}

// Start listens for callers and links to the targets.
func (e *Entry) Start(context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.observer.OperatorServer.HandleStatus(e.Status)
	if err := e.observer.OperatorServer.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.base = ctx
	e.cancel = cancel
	e.startCalls(ctx)
	e.observer.Record(timeline.Event{Kind: timeline.ProcessStarted})
	e.tasks.Go(func() { e.control.run(ctx) })
	e.tasks.Go(func() { e.spreader.Run(ctx) })
	e.tasks.Go(func() { e.giveOrders(ctx) })
	e.tasks.Go(func() { e.follower.Run(ctx) })
	e.tasks.Go(func() { e.followHosts(ctx) })
	e.tasks.Go(func() { _ = e.server.Serve(e.listener) })
	klog.InfoS("entry started", "name", e.settings.Name, "callers", e.Address())
	return nil
}

func (e *Entry) listen() error {
	pair, err := keys.Load(e.settings.Keys)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	host, _, err := net.SplitHostPort(e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	e.dialer, err = link.NewDialer(host, pair.ClientConfig(keys.RoleAgent))
	if err != nil {
		return errors.Wrap(err, "links")
	}
	e.listener, err = net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	e.server = &http.Server{
		Handler:           e.router(),
		MaxHeaderBytes:    e.settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: e.settings.Limits.CallerWriteTimeout.Std(),
		IdleTimeout:       e.settings.Limits.IdleTimeout.Std(),
	}
	return nil
}

// Address returns the address that callers are accepted at.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// OperatorAddress returns the address that operators are served at.
func (e *Entry) OperatorAddress() string { return e.observer.OperatorServer.Address() }

// stopNotice is how long an entry that stops still takes requests while it says
// that it is not ready, so that a balancer sends nothing to a closed port.
const stopNotice = time.Second

// Stop ends the entry: it says that it is not ready, takes no new request after a
// notice, and waits for the running ones until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.observer.Record(timeline.Event{Kind: timeline.ProcessDraining})
	e.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(stopNotice):
	case <-ctx.Done():
	}
	err := e.server.Shutdown(ctx)
	e.calls.Drain(ctx)
	e.Kill()
	return errors.Wrap(err, "shutdown")
}

// Kill ends the entry at once.
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
	router.Use(gin.CustomRecoveryWithWriter(io.Discard, recovered), e.limitBody)
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

func (e *Entry) limitBody(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, e.settings.Limits.MaxBodyBytes)
	c.Next()
}

// ready says whether the entry has a configuration, knows a target, and takes new
// requests.
func (e *Entry) ready(c *gin.Context) {
	if e.draining.Load() || !e.Ready(1) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// Ready says whether a configuration is in force and at least targets targets are
// up and known with what they have loaded.
func (e *Entry) Ready(targets int) bool {
	if e.revisions.Current().Revision == 0 {
		return false
	}
	return e.control.countUp() >= targets
}
