package outside

import (
	"context"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

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

// maxNameBytes limits the names in the host list.
const maxNameBytes = 200

// Validate returns why a target must not be used, or nil. Other writers may leave anything in the
// list. Errors do not quote what may be long.
func (t ListedTarget) Validate() error {
	address, err := netip.ParseAddrPort(t.AgentAddress)
	switch {
	case t.Target == "" || t.Service == "":
		return errors.New("target or service is missing")
	case !isName(string(t.Target)) || !isName(t.Service) || !isName(t.Host) || !isName(t.FailureDomain):
		return errors.Errorf("a name is longer than %d bytes or not visible", maxNameBytes)
	case err != nil || address.Port() == 0 || address.Addr().IsMulticast():
		return errors.New("agent is not an IP address and a port from 1 to 65535")
	case t.State != HostLive && t.State != HostLeaving:
		return errors.New("state is neither live nor leaving")
	default:
		return nil
	}
}

func isName(text string) bool {
	invisible := func(r rune) bool { return !unicode.IsGraphic(r) || r == utf8.RuneError }
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, invisible)
}

// HostList is the platform's list of hosts. It lags behind the actual state.
type HostList interface {
	// Targets returns the complete list, except for items that are not targets at all.
	Targets(ctx context.Context) ([]ListedTarget, error)
}
