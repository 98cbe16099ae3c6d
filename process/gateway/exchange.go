package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/quota"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/freshness"
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/process/rollout"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version/routes"
)

const (
	// retryAfterOtherEntry is the Retry-After of a request that another entry can
	// accept at once.
	retryAfterOtherEntry = 50 * time.Millisecond
	// retryAfterBase, plus up to retryAfterJitter, is the Retry-After of a request that
	// no target can take now. The jitter keeps callers that were refused together from
	// retrying together.
	retryAfterBase   = 250 * time.Millisecond
	retryAfterJitter = 500 * time.Millisecond
	// retryAfterOutage, plus up to twice retryAfterJitter, is the Retry-After while no
	// entry reaches the store, whose outages last for seconds.
	retryAfterOutage = 1500 * time.Millisecond
	// defaultTimeout applies to requests on routes without a timeout. The caller can
	// only shorten it.
	defaultTimeout = time.Minute
	// bodyStallTimeout is how long the next part of a body may take to arrive: callers end their
	// requests after 25 s at most.
	bodyStallTimeout = 25 * time.Second
	// refusedBodyTimeout is how long the body of a refused request is waited for, so that its
	// connection can be kept.
	refusedBodyTimeout = 3 * time.Second
)

// exchange is one request of a caller and its response.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// httpRequest is the request as it was received.
	httpRequest *http.Request
	inbound     request.Inbound
	route       *routes.Route
	service     string
	// engine is what the configuration that applies to the request says of the engines of the
	// service; nil if it has none.
	engine    *routes.Engine
	workspace *routes.Workspace
	arrived   time.Time
	deadline  time.Time
	// endsWithConnection is set if only the end of the connection ends a response of unknown
	// length.
	endsWithConnection bool
	// configVersion is the version of the configuration that applies to the request.
	configVersion int64
	// survived is set when a target has survived the request. quarantinedUntil is the end of
	// the quarantine of a part of its prompt, if there is one.
	survived         atomic.Bool
	quarantinedUntil time.Time
	// trial is the part with which the request may be sent once in spite of it, if any; the
	// control goroutine owns it.
	trial quarantine.Part
	// run numbers the run of a stream whose engines send KV copies, 0 for other requests.
	run kvcopies.Number
	// pin is the version that produced the first events of a stream; the goroutine of the stream
	// owns it. placed is set once an attempt was placed; the control goroutine owns it.
	pin    rollout.Pin
	placed bool
	// firstSent estimates when the caller of a call first sent it; the control goroutine owns it.
	firstSent time.Time
	// returnAfter is when the caller is to return if the call queue refused it.
	returnAfter time.Duration
	// cutOff is set when a planned stop ended the request.
	cutOff bool
	// bodies holds the bodies of the request and its responses, bodyRead is set once the former
	// has been read.
	bodies   heldBodies
	bodyRead bool
	// suspicionChanged receives when the target of a running attempt is suspected, or no longer.
	suspicionChanged chan struct{}
}

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	defer g.protectHandler()
	e := &exchange{
		gateway: g, writer: w, httpRequest: r, arrived: time.Now(), endsWithConnection: !r.ProtoAtLeast(1, 1),
		suspicionChanged: make(chan struct{}, 1),
	}
	defer e.bodies.release()
	var err error
	e.inbound, err = platform.DecodeRequest(r)
	g.activeRequests.add(e)
	defer g.activeRequests.remove(e)
	if err != nil {
		err = fault.Wrap(fault.BadRequest, err, err.Error())
	} else {
		err = e.admit(r)
	}
	if err != nil {
		e.refuse(err, 0)
		return
	}
	fields := []any{
		"request", e.inbound.ID, "route", e.route.Name, "service", e.service,
		"workspace", e.workspaceName(), "configuration", e.configVersion, "timeLeft", time.Until(e.deadline),
		"position", e.inbound.Position, "prompt", e.inbound.PromptTokens, "parts", partHashes(e.inbound.PartIDs()),
	}
	e.gateway.log.Event("accepted", append(fields, e.gateway.stopFields(time.Now())...)...)
	if e.route.Kind == routes.Streaming {
		e.serveStream(r.Context())
		return
	}
	e.serveCall(r.Context())
}

// maxLoggedParts limits the parts of a prompt in a line of the log. Prompts share the first ones.
const maxLoggedParts = 64

// partHashes returns the hashes of the IDs of prompt parts, which show in logs which prompts
// share parts.
func partHashes(ids []string) []string {
	ids = ids[:min(len(ids), maxLoggedParts)]
	hashes := make([]string, len(ids))
	for i, id := range ids {
		hashes[i] = partHash(id)
	}
	return hashes
}

func partHash(id string) string { return strconv.FormatUint(xxhash.Sum64String(id), 16) }

