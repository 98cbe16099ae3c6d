package outside

import (
	"context"

	"github.com/mulberrylane/mulberrylane/request"
)

// HostState is what the host list says of a host.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Placement is one line of the host list: a target, its agent and where they run.
type Placement struct {
	Target        request.TargetID `json:"target"`
	Service       string           `json:"service"`
	Host          string           `json:"host"`
	FailureDomain string           `json:"failureDomain"`
	// Agent is the IP address and UDP port of the agent beside the target.
	Agent string `json:"agent"`
	// Operators is the IP address and TCP port of the agent's operators' endpoint.
	Operators string    `json:"operators,omitempty"`
	State     HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags behind the truth.
type HostList interface {
	// Placements reads the whole list.
	Placements(ctx context.Context) ([]Placement, error)
}
