// Package version holds what lives for one accepted configuration revision: the
// document that operators write, its validation, and the compiled snapshot that
// processes serve under.
//
// Nothing in this package does I/O, reads a clock or starts a goroutine.
package version

// Document is the whole configuration. Operators keep it in version control and
// apply it as one; a process swaps it whole.
type Document struct {
	// Services maps the name of a service to its declaration.
	Services map[string]Service `json:"services"`
	// Workspaces maps the name of a workspace to its declaration.
	Workspaces map[string]Workspace `json:"workspaces"`
	// Profiles maps the name of a profile to its declaration.
	Profiles map[string]Profile `json:"profiles"`
	// Regions maps the name of a region to its failure domains.
	Regions map[string]Region `json:"regions,omitempty"`
	// Draining maps the name of a target to its drain. It takes no new work
	// while it is listed.
	Draining map[string]Drain `json:"draining,omitempty"`
}

// Region declares the failure domains of one region.
type Region struct {
	// FailureDomains lists them by name; a name belongs to one region.
	FailureDomains []string `json:"failureDomains"`
}

// Drain declares that a target takes no new work.
type Drain struct {
	// Reason is shown to operators.
	Reason string `json:"reason"`
}

// ServiceKind tells model services from application services.
type ServiceKind string

// The kinds of service.
const (
	ModelService       ServiceKind = "model"
	ApplicationService ServiceKind = "application"
)

// Service declares one service that targets provide.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Profile names the profile that the service runs under.
	Profile string `json:"profile"`
	// Replicas is how many targets the service is expected to have; zero leaves it open.
	Replicas int `json:"replicas,omitempty"`
	// Regions lists the regions that the targets run in; empty means all.
	Regions []string `json:"regions,omitempty"`
	// ChecksFencing says that the targets refuse an order with an old fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// Model is set for model services.
	Model *Model `json:"model,omitempty"`
	// Application is set for application services.
	Application *Application `json:"application,omitempty"`
}

// Model declares what a model service serves.
type Model struct {
	// Version is the model version that new generations run on.
	Version string `json:"version"`
	// Adapters lists the adapters that callers may name.
	Adapters []string `json:"adapters,omitempty"`
	// Vocabulary names the token vocabulary.
	Vocabulary string `json:"vocabulary"`
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int `json:"maxTokens"`
	// MinReplicas is how many targets a rollout must leave in service.
	MinReplicas int `json:"minReplicas,omitempty"`
	// Preload lists versions that targets load besides Version, before a rollout
	// makes one of them the version of new generations.
	Preload []string `json:"preload,omitempty"`
	// LoadsPerMinute paces the loads that are ordered, to the weight store's
	// rate; zero means that targets are given no orders.
	LoadsPerMinute float64 `json:"loadsPerMinute,omitempty"`
	// Role is the role that targets are ordered to take; empty leaves it alone.
	Role string `json:"role,omitempty"`
}

// Application declares how the calls of an application service are treated.
type Application struct {
	// Idempotent lists the calls that may be repeated. All others run at most once.
	Idempotent []Method `json:"idempotent,omitempty"`
	// MaxBodyBytes bounds the body of a call and of its reply.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// Pages is over how many call pages the keys are spread.
	Pages int `json:"pages,omitempty"`
	// KeyRetention is how long the outcome of a key is kept.
	KeyRetention Duration `json:"keyRetention,omitempty"`
}

// Method names calls by HTTP method and path. A path ending in "/" covers all
// paths below it.
type Method struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Workspace declares one customer.
type Workspace struct {
	// Share is the weight of the workspace in fair queueing.
	Share int `json:"share"`
	// MaxConcurrent bounds the requests in flight over all entries; zero means no bound.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// TokensPerSecond bounds the rate of generated tokens over all entries; zero means no bound.
	TokensPerSecond int `json:"tokensPerSecond,omitempty"`
	// TokenDigests lists the SHA-256 digests, in hexadecimal, of the bearer tokens.
	TokenDigests []string `json:"tokenDigests"`
}
