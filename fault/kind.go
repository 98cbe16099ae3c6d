// Package fault holds the closed list of error kinds and the table that maps
// each kind to the answer a caller sees. Every error that leaves a process has
// exactly one kind; an error without one is reported as Internal.
package fault

import "net/http"

// Kind names one way in which a request can fail or be refused. The list is
// closed: kinds travel between processes by number, so a number is never reused.
type Kind uint8

// The error kinds.
const (
	// None means that the request succeeded.
	None Kind = 0
	// Internal is a defect of this system or an error without a kind.
	Internal Kind = 1
	// BadRequest is a request that can never be served as it was written.
	BadRequest Kind = 2
	// Unauthenticated is a request without a known workspace token.
	Unauthenticated Kind = 3
	// NotFound is an unknown model, service or request, or one of another workspace.
	NotFound Kind = 4
	// KeyConflict is an idempotency key that was used before with another body.
	KeyConflict Kind = 5
	// TooLarge is a body or header over its limit.
	TooLarge Kind = 6
	// LimitExceeded is a request over the limits of its workspace.
	LimitExceeded Kind = 7
	// Overloaded is a request that the targets cannot serve in time.
	Overloaded Kind = 8
	// DeadlineTooNear is a request that cannot end before its deadline.
	DeadlineTooNear Kind = 9
	// NoTarget means that no target of the service can take the request.
	NoTarget Kind = 10
	// VersionGone means that no target has the model version that began the answer.
	VersionGone Kind = 11
	// StoreUnavailable means that the key-value service did not answer.
	StoreUnavailable Kind = 12
	// Superseded means that a newer connection took over the answer.
	Superseded Kind = 13
	// Draining means that the process or target takes no new work.
	Draining Kind = 14
	// CallerGone means that the caller left before the end.
	CallerGone Kind = 15
	// TargetLost means that the target of an attempt failed.
	TargetLost Kind = 16
	// OutcomeUnknown means that a call may or may not have run.
	OutcomeUnknown Kind = 17
	// KeyExpired is a repeat of an idempotency key older than the retention.
	KeyExpired Kind = 18
	// PageFull means that the call page of the key has no room left.
	PageFull Kind = 19
	// DeadlineExceeded means that the deadline passed before the end.
	DeadlineExceeded Kind = 20
	// RetriesExhausted means that the retry budget or attempt limit ran out.
	RetriesExhausted Kind = 21
	// Crossed means that a reply named another request or attempt.
	Crossed Kind = 22
	// Fenced is an order that carries an old fencing number.
	Fenced Kind = 23
	// StaleConfiguration means that the profile forbids serving under an old revision.
	StaleConfiguration Kind = 24
	// RevisionConflict means that another operator changed the configuration first.
	RevisionConflict Kind = 25
	// SlowCaller means that the caller did not read its answer in time.
	SlowCaller Kind = 26
	// OrderFailed means that an engine could not carry out an order.
	OrderFailed Kind = 27
	// Unreachable means that no connection to the target could be made, so nothing
	// was sent.
	Unreachable Kind = 28

	kindCount = 29
)

// Response is what a caller is told for one kind.
type Response struct {
	// Name is the stable code in the error body, in snake case.
	Name string
	// Status is the HTTP status.
	Status int
	// Type is the error class that OpenAI client libraries expect.
	Type string
	// Message is the default explanation.
	Message string
	// Retryable says that the same request may succeed later.
	Retryable bool
}

const (
	typeInvalid   = "invalid_request_error"
	typeServer    = "server_error"
	typeAuth      = "authentication_error"
	typeRateLimit = "rate_limit_error"
)

// statusClientClosed is the customary status for a caller that left.
const statusClientClosed = 499

var answers = [kindCount]Response{
	None:               {"none", http.StatusOK, "", "", false},
	Internal:           {"internal", http.StatusInternalServerError, typeServer, "internal error", false},
	BadRequest:         {"bad_request", http.StatusBadRequest, typeInvalid, "the request is not valid", false},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, typeAuth, "no known workspace token", false},
	NotFound:           {"not_found", http.StatusNotFound, typeInvalid, "not found", false},
	KeyConflict:        {"key_conflict", http.StatusUnprocessableEntity, typeInvalid, "the idempotency key was used with another body", false},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, typeInvalid, "the request is over the size limit", false},
	LimitExceeded:      {"limit_exceeded", http.StatusTooManyRequests, typeRateLimit, "the workspace is over its limit", true},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, typeServer, "the service cannot take the request in time", true},
	DeadlineTooNear:    {"deadline_too_near", http.StatusServiceUnavailable, typeServer, "the request cannot end before its deadline", true},
	NoTarget:           {"no_target", http.StatusServiceUnavailable, typeServer, "no target can take the request", true},
	VersionGone:        {"version_gone", http.StatusBadGateway, typeServer, "no target has the model version that began the answer", false},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, typeServer, "the key-value service did not answer", true},
	Superseded:         {"superseded", http.StatusConflict, typeInvalid, "a newer connection took over the answer", false},
	Draining:           {"draining", http.StatusServiceUnavailable, typeServer, "the process takes no new work", true},
	CallerGone:         {"caller_gone", statusClientClosed, typeInvalid, "the caller left", false},
	TargetLost:         {"target_lost", http.StatusBadGateway, typeServer, "the target failed", true},
	OutcomeUnknown:     {"outcome_unknown", http.StatusGatewayTimeout, typeServer, "the call may or may not have run; repeat the key to learn the outcome", false},
	KeyExpired:         {"key_expired", http.StatusGone, typeInvalid, "the idempotency key is older than what is kept", false},
	PageFull:           {"page_full", http.StatusServiceUnavailable, typeServer, "no room to record the call", true},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, typeServer, "the deadline passed", false},
	RetriesExhausted:   {"retries_exhausted", http.StatusBadGateway, typeServer, "the retry budget ran out", true},
	Crossed:            {"crossed", http.StatusBadGateway, typeServer, "a reply named another request", true},
	Fenced:             {"fenced", http.StatusConflict, typeInvalid, "the order carries an old fencing number", false},
	StaleConfiguration: {"stale_configuration", http.StatusServiceUnavailable, typeServer, "the configuration in force is too old for this profile", true},
	RevisionConflict:   {"revision_conflict", http.StatusConflict, typeInvalid, "the configuration was changed by another operator", false},
	SlowCaller:         {"slow_caller", http.StatusRequestTimeout, typeInvalid, "the caller did not read its answer in time", false},
	OrderFailed:        {"order_failed", http.StatusBadGateway, typeServer, "the engine could not carry out the order", false},
	Unreachable:        {"unreachable", http.StatusServiceUnavailable, typeServer, "the target could not be connected to", true},
}

// Response returns the row of the table for k; an unknown number reads as Internal.
func (k Kind) Response() Response {
	if int(k) >= len(answers) {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Response().Name }
