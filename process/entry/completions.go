package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	workspaceKey = "workspace"
	snapshotKey  = "snapshot"

	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader carries the request id on responses.
	RequestIDHeader = "X-Request-Id"
)

// authenticate finds the workspace of the caller's bearer token. It uses the
// configuration snapshot that the request keeps to its end.
func (e *Entry) authenticate(c *gin.Context) {
	snapshot := e.revisions.Current()
	token := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	workspace, ok := snapshot.WorkspaceOf(token)
	if !ok {
		writeError(c, fault.New(fault.Unauthenticated, ""), request.Outcome{WasRun: request.RunNo})
		return
	}
	c.Set(workspaceKey, workspace)
	c.Set(snapshotKey, snapshot)
	c.Next()
}

func snapshotOf(c *gin.Context) *version.Snapshot {
	return c.MustGet(snapshotKey).(*version.Snapshot)
}

func (e *Entry) listModels(c *gin.Context) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name, service := range snapshotOf(c).Document.Services {
		if service.Model != nil {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "mulberrylane"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	c.JSON(http.StatusOK, list)
}

func (e *Entry) getModel(c *gin.Context) {
	name := c.Param("model")
	service, ok := snapshotOf(c).Document.Services[name]
	if !ok || service.Model == nil {
		writeError(c, fault.New(fault.NotFound, "there is no model %q", name), request.Outcome{WasRun: request.RunNo})
		return
	}
	c.JSON(http.StatusOK, modelEntry{ID: name, Object: "model", OwnedBy: "mulberrylane"})
}

// noRoute refuses a request with a path or method that is not served.
func noRoute(c *gin.Context) {
	err := fault.New(fault.NotFound, "%s %s is not served", c.Request.Method, c.Request.URL.Path)
	writeError(c, err, request.Outcome{WasRun: request.RunNo})
}

// handlePanic responds with an internal error to a request whose handler panicked.
func handlePanic(c *gin.Context, panicValue any) {
	klog.ErrorS(nil, "request handler panicked", "path", c.Request.URL.Path, "defect", panicValue)
	writeError(c, fault.New(fault.Internal, ""), request.Outcome{WasRun: request.RunUnknown})
}

func (e *Entry) completions(c *gin.Context) {
	var req completionAsk
	body, err := readBody(c, &req)
	if err != nil {
		writeError(c, err, request.Outcome{WasRun: request.RunNo})
		return
	}
	e.generate(c, req, request.Prompt{Text: string(req.Prompt)}, body)
}

func (e *Entry) chatCompletions(c *gin.Context) {
	var req chatAsk
	body, err := readBody(c, &req)
	if err != nil {
		writeError(c, err, request.Outcome{WasRun: request.RunNo})
		return
	}
	if req.MaxCompletionTokens != nil {
		req.MaxTokens = req.MaxCompletionTokens
	}
	e.generate(c, req.completionAsk, req.prompt(), body)
}

// generate serves one generation whose body is already decoded, from the checks
// against the configuration to its end.
func (e *Entry) generate(c *gin.Context, req completionAsk, prompt request.Prompt, body []byte) {
	g, policy, err := e.newGeneration(c, req, prompt, body)
	outcome := request.Outcome{Request: g.ID, Profile: g.Profile, Revision: g.Revision, ModelVersion: g.Version, WasRun: request.RunNo}
	if err != nil {
		writeError(c, err, outcome)
		return
	}
	incoming, err := e.newIncomingRequest(c, req, g)
	if err != nil {
		writeError(c, err, outcome)
		return
	}
	attached, err := e.reattach(c.Request.Context(), incoming)
	if err != nil {
		outcome.WasRun = request.RunUnknown
		writeError(c, err, outcome)
		return
	}
	if attached != nil {
		g = *attached.start.Generation
		policy = e.attachedPolicy(snapshotOf(c), g, policy)
		incoming.epoch = attached.epoch
	}
	c.Header(RequestIDHeader, string(g.ID))
	vocab := vocabularyOf(snapshotOf(c), g.Service)
	writer := newResponseWriter(c, g, req, vocab, e.settings.Limits.CallerWriteTimeout.Std())
	driver := newGenerationDriver(e, g, prompt, policy, writer)
	driver.epoch = incoming.epoch
	if attached != nil {
		driver.attachment = attached
		writer.resume(attached.start.Prefix)
	}
	writer.finish(driver.run(c.Request.Context()))
}

// newIncomingRequest returns the caller's request with its epoch and the last event
// that the caller has received.
func (e *Entry) newIncomingRequest(c *gin.Context, req completionAsk, g request.Generation) (incomingRequest, error) {
	incoming := incomingRequest{generation: g, epoch: uint64(e.observer.Timeline.Now()), fromStart: !req.Stream}
	text := c.GetHeader(LastEventIDHeader)
	if text == "" {
		return incoming, nil
	}
	lastEvent, err := parseEventID(text)
	if err != nil {
		return incoming, err
	}
	incoming.lastEvent = &lastEvent
	return incoming, nil
}

// attachedPolicy returns the policy of a request that was attached to: that of its
// profile in this entry's configuration, with the deadline the request started with.
func (e *Entry) attachedPolicy(snapshot *version.Snapshot, g request.Generation, fallback request.RecoveryPolicy) request.RecoveryPolicy {
	policy := fallback
	if profile, ok := snapshot.Document.Profiles[g.Profile]; ok {
		policy = recoveryPolicy(profile, time.Now())
	}
	policy.MaxTokens = g.Sampling.MaxTokens
	if g.Deadline > 0 {
		policy.Deadline = time.UnixMilli(g.Deadline)
	}
	return policy
}

// newGeneration checks the request against the configuration, assigns it an id and
// returns it with its recovery policy.
func (e *Entry) newGeneration(c *gin.Context, req completionAsk, prompt request.Prompt, body []byte) (request.Generation, request.RecoveryPolicy, error) {
	snapshot := snapshotOf(c)
	id, err := uuid.NewV7()
	if err != nil {
		return request.Generation{}, request.RecoveryPolicy{}, fault.Wrap(fault.Internal, err, "request id")
	}
	g := request.Generation{ID: request.ID(id.String()), Workspace: c.GetString(workspaceKey), Revision: int64(snapshot.Revision)}
	service, ok := snapshot.Document.Services[req.Model]
	if !ok || service.Model == nil {
		return g, request.RecoveryPolicy{}, fault.New(fault.NotFound, "model: there is no model %q", req.Model)
	}
	if prompt.Text == "" && len(prompt.Messages) == 0 {
		return g, request.RecoveryPolicy{}, fault.New(fault.BadRequest, "prompt: must not be empty")
	}
	g.Sampling, err = req.sampling(service.Model.MaxTokens)
	if err != nil {
		return g, request.RecoveryPolicy{}, err
	}
	name, profile := snapshot.ProfileOf(req.Model)
	if err := e.revisions.CheckStaleness(profile, time.Now()); err != nil {
		return g, request.RecoveryPolicy{}, err
	}
	fillGeneration(&g, req.Model, service, name, profile)
	g.Key = c.GetHeader(IdempotencyKeyHeader)
	g.Chat = len(prompt.Messages) > 0
	g.BodyDigest = bodyDigest(body)
	policy := recoveryPolicy(profile, time.Now())
	policy.MaxTokens = g.Sampling.MaxTokens
	return g, policy, nil
}

// vocabularyOf returns the vocabulary of a model service. Validation of the
// configuration ensures that it has one.
func vocabularyOf(snapshot *version.Snapshot, service string) request.Vocabulary {
	vocab, ok := vocabulary.ByName(snapshot.Document.Services[service].Model.Vocabulary)
	if !ok {
		return vocabulary.Bytes{}
	}
	return vocab
}

func fillGeneration(g *request.Generation, serviceName string, service version.Service, profileName string, profile version.Profile) {
	g.Service = serviceName
	g.Version = service.Model.Version
	g.Profile = profileName
	g.Priority = profile.Priority
	g.OrphanGrace = profile.OrphanGrace.Std()
	if profile.Deadline > 0 {
		g.Deadline = time.Now().Add(profile.Deadline.Std()).UnixMilli()
	}
}

// maxAttemptsWithoutTokens is how many attempts in a row may fail without a token
// before the request ends.
const maxAttemptsWithoutTokens = 10

func recoveryPolicy(profile version.Profile, now time.Time) request.RecoveryPolicy {
	policy := request.RecoveryPolicy{
		MaxAttempts:   maxAttemptsWithoutTokens,
		ResumeTimeout: profile.ResumeWithin.Std(),
		Hedge:         profile.Hedge == version.HedgeOnSuspicion,
	}
	if profile.Deadline > 0 {
		policy.Deadline = now.Add(profile.Deadline.Std())
	}
	return policy
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
