// Package hostile tests the programs against crowds of hostile callers. Each test starts a
// program in a process of its own, with lowered limits, and checks only what does not depend on
// the speed of the machine: that the process lives, that its memory and open descriptors stay
// under a bound, and that an ordinary request is answered afterwards.
package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

const (
	// memoryMB is the memory of a process in these tests, in MiB: it must stay below that.
	memoryMB = 64
	// crowdSize is the number of connections of a crowd.
	crowdSize = 400
	// descriptorLimit is the lowered limit of open descriptors of a process, and
	// descriptorBound how many it may have open: the rest is for targets, the store and peers.
	descriptorLimit, descriptorBound = 256, 192
	testHost, testKey                = "ponds.example", "key-of-crew"
	// answerTime is how long an ordinary caller tries to get its answer. It only ends a test
	// that fails.
	answerTime = 20 * time.Second
	// sendTime ends the sending of connections that the process does not read.
	sendTime = 2 * time.Second
)

// programs holds the directory of the programs under test, which are built once.
var programs string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "mulberrylane-hostile-")
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("go", "build", "-o", directory, "../../cmd/mlgateway", "../../cmd/mlentry", "../../cmd/mlagent").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a program under test.
type process struct {
	t   *testing.T
	pid int
	// ended is closed when the process has ended.
	ended chan struct{}
	// ordinary sends an ordinary request and returns the status of the response.
	ordinary func() (int, error)
}

// startProgram starts a program with a limit of open descriptors.
func startProgram(t *testing.T, name string, descriptors int, settings map[string]any) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	script := fmt.Sprintf("ulimit -n %d && exec %s --settings %s", descriptors, filepath.Join(programs, name), path)
	command := exec.Command("sh", "-c", script)
	assert.NilError(t, command.Start())
	p := &process{t: t, pid: command.Process.Pid, ended: make(chan struct{})}
	go func() { _ = command.Wait(); close(p.ended) }()
	t.Cleanup(func() { _ = command.Process.Kill(); <-p.ended })
	return p
}

// freeAddresses returns addresses with free ports.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		address, err := network.FreeAddress(network.ProcessHost() + ":0")
		assert.NilError(t, err)
		addresses[i] = address
	}
	return addresses
}

// get sends a GET request on a new connection and returns the status.
func get(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	return do(request)
}

func do(request *http.Request) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitAnswer waits until an ordinary request gets a success.
func (p *process) awaitAnswer() {
	p.t.Helper()
	deadline := time.Now().Add(answerTime)
	for {
		status, err := p.ordinary()
		if err == nil && status == http.StatusOK {
			return
		}
		select {
		case <-p.ended:
			p.t.Fatal("the process has ended")
		default:
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("no ordinary request is answered: status %d, error %v", status, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// check checks the process while the crowd is still connected.
func (p *process) check(maxMemoryMB, maxDescriptors int) {
	p.t.Helper()
	descriptors := p.descriptors()
	p.awaitAnswer()
	peak, descriptors := p.peakMemory(), max(descriptors, p.descriptors())
	p.t.Logf("peak %d MB, %d descriptors", peak, descriptors)
	assert.Check(p.t, peak < maxMemoryMB, "%d MB", peak)
	assert.Check(p.t, descriptors <= maxDescriptors, "%d descriptors", descriptors)
	select {
	case <-p.ended:
		p.t.Fatal("the process has ended")
	default:
	}
}

// peakMemory returns the largest resident size of the process so far, in MiB.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	assert.NilError(p.t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(p.t, err)
			return kib >> 10
		}
	}
	p.t.Fatal("no peak size")
	return 0
}

func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	assert.NilError(p.t, err, "the process has ended")
	return len(entries)
}

// crowd opens connections to address at the same time, sends on each what send writes, reads
// nothing, and returns when all have sent it or could not go on. They stay open until the test
// ends.
func crowd(t *testing.T, address string, size int, send func(conn net.Conn) error) {
	t.Helper()
	var group sync.WaitGroup
	for range size {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTime)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			_ = send(conn)
		})
	}
	group.Wait()
}

// text returns a send function for a fixed text.
func text(parts ...string) func(net.Conn) error {
	data := []byte(strings.Join(parts, ""))
	return func(conn net.Conn) error {
		_, err := conn.Write(data)
		return err
	}
}

// gateway is an mlgateway with its surroundings.
type gateway struct {
	*process
	callers, health, metrics, peers string
	store                           *kv.Store
}

// gatewayOptions vary the settings of a gateway.
type gatewayOptions struct {
	memoryMB, descriptors, maxBodyBytes int
}

