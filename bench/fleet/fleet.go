// Package fleet runs real entries and agents with stand-ins for engines,
// applications, the key-value service and the host list, in one process and over
// real sockets. Tests and the load tool use it. Each process can be killed
// individually.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/agent"
	"github.com/mulberrylane/mulberrylane/process/calls"
	"github.com/mulberrylane/mulberrylane/process/configuration"
	"github.com/mulberrylane/mulberrylane/process/entry"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/application"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/version"
)

// OperatorToken is the operator token that all processes of a fleet accept.
const OperatorToken = "trial-operator"

// loopback is the listen address of all processes; port 0 picks a free port.
const loopback = "127.0.0.1:0"

// Layout describes the processes of a fleet and its configuration.
type Layout struct {
	// Document is the configuration that is active from the start.
	Document version.Document
	// Service is the model service that the engines provide.
	Service string
	// Domains lists the failure domains; processes are assigned to them round-robin.
	Domains []string
	// Entries and Engines are the numbers of entries and engines.
	Entries, Engines int
	// Engine configures the engines; the seed of engine i is increased by i.
	Engine engine.Config
	// EngineURL, when set, is the engine URL given to agents in place of the
	// stand-in's address.
	EngineURL string
	// HostListLag is the delay after which the host list shows changes.
	HostListLag time.Duration
	// Applications describes the application targets beside the engines.
	Applications Applications
	// Pages configures how entries write call pages.
	Pages calls.PageOptions
	// RelayedEngines lists the indexes of engines whose agents are reached through a
	// UDP relay, so that SilenceHost can drop their packets.
	RelayedEngines []int
}

// Member is one engine with its agent.
type Member struct {
	Placement outside.ListedTarget
	Engine    *engine.Server
	Agent     *agent.Agent

	settings settings.Agent
	relay    *network.UDPRelay
}

// Fleet is a running fleet.
type Fleet struct {
	Layout  Layout
	Store   *kv.Store
	Hosts   *hosts.List
	Members []*Member
	Entries []*entry.Entry
	// ExecutionLog counts the executions of calls by the application targets.
	ExecutionLog *application.ExecutionLog

	applications []*ApplicationMember
	// replacedApplications holds the members whose agent was replaced. Their old
	// agents may still be running.
	replacedApplications []*ApplicationMember
	stalls               *stalls

	authority   *keys.CA
	directory   string
	platform    *httptest.Server
	storeOutage atomic.Bool
	// mu guards Members, Entries and the lists of application members once the fleet
	// has started.
	mu sync.Mutex
}

// storeTimeout is the timeout of a call to the store through StoreClient.
const storeTimeout = 10 * time.Second

// Start starts a fleet and waits until every entry has a link to every agent.
func Start(ctx context.Context, layout Layout) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "mulberrylane-fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	f := &Fleet{Layout: layout, Store: kv.New(), ExecutionLog: application.NewExecutionLog(), stalls: newStalls(), directory: directory}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	authority, err := keys.NewCA(f.directory)
	if err != nil {
		return err
	}
	f.authority = authority
	f.platform = httptest.NewUnstartedServer(nil)
	for i := range f.Layout.Engines {
		if err := f.addMember(ctx, i); err != nil {
			return err
		}
	}
	if err := f.addApplications(ctx); err != nil {
		return err
	}
	f.startPlatform()
	if err := f.Apply(ctx, f.Layout.Document); err != nil {
		return err
	}
	for i := range f.Layout.Entries {
		if err := f.addEntry(ctx, i); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) domain(i int) string { return f.Layout.Domains[i%len(f.Layout.Domains)] }

func (f *Fleet) addMember(ctx context.Context, i int) error {
	member, err := f.newMember(ctx, i)
	if member != nil {
		f.Members = append(f.Members, member)
	}
	return err
}

// newMember starts the engine and the agent with index i. On an error, the returned
// member holds what was started, or is nil if nothing was.
func (f *Fleet) newMember(ctx context.Context, i int) (*Member, error) {
	config := f.Layout.Engine
	config.Seed += uint64(i)
	server, err := engine.Serve(config, loopback)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", f.Layout.Service, i)
	member := &Member{Engine: server}
	files, err := f.authority.Issue(keys.RoleAgent, "agent-"+name)
	if err != nil {
		return member, err
	}
	member.settings = settings.Agent{
		Name: "agent-" + name, Host: "host-" + name, FailureDomain: f.domain(i),
		Target: name, Service: f.Layout.Service,
		LinkAddress: loopback, OperatorAddress: loopback, OperatorTokenDigests: operatorTokenDigests(), Keys: files, EngineURL: f.engineURL(server),
		Platform: f.Platform(),
	}
	member.Agent = agent.New(member.settings)
	if err := member.Agent.Start(ctx); err != nil {
		return member, err
	}
	member.Placement = outside.ListedTarget{
		Target: request.TargetID(name), Service: f.Layout.Service, Host: "host-" + name,
		FailureDomain: f.domain(i), AgentAddress: member.Agent.Address(), State: outside.HostLive,
	}
	if !slices.Contains(f.Layout.RelayedEngines, i) {
		return member, nil
	}
	member.relay, err = network.NewUDPRelay(member.Agent.Address())
	if err == nil {
		member.Placement.AgentAddress = member.relay.Address()
	}
	return member, err
}

