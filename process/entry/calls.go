package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// FirstSubmissionHeader is set to "true" by a caller on the first submission of an
	// idempotency key.
	FirstSubmissionHeader = "X-Mulberrylane-First-Try"
	// retryCountHeader is set by OpenAI client libraries to the number of retries,
	// which is 0 on the first submission.
	retryCountHeader = "X-Stainless-Retry-Count"

	defaultCallDeadline       = 30 * time.Second
	defaultUnavailableTimeout = 2 * time.Second
	defaultCallPages          = 8
	defaultKeyRetention       = 24 * time.Hour
	defaultMaxCallBodyBytes   = 1 << 20
)

// startCalls creates the executor of calls, which works until ctx ends.
func (e *Entry) startCalls(ctx context.Context) {
	e.pageWriter = calls.NewPageWriter(ctx, e.store, e.pageOptions)
	e.callExecutor = calls.NewExecutor(e.pageWriter, callTargets{e}, e.observer.Timeline)
}

// SetPageOptions sets how call pages are written. It must be called before Start.
func (e *Entry) SetPageOptions(options calls.PageOptions) { e.pageOptions = options }

// PageStats returns counts of the operations on call pages and of the requests to
// the store that they took.
func (e *Entry) PageStats() calls.PageStats { return e.pageWriter.Stats() }

func (e *Entry) routeCalls(router *gin.Engine) {
	router.Any("/v1/services/:service/*path", e.serveCall)
}

// serveCall serves one call to an application service.
func (e *Entry) serveCall(c *gin.Context) {
	call, err := e.newCall(c)
	outcome := request.Outcome{Request: call.ID, WasRun: request.RunNo}
	snapshot := e.revisions.Current()
	outcome.Revision = int64(snapshot.Revision)
	outcome.Profile, _ = snapshot.ProfileOf(call.Service)
	if err != nil {
		if !call.FirstSubmission {
			outcome.WasRun = request.RunUnknown
		}
		writeError(c, err, outcome)
		return
	}
	result := e.callExecutor.Submit(c.Request.Context(), call)
	outcome.Request = result.Request
	outcome.WasRun = result.WasRun
	outcome.Attempts = result.Attempts
	outcome.Digest = result.Digest
	c.Header(RequestIDHeader, string(result.Request))
	if result.Err != nil {
		writeError(c, result.Err, outcome)
		return
	}
	writeCallReply(c, *result.Reply, outcome)
}

func writeCallReply(c *gin.Context, reply request.CallReply, outcome request.Outcome) {
	setOutcomeHeader(c, outcome)
	for _, field := range reply.Header {
		c.Header(field.Name, field.Value)
	}
	if len(reply.Body) > 0 {
		c.Header("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	c.Status(reply.Status)
	_, _ = c.Writer.Write(reply.Body)
}

// newCall checks a call against the configuration and returns it. On an error, the
// FirstSubmission field of the returned call still reports whether this is the first
// submission of its key, in which case nothing can have run under the key.
func (e *Entry) newCall(c *gin.Context) (calls.Call, error) {
	now := time.Now()
	call := calls.Call{
		Service:         c.Param("service"),
		Key:             callpage.CallKey{Key: c.GetHeader(IdempotencyKeyHeader)},
		FirstSubmission: isFirstSubmission(c.Request.Header),
	}
	id, err := uuid.NewV7()
	if err != nil {
		return call, fault.Wrap(fault.Internal, err, "request id")
	}
	call.ID = request.ID(id.String())
	if call.Key.Key == "" {
		call.Key.Key = string(call.ID)
		call.FirstSubmission = true
	}
	snapshot := e.revisions.Current()
	workspace, ok := snapshot.WorkspaceOf(strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer "))
	if !ok {
		return call, fault.New(fault.Unauthenticated, "")
	}
	call.Key.Workspace = workspace
	service, ok := snapshot.Document.Services[call.Service]
	if !ok || service.Application == nil {
		return call, fault.New(fault.NotFound, "there is no application service %q", call.Service)
	}
	if len(call.Key.Key) > callpage.MaxKeyBytes {
		return call, fault.New(fault.BadRequest, "%s: longer than %d bytes", IdempotencyKeyHeader, callpage.MaxKeyBytes)
	}
	_, profile := snapshot.ProfileOf(call.Service)
	if err := e.revisions.CheckStaleness(profile, now); err != nil {
		return call, err
	}
	fillCall(&call, *service.Application, profile, now)
	if c.Request.ContentLength != 0 {
		_ = http.NewResponseController(c.Writer).SetReadDeadline(call.Deadline)
	}
	call.Body, err = readCallBody(c, call.Key.Key, call.MaxReplyBytes)
	call.Idempotent = service.Application.IsIdempotent(c.Request.Method, c.Param("path"))
	return call, err
}

// isFirstSubmission reports whether the caller marked the request as its first
// submission of the key.
func isFirstSubmission(header http.Header) bool {
	return header.Get(FirstSubmissionHeader) == "true" || header.Get(retryCountHeader) == "0"
}

func fillCall(call *calls.Call, application version.Application, profile version.Profile, now time.Time) {
	call.Deadline = now.Add(orDefault(profile.Deadline.Std(), defaultCallDeadline))
	call.UnavailableTimeout = orDefault(profile.ResumeWithin.Std(), defaultUnavailableTimeout)
	call.Pages = orDefault(application.Pages, defaultCallPages)
	call.Retention = orDefault(application.KeyRetention.Std(), defaultKeyRetention)
	call.MaxReplyBytes = orDefault(application.MaxBodyBytes, defaultMaxCallBodyBytes)
	call.RetryBudget = profile.RetryBudget
	call.Hedge = profile.Hedge == version.HedgeOnSuspicion
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// forwardedCallHeaders are the request headers of a call that are forwarded to the
// target.
var forwardedCallHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

func readCallBody(c *gin.Context, key string, limit int64) (request.CallBody, error) {
	body := request.CallBody{Method: c.Request.Method, Path: c.Param("path")}
	if query := c.Request.URL.RawQuery; query != "" {
		body.Path += "?" + query
	}
	for _, name := range forwardedCallHeaders {
		if value := c.GetHeader(name); value != "" {
			body.Header = append(body.Header, request.HeaderField{Name: name, Value: value})
		}
	}
	body.Header = append(body.Header, request.HeaderField{Name: IdempotencyKeyHeader, Value: key})
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return body, fault.New(fault.TooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, errBodyYielded) || err != nil && graceful.Account(c.Request.Context()).Yielded() {
		return body, fault.Wrap(fault.Overloaded, err, errBodyYielded.Error())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return body, fault.New(fault.SlowCaller, "the body did not arrive in time")
	}
	if err != nil {
		return body, fault.Wrap(fault.CallerGone, err, "the body broke off")
	}
	body.Body = data
	return body, nil
}