// startGateway starts mlgateway with a store and an application, and waits until it serves calls.
func startGateway(t *testing.T, options gatewayOptions) *gateway {
	t.Helper()
	store := kv.New()
	server := httptest.NewServer(store.PlatformHandler())
	t.Cleanup(server.CloseClientConnections)
	configuration, err := json.Marshal(map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{
				"Name": "status", "Host": testHost, "Prefix": "/status/", "RouteType": "idempotent", "TimeoutMs": 20000,
				"TargetLatencyMs": 500, "Service": "bookings", "MaxAttempts": 2,
			},
			map[string]any{
				"Name": "report", "Host": testHost, "Prefix": "/report/", "RouteType": "streaming", "TimeoutMs": 20000,
				"TargetLatencyMs": 500, "Service": "writer", "MaxAttempts": 5, "StreamResumption": true,
			},
		},
		"Services": []any{
			map[string]any{"Name": "bookings", "MaxConnections": 100, "HealthPath": replica.HealthPath},
			map[string]any{"Name": "writer", "MaxConnections": 600, "HealthPath": replica.HealthPath, "Engine": map[string]any{
				"Slots": 600, "KvCapacityTokens": 88000, "HandleS": 2.0, "Stride": 5,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": options.maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "crew", "ApiKeys": []string{testKey}, "Priority": 1}},
	})
	assert.NilError(t, err)
	store.Put(platform.ConfigurationKey, configuration)
	application, err := replica.NewFleet().Start(replica.Config{
		ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 5 * time.Millisecond, Slots: 100,
		Address: network.ProcessAddress(), Incarnation: 1000,
	})
	assert.NilError(t, err)
	t.Cleanup(application.Crash)
	store.Put(platform.TargetPrefix+"a1", application.RegistrationValue("ready"))
	addresses := freeAddresses(t, 4)
	g := &gateway{callers: addresses[0], health: addresses[1], metrics: addresses[2], peers: addresses[3], store: store}
	g.process = startProgram(t, "mlgateway", options.descriptors, map[string]any{
		"name": "entry-1", "failureDomain": "naxos", "callers": g.callers, "health": g.health, "metrics": g.metrics,
		"peers": g.peers, "store": strings.TrimPrefix(server.URL, "http://"), "memoryMB": options.memoryMB,
		"bounds": map[string]any{"revokeWithin": "3s", "grace": "4s", "retryRatio": 0.8, "retrySlack": 150, "retryWindow": "10s"},
	})
	number := 0
	g.ordinary = func() (int, error) {
		number++
		request, err := g.request(http.MethodGet, "/status/7", "", fmt.Sprint("ordinary-", number))
		if err != nil {
			return 0, err
		}
		return do(request)
	}
	g.awaitAnswer()
	return g
}

func defaultGateway(t *testing.T) *gateway {
	return startGateway(t, gatewayOptions{memoryMB: memoryMB, descriptors: 4096, maxBodyBytes: 4 << 20})
}

// request returns a request of an ordinary caller.
func (g *gateway) request(method, path, body, id string) (*http.Request, error) {
	r := caller.Request{
		Method: method, Path: path, Body: body, Host: testHost, APIKey: testKey, DeadlineRemaining: 5 * time.Second, AttemptID: id,
	}
	return r.NewHTTPRequest(context.Background(), g.callers)
}

// awaitReady waits until the health address says that the gateway is ready.
func (g *gateway) awaitReady() {
	g.t.Helper()
	callers := g.ordinary
	defer func() { g.ordinary = callers }()
	g.ordinary = func() (int, error) { return get(context.Background(), "http://"+g.health+"/v1/readyz") }
	g.awaitAnswer()
}

// awaitMetrics waits until the metrics are served.
func (g *gateway) awaitMetrics() {
	g.t.Helper()
	callers := g.ordinary
	defer func() { g.ordinary = callers }()
	g.ordinary = func() (int, error) { return get(context.Background(), "http://"+g.metrics+"/metrics") }
	g.awaitAnswer()
}

// entry is an mlentry, which knows no targets.
type entry struct {
	*process
	callers, operators string
}

// platformSettings starts an empty store and host list and returns the settings to reach them.
func platformSettings(t *testing.T) map[string]any {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/v3/", kv.New().EtcdHandler())
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[]") })
	server := httptest.NewServer(mux)
	t.Cleanup(server.CloseClientConnections)
	return map[string]any{"store": []string{server.URL}, "hostList": server.URL + "/hosts"}
}

func issueKeys(t *testing.T, role keys.Role) map[string]any {
	t.Helper()
	authority, err := keys.NewCA(t.TempDir())
	assert.NilError(t, err)
	files, err := authority.Issue(role, "under-test")
	assert.NilError(t, err)
	return map[string]any{"certificate": files.Certificate, "key": files.Key, "authority": files.CA}
}

func startEntry(t *testing.T, descriptors int) *entry {
	t.Helper()
	addresses := freeAddresses(t, 2)
	e := &entry{callers: addresses[0], operators: addresses[1]}
	e.process = startProgram(t, "mlentry", descriptors, map[string]any{
		"name": "entry-1", "failureDomain": "naxos", "callers": e.callers, "operators": e.operators,
		"keys": issueKeys(t, keys.RoleEntry), "platform": platformSettings(t),
	})
	e.ordinary = func() (int, error) { return get(context.Background(), "http://"+e.callers+"/health") }
	e.awaitAnswer()
	return e
}

// agent is an mlagent beside an application.
type agent struct {
	*process
	links, operators string
}

func startAgent(t *testing.T, descriptors int) *agent {
	t.Helper()
	application := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(application.Close)
	addresses := freeAddresses(t, 2)
	a := &agent{links: addresses[0], operators: addresses[1]}
	a.process = startProgram(t, "mlagent", descriptors, map[string]any{
		"name": "agent-1", "failureDomain": "naxos", "host": "host-1", "target": "t1", "service": "bookings",
		"links": a.links, "operators": a.operators, "application": application.URL,
		"keys": issueKeys(t, keys.RoleAgent), "platform": platformSettings(t),
	})
	a.ordinary = func() (int, error) { return get(context.Background(), "http://"+a.operators+"/health") }
	a.awaitAnswer()
	return a
}
