//go:build review

// Package rig holds the stand-ins of the scripts in review/11 to review/15: a store, replicas that
// are processes of their own, and clients.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// run is one run of a case.
type run struct {
	*deployment
	// trouble is set unless the run is to go without the disruption.
	trouble bool
	// self is the path of this program.
	self string
	// replicas holds all replicas that were started, one for each start.
	replicas []*replicaProcess
	// restarts is held while a replica is started beside others.
	restarts sync.Mutex
}

// cases maps names to cases, which return whether the rule was broken.
var cases = map[string]func(*run) (bool, error){}

// TestMain is the main function of the program.
func TestMain(*testing.M) {
	if len(os.Args) < 2 {
		os.Exit(failed)
	}
	if os.Args[1] == "replica" {
		if err := replicaMain(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs "CASE RECORD GATEWAY".
func runCase(arguments []string) int {
	play := cases[arguments[0]]
	if play == nil || len(arguments) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD GATEWAY")
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	gateway, err := filepath.Abs(arguments[2])
	if err != nil {
		return failed
	}
	self, err := os.Executable()
	if err != nil {
		return failed
	}
	records, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	d, err := newDeployment(gateway, dir, records)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		_ = os.RemoveAll(dir)
		os.Exit(failed)
	}()
	r := &run{deployment: d, trouble: os.Getenv("TROUBLE") != "0", self: self}
	wasBroken, err := play(r)
	r.recordRuns()
	switch {
	case err != nil:
		records.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case wasBroken:
		records.line("the rule was broken")
		fmt.Println("broken")
		return broken
	default:
		records.line("the rule held")
		fmt.Println("held")
		return held
	}
}

// startReplica starts a replica and registers it.
func (r *run) startReplica(o replicaOptions) (*replicaProcess, error) {
	p, err := r.bootReplica(o)
	if err == nil {
		r.register(p)
	}
	return p, err
}

// bootReplica starts a replica that does not register yet.
func (r *run) bootReplica(o replicaOptions) (*replicaProcess, error) {
	if o.Address == "" {
		o.Address = freeAddress()
	}
	o.Log = filepath.Join(r.dir, o.ID+".runs")
	p := &replicaProcess{replicaOptions: o}
	before := p.bornAt()
	command, err := r.start(o.ID, nil, r.self, o.arguments()...)
	if err != nil {
		return nil, err
	}
	p.command = command
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.bornAt() != before {
			r.replicas = append(r.replicas, p)
			return p, nil
		}
	}
	return nil, fmt.Errorf("replica %s does not start", o.ID)
}

// register writes the entry of a replica in the store.
func (r *run) register(p *replicaProcess) {
	r.sequence++
	r.put("servers/"+p.ID, p.registration("ready", r.sequence, p.bornAt()))
}

// recordRuns records what the replicas have run.
func (r *run) recordRuns() {
	recorded := map[string]bool{}
	for _, p := range r.replicas {
		if recorded[p.ID] {
			continue
		}
		recorded[p.ID] = true
		for _, line := range p.log() {
			r.record.line("replica %s: %s", p.ID, line)
		}
	}
}

// startFleet writes the configuration, and starts replicas and entries.
func (r *run) startFleet(entries int, replicas ...replicaOptions) ([]*entry, error) {
	r.put("op/config", configuration())
	for _, o := range replicas {
		if _, err := r.startReplica(o); err != nil {
			return nil, err
		}
	}
	started := make([]*entry, entries)
	for i := range started {
		var err error
		if started[i], err = r.startEntry(fmt.Sprintf("entry-%d", i+1), zoneOf(i)); err != nil {
			return nil, err
		}
	}
	for _, e := range started {
		if err := e.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// zoneOf spreads numbered hosts over three zones.
func zoneOf(number int) string { return []string{"zone-a", "zone-b", "zone-c"}[number%3] }
