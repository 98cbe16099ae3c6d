// Package version defines one configuration revision: the document that operators
// write, its validation, and the compiled snapshot that processes use.
//
// Nothing in this package does I/O, reads a clock or starts a goroutine.
package version

// Document is the complete configuration. Operators keep it in version control and
// apply it as a unit; a process replaces its document atomically.
type Document struct {
	// Services maps the name of a service to its declaration.
	Services map[string]Service `json:"services"`
	// Workspaces maps the name of a workspace to its declaration.
	Workspaces map[string]Workspace `json:"workspaces"`
	// Profiles maps the name of a profile to its declaration.
	Profiles map[string]Profile `json:"profiles"`
	// Regions maps the name of a region to its failure domains.
	Regions map[string]Region `json:"regions,omitempty"`
	// Draining maps the name of a target to its drain declaration. A target takes no
	// new work while it is listed.
	Draining map[string]Drain `json:"draining,omitempty"`
}

// Region declares the failure domains of one region.
type Region struct {
	// FailureDomains lists the names of the failure domains. A failure domain belongs
	// to exactly one region.
	FailureDomains []string `json:"failureDomains"`
}

// Drain declares that a target takes no new work.
type Drain struct {
	// Reason explains the drain to operators.
	Reason string `json:"reason"`
}

// ServiceKind is the kind of a service: model or application.
type ServiceKind string

// The kinds of service.
const (
	ModelService       ServiceKind = "model"
	ApplicationService ServiceKind = "application"
)

// Service declares one service that targets provide.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Profile is the name of the profile that applies to the service.
	Profile string `json:"profile"`
	// Replicas is the expected number of targets; zero means unspecified.
	Replicas int `json:"replicas,omitempty"`
	// Regions lists the regions in which the targets run; empty means all.
	Regions []string `json:"regions,omitempty"`
	// ChecksFencing declares that the targets refuse orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checksFencing"`
	// Model is set for model services.
	Model *Model `json:"model,omitempty"`
	// Application is set for application services.
	Application *Application `json:"application,omitempty"`
}

// Model declares the model of a model service.
type Model struct {
	// Version is the model version used for new generations.
	Version string `json:"version"`
	// Adapters lists the adapters that callers may name.
	Adapters []string `json:"adapters,omitempty"`
	// Vocabulary is the name of the token vocabulary.
	Vocabulary string `json:"vocabulary"`
	// MaxTokens is the maximum number of tokens in one output.
	MaxTokens int `json:"maxTokens"`
	// MinReplicas is the number of targets that a rollout must keep in service.
	MinReplicas int `json:"minReplicas,omitempty"`
	// Preload lists versions that targets load in addition to Version, before a rollout
	// makes one of them the version for new generations.
	Preload []string `json:"preload,omitempty"`
	// LoadsPerMinute limits the rate of load orders to what the weight store can
	// serve; zero means that targets are sent no orders.
	LoadsPerMinute float64 `json:"loadsPerMinute,omitempty"`
	// Role is the role that targets are ordered to take; empty means that roles are not
	// changed.
	Role string `json:"role,omitempty"`
}

// Application declares how calls to an application service are handled.
type Application struct {
	// Idempotent lists the calls that may run more than once. All others run at most
	// once.
	Idempotent []Method `json:"idempotent,omitempty"`
	// MaxBodyBytes is the maximum size of the body of a call and of its reply.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// Pages is the number of call pages over which idempotency keys are distributed.
	Pages int `json:"pages,omitempty"`
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention Duration `json:"keyRetention,omitempty"`
}

// Method matches calls by HTTP method and path. A path that ends in "/" also matches
// all paths below it.
type Method struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Workspace declares the share, the limits and the credentials of one customer.
type Workspace struct {
	// Share is the weight of the workspace in fair queueing.
	Share int `json:"share"`
	// MaxConcurrent is the maximum number of requests in flight over all entries; zero
	// means no limit.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// TokensPerSecond is the maximum rate of generated tokens over all entries; zero
	// means no limit.
	TokensPerSecond int `json:"tokensPerSecond,omitempty"`
	// TokenDigests lists the SHA-256 digests of the bearer tokens in hexadecimal.
	TokenDigests []string `json:"tokenDigests"`
}
