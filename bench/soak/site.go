package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

const (
	host = "ponds.example"
	// revokeWithin and grace are the bounds that the entries are told.
	revokeWithin = 3 * time.Second
	grace        = 4 * time.Second
	// events is the length of each stream.
	events = 30
)

// process is one entry, started again whenever it ends.
type process struct {
	name     string
	settings string
	callers  string
	health   string
	// toStore is the relay between this entry and the store.
	toStore *network.TCPRelay

	mu      sync.Mutex
	command *exec.Cmd
	// wanted ends are those that the soak asked for.
	wanted bool
	paused bool
}

// place is an address at which lives of a target follow each other.
type place struct {
	relay   *network.TCPRelay
	service string
	zone    string
	current *replica.Replica
}

// site is the whole deployment of one run.
type site struct {
	options Options
	store   *kv.Store
	server  *httptest.Server
	fleet   *replica.Fleet
	entries []*process
	places  []*place
	ending  chan struct{}
	ends    sync.WaitGroup

	mu      sync.Mutex
	born    int64
	version int
	keys    []string
	// revoked maps a key to when the store acknowledged that it was taken away.
	revoked map[string]time.Time
	added   int
	// unclean tells of each process that ended by itself with an error.
	unclean []string
}

func startSite(options Options) (*site, error) {
	s := &site{
		options: options, store: kv.New(), fleet: replica.NewFleet(), ending: make(chan struct{}),
		keys: []string{"key-0"}, revoked: map[string]time.Time{},
	}
	s.server = httptest.NewServer(s.store.PlatformHandler())
	s.configure()
	for i := range options.Engines {
		if err := s.addPlace("writer", i); err != nil {
			return nil, err
		}
	}
	for i := range options.Applications {
		if err := s.addPlace("bookings", i); err != nil {
			return nil, err
		}
	}
	for i := range options.Entries {
		if err := s.addEntry(i); err != nil {
			s.stop()
			return nil, err
		}
	}
	return s, s.awaitReady()
}

func zone(i int) string { return []string{"naxos", "paros", "syros"}[i%3] }

func (s *site) addPlace(service string, i int) error {
	relay, err := network.NewTCPRelay("")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	p := &place{relay: relay, service: service, zone: zone(i)}
	s.places = append(s.places, p)
	return s.bear(p)
}

// bear starts the next life of a target and registers it.
func (s *site) bear(p *place) error {
	s.mu.Lock()
	s.born++
	born := s.born
	s.mu.Unlock()
	config := replica.Config{
		ID: fmt.Sprintf("i-%d", born), Service: p.service, FailureDomain: p.zone, Address: "127.0.0.1:0",
		AdvertisedAddress: p.relay.Address(), Engine: p.service == "writer", EventCount: events,
		PrefillTime: 80 * time.Millisecond, EventInterval: 30 * time.Millisecond, CallTime: 15 * time.Millisecond,
		Slots: 16, Incarnation: born,
	}
	r, err := s.fleet.Start(config)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	p.current = r
	p.relay.SetUpstream(r.Config().Address)
	s.store.Put(platform.TargetPrefix+config.ID, r.RegistrationValue("ready"))
	return nil
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"Name": prefix, "Host": host, "Prefix": prefix, "RouteType": kind, "TimeoutMs": 4000, "TargetLatencyMs": 300,
			"Service": service, "MaxAttempts": attempts, "StreamResumption": kind == "streaming", "GapAimMs": 700,
		}
	}
	table := []any{
		route("/report/", "streaming", "writer", 5),
		route("/book/", "non_idempotent", "bookings", 1),
		route("/status/", "idempotent", "bookings", 2),
	}
	for i := range s.added {
		table = append(table, route(fmt.Sprintf("/added%d/", i), "idempotent", "bookings", 2))
	}
	value, err := json.Marshal(map[string]any{
		"Version": s.version, "Routes": table,
		"Services": []any{
			map[string]any{"Name": "writer", "Engine": map[string]any{
				"Slots": 16, "KvCapacityTokens": 88000, "Backups": true, "HandleS": 2.0, "Stride": 5,
			}},
			map[string]any{"Name": "bookings"},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 10000 + s.version},
		"Tenants": []any{map[string]any{"Name": "crew", "ApiKeys": s.keys}},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(platform.ConfigurationKey, value)
}

// rotateKey adds a key and takes the oldest away.
func (s *site) rotateKey() {
	s.mu.Lock()
	s.keys = append(s.keys, fmt.Sprintf("key-%d", s.version))
	var gone string
	if len(s.keys) > 2 {
		gone, s.keys = s.keys[0], s.keys[1:]
	}
	s.mu.Unlock()
	s.configure()
	if gone != "" {
		s.mu.Lock()
		s.revoked[gone] = time.Now()
		s.mu.Unlock()
	}
}

func (s *site) addRoute() {
	s.mu.Lock()
	s.added++
	s.mu.Unlock()
	s.configure()
}

func (s *site) newestKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[len(s.keys)-1]
}

