// Package replica is a small stand-in for the targets of the users' platform: model
// engines that respond with numbered events, and application replicas. It logs
// executions, and has switches for the faults that such targets have.
package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// Incarnation identifies the incarnation, in Unix milliseconds.
	Incarnation int64
}

// Faults selects the faults of a target.
type Faults struct {
	// Silent accepts requests and never responds; running responses stop.
	Silent bool
	// RejectRequests refuses all requests as not executed.
	RejectRequests bool
	// DropResponses executes calls and breaks the connection without a response.
	DropResponses bool
	// RespondWithError responds to calls with a failure of the target itself, an internal
	// server error.
	RespondWithError bool
	// OmitSignature leaves out the signature. WrongAttemptID makes responses carry the
	// attempt ID of another request.
	OmitSignature  bool
	WrongAttemptID bool
	// TrailingBytes sends bytes after a complete response.
	TrailingBytes bool
	// TruncateStreamAfter breaks a stream after this many events, in the middle of the
	// next; zero means never.
	TruncateStreamAfter int
	// DropFirstRequests breaks the connections of this many requests before they are
	// handled.
	DropFirstRequests int
	// DisableKVCopies sends no KV copies to other targets; RejectKVCopies accepts none
	// from them.
	DisableKVCopies bool
	RejectKVCopies  bool
	// SetContentEncoding declares a content encoding of the body.
	SetContentEncoding bool
}

// ExecutionLog records the executions on all targets of a test. It is safe for concurrent
// use.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
	arrivals   map[string]int
}

// Execution is one request that a target began to execute.
type Execution struct {
	Request           string
	Target            string
	Path              string
	Body              string
	Workspace         string
	APIKey            string
	DeadlineRemaining string
	// Priority is the priority that the system gave the request, or "".
	Priority string
	// Position is the ID of the last event that the caller had received.
	Position int
	// FromKVCopy is set when the execution resumed from a KV copy.
	FromKVCopy bool
	At         time.Time
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{arrivals: map[string]int{}} }

// Executions returns the executions of a request, oldest first. For "" it returns those of
// all requests.
func (l *ExecutionLog) Executions(request string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var executions []Execution
	for _, execution := range l.executions {
		if request == "" || execution.Request == request {
			executions = append(executions, execution)
		}
	}
	return executions
}

// Arrivals returns how often a request arrived at a target, executed or not.
func (l *ExecutionLog) Arrivals(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[request]
}

func (l *ExecutionLog) addArrival(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[request]++
}

func (l *ExecutionLog) addExecution(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
}

// kvCopies tracks the KV copies that targets sent each other. A copy's key in held is the
// address of the target that holds it, a space, and the handle of the copy.
type kvCopies struct {
	mu   sync.Mutex
	held map[string]bool
	// rejecting holds the addresses of the targets that accept no copies.
	rejecting map[string]bool
}

// setRejecting sets whether a target accepts no copies.
func (c *kvCopies) setRejecting(holder string, reject bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejecting[holder] = reject
}

// rejects reports whether a target accepts no copies.
func (c *kvCopies) rejects(holder string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejecting[holder]
}

// Fleet is the state that the targets of a test share.
type Fleet struct {
	ExecutionLog *ExecutionLog
	kvCopies     kvCopies
}

// NewFleet returns a fleet without targets.
func NewFleet() *Fleet {
	return &Fleet{ExecutionLog: NewExecutionLog(), kvCopies: kvCopies{held: map[string]bool{}, rejecting: map[string]bool{}}}
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
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
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

// RegistrationValue returns the value that the target writes to the store.
func (r *Replica) RegistrationValue(state string) []byte {
	value, err := json.Marshal(map[string]any{
		"Service": r.config.Service, "Address": r.config.AdvertisedAddress, "Zone": r.config.FailureDomain,
		"Slots": r.config.Slots, "State": state, "WarmupLeftMs": 0, "Sequence": 1, "born": r.config.Incarnation,
	})
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

func (r *Replica) serveReport(w http.ResponseWriter, req *http.Request) {
	if r.currentFaults().Silent {
		r.hang(req.Context())
	}
	if !r.config.Engine {
		return
	}
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Running": running, "KvTotal": 88000, "born": r.config.Incarnation})
}

// serveCachedPrompts lists the prompt parts that the engine has cached.
func (r *Replica) serveCachedPrompts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": r.config.Incarnation, "Next": 1, "held": r.cachedPrompts})
}

// cachePrompt adds the parts of a prompt to the cached ones.
func (r *Replica) cachePrompt(parts string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		id, count, _ := strings.Cut(part, ":")
		if tokens, err := strconv.Atoi(count); err == nil {
			r.cachedPrompts = append(r.cachedPrompts, [4]any{"", id, tokens, "m"})
		}
	}
}

// HealthPath is the path at which targets report their ID.
const HealthPath = "/healthz"

func (r *Replica) serveHealth(w http.ResponseWriter, req *http.Request) {
	if r.currentFaults().Silent {
		r.hang(req.Context())
	}
	w.Header().Set("Instance-Id", r.config.ID)
}

