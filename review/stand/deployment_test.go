//go:build review

package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
)

const (
	host = "ponds.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// readyTimeout is how long a gateway may take to be ready.
	readyTimeout = 10 * time.Second
)

// deployment is a small deployment and the record of what happens in it.
type deployment struct {
	trouble bool
	started time.Time
	folder  string
	store   *kv.Store
	address string
	config  map[string]any
	version int

	mu        sync.Mutex
	recordTo  *os.File
	processes []*process
}

// process is a process that the case started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

func newDeployment(record string) (*deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), folder: folder, recordTo: file,
		store: kv.New(), address: listener.Addr().String(),
	}
	go func() { _ = http.Serve(listener, d.store.PlatformHandler()) }()
	d.record("disruption: %v", d.trouble)
	return d, nil
}

// record writes a line to the record.
func (d *deployment) record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.recordTo, "%8.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

func (d *deployment) close() {
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
	_ = d.recordTo.Close()
}

// start starts a program, whose output goes to a file.
func (d *deployment) start(name, program string, arguments ...string) *process {
	output, err := os.Create(filepath.Join(d.folder, name+".log"))
	must(err)
	defer func() { _ = output.Close() }()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	must(command.Start())
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddress returns a free address on the loopback interface.
func freeAddress() string {
	address, err := network.FreeAddress("127.0.0.1:0")
	must(err)
	return address
}

// gateway is a gateway process.
type gateway struct {
	*process
	name, address, ready, settings string
}

// startGateway starts a gateway with the settings that deploy/gateway.json.tmpl gives it.
func (d *deployment) startGateway(name, zone string) *gateway {
	g := &gateway{name: name, address: freeAddress(), ready: freeAddress()}
	settings := map[string]any{
		"name": name, "failureDomain": zone, "callers": g.address, "health": g.ready, "metrics": freeAddress(),
		"peers": freeAddress(), "store": d.address, "firstStart": true, "memoryMB": 134, "linkMbps": 1000,
		"bounds": map[string]any{
			"revokeWithin": "5000ms", "grace": "8s", "addressReuse": "2s",
			"retryRatio": 0.8, "retrySlack": 150, "retryWindow": "10s",
		},
	}
	data, err := json.Marshal(settings)
	must(err)
	g.settings = filepath.Join(d.folder, name+".json")
	must(os.WriteFile(g.settings, data, 0o600))
	d.run(g)
	return g
}

// run starts the process of a gateway.
func (d *deployment) run(g *gateway) {
	g.process = d.start(fmt.Sprintf("%s-%d", g.name, time.Now().UnixMilli()), "target/mlgateway", "--settings", g.settings)
	d.record("%s started at %s", g.name, g.address)
}

// runAgain starts the process of a gateway after its end, when the whole system has started before.
func (d *deployment) runAgain(g *gateway) {
	data, err := os.ReadFile(g.settings)
	must(err)
	must(os.WriteFile(g.settings, bytes.Replace(data, []byte(`"firstStart":true`), []byte(`"firstStart":false`), 1), 0o600))
	d.run(g)
}

// awaitReady waits until the gateway reports that it is ready, and some time longer, in which
// the gateways find each other.
func (d *deployment) awaitReady(gateways ...*gateway) {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range gateways {
		for {
			response, err := http.Get("http://" + g.ready + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(g.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

// configure writes the next version of the configuration.
func (d *deployment) configure(routes, services []any) {
	d.version++
	d.config = map[string]any{
		"Version": d.version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1}},
	}
	value, err := json.Marshal(d.config)
	must(err)
	d.store.Put("op/config", value)
	d.record("configuration %d acknowledged", d.version)
}

func route(prefix, kind, service string, attempts int) map[string]any {
	r := map[string]any{
		"Name": "r-" + prefix, "Host": host, "Prefix": prefix, "RouteType": kind, "TimeoutMs": 25000, "TargetLatencyMs": 4500,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Anonymous": false,
	}
	if kind == "streaming" {
		r["SessionAffinity"], r["StreamResumption"], r["GapAimMs"] = true, true, 700
	}
	return r
}

// engineService is the service of the model replicas.
func engineService(backups bool) map[string]any {
	return map[string]any{
		"Name": "huvo11a", "HealthPath": healthPath, "MaxConnections": 610, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{
			"Slots": 128, "KvCapacityTokens": 88000, "KvTokenBytes": 131072, "LinkMbps": 130000.0, "Moves": true, "Backups": backups,
			"Stride": 5, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": copyTTL.Seconds(),
			"Models": []any{map[string]any{"Name": "m"}},
		},
	}
}

func applicationService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": healthPath, "MaxConnections": 96, "Protocol": "h1", "Tls": false}
}

// register writes the entry of a replica, as that does itself.
func (d *deployment) register(r replicaConfig) {
	value, err := json.Marshal(map[string]any{
		"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "1", "Slots": r.Slots, "State": "ready",
		"WarmupLeftMs": 0, "Sequence": 1, "born": r.Born,
	})
	must(err)
	d.store.Put("servers/"+r.ID, value)
}
