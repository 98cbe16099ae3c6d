//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"io"
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

// Names of the deployment's configuration.
const (
	host       = "ponds.example"
	engines    = "asistent-lm"
	desk       = "inscrieri-app"
	apiKey     = "key-1"
	streamPath = "/lining/1"
	callPath   = "/seat/1"
)

// deployment holds the store and the processes of one run.
type deployment struct {
	dir       string
	store     *kv.Store
	storeAddr string
	gateway   string
	bounds    map[string]any
	record    *record
	memoryMB  int

	mu        sync.Mutex
	processes []*exec.Cmd
	// sequence counts the registrations of replicas.
	sequence int
}

// record is the file in which a run writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
	_, _ = r.file.WriteString(text)
}

// newDeployment starts the stand-in of the store.
func newDeployment(gateway, dir string, r *record) (*deployment, error) {
	d := &deployment{dir: dir, store: kv.New(), gateway: gateway, record: r, memoryMB: 134}
	listener, err := net.Listen("tcp", network.ProcessAddress())
	if err != nil {
		return nil, err
	}
	d.storeAddr = listener.Addr().String()
	server := &http.Server{Handler: d.store.PlatformHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.bounds = map[string]any{
		"revokeWithin": "5000ms", "grace": "8s", "addressReuse": "2s",
		"retryRatio": 0.8, "retrySlack": 150, "retryWindow": "10s",
	}
	return d, nil
}

// configuration returns the operator's document, as the platform's pages show it.
func configuration() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, objectiveMs, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "RouteType": kind, "TimeoutMs": timeoutMs,
			"TargetLatencyMs": objectiveMs, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Anonymous": false,
		}
	}
	stream := route("r-lining", "/lining/", "streaming", engines, 25000, 4500, 5)
	stream["SessionAffinity"], stream["StreamResumption"], stream["GapAimMs"] = true, true, 700
	return map[string]any{
		"Version": 1,
		"Routes": []any{
			stream,
			route("r-seat", "/seat/", "idempotent", desk, 60000, 20000, 2),
		},
		"Services": []any{
			map[string]any{
				"Name": engines, "HealthPath": "/healthz", "MaxConnections": 610, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": 128, "KvCapacityTokens": 88000, "KvTokenBytes": 131072, "LinkMbps": 130000.0, "Moves": false,
					"Backups": false, "Stride": 5, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 4.0,
					"Models": []any{map[string]any{"Name": "m"}},
				},
			},
			map[string]any{"Name": desk, "HealthPath": "/healthz", "MaxConnections": 96, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{apiKey}, "Priority": 1}},
	}
}

func (d *deployment) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	d.store.Put(key, data)
}

// start starts a process of this program or another one, with its output in a file.
func (d *deployment) start(name string, env []string, program string, arguments ...string) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}, env...)
	if err := command.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes = append(d.processes, command)
	d.mu.Unlock()
	return command, nil
}

// stop ends all processes.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, command := range d.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	d.processes = nil
}

// entry is one gateway process.
type entry struct {
	name, callers, health, settings string
	command                         *exec.Cmd
}

// freeAddress returns an address of this process alone, so that no connection of another process takes its port.
func freeAddress() string {
	for {
		address, err := network.FreeAddress(network.ProcessAddress())
		if err != nil {
			panic(err)
		}
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// givenAddresses holds the addresses that freeAddress has returned.
var givenAddresses sync.Map

// startEntry starts a gateway with settings like those that deploy/gateway.json.tmpl makes.
func (d *deployment) startEntry(name, zone string) (*entry, error) {
	e := &entry{name: name, callers: freeAddress(), health: freeAddress(), settings: filepath.Join(d.dir, name+".json")}
	settings := map[string]any{
		"name": name, "failureDomain": zone, "callers": e.callers, "health": e.health, "metrics": freeAddress(),
		"peers": freeAddress(), "store": d.storeAddr, "storeWritesPerSecond": 400, "firstStart": true,
		"memoryMB": d.memoryMB, "linkMbps": 1000.0, "bounds": d.bounds,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	return e, d.run(e)
}

func (d *deployment) run(e *entry) error {
	command, err := d.start(e.name, []string{"MULBERRYLANE_NODE_FILE=" + e.settings}, d.gateway, "--settings", e.settings)
	e.command = command
	return err
}

// waitReady waits until the entry says that it is ready.
func (e *entry) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.health + "/v1/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}
