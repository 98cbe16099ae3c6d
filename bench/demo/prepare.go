// Package demo prepares and drives the demonstration. It runs the real daemons and the
// stand-ins as separate processes, with real text prompts and with faults injected by
// signals. A script starts the processes. This package writes their keys and settings,
// sends the requests and checks every response.
package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	salt = "demo"
	// callDeadline is the deadline of a call.
	callDeadline = 20 * time.Second
	fileMode     = 0o600
	dirMode      = 0o700
)

// Size is the number of processes of each kind.
type Size struct{ Entries, Engines, Applications int }

// DefaultSize is the size of the demonstration.
var DefaultSize = Size{Entries: 2, Engines: 6, Applications: 3}

var domains = []string{"naxos", "paros", "syros"}

// preparer writes the files of one demonstration and keeps the first error in err.
type preparer struct {
	directory       string
	authority       *keys.CA
	platformAddress string
	plan            Plan
	hostList        []outside.ListedTarget
	// processes holds a line for each process: its name, followed by its command line.
	processes []string
	err       error
}

// operatorSettings is the settings file of mlctl.
type operatorSettings struct {
	Store     []string `json:"store"`
	Processes []string `json:"processes"`
	HostList  string   `json:"hostList"`
	Author    string   `json:"author"`
}

// Prepare writes keys, settings and the list of processes into directory.
func Prepare(directory string, size Size) error {
	for _, name := range []string{"keys", "pids", "log"} {
		if err := os.MkdirAll(filepath.Join(directory, name), dirMode); err != nil {
			return errors.Wrap(err, "prepare")
		}
	}
	authority, err := keys.NewCA(filepath.Join(directory, "keys"))
	if err != nil {
		return err
	}
	p := &preparer{directory: directory, authority: authority}
	p.platformAddress = p.address()
	p.plan.HostList = p.platformSettings().HostListURL
	for i := range size.Engines {
		p.addEngine(i)
	}
	p.addApplications(size.Applications)
	for i := range size.Entries {
		p.addEntry(i)
	}
	p.addPlatform()
	p.write(planFile, p.plan)
	p.write("mlctl.json", operatorSettings{
		Store: p.platformSettings().StoreURLs, Processes: p.plan.EntryOperatorAddresses, HostList: p.plan.HostList, Author: "demo",
	})
	p.writeProcesses()
	return p.err
}

func (p *preparer) address() string {
	address, err := network.FreeAddress("127.0.0.1:0")
	p.recordError(err)
	return address
}

func (p *preparer) recordError(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *preparer) path(name string) string { return filepath.Join(p.directory, name) }

func (p *preparer) write(name string, value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	p.recordError(errors.Wrap(err, name))
	p.recordError(errors.Wrap(os.WriteFile(p.path(name), data, fileMode), name))
	return p.path(name)
}

func (p *preparer) issue(role keys.Role, name string) keys.Files {
	files, err := p.authority.Issue(role, name)
	p.recordError(err)
	return files
}

func (p *preparer) addProcess(format string, args ...any) {
	p.processes = append(p.processes, fmt.Sprintf(format, args...))
}

func (p *preparer) platformSettings() settings.Platform {
	return settings.Platform{
		StoreURLs:        []string{"http://" + p.platformAddress},
		HostListURL:      "http://" + p.platformAddress + "/hosts",
		HostListInterval: version.Duration(500 * time.Millisecond),
	}
}

// addEngine adds one engine with its agent.
func (p *preparer) addEngine(i int) {
	name := fmt.Sprintf("engine-%d", i)
	config := engine.DefaultConfig(salt, fleet.TrialVersion)
	config.Seed = uint64(i)
	address := p.address()
	p.addProcess("%s mlctl standin engine --address %s --config %s", name, address, p.write(name+".json", config))

	p.addAgent(i, settings.Agent{
		Name: fmt.Sprintf("agent-%d", i), Target: name, Service: fleet.TrialService, EngineURL: "http://" + address,
	})
	p.plan.Engines = append(p.plan.Engines, "http://"+address)
	p.plan.Targets = append(p.plan.Targets, request.TargetID(name))
}

// addAgent adds the agent with the given name, target and service.
func (p *preparer) addAgent(i int, s settings.Agent) {
	s.Host = "host-" + s.Target
	s.FailureDomain = domains[i%len(domains)]
	s.LinkAddress = p.address()
	s.OperatorAddress = p.address()
	s.Keys = p.issue(keys.RoleAgent, s.Name)
	s.Platform = p.platformSettings()
	p.addProcess("%s mlagent --settings %s", s.Name, p.write(s.Name+".json", s))
	p.hostList = append(p.hostList, outside.ListedTarget{
		Target: request.TargetID(s.Target), Service: s.Service, Host: s.Host,
		FailureDomain: s.FailureDomain, AgentAddress: s.LinkAddress, OperatorAddress: s.OperatorAddress, State: outside.HostLive,
	})
	p.plan.AgentOperatorAddresses = append(p.plan.AgentOperatorAddresses, s.OperatorAddress)
}

// addApplications adds the replicas of the application service and an agent for each.
// The replicas run in one process because they share their records.
func (p *preparer) addApplications(count int) {
	if count == 0 {
		return
	}
	arguments := ""
	for i := range count {
		address := p.address()
		arguments += " --address " + address
		name := fmt.Sprintf("%s-%d", fleet.TrialApplication, i)
		p.addAgent(i, settings.Agent{
			Name: "agent-" + name, Target: name, Service: fleet.TrialApplication, ApplicationURL: "http://" + address,
		})
		p.plan.Application = "http://" + address
	}
	p.addProcess("application mlctl standin application%s", arguments)
}

func (p *preparer) addEntry(i int) {
	name := fmt.Sprintf("entry-%d", i)
	s := settings.Entry{
		Name: name, FailureDomain: domains[i%len(domains)], CallerAddress: p.address(), OperatorAddress: p.address(),
		Keys: p.issue(keys.RoleEntry, name), Platform: p.platformSettings(),
	}
	p.addProcess("%s mlentry --settings %s", name, p.write(name+".json", s))
	p.plan.Entries = append(p.plan.Entries, "http://"+s.CallerAddress)
	p.plan.EntryOperatorAddresses = append(p.plan.EntryOperatorAddresses, s.OperatorAddress)
}

func (p *preparer) addPlatform() {
	hosts := p.write("hosts.json", p.hostList)
	document := p.write("document.json", fleet.TrialCallsDocument(callDeadline))
	p.addProcess("platform mlctl standin platform --address %s --hosts %s --document %s --lag 2s", p.platformAddress, hosts, document)
}

func (p *preparer) writeProcesses() {
	var text string
	for _, line := range p.processes {
		text += line + "\n"
	}
	p.recordError(errors.Wrap(os.WriteFile(p.path("processes"), []byte(text), fileMode), "processes"))
}
