//go:build review

package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	healthPath = "/healthz"
	// copyTTL is HandleS: how long a copy of a run's memory is kept after the run broke off.
	copyTTL = 4 * time.Second
	// readTokensPerMs is how many prompt tokens an engine reads in a millisecond.
	readTokensPerMs = 8
)

// replicaConfig describes a replica. Engines answer with a stream of Token-Counts / stride events.
type replicaConfig struct {
	ID, Service, Zone, Address string
	Slots                      int
	Born                       int64
	Engine                     bool
	// Interval is the time between events, or between the two halves of a call's body.
	Interval time.Duration
	// Unframed answers have no length and end with their channel.
	Unframed bool
	// HeadFirst engines send the head of a stream before they read the prompt.
	HeadFirst bool
}

// run is one run of a request, or the copy of its memory.
type run struct {
	attempt, prompt string
	// holder is the replica that gets the copy, from Kv-Backup.
	holder  string
	events  int
	expires time.Time
	// handles maps the replicas to which the run was copied by kv-move to the handles.
	handles map[string]string
}

// fleet is what the replicas of one process share: the copies of runs that they hold for each
// other, by the address of the holder and the name under which a request goes on from them.
type fleet struct {
	mu      sync.Mutex
	copies  map[string]*run
	handles int
	record  func(format string, values ...any)
	// onMove, if set, may answer a kv-move itself.
	onMove   func(r *replica, w http.ResponseWriter, status int, answer []byte) bool
	runs     []servedRun
	replicas []*replica
}

// servedRun is a run as the replica saw it. memoryOf is the attempt from whose memory it went on.
type servedRun struct {
	attempt, replica, target, memoryOf string
	position                           int
}

type replica struct {
	replicaConfig
	fleet  *fleet
	server *http.Server
	active map[string]*run
	// begun counts the requests that began to run.
	begun int
	// breakOff, if set, ends the stream of an attempt after an event by closing its channel.
	breakOff func(attempt string, sent int) bool
}

func newFleet(record func(string, ...any)) *fleet {
	return &fleet{copies: map[string]*run{}, record: record}
}

func (f *fleet) start(config replicaConfig) *replica {
	listener, err := net.Listen("tcp", config.Address)
	must(err)
	config.Address = listener.Addr().String()
	if config.Born == 0 {
		config.Born = time.Now().UnixMilli()
	}
	r := &replica{replicaConfig: config, fleet: f, active: map[string]*run{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", r.report)
	mux.HandleFunc("GET "+healthPath, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.ID) })
	mux.HandleFunc("POST /v1/kv-move", r.move)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", func(http.ResponseWriter, *http.Request) {})
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Attempt-Id") == "" {
			mux.ServeHTTP(w, request)
			return
		}
		r.serve(w, request)
	})}
	go func() { _ = r.server.Serve(listener) }()
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	return r
}

// crash ends the replica and resets its channels.
func (r *replica) crash() { _ = r.server.Close() }

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	if !r.Engine {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.fleet.mu.Lock()
	running := len(r.active)
	r.fleet.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "unified", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Busy": false,
		"Sequence": 0, "Waiting": 0, "Running": running, "KvUsed": 0, "KvTotal": 88000, "Handles": 0, "born": r.Born,
	})
}

// eventData returns what the engine generates for an event from the memory of a prompt.
func eventData(prompt string, id int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt+"/"+strconv.Itoa(id)), 16)
}

func (r *replica) reject(w http.ResponseWriter, request *http.Request, status int, reason string) {
	r.fleet.record("replica %s: attempt %s rejected: %d, %s", r.ID, request.Header.Get("Attempt-Id"), status, reason)
	w.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", r.ID)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Attempt-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != r.ID {
		r.reject(w, request, http.StatusMisdirectedRequest, "another replica is expected")
		return
	}
	position, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	current := &run{
		attempt: attempt, prompt: string(body), events: position, holder: request.Header.Get("Kv-Backup"), handles: map[string]string{},
	}
	served := servedRun{attempt: attempt, replica: r.ID, target: request.RequestURI, position: position}
	from := request.Header.Get("Kv-From")
	if from != "" {
		kept := r.fleet.take(r.Address, from)
		if kept == nil {
			r.reject(w, request, http.StatusServiceUnavailable, "no copy "+from)
			return
		}
		current.prompt, served.memoryOf = kept.prompt, kept.attempt
	}
	r.fleet.mu.Lock()
	r.fleet.runs = append(r.fleet.runs, served)
	r.active[attempt] = current
	r.begun++
	r.fleet.mu.Unlock()
	defer func() {
		r.fleet.mu.Lock()
		if r.active[attempt] == current {
			delete(r.active, attempt)
		}
		r.fleet.mu.Unlock()
	}()
	r.fleet.record("replica %s: runs attempt %s: %s %s, Last-Event-Id %d, Kv-From %q (memory of %q), Kv-Backup %q", r.ID, attempt, request.Method,
		request.RequestURI, position, from, served.memoryOf, request.Header.Get("Kv-Backup"))
	header := w.Header()
	header.Set("Attempt-Id", attempt)
	header.Set("Response-Signature", "3e1b."+attempt)
	header.Set("Instance-Id", r.ID)
	if !r.Engine {
		r.call(w, request, attempt)
		return
	}
	header.Set("Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	r.stream(w, request, current, from == "")
}

