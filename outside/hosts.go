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

// ListedTarget is one line of the host list: a target, its agent and where they run.
type ListedTarget struct {
	Target        request.TargetID `json:"target"`
	Service       string           `json:"service"`
	Host          string           `json:"host"`
	FailureDomain string           `json:"failureDomain"`
	// AgentAddress is the IP address and UDP port of the agent beside the target.
	AgentAddress string `json:"agent"`
	// OperatorAddress is the IP address and TCP port of the agent's operators' endpoint.
	OperatorAddress string    `json:"operators,omitempty"`
	State           HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags behind the truth.
type HostList interface {
	// Targets reads the whole list.
	Targets(ctx context.Context) ([]ListedTarget, error)
}
