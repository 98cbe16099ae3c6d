// Package replica is a small stand-in for the targets of the users' platform: model
// engines that respond with numbered events, and application replicas. It logs
// executions, and has switches for the faults that such targets have.
package replica

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Config describes one incarnation of a target.
type Config struct {
	ID            string
	Service       string
	FailureDomain string
	// Address is the IP address and port, or an IP address and ":0".
	Address string
	// AdvertisedAddress is the address at which callers reach the target, if that is not
	// Address.
	AdvertisedAddress string
	// An Engine target responds with EventCount events: the first after PrefillTime, each
	// further one EventInterval later. Other targets respond after CallTime.
	Engine        bool
	EventCount    int
	PrefillTime   time.Duration
	EventInterval time.Duration
	CallTime      time.Duration
	Slots         int
	// Version is the version that the target runs, or "" for a target that states none.
	Version string
	// Incarnation identifies the incarnation, in Unix milliseconds.
	Incarnation int64
}

// Fleet is the state that the targets of a test share.
type Fleet struct {
	ExecutionLog *ExecutionLog
	kvCopies     kvCopies
	versions     versionState
}

// NewFleet returns a fleet without targets.
func NewFleet() *Fleet {
	return &Fleet{
		ExecutionLog: NewExecutionLog(), kvCopies: kvCopies{held: map[string]bool{}, rejecting: map[string]bool{}},
		versions: versionState{faults: map[string]VersionFaults{}, setAt: map[string]time.Time{}},
	}
}

// Replica is one incarnation of a target.
type Replica struct {
	config Config
	fleet  *Fleet
	server *http.Server
	// stopped is cancelled when the target crashes.
	stopped context.Context
	stop    context.CancelFunc

	// connections counts the connections that were opened.
	connections atomic.Int64
	// registrations counts the registrations that were made up.
	registrations atomic.Int64

	mu     sync.Mutex
	faults Faults
	// dropFirstCount counts the requests that arrived while DropFirstRequests was set.
	dropFirstCount atomic.Int64
	running        int
	// cachedPrompts lists the prompt parts that were prefilled, with their numbers of
	// tokens, in the form that serveCachedPrompts sends.
	cachedPrompts [][4]any
	// abandoned counts requests whose caller disconnected while they were running.
	abandoned int
}

// Start starts a target.
func (f *Fleet) Start(config Config) (*Replica, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	config.Address = listener.Addr().String()
	if config.AdvertisedAddress == "" {
		config.AdvertisedAddress = config.Address
	}
	r := &Replica{config: config, fleet: f}
	r.stopped, r.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", r.serveReport)
	mux.HandleFunc("GET /v1/kv-list", r.serveCachedPrompts)
	mux.HandleFunc("GET "+HealthPath, r.serveHealth)
	mux.HandleFunc("POST /v1/kv-move", r.serveKVCopy)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: r.handler(mux), ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			r.connections.Add(1)
		}
	}}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// Config returns the configuration, with the address at which the target listens.
func (r *Replica) Config() Config { return r.config }

// SetFaults replaces the faults.
func (r *Replica) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.fleet.kvCopies.setRejecting(r.config.AdvertisedAddress, faults.RejectKVCopies)
}

// ConnectionCount returns how many connections were opened.
func (r *Replica) ConnectionCount() int { return int(r.connections.Load()) }

// RunningRequests returns how many requests are running.
func (r *Replica) RunningRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// AbandonedRequests returns how many requests were running when their caller
// disconnected.
func (r *Replica) AbandonedRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.abandoned
}

// Crash stops the target and closes its connections.
func (r *Replica) Crash() {
	r.stop()
	_ = r.server.Close()
}

// Stopped is closed when the target has crashed.
func (r *Replica) Stopped() <-chan struct{} { return r.stopped.Done() }

// RegistrationValue returns the value that the target writes to the store.
func (r *Replica) RegistrationValue(state string) []byte {
	return r.NumberedRegistration(state, r.registrations.Add(1))
}

// NumberedRegistration returns the registration of the replica with a sequence number.
func (r *Replica) NumberedRegistration(state string, sequence int64) []byte {
	fields := map[string]any{
		"Service": r.config.Service, "Address": r.config.AdvertisedAddress, "Zone": r.config.FailureDomain,
		"Slots": r.config.Slots, "State": state, "WarmupLeftMs": 0, "Sequence": sequence, "born": r.config.Incarnation,
	}
	if r.config.Version != "" {
		fields["Version"] = r.config.Version
	}
	value, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return value
}

// EventData returns the data of one event of the response to a request.
func EventData(request string, id int) string {
	return strconv.FormatUint(xxhash.Sum64String(request+"/"+strconv.Itoa(id)), 16)
}

// Signature returns the signature of a response to a request.
func Signature(request string) string { return "s-" + request }

func (r *Replica) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}
