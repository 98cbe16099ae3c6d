package fleet

import (
	"context"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/process/agent"
)

// RestartAgent kills the agent of a member and starts a new one at another address.
// The host list keeps the old address; the engine keeps running.
func (m *Member) RestartAgent(ctx context.Context) error {
	m.Agent.Kill()
	m.Agent = agent.New(m.settings)
	if err := m.Agent.Start(ctx); err != nil {
		return err
	}
	m.Placement.AgentAddress = m.Agent.Address()
	return nil
}

// Dialer returns a dialer for links to agents that uses the certificate of an entry.
func (f *Fleet) Dialer() (*link.Dialer, error) {
	files, err := f.authority.Issue(keys.RoleEntry, "trial-dialer")
	if err != nil {
		return nil, err
	}
	pair, err := keys.Load(files)
	if err != nil {
		return nil, err
	}
	return link.NewDialer("127.0.0.1", pair.ClientConfig(keys.RoleAgent))
}
