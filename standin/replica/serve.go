package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (r *Replica) serveReport(w http.ResponseWriter, req *http.Request) {
	if r.currentFaults().Silent {
		r.hang(req.Context())
	}
	r.wait(req.Context(), r.currentFaults().ReportDelay)
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
	if r.currentFaults().Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
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

// outputCheckInterval is how often a held response is tried again.
const outputCheckInterval = 10 * time.Millisecond

// awaitOutput waits while output is held.
func (r *Replica) awaitOutput(ctx context.Context) {
	for r.currentFaults().HoldOutput && ctx.Err() == nil {
		r.wait(ctx, outputCheckInterval)
	}
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	faults := r.currentFaults()
	id := req.Header.Get("Attempt-Id")
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
	case faults.Shedding:
		w.Header().Set("Attempt-Id", id)
		shed(w, faults)
		return
	case faults.RejectRequests || !r.takeKVCopy(req):
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.beginRequest(req, id)
	defer r.endRequest(req)
	r.awaitOutput(req.Context())
	r.setHeaders(w, id, faults)
	fault := r.drawVersionFault(req, id)
	if r.config.Engine {
		r.stream(w, req, id, fault)
		return
	}
	r.serveCall(w, req, id, faults, fault)
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
		Request: id, Target: r.config.ID, Version: r.config.Version, Path: req.RequestURI, Body: string(body[:n]),
		Workspace: req.Header.Get("Tenant"), APIKey: req.Header.Get("Key"), DeadlineRemaining: req.Header.Get("Deadline-Remaining"), Priority: req.Header.Get("Request-Priority"),
		Position: position, FromKVCopy: req.Header.Get("Kv-From") != "", KVCopyOf: copiedRequest(req.Header.Get("Kv-From")), At: time.Now(),
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
	if r.config.Version != "" {
		header.Set(versionHeader, r.config.Version)
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

func (r *Replica) serveCall(w http.ResponseWriter, req *http.Request, id string, faults Faults, fault versionFault) {
	r.wait(req.Context(), fault.slowed(r.config.CallTime))
	r.logVersionFault(fault, id)
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.RespondWithError || fault.fails {
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

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, id string, fault versionFault) {
	position, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if req.Header.Get("Kv-From") == "" {
		r.wait(req.Context(), fault.slowed(r.config.PrefillTime))
	}
	r.logVersionFault(fault, id)
	if fault.fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	r.crashOnPart(req, controller)
	for eventID := position + 1; eventID <= r.config.EventCount; eventID++ {
		r.recordKVCopy(req.Header.Get("Kv-Backup"), id)
		r.awaitOutput(req.Context())
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
		r.wait(req.Context(), fault.slowed(r.config.EventInterval))
	}
}