// output is where a replica writes its answer: framed by the server, or to the bare channel.
func (r *replica) output(w http.ResponseWriter, request *http.Request) (write func(string) error, ctx context.Context, end func()) {
	if !r.Unframed {
		controller := http.NewResponseController(w)
		return func(text string) error {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
			return controller.Flush()
		}, request.Context(), func() {}
	}
	var head strings.Builder
	_ = w.Header().Write(&head)
	conn, _, err := http.NewResponseController(w).Hijack()
	must(err)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		_, _ = bufio.NewReader(conn).ReadByte()
		leave()
	}()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"Connection: close\r\n\r\n")
	return func(text string) error {
		_, err := io.WriteString(conn, text)
		return err
	}, ctx, func() { _ = conn.Close() }
}

const callBody = "booked: one load of clay for the pond above the chapel, crew of three, on the morning of the ninth"

func (r *replica) call(w http.ResponseWriter, request *http.Request, attempt string) {
	write, ctx, end := r.output(w, request)
	defer end()
	body := attempt + " " + callBody
	half := len(body) / 2
	if write(body[:half]) != nil || !sleep(ctx, r.Interval) {
		return
	}
	_ = write(body[half:])
	r.fleet.record("replica %s: attempt %s answered whole", r.ID, attempt)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// promptTime returns how long the engine reads the prompt, and eventCount how many events follow.
func promptTime(request *http.Request) time.Duration {
	prompt, _, _ := strings.Cut(request.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return time.Duration(tokens/readTokensPerMs) * time.Millisecond
}

func eventCount(request *http.Request) int {
	_, output, _ := strings.Cut(request.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(output)
	return tokens / 5
}

func (r *replica) stream(w http.ResponseWriter, request *http.Request, current *run, reads bool) {
	if r.HeadFirst {
		_ = http.NewResponseController(w).Flush()
	}
	if reads && !sleep(request.Context(), promptTime(request)) {
		return
	}
	write, ctx, end := r.output(w, request)
	defer end()
	holder, count := current.holder, eventCount(request)
	for current.events < count {
		next := current.events + 1
		if write(fmt.Sprintf("id: %d\ndata: %s\n\n", next, eventData(current.prompt, next))) != nil {
			r.fleet.record("replica %s: attempt %s lost its channel after event %d", r.ID, current.attempt, current.events)
			return
		}
		r.fleet.mu.Lock()
		current.events = next
		r.fleet.mu.Unlock()
		if holder != "" {
			r.fleet.keep(holder, holder+"/"+current.attempt, current)
		}
		if r.breakOff != nil && r.breakOff(current.attempt, next) {
			r.fleet.record("replica %s: breaks off attempt %s after event %d", r.ID, current.attempt, next)
			panic(http.ErrAbortHandler)
		}
		if !sleep(ctx, r.Interval) {
			r.fleet.record("replica %s: channel of attempt %s closed after event %d", r.ID, current.attempt, next)
			return
		}
	}
	if holder != "" {
		r.fleet.drop(holder, holder+"/"+current.attempt)
	}
	r.fleet.record("replica %s: attempt %s ends after event %d", r.ID, current.attempt, count)
}

// keep stores the copy of a run's memory at a holder.
func (f *fleet) keep(holder, name string, current *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := *current
	kept.expires = time.Now().Add(copyTTL)
	f.copies[holder+" "+name] = &kept
}

func (f *fleet) drop(holder, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.copies, holder+" "+name)
}

// take removes a copy, which can be used once.
func (f *fleet) take(holder, name string) *run {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.copies[holder+" "+name]
	delete(f.copies, holder+" "+name)
	if kept == nil || time.Now().After(kept.expires) {
		return nil
	}
	return kept
}

// moveCall is the body of a kv-move.
type moveCall struct{ Id, Target string } //nolint:revive // the platform's spelling

// copyRun copies the memory of a run to another replica and returns the answer to the call.
func (r *replica) copyRun(body io.Reader) (call moveCall, status int, answer []byte) {
	if json.NewDecoder(body).Decode(&call) != nil {
		return call, http.StatusBadRequest, nil
	}
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	current := r.active[call.Id]
	if current == nil {
		return call, http.StatusNotFound, nil
	}
	handle := current.handles[call.Target]
	if handle == "" {
		f.handles++
		handle = "h" + strconv.Itoa(f.handles)
		current.handles[call.Target] = handle
	}
	kept := *current
	kept.expires = time.Now().Add(copyTTL)
	f.copies[call.Target+" "+r.Address+"/"+handle] = &kept
	f.record("replica %s: copies the memory of %s to %s: handle %s, %d events", r.ID, call.Id, call.Target, handle, kept.events)
	return call, http.StatusOK, fmt.Appendf(nil, "{\"Handle\":%q,\"CreateRevision\":%d}", handle, kept.events)
}

func (r *replica) move(w http.ResponseWriter, request *http.Request) {
	_, status, answer := r.copyRun(request.Body)
	if r.fleet.onMove != nil && r.fleet.onMove(r, w, status, answer) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// startReplicaProcess starts a replica as a process of its own.
func (d *deployment) startReplicaProcess(config replicaConfig) *process {
	data, err := json.Marshal(config)
	must(err)
	program, err := os.Executable()
	must(err)
	p := d.start(config.ID, program, "replica", string(data))
	for range 200 {
		conn, err := net.Dial("tcp", config.Address)
		if err == nil {
			_ = conn.Close()
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic(config.ID + " does not listen")
}

func runReplicaProcess(data string) int {
	var config replicaConfig
	if err := json.Unmarshal([]byte(data), &config); err != nil {
		return exitFailure
	}
	newFleet(func(format string, values ...any) { fmt.Printf(format+"\n", values...) }).start(config)
	select {}
}
