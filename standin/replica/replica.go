// Package replica is a small stand-in for the targets of the users' platform: model
// engines that answer in numbered events, and application replicas. It keeps a
// ledger of what ran, and has switches for the failures that such targets have.
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

// Config describes one life of a target.
type Config struct {
	ID            string
	Service       string
	FailureDomain string
	// Address is the IP address and port, or an IP address and ":0".
	Address string
	// AdvertisedAddress is the address that callers reach the target at, where that is not
	// its own.
	AdvertisedAddress string
	// Engine targets answer with Events events, the first after Prefill and each next
	// one Pause later; others answer after Work.
	Engine        bool
	EventCount    int
	PrefillTime   time.Duration
	EventInterval time.Duration
	CallTime      time.Duration
	Slots         int
	// Incarnation tells lives apart, in Unix milliseconds.
	Incarnation int64
}

// Faults are the failures that a target brings about.
type Faults struct {
	// Silent takes requests and never answers; running answers stop.
	Silent bool
	// RejectRequests refuses all requests as not run.
	RejectRequests bool
	// DropResponses runs calls and breaks the connection without an answer.
	DropResponses bool
	// RespondWithError answers calls with a failure of the target's own.
	RespondWithError bool
	// OmitSignature leaves out the signature, Crossed names another request.
	OmitSignature  bool
	WrongAttemptID bool
	// TrailingBytes sends bytes after a complete answer.
	TrailingBytes bool
	// TruncateStreamAfter breaks a stream in the middle of the event after so many; zero never.
	TruncateStreamAfter int
	// DropFirstRequests breaks the connections of so many requests before they are looked at.
	DropFirstRequests int
	// DisableKVCopies sends no copies of its runs to other targets, NoRoom takes none of theirs.
	DisableKVCopies bool
	RejectKVCopies  bool
	// SetContentEncoding says that the body is in a content encoding.
	SetContentEncoding bool
}

// ExecutionLog records what ran on all targets of a test. It is safe for concurrent use.
type ExecutionLog struct {
	mu      sync.Mutex
	runs    []Execution
	arrived map[string]int
}

// Execution is one request that a target began to work on.
type Execution struct {
	Request           string
	Target            string
	Path              string
	Body              string
	Workspace         string
	APIKey            string
	DeadlineRemaining string
	// Priority is the rank that the system gave the request, or "".
	Priority string
	// Position is the last event that the caller had.
	Position int
	// FromKVCopy says that the run went on from a copy of its memory.
	FromKVCopy bool
	At         time.Time
}

// NewExecutionLog returns an empty ledger.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{arrived: map[string]int{}} }

// Executions returns the runs of a request, oldest first; of all requests for "".
func (l *ExecutionLog) Executions(request string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Execution
	for _, run := range l.runs {
		if request == "" || run.Request == request {
			runs = append(runs, run)
		}
	}
	return runs
}

// Arrivals returns how often a request arrived at a target, run or not.
func (l *ExecutionLog) Arrivals(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrived[request]
}

func (l *ExecutionLog) arrive(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[request]++
}

func (l *ExecutionLog) add(run Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// copies holds the memory of runs that targets sent each other, by the address of
// the holder and the name of the copy.
type copies struct {
	mu   sync.Mutex
	held map[string]bool
	// full names the holders that have no room.
	full map[string]bool
}

// setFull notes whether a holder has no room.
func (c *copies) setFull(holder string, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full[holder] = full
}

// isFull says whether a holder has no room.
func (c *copies) isFull(holder string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.full[holder]
}

// Fleet is what the targets of a test share.
type Fleet struct {
	ExecutionLog *ExecutionLog
	copies       copies
}

// NewFleet returns a fleet without targets.
func NewFleet() *Fleet {
	return &Fleet{ExecutionLog: NewExecutionLog(), copies: copies{held: map[string]bool{}, full: map[string]bool{}}}
}

// Replica is one life of one target.
type Replica struct {
	config Config
	fleet  *Fleet
	server *http.Server
	// stopped is cancelled when the target dies.
	stopped context.Context
	stop    context.CancelFunc

	// connections counts those that were opened.
	connections atomic.Int64

	mu      sync.Mutex
	faults  Faults
	broken  atomic.Int64
	running int
	// prompts lists the parts of prompts that were read, with their tokens.
	prompts [][4]any
	// left counts requests whose caller closed the connection while they ran.
	left int
}

// Start starts a target.
func (f *Fleet) Start(config Config) (*Replica, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "replica")
	}
	config.Address = listener.Addr().String()
	if config.AdvertisedAddress == "" {
		config.AdvertisedAddress = config.Address
	}
	r := &Replica{config: config, fleet: f}
	r.stopped, r.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", r.serveReport)
	mux.HandleFunc("GET /v1/kv-list", r.serveHeld)
	mux.HandleFunc("GET "+HealthPath, r.serveHealth)
	mux.HandleFunc("POST /v1/kv-move", r.serveCopy)
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

// Config returns the description, with the address that the target listens at.
func (r *Replica) Config() Config { return r.config }

// SetFaults replaces the failures.
func (r *Replica) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.fleet.copies.setFull(r.config.AdvertisedAddress, faults.RejectKVCopies)
}

// ConnectionCount returns how many connections were opened.
func (r *Replica) ConnectionCount() int { return int(r.connections.Load()) }

// AbandonedRequests returns how many requests were running when their caller left.
func (r *Replica) AbandonedRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// Crash ends the target and breaks its connections.
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

// EventData returns the data of an event of a request's answer.
func EventData(request string, id int) string {
	return strconv.FormatUint(xxhash.Sum64String(request+"/"+strconv.Itoa(id)), 16)
}

