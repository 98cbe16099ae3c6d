// Package application is a small stand-in for an application service. It executes calls,
// such as bookings and deposits, counts the executions of each key, and has switches for
// the faults of such services.
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

// KeyHeader is the header with the key by which executions are counted.
const KeyHeader = "Idempotency-Key"

// ExecutionLog counts executions per key. The replicas of a service share one, as they
// would share a database.
type ExecutionLog struct {
	mu         sync.Mutex
	counts     map[string]int
	executions []Execution
}

// Execution is one execution of a key.
type Execution struct {
	Key string
	At  time.Time
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{counts: map[string]int{}} }

// Add records one execution of a key and returns their number so far.
func (l *ExecutionLog) Add(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
	l.executions = append(l.executions, Execution{Key: key, At: time.Now()})
	return l.counts[key]
}

// Count returns the number of executions of a key.
func (l *ExecutionLog) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[key]
}

// Executions returns every execution, oldest first.
func (l *ExecutionLog) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Counts returns the number of executions of each key.
func (l *ExecutionLog) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]int, len(l.counts))
	for key, count := range l.counts {
		all[key] = count
	}
	return all
}

// Faults is the state of the fault switches; Server.Kill ends the replica.
type Faults struct {
	// Pause holds requests before they take effect.
	Pause bool `json:"pause"`
	// Slow is added to the time that each request takes.
	Slow time.Duration `json:"slow"`
	// DropEveryNthResponse breaks the connection of every nth request after the request
	// has taken effect; zero means none.
	DropEveryNthResponse int `json:"loseReply"`
}

// Server serves one replica over HTTP on a TCP port.
type Server struct {
	name         string
	executionLog *ExecutionLog
	callTime     time.Duration
	listener     net.Listener
	server       *http.Server

	mu           sync.Mutex
	faults       Faults
	killed       bool
	running      int
	started      int
	stateChanged chan struct{}
}

// Serve starts a replica that listens at address, an IP address and TCP port. Each call
// takes callTime.
func Serve(name string, executionLog *ExecutionLog, callTime time.Duration, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{name: name, executionLog: executionLog, callTime: callTime, listener: listener, stateChanged: make(chan struct{})}
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
	if s.killed {
		return
	}
	s.killed = true
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// SetFaults replaces the state of the switches.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.executionLog.Counts()) })
	mux.HandleFunc("POST /standin/fault", s.serveFaults)
	mux.HandleFunc("GET /status/{name}", s.serveStatus)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !s.waitWhilePaused(r.Context()) {
		return
	}
	s.mu.Lock()
	load := outside.ApplicationLoad{Running: s.running}
	s.mu.Unlock()
	writeJSON(w, load)
}

// serveStatus serves an idempotent call: it changes nothing and is not counted.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.beginCall(); !ok {
		return
	}
	defer s.endCall()
	writeJSON(w, Status{Name: r.PathValue("name"), Replica: s.name})
}

// Status is the response to an idempotent call.
type Status struct {
	Name    string `json:"name"`
	Replica string `json:"replica"`
}

// Receipt is the response to a counted call. Number counts the executions of the key,
// this one included, so that receipts of repeated executions differ.
type Receipt struct {
	Key     string `json:"key"`
	Number  int    `json:"number"`
	Replica string `json:"replica"`
	Bytes   int    `json:"bytes"`
}

// serveCall executes and counts any other call.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	dropResponse, ok := s.beginCall()
	if !ok {
		return
	}
	defer s.endCall()
	key := r.Header.Get(KeyHeader)
	number := s.executionLog.Add(key)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Receipt{Key: key, Number: number, Replica: s.name, Bytes: len(body)})
}

// beginCall waits for the duration of a call. The call takes effect even if its caller
// disconnects, unless the replica is killed first.
func (s *Server) beginCall() (dropResponse, ok bool) {
	s.mu.Lock()
	s.running++
	s.started++
	dropResponse = s.faults.DropEveryNthResponse > 0 && s.started%s.faults.DropEveryNthResponse == 0
	duration := s.callTime + s.faults.Slow
	s.mu.Unlock()
	time.Sleep(duration)
	if !s.waitWhilePaused(context.Background()) {
		s.endCall()
		return dropResponse, false
	}
	return dropResponse, true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// waitWhilePaused blocks while the replica is paused. It returns false if ctx has ended or
// the replica was killed.
func (s *Server) waitWhilePaused(ctx context.Context) bool {
	for {
		s.mu.Lock()
		paused, killed, changed := s.faults.Pause, s.killed, s.stateChanged
		s.mu.Unlock()
		if killed {
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

// String returns the name and URL of the replica.
func (s *Server) String() string { return fmt.Sprintf("application %s at %s", s.name, s.URL()) }
