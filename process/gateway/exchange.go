package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/freshness"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

const (
	// elsewhere is the Retry-After of a request that another entry can take at once.
	elsewhere = 50 * time.Millisecond
	// returnAfter is the Retry-After of a request that no target can take now, spread
	// by returnSpread so that those who were refused together do not return together.
	returnAfter  = 250 * time.Millisecond
	returnSpread = 500 * time.Millisecond
	// storeReturn is the Retry-After while no entry reaches the store, whose outages
	// last for seconds.
	storeReturn = 1500 * time.Millisecond
	// defaultTimeout bounds requests that neither their caller nor their route bounds.
	defaultTimeout = time.Minute
)

// exchange is one request of a caller.
type exchange struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	in        request.Inbound
	route     *routes.Route
	service   string
	workspace *routes.Workspace
	arrived   time.Time
	deadline  time.Time
	// revision is the version of the configuration that it runs under.
	revision int64
}

// serveCaller takes one request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{gateway: g, writer: w, arrived: time.Now()}
	if err := e.admit(r); err != nil {
		e.refuse(err, 0)
		return
	}
	e.gateway.log.Event("accepted", "request", e.in.ID, "route", e.route.Name, "service", e.service,
		"workspace", e.workspaceName(), "configuration", e.revision, "timeLeft", time.Until(e.deadline),
		"position", e.in.Position, "prompt", e.in.PromptTokens)
	if e.route.Kind == routes.Streaming {
		e.stream(r.Context())
		return
	}
	e.call(r.Context())
}

// admit reads the request and says why it is not served, if it is not.
func (e *exchange) admit(r *http.Request) error {
	g := e.gateway
	var err error
	e.in, err = platform.DecodeRequest(r)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, err.Error())
	}
	g.awaitFirstList(r.Context(), e.in.TimeLeft)
	if err := e.authorize(); err != nil {
		return err
	}
	limit := g.table.Load().Limits().BodyBytes
	e.in.Body, err = io.ReadAll(http.MaxBytesReader(e.writer, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body is over %d bytes", limit)
	case err != nil:
		return fault.Wrap(fault.CallerGone, err, "the body was not sent whole")
	}
	timeout := e.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if e.in.TimeLeft > 0 {
		timeout = min(timeout, e.in.TimeLeft)
	}
	e.deadline = e.arrived.Add(timeout)
	left := g.drainStart.Load()
	if left != nil && e.route.Kind == routes.Streaming && e.arrived.Sub(*left) > streamDrainPeriod {
		return fault.New(fault.Draining, "the entry is about to end")
	}
	g.control.post(func() { g.control.budget(e.service).CountRequest(e.arrived) })
	return nil
}

// awaitFirstList holds a request that came to a starting entry until the store was
// read, but not for long.
func (g *Gateway) awaitFirstList(ctx context.Context, timeLeft time.Duration) {
	select {
	case <-g.synced:
		return
	default:
	}
	wait := freshness.StartupWait(time.Since(g.control.startedAt), timeLeft)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-g.synced:
	case <-ctx.Done():
	}
}

// authorize finds route and workspace. What an old configuration does not know may
// have come since, so that is told from an up-to-date one only.
func (e *exchange) authorize() error {
	g := e.gateway
	table := g.table.Load()
	fresh := g.control.currentFreshness()
	now := bootClock()
	if table == nil {
		return fault.New(fault.StaleConfiguration, "no configuration is known yet")
	}
	e.revision = table.Version()
	stale := fault.New(fault.StaleConfiguration, "the configuration could not be confirmed for %s", fresh.Age(now))
	e.route = table.Match(e.in.Host, e.in.Path)
	if e.route == nil {
		if !fresh.Ready(now) {
			return stale
		}
		return fault.New(fault.NotFound, "no route")
	}
	workspace, ok := table.Authorize(e.route, e.in.APIKey)
	if workspace != nil || !ok {
		if !fresh.AcceptsKeys(now) || !ok && !fresh.Ready(now) {
			return stale
		}
	}
	if !ok {
		return fault.New(fault.Unauthenticated, "no workspace has the key")
	}
	e.workspace = workspace
	e.service = e.route.Service(string(e.in.ID))
	return nil
}

func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// leastUrgent is the last rank that engines know.
const leastUrgent = 9

// priority returns the rank of the request at an engine, 0 first. That of the
// workspace goes before that of the route.
func (e *exchange) priority() int {
	rank := e.route.Priority
	if e.workspace != nil && e.workspace.Priority != nil {
		rank = *e.workspace.Priority
	}
	return min(leastUrgent, max(0, rank))
}

// retryAfter says when a refused request is worth sending again: at once where
// another entry can take it, else when capacity or the store may be back.
func (g *Gateway) retryAfter(kind fault.Kind) time.Duration {
	spread := time.Duration(rand.Int64N(int64(returnSpread)))
	switch kind {
	case fault.Draining, fault.Unreachable:
		return elsewhere
	case fault.StaleConfiguration:
		other := false
		g.control.do(func() { other = g.control.anyPeerReady() })
		if other {
			return elsewhere
		}
		return storeReturn + 2*spread
	default:
		return returnAfter + spread
	}
}

// refuse answers a request that did not run, or of which that is not known.
func (e *exchange) refuse(err error, attempts int) {
	kind := fault.KindOf(err)
	answer := kind.Response()
	header := e.writer.Header()
	after := time.Duration(0)
	if answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests {
		after = e.gateway.retryAfter(kind)
	}
	platform.SetRefusalHeader(header, e.in.ID, after)
	e.writer.WriteHeader(answer.Status)
	e.ended(kind, attempts, "status", answer.Status, "retryAfter", after, "error", err.Error())
}

// ended logs and counts the end of a request.
func (e *exchange) ended(kind fault.Kind, attempts int, more ...any) {
	routeKind := "none"
	if e.route != nil {
		routeKind = e.route.Kind.String()
	}
	e.gateway.metrics.ended(routeKind, kind.String())
	fields := []any{
		"request", e.in.ID, "outcome", kind.String(), "attempts", attempts,
		"took", time.Since(e.arrived), "configuration", e.revision,
	}
	e.gateway.log.Event("ended", append(fields, more...)...)
}

// send writes an answer of a target as it is.
func (e *exchange) send(head *http.Response, body []byte) error {
	header := e.writer.Header()
	for name, values := range platform.ForwardedResponseHeader(head.Header) {
		header[name] = values
	}
	e.writer.WriteHeader(head.StatusCode)
	_, err := e.writer.Write(body)
	return errors.WithStack(err)
}

// abort closes the caller's connection in the middle of an answer, so that it does
// not look complete.
func abort() { panic(http.ErrAbortHandler) }

func (e *exchange) timeLeft() time.Duration { return time.Until(e.deadline) }

// withDeadline bounds what is done for the request.
func (e *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, e.deadline)
}