// Signature returns the signature of an answer to a request.
func Signature(request string) string { return "s-" + request }

func (r *Replica) state() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Replica) serveReport(w http.ResponseWriter, q *http.Request) {
	if r.state().Silent {
		r.hang(q.Context())
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

// serveHeld lists the parts of prompts that the engine holds.
func (r *Replica) serveHeld(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": r.config.Incarnation, "Next": 1, "held": r.prompts})
}

// read notes the parts of a prompt.
func (r *Replica) read(parts string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		id, count, _ := strings.Cut(part, ":")
		if tokens, err := strconv.Atoi(count); err == nil {
			r.prompts = append(r.prompts, [4]any{"", id, tokens, "m"})
		}
	}
}

// HealthPath is where targets say who they are.
const HealthPath = "/healthz"

func (r *Replica) serveHealth(w http.ResponseWriter, q *http.Request) {
	if r.state().Silent {
		r.hang(q.Context())
	}
	w.Header().Set("Instance-Id", r.config.ID)
}

// hang holds a request until its caller leaves or the target dies.
func (r *Replica) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.stopped.Done():
	}
	panic(http.ErrAbortHandler)
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	faults := r.state()
	id := q.Header.Get("Attempt-Id")
	r.fleet.ExecutionLog.arrive(id)
	if faults.DropFirstRequests > 0 && int(r.broken.Add(1)) <= faults.DropFirstRequests {
		panic(http.ErrAbortHandler)
	}
	expects := q.Header.Get("Expected-Instance")
	switch {
	case faults.Silent:
		r.hang(q.Context())
	case expects != "" && expects != r.config.ID:
		w.Header().Set("Instance-Id", r.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.RejectRequests || !r.copyHeld(q):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.enter(q, id)
	defer r.leave(q)
	r.head(w, id, faults)
	if r.config.Engine {
		r.stream(w, q, id)
		return
	}
	r.answer(w, q, id, faults)
}

// copyHeld says whether the copy that a request is to go on from is there; it is
// used up.
func (r *Replica) copyHeld(q *http.Request) bool {
	from := q.Header.Get("Kv-From")
	if from == "" {
		return true
	}
	c := &r.fleet.copies
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[r.config.AdvertisedAddress+" "+from]
	delete(c.held, r.config.AdvertisedAddress+" "+from)
	return held
}

func (r *Replica) enter(q *http.Request, id string) {
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	body := make([]byte, 1<<16)
	n := 0
	for n < len(body) {
		m, err := q.Body.Read(body[n:])
		n += m
		if err != nil {
			break
		}
	}
	r.read(q.Header.Get("Prompt-Prefix"))
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.fleet.ExecutionLog.add(Execution{
		Request: id, Target: r.config.ID, Path: q.RequestURI, Body: string(body[:n]),
		Workspace: q.Header.Get("Tenant"), APIKey: q.Header.Get("Key"), DeadlineRemaining: q.Header.Get("Deadline-Remaining"), Priority: q.Header.Get("Request-Priority"),
		Position: from, FromKVCopy: q.Header.Get("Kv-From") != "", At: time.Now(),
	})
}

func (r *Replica) leave(q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if q.Context().Err() != nil && r.stopped.Err() == nil {
		r.left++
	}
}

func (r *Replica) head(w http.ResponseWriter, id string, faults Faults) {
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

// pass waits, and ends the answer when the target dies or its caller leaves.
func (r *Replica) pass(ctx context.Context, d time.Duration) {
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

func (r *Replica) answer(w http.ResponseWriter, q *http.Request, id string, faults Faults) {
	r.pass(q.Context(), r.config.CallTime)
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.RespondWithError {
		status = http.StatusInternalServerError
	}
	body := "answer to " + id
	if faults.TrailingBytes {
		r.extra(w, status, body)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// extra writes a complete answer and bytes of another one after it.
func (r *Replica) extra(w http.ResponseWriter, status int, body string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	_ = w.Header().Write(&head)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d OK\r\n%sContent-Length: %d\r\n\r\n%s", status, head.String(), len(body), body)
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nAttempt-Id: stray\r\nContent-Length: 5\r\n\r\nstray")
	_ = buffer.Flush()
	r.pass(context.Background(), 50*time.Millisecond)
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if q.Header.Get("Kv-From") == "" {
		r.pass(q.Context(), r.config.PrefillTime)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := from + 1; event <= r.config.EventCount; event++ {
		r.keepCopy(q.Header.Get("Kv-Backup"), id)
		faults := r.state()
		if faults.Silent {
			r.hang(q.Context())
		}
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, EventData(id, event))
		if faults.TruncateStreamAfter > 0 && event > faults.TruncateStreamAfter {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(text))
		_ = controller.Flush()
		r.pass(q.Context(), r.config.EventInterval)
	}
}

// keepCopy notes that the target at an address holds a copy of a run.
func (r *Replica) keepCopy(address, id string) {
	if address == "" || r.state().DisableKVCopies || r.fleet.copies.isFull(address) {
		return
	}
	r.fleet.copies.put(address, address+"/"+id)
}

// put notes a copy under the name by which it is gone on from.
func (c *copies) put(holder, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[holder+" "+name] = true
}

// serveCopy copies the memory of a run to another target.
func (r *Replica) serveCopy(w http.ResponseWriter, q *http.Request) {
	var ask struct{ Id, Target string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(q.Body).Decode(&ask); err != nil || r.state().DisableKVCopies {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.fleet.copies.isFull(ask.Target) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := "h-" + ask.Id
	r.fleet.copies.put(ask.Target, r.config.AdvertisedAddress+"/"+handle)
	_ = json.NewEncoder(w).Encode(map[string]any{"Handle": handle, "CreateRevision": 1})
}
