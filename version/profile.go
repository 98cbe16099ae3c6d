package version

// HedgePolicy determines when a request is hedged, that is, when a second attempt is
// started while the first is still running.
type HedgePolicy string

// The hedge policies.
const (
	HedgeNever       HedgePolicy = "never"
	HedgeOnSuspicion HedgePolicy = "on-suspicion"
)

// DrainPolicy determines what happens to running work when a target drains.
type DrainPolicy string

// The drain policies.
const (
	// DrainFinish lets running work finish on the draining target.
	DrainFinish DrainPolicy = "finish"
	// DrainMove resumes running work at another target.
	DrainMove DrainPolicy = "move"
)

// OverloadPolicy determines what happens to a request that cannot start immediately.
type OverloadPolicy string

// The overload policies.
const (
	// OverloadQueue queues requests while their deadline can still be met.
	OverloadQueue OverloadPolicy = "queue"
	// OverloadRefuse refuses requests after a short wait at most.
	OverloadRefuse OverloadPolicy = "refuse"
)

// SpreadPolicy determines how strictly the entry and the target of a request are kept
// in different failure domains.
type SpreadPolicy string

// The spread policies.
const (
	SpreadNone    SpreadPolicy = "none"
	SpreadPrefer  SpreadPolicy = "prefer"
	SpreadRequire SpreadPolicy = "require"
)

// StalePolicy determines what a process does when it cannot obtain the latest revision.
type StalePolicy string

// The stale-configuration policies.
const (
	StaleServe  StalePolicy = "serve"
	StaleRefuse StalePolicy = "refuse"
)

// Bounds limits a duration that adapts to observations.
type Bounds struct {
	Min Duration `json:"min"`
	Max Duration `json:"max"`
}

// Profile declares how the requests of a service are handled.
type Profile struct {
	// Deadline is how long after the arrival of a request its response is still useful.
	Deadline Duration `json:"deadline"`
	// FirstTokenWithin is how long a caller waits for the first token. It bounds the wait
	// in the queue.
	FirstTokenWithin Duration `json:"firstTokenWithin"`
	// ResumeWithin is how long a response may be interrupted after a target failed.
	ResumeWithin Duration `json:"resumeWithin"`
	// SuspectAfter bounds the adaptive threshold of silence after which a target is
	// suspected.
	SuspectAfter Bounds `json:"suspectAfter"`
	// Hedge determines when requests are hedged.
	Hedge HedgePolicy `json:"hedge"`
	// RetryBudget is the allowed ratio of extra attempts to requests, such as 0.1 for a
	// tenth.
	RetryBudget float64 `json:"retryBudget"`
	// Priority is passed to engines; lower values run first.
	Priority int `json:"priority"`
	// Queue is the maximum number of requests that wait at one entry.
	Queue int `json:"queue"`
	// Overload determines what happens to a request that cannot start immediately.
	Overload OverloadPolicy `json:"overload"`
	// Spread determines how strictly the entry and the target of a request are kept in
	// different failure domains.
	Spread SpreadPolicy `json:"spread"`
	// OrphanGrace is how long a generation continues after its entry was lost.
	OrphanGrace Duration `json:"orphanGrace"`
	// Drain determines what happens to running work on a draining target.
	Drain DrainPolicy `json:"drain"`
	// StaleConfiguration determines what a process does when it cannot obtain the latest
	// revision for longer than StaleAfter.
	StaleConfiguration StalePolicy `json:"staleConfiguration"`
	StaleAfter         Duration    `json:"staleAfter,omitempty"`
}
