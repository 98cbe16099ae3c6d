package outside

import (
	"context"

	"github.com/mulberrylane/mulberrylane/request"
)

// HostState is the state of a host in the host list.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedTarget is one entry of the host list: a target, its agent and their host.
type ListedTarget struct {
	Target        request.TargetID `json:"target"`
	Service       string           `json:"service"`
	Host          string           `json:"host"`
	FailureDomain string           `json:"failureDomain"`
	// AgentAddress is the IP address and UDP port of the agent beside the target.
	AgentAddress string `json:"agent"`
	// OperatorAddress is the IP address and TCP port of the agent's endpoint for
	// operators.
	OperatorAddress string    `json:"operators,omitempty"`
	State           HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags behind the actual state.
type HostList interface {
	// Targets returns the complete list.
	Targets(ctx context.Context) ([]ListedTarget, error)
}
