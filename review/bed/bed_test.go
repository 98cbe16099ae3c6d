//go:build review

// Package bed runs the gateway program between stand-ins of its callers, its targets and the
// platform's store, and judges what those see.
package bed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/kv"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	host      = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	workspace = "hule930"
	// startTimeout limits the wait for a gateway to be ready.
	startTimeout = 20 * time.Second
	// firstPort and portCount are the ports of the processes, below those of connections.
	firstPort, portCount = 12000, 18000
	// caseTimeout is for how long a case may run.
	caseTimeout = 115 * time.Second
	// heartbeat is HeartbeatMs.
	heartbeat = 1200 * time.Millisecond
)

// cases maps the names of cases to what they run. Each reports whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) bool{}

// TestMain runs one case: its arguments are the case, the gateway program, the file to record to,
// and 1 or 0 for with or without trouble.
func TestMain(*testing.M) {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: CASE GATEWAY RECORD TROUBLE")
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func runCase(run func(b *bed, trouble bool) bool, program, record string, trouble bool) (code int) {
	b, err := newBed(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	current = b
	defer b.close()
	defer func() {
		if r := recover(); r != nil {
			b.record("could not run: %v", r)
			code = exitNotRun
		}
	}()
	b.record("trouble=%t", trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseTimeout):
		}
		b.close()
		os.Exit(exitNotRun)
	}()
	if run(b, trouble) {
		b.record("verdict: the rule was broken")
		return exitBroken
	}
	b.record("verdict: the rule held")
	return exitHeld
}

// bed is one case while it runs.
type bed struct {
	program  string
	dir      string
	store    *kv.Store
	storeAt  string
	started  time.Time
	gateways []*gateway

	mu     sync.Mutex
	out    *os.File
	closed []func()
	// storeDown is set while nobody reaches the store; entries do not lapse then.
	storeDown atomic.Bool
	// reportedAt is when each replica last reported to the store.
	reportedAt map[string]time.Time
}

func newBed(program, record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, dir: dir, out: out, store: kv.New(), started: time.Now(), reportedAt: map[string]time.Time{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = listener.Addr().String()
	server := &http.Server{Handler: b.store.PlatformHandler()}
	go func() { _ = server.Serve(listener) }()
	b.onClose(func() { _ = server.Close() })
	go b.removeSilent()
	return b, nil
}

func (b *bed) onClose(f func()) { b.closed = append(b.closed, f) }

func (b *bed) close() {
	for _, g := range b.gateways {
		g.kill()
	}
	for _, f := range b.closed {
		f()
	}
	_ = b.out.Close()
	_ = os.RemoveAll(b.dir)
}

// record writes a line to the record, with the time since the start of the case.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.out, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// current is the case that runs.
var current *bed

// require ends the case as one that could not run, if there is an error.
func require(err error) {
	if err == nil {
		return
	}
	if current != nil {
		current.record("could not run: %v", err)
		current.close()
	}
	os.Exit(exitNotRun)
}

// route is a route of the operator's configuration.
type route struct {
	Name, Host, Prefix, RouteType, Service       string
	TimeoutMs, TargetLatencyMs, GapAimMs         int
	Priority, MaxAttempts                        int
	Anonymous, SessionAffinity, StreamResumption bool
}

// engine is what the configuration says of the engines of a service.
type engine struct {
	Slots, KvCapacityTokens, KvTokenBytes, Stride int
	LinkMbps, HandleS                             float64
	Moves, Backups                                bool
}

type service struct {
	Name, HealthPath string
	MaxConnections   int
	Engine           *engine `json:",omitempty"`
}

type tenant struct {
	Name    string
	ApiKeys []string
}

// configuration is the operator's configuration.
type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Limits   map[string]int
	Tenants  []tenant
}

func limits() map[string]int {
	return map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

func (b *bed) configure(c configuration) {
	if c.Limits == nil {
		c.Limits = limits()
	}
	if c.Tenants == nil {
		c.Tenants = []tenant{{Name: workspace, ApiKeys: []string{apiKey}}}
	}
	value, err := json.Marshal(c)
	require(err)
	b.store.Put("op/config", value)
	b.record("operator: configuration %d acknowledged", c.Version)
}

// gateway is one gateway process.
type gateway struct {
	bed                             *bed
	name                            string
	callers, health, metrics, peers string
	settings                        string
	log                             string
	command                         *exec.Cmd
	exited                          chan struct{}
}

// freePort returns an address whose port is free and is not given to connections.
func freePort(network string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		var closer io.Closer
		var err error
		if network == "udp" {
			closer, err = net.ListenPacket("udp", address)
		} else {
			closer, err = net.Listen("tcp", address)
		}
		if err == nil {
			_ = closer.Close()
			return address
		}
	}
}

// newGateway prepares a gateway with the settings of a small site; change may change them.
func (b *bed) newGateway(name, zone string, change func(settings map[string]any)) *gateway {
	g := &gateway{
		bed: b, name: name, callers: freePort("tcp"), health: freePort("tcp"), metrics: freePort("tcp"), peers: freePort("udp"),
		settings: filepath.Join(b.dir, name+".json"), log: filepath.Join(b.dir, name+".log"),
	}
	settings := map[string]any{
		"name": name, "failureDomain": zone, "callers": g.callers, "health": g.health, "metrics": g.metrics, "peers": g.peers,
		"store": b.storeAt, "firstStart": true, "memoryMB": 134, "linkMbps": 1000.0,
		"bounds": map[string]any{
			"revokeWithin": "5000ms", "grace": "8s", "addressReuse": "2s", "retryRatio": 0.8, "retrySlack": 150, "retryWindow": "10s",
		},
	}
	if change != nil {
		change(settings)
	}
	value, err := json.Marshal(settings)
	require(err)
	require(os.WriteFile(g.settings, value, 0o600))
	b.gateways = append(b.gateways, g)
	return g
}