func (s *site) revocations() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revoked
}

// Entries keep their addresses over restarts, so their ports must not be among those
// that the system gives to outgoing connections, nor be drawn twice in one process.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(firstPort + os.Getpid()*64%(lastPort-firstPort)))
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)-firstPort)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return listener.Addr().String(), errors.Wrap(listener.Close(), "address")
	}
	return "", errors.New("no port is free")
}

func (s *site) addEntry(i int) error {
	relay, err := network.NewTCPRelay(strings.TrimPrefix(s.server.URL, "http://"))
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	var addresses [4]string
	for k := range addresses {
		if addresses[k], err = freeAddress(); err != nil {
			return err
		}
	}
	p := &process{
		name: fmt.Sprintf("entry-%d", i), callers: addresses[0], health: addresses[1], toStore: relay,
		settings: filepath.Join(s.options.Directory, fmt.Sprintf("entry-%d.json", i)),
	}
	data, err := json.MarshalIndent(map[string]any{
		"name": p.name, "failureDomain": zone(i), "callers": p.callers, "health": p.health,
		"metrics": addresses[2], "peers": addresses[3], "store": relay.Address(), "memoryMB": 256,
		"bounds": map[string]any{
			"revokeWithin": revokeWithin.String(), "grace": grace.String(), "retryRatio": 0.8, "retrySlack": 150,
			"retryWindow": "10s",
		},
	}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	s.entries = append(s.entries, p)
	if err := s.startProcess(p); err != nil {
		return err
	}
	s.ends.Go(func() { s.keepRunning(p) })
	return nil
}

func (s *site) startProcess(p *process) error {
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(s.options.GatewayPath, "--settings", p.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "gateway")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.wanted, p.paused = command, false, false
	return nil
}

// restartAfter is the pause before a process that ended is started again.
const restartAfter = 200 * time.Millisecond

func (s *site) keepRunning(p *process) {
	for {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		err := command.Wait()
		p.mu.Lock()
		wanted := p.wanted
		p.mu.Unlock()
		if err != nil && !wanted {
			s.mu.Lock()
			s.unclean = append(s.unclean, fmt.Sprintf("%s ended by itself (%v): %s", p.name, err, p.lastLine()))
			s.mu.Unlock()
		}
		select {
		case <-s.ending:
			return
		case <-time.After(restartAfter):
		}
		if s.startProcess(p) != nil {
			return
		}
	}
}

func (p *process) logPath() string { return strings.TrimSuffix(p.settings, ".json") + ".log" }

// lastLine returns the last line of the process's log.
func (p *process) lastLine() string {
	data, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process that runs now, by its id.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.wanted = true
	}
	// The process may have ended meanwhile.
	_ = p.command.Process.Signal(sig)
}

func (s *site) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range s.entries {
		for !p.ready() {
			if time.Now().After(deadline) {
				s.stop()
				return errors.Errorf("%s is not ready", p.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.health + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) stop() {
	select {
	case <-s.ending:
		return
	default:
		close(s.ending)
	}
	for _, p := range s.entries {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	s.ends.Wait()
	for _, p := range s.entries {
		p.toStore.Close()
	}
	for _, p := range s.places {
		p.current.Crash()
		p.relay.Close()
	}
	s.server.CloseClientConnections()
}