// admit reads the rest of the request and returns an error if it must not be served.
func (e *exchange) admit(r *http.Request) error {
	g := e.gateway
	// net/http reads the body of a request that is refused before.
	e.setDeadline(defaultTimeout)
	g.waitForInitialSync(r.Context(), e.inbound.TimeLeft)
	if err := e.authorize(); err != nil {
		return err
	}
	if e.route.Timeout > 0 {
		e.setDeadline(e.route.Timeout)
	}
	if err := e.readBody(g.table.Load().Limits().BodyBytes); err != nil {
		return err
	}
	if !g.acceptsWhileStopping(e) {
		return fault.New(fault.Draining, "the entry is about to end")
	}
	g.control.post(func() { g.control.budget(e.service).CountRequest(e.arrived) })
	return nil
}

// setDeadline sets the deadline of the request, which its caller may have shortened, also for its
// body.
func (e *exchange) setDeadline(timeout time.Duration) {
	if e.inbound.TimeLeft > 0 {
		timeout = min(timeout, e.inbound.TimeLeft)
	}
	e.deadline = e.arrived.Add(timeout)
	if e.httpRequest.ContentLength == 0 {
		// It would end the watch for a caller that leaves.
		return
	}
	e.extendReadDeadline(e.gateway.bodyStallTimeout)
}

// extendReadDeadline gives the next part of the body its time, until the deadline at most.
func (e *exchange) extendReadDeadline(timeout time.Duration) {
	until := time.Now().Add(timeout)
	if e.deadline.Before(until) {
		until = e.deadline
	}
	// It fails if the connection is closed.
	_ = http.NewResponseController(e.writer).SetReadDeadline(until)
}

// endUnreadBody limits for how long net/http waits for the body of a refused request, which it
// reads before it responds.
func (e *exchange) endUnreadBody() {
	if e.bodyRead || e.httpRequest.ContentLength == 0 {
		return
	}
	timeout := refusedBodyTimeout
	if graceful.Account(e.httpRequest.Context()).Yielded() {
		timeout = 0
		e.writer.Header().Set("Connection", "close")
	} else {
		graceful.Hold(e.httpRequest.Context(), quota.Receiving)
	}
	e.extendReadDeadline(timeout)
}

// readBody reads the body of the request, which may have up to limit bytes, but no longer than
// until a planned stop ends the requests in progress.
func (e *exchange) readBody(limit int64) error {
	interrupt := func() { graceful.EndRead(e.httpRequest.Context()) }
	stop := context.AfterFunc(e.gateway.ending, interrupt)
	defer stop()
	received := func() {
		if e.httpRequest.ContentLength != 0 {
			e.extendReadDeadline(e.gateway.bodyStallTimeout)
		}
	}
	connection := graceful.Account(e.httpRequest.Context())
	from := http.MaxBytesReader(e.writer, e.httpRequest.Body, limit)
	body, err := e.gateway.bodyMemory.readRequest(connection, from, limit, interrupt, received)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		e.bodyRead = true
		e.bodies.add(body)
		e.inbound.Body = body.join()
		return nil
	case errors.Is(err, errBodyYielded):
		return fault.Wrap(fault.Overloaded, err, "no memory is left for the body")
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body is over %d bytes", limit)
	case e.gateway.ending.Err() != nil:
		return fault.New(fault.Draining, "the entry ends before the body was sent whole")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.Wrap(fault.SlowCaller, err, "the body was not sent in time")
	default:
		return fault.Wrap(fault.CallerGone, err, "the body was not sent whole")
	}
}

// waitForInitialSync delays a request to a starting entry until the store has been
// read, but not for long.
func (g *Gateway) waitForInitialSync(ctx context.Context, timeLeft time.Duration) {
	select {
	case <-g.synced:
		return
	default:
	}
	timeout := freshness.StartupWait(time.Since(g.control.startedAt), timeLeft)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-g.synced:
	case <-ctx.Done():
	}
}

// authorize finds the route and the workspace. Routes and keys that are missing from a
// stale configuration may have been added since, so only an up-to-date one may reject a
// request as unknown.
func (e *exchange) authorize() error {
	g := e.gateway
	table := g.table.Load()
	configFreshness := g.control.currentFreshness()
	now := bootClock()
	if table == nil {
		return fault.New(fault.StaleConfiguration, "no configuration is known yet")
	}
	e.configVersion = table.Version()
	stale := fault.New(fault.StaleConfiguration, "the configuration could not be confirmed for %s", configFreshness.Age(now))
	if configFreshness.Superseded() {
		stale = fault.New(fault.StaleConfiguration, "another entry has a later configuration than version %d, which the store does not hold", table.Version())
	}
	e.route = table.Match(e.inbound.Host, e.inbound.Path)
	if e.route == nil {
		if !configFreshness.Ready(now) {
			return stale
		}
		return fault.New(fault.NotFound, "no route")
	}
	workspace, ok := table.Authorize(e.route, e.inbound.APIKey)
	if workspace != nil || !ok {
		if !configFreshness.AcceptsKeys(now) || !ok && !configFreshness.Ready(now) {
			return stale
		}
	}
	if !ok {
		return fault.New(fault.Unauthenticated, "no workspace has the key")
	}
	e.workspace = workspace
	e.service = e.route.Service(string(e.inbound.ID))
	if s := table.Service(e.service); s != nil {
		e.engine = s.Engine
	}
	return nil
}

