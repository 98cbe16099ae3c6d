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

// Applications says which application targets a fleet has.
type Applications struct {
	// Service is the application service that the targets provide.
	Service string
	// Count is how many there are.
	Count int
	// Work is how long a call takes.
	Work time.Duration
	// Relayed puts their agents behind relays, so that they can be cut off.
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
		server, err := application.Serve(name, f.ExecutionLog, f.Layout.Applications.Work, loopback)
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

// startApplicationAgent gives member i a new agent.
func (f *Fleet) startApplicationAgent(ctx context.Context, member *ApplicationMember, i int) error {
	service := f.Layout.Applications.Service
	name := fmt.Sprintf("%s-%d", service, i)
	files, err := f.keys.Issue(keys.RoleAgent, "agent-"+name)
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

// ApplicationMembers returns the application targets of this instant.
func (f *Fleet) ApplicationMembers() []*ApplicationMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.applications)
}

// ReplaceApplicationAgent ends the agent of application target i at once, or with
// alive cuts it off from the entries and leaves it running, and starts a new one
// beside the same target. It returns the member with the old agent.
func (f *Fleet) ReplaceApplicationAgent(ctx context.Context, i int, alive bool) (*ApplicationMember, error) {
	old := f.ApplicationMembers()[i]
	if !alive {
		old.killAgent()
	}
	member := &ApplicationMember{Server: old.Server}
	if err := f.startApplicationAgent(ctx, member, i); err != nil {
		return old, err
	}
	f.mu.Lock()
	f.applications[i] = member
	f.abandoned = append(f.abandoned, old)
	f.mu.Unlock()
	f.Hosts.Put(member.Placement)
	return old, nil
}

// SilenceAgent cuts the agent of the member off, or connects it again. The member
// must be relayed.
func (m *ApplicationMember) SilenceAgent(silent bool) { m.relay.SetDropPackets(silent) }

// KillAgent ends the agent of the member at once.
func (m *ApplicationMember) KillAgent() { m.killAgent() }

// KillEntry ends entry i at once.
func (f *Fleet) KillEntry(i int) { f.Entries[i].Kill() }

// The names of the application service in the trial document.
const (
	TrialApplication        = "trial-bookings"
	TrialApplicationProfile = "calls"
)

// TrialCallsDocument is TrialDocument with an application service, whose calls
// under /status/ may be repeated.
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
