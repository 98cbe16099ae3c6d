// Package application is a small stand-in for an application service: bookings
// and deposits that count how often each key was run, with switches that bring
// about the failures such services have.
package application

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
)

// KeyHeader names the call that is counted.
const KeyHeader = "Idempotency-Key"

// ExecutionLog counts executions per key. The replicas of a service share one, as they
// would share a database.
type ExecutionLog struct {
	mu     sync.Mutex
	counts map[string]int
	runs   []Execution
}

// Execution is one execution of a key.
type Execution struct {
	Key string
	At  time.Time
}

// NewExecutionLog returns an empty ledger.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{counts: map[string]int{}} }

// Add counts one execution of a key and returns how many there were.
func (l *ExecutionLog) Add(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
	l.runs = append(l.runs, Execution{Key: key, At: time.Now()})
	return l.counts[key]
}

// Count returns the executions of a key.
func (l *ExecutionLog) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[key]
}

// AllExecutions returns every execution in order.
func (l *ExecutionLog) AllExecutions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.runs...)
}

// Executions returns the executions of all keys.
func (l *ExecutionLog) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]int, len(l.counts))
	for key, count := range l.counts {
		all[key] = count
	}
	return all
}

// Faults is the state of the switches that do not end the service.
type Faults struct {
	// Pause keeps requests waiting before they take effect.
	Pause bool `json:"pause"`
	// Slow is added to the time that each request takes.
	Slow time.Duration `json:"slow"`
	// DropEveryNthResponse breaks the connection after the effect of this share of requests:
	// every LoseReply-th one; zero means none.
	DropEveryNthResponse int `json:"loseReply"`
}

// Server is one replica on a TCP port.
type Server struct {
	name     string
	ledger   *ExecutionLog
	work     time.Duration
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	fault   Faults
	dead    bool
	running int
	served  int
	changed chan struct{}
}

// Serve starts a replica at an IP address and TCP port. Each request takes work.
func Serve(name string, ledger *ExecutionLog, work time.Duration, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{name: name, ledger: ledger, work: work, listener: listener, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL of the replica.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Kill ends the replica at once.
func (s *Server) Kill() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults sets the switches.
func (s *Server) SetFaults(fault Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.ledger.Executions()) })
	mux.HandleFunc("POST /standin/fault", s.serveFault)
	mux.HandleFunc("GET /status/{name}", s.status)
	mux.HandleFunc("/", s.run)
	return mux
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Faults
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(fault)
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if !s.awaitRunning(r.Context()) {
		return
	}
	s.mu.Lock()
	load := outside.ApplicationLoad{Running: s.running}
	s.mu.Unlock()
	reply(w, load)
}

// status is an idempotent call: it changes nothing.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.begin(); !ok {
		return
	}
	defer s.end()
	reply(w, Status{Name: r.PathValue("name"), Replica: s.name})
}

// Status answers an idempotent call.
type Status struct {
	Name    string `json:"name"`
	Replica string `json:"replica"`
}

// Receipt answers a call that was run. Number tells executions apart.
type Receipt struct {
	Key     string `json:"key"`
	Number  int    `json:"number"`
	Replica string `json:"replica"`
	Bytes   int    `json:"bytes"`
}

// run carries out any other call and counts it.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	lose, ok := s.begin()
	if !ok {
		return
	}
	defer s.end()
	key := r.Header.Get(KeyHeader)
	number := s.ledger.Add(key)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Receipt{Key: key, Number: number, Replica: s.name, Bytes: len(body)})
}

// begin waits out the time of the work. A caller that leaves changes nothing: the
// work takes effect all the same, unless the replica is killed first.
func (s *Server) begin() (lose, ok bool) {
	s.mu.Lock()
	s.running++
	s.served++
	lose = s.fault.DropEveryNthResponse > 0 && s.served%s.fault.DropEveryNthResponse == 0
	wait := s.work + s.fault.Slow
	s.mu.Unlock()
	time.Sleep(wait)
	if !s.awaitRunning(context.Background()) {
		s.end()
		return lose, false
	}
	return lose, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// awaitRunning returns false when ctx ended or the replica was killed.
func (s *Server) awaitRunning(ctx context.Context) bool {
	for {
		s.mu.Lock()
		paused, dead, changed := s.fault.Pause, s.dead, s.changed
		s.mu.Unlock()
		if dead {
			return false
		}
		if !paused {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// String names the replica.
func (s *Server) String() string { return fmt.Sprintf("application %s at %s", s.name, s.URL()) }