func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// lowestPriority is the last rank that engines support.
const lowestPriority = 9

// priority returns the rank of the request at an engine; 0 is served first. The
// priority of the workspace takes precedence over that of the route.
func (e *exchange) priority() int {
	priority := e.route.Priority
	if e.workspace != nil && e.workspace.Priority != nil {
		priority = *e.workspace.Priority
	}
	return min(lowestPriority, max(0, priority))
}

// retryAfter returns when a refused request is worth retrying: at once if another entry
// can accept it, otherwise when capacity or the store may be available again.
func (g *Gateway) retryAfter(kind fault.Kind) time.Duration {
	jitter := time.Duration(rand.Int64N(int64(retryAfterJitter)))
	switch kind {
	case fault.Draining, fault.Unreachable:
		return retryAfterOtherEntry
	case fault.StaleConfiguration:
		peerReady := false
		g.control.do(func() { peerReady = g.control.anyPeerReady() })
		if peerReady {
			return retryAfterOtherEntry
		}
		return retryAfterOutage + 2*jitter
	default:
		return retryAfterBase + jitter
	}
}

// refuse responds to a request that did not run, or that may have run without a usable
// response.
func (e *exchange) refuse(err error, attempts int) {
	kind := fault.KindOf(err)
	response := kind.Response()
	header := e.writer.Header()
	retryAfter := time.Duration(0)
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		retryAfter = e.retryAfter(kind)
	}
	if kind == fault.Quarantined {
		retryAfter = spreadReturn(time.Until(e.quarantinedUntil))
	}
	platform.SetRefusalHeader(header, e.inbound.ID, retryAfter)
	e.endUnreadBody()
	e.writeHead(response.Status)
	e.finish(kind, attempts, "status", response.Status, "retryAfter", retryAfter, "error", err.Error())
}

// finish logs and counts the end of a request.
func (e *exchange) finish(kind fault.Kind, attempts int, more ...any) {
	e.gateway.observeDuration(e, kind)
	routeKind := "none"
	if e.route != nil {
		routeKind = e.route.Kind.String()
	}
	e.gateway.metrics.countRequest(routeKind, kind.String())
	fields := []any{
		"request", e.inbound.ID, "outcome", kind.String(), "attempts", attempts,
		"took", time.Since(e.arrived), "configuration", e.configVersion,
	}
	if e.cutOff {
		more = append(more, "cutOff", true)
		e.gateway.metrics.countStopping("cut_off")
	}
	more = append(more, e.gateway.stopFields(time.Now())...)
	e.gateway.log.Event("ended", append(fields, more...)...)
}

// writeResponse forwards a target's response to the caller.
func (e *exchange) writeResponse(response *bufferedResponse) error {
	header := e.writer.Header()
	for name, values := range platform.ForwardedResponseHeader(response.head.Header) {
		header[name] = values
	}
	if response.body.length > 0 {
		// Without it the end of the connection would end the response to HTTP/1.0.
		header.Set("Content-Length", strconv.Itoa(response.body.length))
	}
	e.writeHead(response.head.StatusCode)
	if !response.body.account.SetState(quota.Sending, func() { graceful.Disconnect(e.httpRequest.Context()) }) {
		return errBodyYielded
	}
	for _, part := range response.body.chunks {
		if err := e.extendWriteDeadline(); err != nil {
			return err
		}
		if !response.body.account.Progress() {
			return errBodyYielded
		}
		if _, err := e.writer.Write(part); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// extendWriteDeadline gives the next write to the caller its time. The end of the response is
// written after the handler has returned.
func (e *exchange) extendWriteDeadline() error {
	return errors.WithStack(http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(writeTimeout)))
}

// writeHead writes the head of the response, whose header is complete but for what concerns the
// connection.
func (e *exchange) writeHead(status int) {
	header := e.writer.Header()
	if e.gateway.draining() {
		header.Set("Connection", "close")
	}
	graceful.Announce(e.httpRequest, header)
	// It fails if the connection is closed.
	_ = e.extendWriteDeadline()
	e.writer.WriteHeader(status)
}

// abort closes the caller's connection in the middle of a response, so that it does not
// look complete.
func abort() { panic(http.ErrAbortHandler) }

func (e *exchange) timeLeft() time.Duration { return time.Until(e.deadline) }

// withDeadline returns a context that ends at the request's deadline, or when a planned stop
// ends the requests in progress.
func (e *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	ctx, cancelCause := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.gateway.ending, func() { cancelCause(errStopping) })
	return ctx, func() { stop(); cancel() }
}