// notFirst sets in the settings that the whole system has started before.
func (g *gateway) notFirst() {
	data, err := os.ReadFile(g.settings)
	require(err)
	require(os.WriteFile(g.settings, bytes.ReplaceAll(data, []byte(`"firstStart":true`), []byte(`"firstStart":false`)), 0o600))
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require(err)
	g.command = exec.Command(g.bed.program, "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	require(g.command.Start())
	g.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(g.command, g.exited)
	g.bed.record("%s: started, process %d", g.name, g.command.Process.Pid)
}

func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.exited
}

// isReady asks as the platform's balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.health + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) waitReady() {
	for deadline := time.Now().Add(startTimeout); !g.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(g.name + " is not ready")
		}
	}
}

// registration is the entry of a replica in the store.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	WarmupLeftMs, Sequence          int
	Born                            int64 `json:"born"`
}

// replica is a stand-in for a replica.
type replica struct {
	bed      *bed
	id       string
	entry    registration
	serve    func(w http.ResponseWriter, r *http.Request)
	listener net.Listener
	server   *http.Server
	// stopped ends its reports to the store.
	stopped chan struct{}
}

// newReplica starts a replica that responds to requests with serve, and registers it.
func (b *bed) newReplica(id, service, zone string, slots int, isEngine bool, serve func(w http.ResponseWriter, r *http.Request)) *replica {
	return b.newReplicaAt("127.0.0.1:0", id, service, zone, slots, isEngine, serve)
}

// newReplicaAt is newReplica at an address.
func (b *bed) newReplicaAt(address, id, service, zone string, slots int, isEngine bool, serve func(w http.ResponseWriter, r *http.Request)) *replica {
	listener, err := net.Listen("tcp", address)
	require(err)
	r := &replica{bed: b, id: id, serve: serve, listener: listener, entry: registration{
		Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Sequence: 1,
		Born: time.Now().UnixMilli(),
	}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		if !isEngine {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "unified", "Running": 0, "KvTotal": 88000, "born": r.entry.Born})
	})
	mux.HandleFunc("/", r.handle)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	b.onClose(func() { _ = r.server.Close() })
	r.register()
	r.beat()
	return r
}

func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.serve(w, req)
}

func (r *replica) register() {
	value, err := json.Marshal(r.entry)
	require(err)
	if r.bed.storeDown.Load() {
		return
	}
	r.bed.mu.Lock()
	r.bed.reportedAt[r.id] = time.Now()
	r.bed.mu.Unlock()
	r.bed.store.Put("servers/"+r.id, value)
}

// beat lets the replica report to the store until it stops.
func (r *replica) beat() {
	r.stopped = make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.entry.Sequence++
				r.register()
			case <-r.stopped:
				return
			}
		}
	}()
}

// losePower ends the replica at once.
func (r *replica) losePower() {
	close(r.stopped)
	_ = r.server.Close()
	r.bed.record("%s: its machine lost power", r.id)
}

// removeSilent removes the entries of replicas that beat but have been silent for three reports.
func (b *bed) removeSilent() {
	for {
		time.Sleep(20 * time.Millisecond)
		b.mu.Lock()
		var silent []string
		for id, at := range b.reportedAt {
			if time.Since(at) > 3*heartbeat && !b.storeDown.Load() {
				silent = append(silent, id)
				delete(b.reportedAt, id)
			}
		}
		b.mu.Unlock()
		for _, id := range silent {
			b.store.Delete("servers/" + id)
			b.record("store: the entry of %s has lapsed", id)
		}
	}
}

// sign sets the headers of a replica's own answer.
func sign(w http.ResponseWriter, id string) {
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "s-"+id)
}

// caller is a client with one channel.
type caller struct {
	bed    *bed
	conn   net.Conn
	reader *bufio.Reader
}

func (b *bed) dial(g *gateway) *caller {
	c, err := b.tryDial(g)
	require(err)
	return c
}

func (b *bed) tryDial(g *gateway) (*caller, error) {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{bed: b, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// message is one request of a client.
type message struct {
	method, path, id string
	timeLeft         time.Duration
	header           []string
	body             []byte
}

func (m message) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nKey: %s\r\n",
		m.method, m.path, host, m.id, m.timeLeft.Milliseconds(), apiKey)
	for _, line := range m.header {
		out.WriteString(line + "\r\n")
	}
	if len(m.body) > 0 || m.method == http.MethodPost {
		out.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(m.body)
	return out.Bytes()
}

// answer is what a client saw of an answer.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %s: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d after %s, %d bytes, complete %t", a.status, a.took.Round(time.Millisecond), len(a.body), a.complete)
}

// send sends a request and reads its answer, for no longer than timeout.
func (c *caller) send(m message, timeout time.Duration) answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(timeout))
	a := answer{}
	defer func() { c.bed.record("client: %s %s %s: %s", m.method, m.path, m.id, a) }()
	if _, a.err = c.conn.Write(m.encode()); a.err == nil {
		a.read(c.reader, m.method)
	}
	a.took = time.Since(began)
	return a
}

func (a *answer) read(reader *bufio.Reader, method string) {
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