// hang holds a request until its caller disconnects or the target crashes, then aborts
// it.
func (r *Replica) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.stopped.Done():
	}
	panic(http.ErrAbortHandler)
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	faults := r.currentFaults()
	id := req.Header.Get("Attempt-Id")
	r.fleet.ExecutionLog.addArrival(id)
	if faults.DropFirstRequests > 0 && int(r.dropFirstCount.Add(1)) <= faults.DropFirstRequests {
		panic(http.ErrAbortHandler)
	}
	expectedID := req.Header.Get("Expected-Instance")
	switch {
	case faults.Silent:
		r.hang(req.Context())
	case expectedID != "" && expectedID != r.config.ID:
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Instance-Id", r.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.RejectRequests || !r.takeKVCopy(req):
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.beginRequest(req, id)
	defer r.endRequest(req)
	r.setHeaders(w, id, faults)
	if r.config.Engine {
		r.stream(w, req, id)
		return
	}
	r.serveCall(w, req, id, faults)
}

// takeKVCopy removes the KV copy from which a request asks to resume and reports whether
// it existed; true for a request that names none.
func (r *Replica) takeKVCopy(req *http.Request) bool {
	handle := req.Header.Get("Kv-From")
	if handle == "" {
		return true
	}
	c := &r.fleet.kvCopies
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[r.config.AdvertisedAddress+" "+handle]
	delete(c.held, r.config.AdvertisedAddress+" "+handle)
	return held
}

func (r *Replica) beginRequest(req *http.Request, id string) {
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	body := make([]byte, 1<<16)
	n := 0
	for n < len(body) {
		m, err := req.Body.Read(body[n:])
		n += m
		if err != nil {
			break
		}
	}
	r.cachePrompt(req.Header.Get("Prompt-Prefix"))
	position, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.fleet.ExecutionLog.addExecution(Execution{
		Request: id, Target: r.config.ID, Path: req.RequestURI, Body: string(body[:n]),
		Workspace: req.Header.Get("Tenant"), APIKey: req.Header.Get("Key"), DeadlineRemaining: req.Header.Get("Deadline-Remaining"), Priority: req.Header.Get("Request-Priority"),
		Position: position, FromKVCopy: req.Header.Get("Kv-From") != "", At: time.Now(),
	})
}

func (r *Replica) endRequest(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if req.Context().Err() != nil && r.stopped.Err() == nil {
		r.abandoned++
	}
}

func (r *Replica) setHeaders(w http.ResponseWriter, id string, faults Faults) {
	header := w.Header()
	header.Set("Attempt-Id", id)
	if faults.WrongAttemptID {
		header.Set("Attempt-Id", "another-request")
	}
	if !faults.OmitSignature {
		header.Set("Response-Signature", Signature(id))
	}
	if faults.SetContentEncoding {
		header.Set("Content-Encoding", "gzip")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.config.Slots))
}

// wait waits, and aborts the response if the target crashes or the caller disconnects.
func (r *Replica) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.stopped.Done():
		panic(http.ErrAbortHandler)
	}
}

func (r *Replica) serveCall(w http.ResponseWriter, req *http.Request, id string, faults Faults) {
	r.wait(req.Context(), r.config.CallTime)
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.RespondWithError {
		status = http.StatusInternalServerError
	}
	body := "answer to " + id
	if faults.TrailingBytes {
		r.writeTrailingBytes(w, status, body)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// writeTrailingBytes writes a complete response followed by the bytes of another one.
func (r *Replica) writeTrailingBytes(w http.ResponseWriter, status int, body string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var headers strings.Builder
	_ = w.Header().Write(&headers)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d OK\r\n%sContent-Length: %d\r\n\r\n%s", status, headers.String(), len(body), body)
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nAttempt-Id: stray\r\nContent-Length: 5\r\n\r\nstray")
	_ = buffer.Flush()
	r.wait(context.Background(), 50*time.Millisecond)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, id string) {
	position, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if req.Header.Get("Kv-From") == "" {
		r.wait(req.Context(), r.config.PrefillTime)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for eventID := position + 1; eventID <= r.config.EventCount; eventID++ {
		r.recordKVCopy(req.Header.Get("Kv-Backup"), id)
		faults := r.currentFaults()
		if faults.Silent {
			r.hang(req.Context())
		}
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", eventID, EventData(id, eventID))
		if faults.TruncateStreamAfter > 0 && eventID > faults.TruncateStreamAfter {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(text))
		_ = controller.Flush()
		r.wait(req.Context(), r.config.EventInterval)
	}
}

// recordKVCopy records that the target at an address holds a KV copy of the request, if
// both targets allow it.
func (r *Replica) recordKVCopy(address, id string) {
	if address == "" || r.currentFaults().DisableKVCopies || r.fleet.kvCopies.rejects(address) {
		return
	}
	r.fleet.kvCopies.add(address, address+"/"+id)
}

// add records a copy under the handle by which a request resumes from it.
func (c *kvCopies) add(holder, handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[holder+" "+handle] = true
}

// serveKVCopy copies the KV memory of a request to another target.
func (r *Replica) serveKVCopy(w http.ResponseWriter, req *http.Request) {
	var body struct{ Id, Target string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || r.currentFaults().DisableKVCopies {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.fleet.kvCopies.rejects(body.Target) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := "h-" + body.Id
	r.fleet.kvCopies.add(body.Target, r.config.AdvertisedAddress+"/"+handle)
	_ = json.NewEncoder(w).Encode(map[string]any{"Handle": handle, "CreateRevision": 1})
}