func (f *Fleet) engineURL(server *engine.Server) string {
	if f.Layout.EngineURL != "" {
		return f.Layout.EngineURL
	}
	return server.URL()
}

func (f *Fleet) startPlatform() {
	var placements []outside.ListedTarget
	for _, member := range f.Members {
		placements = append(placements, member.Placement)
	}
	for _, member := range f.applications {
		placements = append(placements, member.Placement)
	}
	f.Hosts = hosts.New(f.Layout.HostListLag, placements)
	mux := http.NewServeMux()
	store := f.refuseInOutage(f.Store.EtcdHandler())
	mux.Handle("/v3/", store)
	mux.Handle("/of/", f.delayStalledEntries(store))
	mux.Handle("GET /hosts", f.Hosts)
	f.platform.Config.Handler = mux
	f.platform.Start()
}

func operatorTokenDigests() []string { return []string{version.TokenDigest(OperatorToken)} }

// Platform returns the settings that processes use to reach the store and the host
// list.
func (f *Fleet) Platform() settings.Platform {
	url := f.platformURL()
	return settings.Platform{
		StoreURLs:        []string{url},
		HostListURL:      url + "/hosts",
		HostListInterval: version.Duration(200 * time.Millisecond),
	}
}

func (f *Fleet) platformURL() string { return "http://" + f.platform.Listener.Addr().String() }

// StoreClient returns an adapter to the fleet's key-value service.
func (f *Fleet) StoreClient() *etcd.Store {
	return etcd.NewStore([]string{f.platformURL()}, &http.Client{Timeout: storeTimeout})
}

// Apply writes a configuration document to the store as the next revision after the
// current one.
func (f *Fleet) Apply(ctx context.Context, document version.Document) error {
	client := configuration.NewClient(f.StoreClient())
	current, err := client.Current(ctx)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, configuration.Change{Author: "fleet", Base: current, Document: document})
	return err
}

func (f *Fleet) addEntry(ctx context.Context, i int) error {
	e, err := f.newEntry(ctx, i)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

// newEntry starts the entry with index i.
func (f *Fleet) newEntry(ctx context.Context, i int) (*entry.Entry, error) {
	name := fmt.Sprintf("entry-%d", i)
	files, err := f.authority.Issue(keys.RoleEntry, name)
	if err != nil {
		return nil, err
	}
	platform := f.Platform()
	platform.StoreURLs = []string{f.platform.URL + storePrefix(i)}
	e := entry.New(settings.Entry{
		Name: name, FailureDomain: f.domain(i), CallerAddress: loopback, OperatorAddress: loopback, OperatorTokenDigests: operatorTokenDigests(),
		Keys: files, Platform: platform,
	})
	e.SetPageOptions(f.Layout.Pages)
	return e, e.Start(ctx)
}

// AddEntry starts one more entry.
func (f *Fleet) AddEntry(ctx context.Context) (*entry.Entry, error) {
	if err := f.addEntry(ctx, len(f.Entries)); err != nil {
		return nil, err
	}
	return f.Entries[len(f.Entries)-1], nil
}

// URL returns the base URL of entry i.
func (f *Fleet) URL(i int) string { return "http://" + f.Entries[i].Address() }

const readyPollInterval = 10 * time.Millisecond

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, e := range f.Entries {
		for !e.Ready(f.Layout.Engines + f.Layout.Applications.Count) {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "fleet did not become ready")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Close kills all processes that still run and removes the fleet's files.
func (f *Fleet) Close() {
	f.stalls.release()
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, member := range f.Members {
		member.kill()
	}
	for _, member := range append(f.ApplicationMembers(), f.replacedApplications...) {
		member.kill()
	}
	if f.platform != nil {
		f.platform.CloseClientConnections()
		f.platform.Close()
	}
	_ = os.RemoveAll(f.directory)
}
