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

	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// RequestHeader carries the request id on every answer.
	RequestHeader = "X-Request-Id"
)

// authenticate finds the workspace of the caller's bearer token, under the
// snapshot that the request keeps to its end.
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

// noRoute answers a path or method that is not served.
func noRoute(c *gin.Context) {
	err := fault.New(fault.NotFound, "%s %s is not served", c.Request.Method, c.Request.URL.Path)
	writeError(c, err, request.Outcome{WasRun: request.RunNo})
}

// recovered answers a request whose handler failed by a defect.
func recovered(c *gin.Context, defect any) {
	klog.ErrorS(nil, "request failed by a defect", "path", c.Request.URL.Path, "defect", defect)
	writeError(c, fault.New(fault.Internal, ""), request.Outcome{WasRun: request.RunUnknown})
}

func (e *Entry) completions(c *gin.Context) {
	var ask completionAsk
	body, err := readBody(c, &ask)
	if err != nil {
		writeError(c, err, request.Outcome{WasRun: request.RunNo})
		return
	}
	e.generate(c, ask, request.Prompt{Text: string(ask.Prompt)}, body)
}

func (e *Entry) chatCompletions(c *gin.Context) {
	var ask chatAsk
	body, err := readBody(c, &ask)
	if err != nil {
		writeError(c, err, request.Outcome{WasRun: request.RunNo})
		return
	}
	if ask.MaxCompletionTokens != nil {
		ask.MaxTokens = ask.MaxCompletionTokens
	}
	e.generate(c, ask.completionAsk, ask.prompt(), body)
}

// generate serves one generation from its checked request to its end.
func (e *Entry) generate(c *gin.Context, ask completionAsk, prompt request.Prompt, body []byte) {
	g, policy, err := e.admitted(c, ask, prompt, body)
	outcome := request.Outcome{Request: g.ID, Profile: g.Profile, Revision: g.Revision, ModelVersion: g.Version, WasRun: request.RunNo}
	if err != nil {
		writeError(c, err, outcome)
		return
	}
	arrived, err := e.arrivalOf(c, ask, g)
	if err != nil {
		writeError(c, err, outcome)
		return
	}
	taken, err := e.reattach(c.Request.Context(), arrived)
	if err != nil {
		outcome.WasRun = request.RunUnknown
		writeError(c, err, outcome)
		return
	}
	if taken != nil {
		g = *taken.began.Generation
		policy = e.policyOf(snapshotOf(c), g, policy)
		arrived.epoch = taken.epoch
	}
	c.Header(RequestHeader, string(g.ID))
	words := vocabularyOf(snapshotOf(c), g.Service)
	writer := newAnswerWriter(c, g, ask, words, e.settings.Limits.CallerWriteTimeout.Std())
	driver := newGenerationDriver(e, g, prompt, policy, writer)
	driver.epoch = arrived.epoch
	if taken != nil {
		driver.taken = taken
		writer.resume(taken.began.Prefix)
	}
	writer.finish(driver.run(c.Request.Context()))
}

// arrivalOf reads what the caller has of the answer already.
func (e *Entry) arrivalOf(c *gin.Context, ask completionAsk, g request.Generation) (arrival, error) {
	a := arrival{generation: g, epoch: uint64(e.observer.Timeline.Now()), whole: !ask.Stream}
	text := c.GetHeader(EventHeader)
	if text == "" {
		return a, nil
	}
	last, err := parseEventID(text)
	if err != nil {
		return a, err
	}
	a.last = &last
	return a, nil
}

// policyOf returns the policy of a request that was taken over: its profile in
// force here and the deadline it began with.
func (e *Entry) policyOf(snapshot *version.Snapshot, g request.Generation, fallback request.RecoveryPolicy) request.RecoveryPolicy {
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

// admitted checks the request against the configuration and gives it its identity.
func (e *Entry) admitted(c *gin.Context, ask completionAsk, prompt request.Prompt, body []byte) (request.Generation, request.RecoveryPolicy, error) {
	snapshot := snapshotOf(c)
	id, err := uuid.NewV7()
	if err != nil {
		return request.Generation{}, request.RecoveryPolicy{}, fault.Wrap(fault.Internal, err, "request id")
	}
	g := request.Generation{ID: request.ID(id.String()), Workspace: c.GetString(workspaceKey), Revision: int64(snapshot.Revision)}
	service, ok := snapshot.Document.Services[ask.Model]
	if !ok || service.Model == nil {
		return g, request.RecoveryPolicy{}, fault.New(fault.NotFound, "model: there is no model %q", ask.Model)
	}
	if prompt.Text == "" && len(prompt.Messages) == 0 {
		return g, request.RecoveryPolicy{}, fault.New(fault.BadRequest, "prompt: must not be empty")
	}
	g.Sampling, err = ask.sampling(service.Model.MaxTokens)
	if err != nil {
		return g, request.RecoveryPolicy{}, err
	}
	name, profile := snapshot.ProfileOf(ask.Model)
	if err := e.revisions.CheckStaleness(profile, time.Now()); err != nil {
		return g, request.RecoveryPolicy{}, err
	}
	fillGeneration(&g, ask.Model, service, name, profile)
	g.Key = c.GetHeader(KeyHeader)
	g.Chat = len(prompt.Messages) > 0
	g.BodyDigest = digestOf(body)
	policy := recoveryPolicy(profile, time.Now())
	policy.MaxTokens = g.Sampling.MaxTokens
	return g, policy, nil
}

// vocabularyOf returns the vocabulary of a model service; validation made sure
// that it has one.
func vocabularyOf(snapshot *version.Snapshot, service string) request.Vocabulary {
	words, ok := vocabulary.ByName(snapshot.Document.Services[service].Model.Vocabulary)
	if !ok {
		return vocabulary.Bytes{}
	}
	return words
}

func fillGeneration(g *request.Generation, name string, service version.Service, profileName string, profile version.Profile) {
	g.Service = name
	g.Version = service.Model.Version
	g.Profile = profileName
	g.Priority = profile.Priority
	g.OrphanGrace = profile.OrphanGrace.Std()
	if profile.Deadline > 0 {
		g.Deadline = time.Now().Add(profile.Deadline.Std()).UnixMilli()
	}
}

// maxFruitless ends a request after so many attempts in a row without a token.
const maxFruitless = 10

func recoveryPolicy(profile version.Profile, now time.Time) request.RecoveryPolicy {
	policy := request.RecoveryPolicy{
		MaxAttempts:   maxFruitless,
		ResumeTimeout: profile.ResumeWithin.Std(),
		Hedge:         profile.Hedge == version.HedgeOnSuspicion,
	}
	if profile.Deadline > 0 {
		policy.Deadline = now.Add(profile.Deadline.Std())
	}
	return policy
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
