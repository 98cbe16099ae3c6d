package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/agent"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/application"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/version"
)

// Applications describes the application targets of a fleet.
type Applications struct {
	// Service is the application service that the targets provide.
	Service string
	// Count is the number of application targets.
	Count int
	// CallTime is the duration of a call.
	CallTime time.Duration
	// Relayed places their agents behind UDP relays, so that SilenceAgent can drop
	// their packets.
	Relayed bool
}

// ApplicationMember is one application target with its agent.
type ApplicationMember struct {
	Placement outside.ListedTarget
	Server    *application.Server
	Agent     *agent.Agent

	relay *network.UDPRelay
}

func (m *ApplicationMember) kill() {
	m.killAgent()
	m.Server.Kill()
}

func (m *ApplicationMember) killAgent() {
	if m.Agent != nil {
		m.Agent.Kill()
	}
	if m.relay != nil {
		m.relay.Close()
	}
}

func (f *Fleet) addApplications(ctx context.Context) error {
	for i := range f.Layout.Applications.Count {
		name := fmt.Sprintf("%s-%d", f.Layout.Applications.Service, i)
		server, err := application.Serve(name, f.ExecutionLog, f.Layout.Applications.CallTime, network.ProcessAddress())
		if err != nil {
			return err
		}
		member := &ApplicationMember{Server: server}
		f.applications = append(f.applications, member)
		if err := f.startApplicationAgent(ctx, member, i); err != nil {
			return err
		}
	}
	return nil
}

// startApplicationAgent starts a new agent for application target i and stores the
// agent, its relay and its placement in member.
func (f *Fleet) startApplicationAgent(ctx context.Context, member *ApplicationMember, i int) error {
	service := f.Layout.Applications.Service
	name := fmt.Sprintf("%s-%d", service, i)
	files, err := f.authority.Issue(keys.RoleAgent, "agent-"+name)
	if err != nil {
		return err
	}
	started := agent.New(settings.Agent{
		Name: "agent-" + name, Host: "host-" + name, FailureDomain: f.domain(i),
		Target: name, Service: service,
		LinkAddress: loopback, OperatorAddress: loopback, Keys: files, ApplicationURL: member.Server.URL(),
	})
	if err := started.Start(ctx); err != nil {
		return err
	}
	address := started.Address()
	member.Agent = started
	if f.Layout.Applications.Relayed {
		member.relay, err = network.NewUDPRelay(address)
		if err != nil {
			return err
		}
		address = member.relay.Address()
	}
	member.Placement = outside.ListedTarget{
		Target: request.TargetID(name), Service: service, Host: "host-" + name,
		FailureDomain: f.domain(i), AgentAddress: address, State: outside.HostLive,
	}
	return nil
}

// ApplicationMembers returns a copy of the current list of application targets.
func (f *Fleet) ApplicationMembers() []*ApplicationMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.applications)
}

// ReplaceApplicationAgent starts a new agent beside application target i and lists
// it in place of the old one. The old agent is killed, or with keepRunning is left
// running but no longer listed. It returns the member with the old agent.
func (f *Fleet) ReplaceApplicationAgent(ctx context.Context, i int, keepRunning bool) (*ApplicationMember, error) {
	old := f.ApplicationMembers()[i]
	if !keepRunning {
		old.killAgent()
	}
	member := &ApplicationMember{Server: old.Server}
	if err := f.startApplicationAgent(ctx, member, i); err != nil {
		return old, err
	}
	f.mu.Lock()
	f.applications[i] = member
	f.replacedApplications = append(f.replacedApplications, old)
	f.mu.Unlock()
	f.Hosts.Put(member.Placement)
	return old, nil
}

// SilenceAgent sets whether the relay of the member drops all packets to and from
// its agent. The member must be relayed.
func (m *ApplicationMember) SilenceAgent(silent bool) { m.relay.SetDropPackets(silent) }

// KillAgent kills the agent of the member.
func (m *ApplicationMember) KillAgent() { m.killAgent() }

// KillEntry kills entry i.
func (f *Fleet) KillEntry(i int) { f.Entries[i].Kill() }

// Names of the application service and its profile in the trial document.
const (
	TrialApplication        = "trial-bookings"
	TrialApplicationProfile = "calls"
)

// TrialCallsDocument returns TrialDocument with an application service whose GET
// calls under /status/ are idempotent.
func TrialCallsDocument(deadline time.Duration) version.Document {
	document := TrialDocument()
	profile := trialProfile()
	profile.Deadline = version.Duration(deadline)
	profile.ResumeWithin = version.Duration(min(deadline, 2*time.Second))
	document.Profiles[TrialApplicationProfile] = profile
	document.Services[TrialApplication] = version.Service{
		Kind:    version.ApplicationService,
		Profile: TrialApplicationProfile,
		Application: &version.Application{
			Idempotent:   []version.Method{{Method: "GET", Path: "/status/"}},
			MaxBodyBytes: 64 << 10,
			Pages:        8,
			KeyRetention: version.Duration(24 * time.Hour),
		},
	}
	return document
}
