package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// requestRecord is one request of a caller and its result.
type requestRecord struct {
	id, method, key string
	// generation names what the request is an attempt at, "" for calls.
	generation string
	// entry is the address of the entry that the request was sent to.
	entry  string
	sentAt time.Time
	// writtenAt is when the whole request had been written to a connection.
	writtenAt time.Time
	// respondedAt is when the head of the response arrived, headStatus is its status.
	respondedAt time.Time
	headStatus  int
	// crashing is set if the prompt has the part that crashes engines.
	crashing bool
	// status is the status of a complete response, or zero if there was none.
	status   int
	problem  string
	finished bool
	// finishedAt is when the caller had the response or gave up.
	finishedAt time.Time
	// abandoned is set if the caller disconnects before the response is complete.
	abandoned bool
	// connection is the kept connection that the request was sent on, if it had carried others.
	connection *keptConnection
}

// requestLog holds what callers sent and received.
type requestLog struct {
	mu      sync.Mutex
	records []*requestRecord
	// closings lists kept connections that an entry closed while they were idle.
	closings []*keptConnection
	// recoveredAt is when the recovery time after the last fault ended.
	recoveredAt time.Time
	// stoppedAt is when the callers were stopped.
	stoppedAt time.Time
}

func newRequestLog() *requestLog { return &requestLog{} }

func (l *requestLog) add(r *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *requestLog) finish(r *requestRecord, status int, problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.problem, r.finished = status, problem, true
	r.finishedAt = time.Now()
}

// addHead records the head of a response.
func (l *requestLog) addHead(r *requestRecord, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.respondedAt, r.headStatus = time.Now(), status
}

// markWritten records that the whole request has been written. The transport may say so after
// the response.
func (l *requestLog) markWritten(r *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.finished {
		r.writtenAt = time.Now()
	}
}

// markAbandoned records that the caller will disconnect early.
func (l *requestLog) markAbandoned(r *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.abandoned = true
}

func (l *requestLog) markRecovered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoveredAt = time.Now()
}

func (l *requestLog) markStopped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppedAt = time.Now()
}

func (l *requestLog) countByStatus() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, r := range l.records {
		name := strconv.Itoa(r.status)
		if r.status == 0 {
			name = "no answer"
		}
		counts[name]++
	}
	return counts
}

// minServedShare is the minimum share of requests that must succeed after all faults
// have been reverted and the recovery time has passed. Requests whose callers
// disconnect early are not counted.
const minServedShare = 0.95

// check returns the violations of the guarantees to callers.
func (l *requestLog) check(log *replica.ExecutionLog, revoked map[string]time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	executions := map[string][]replica.Execution{}
	for _, execution := range log.Executions("") {
		executions[execution.Request] = append(executions[execution.Request], execution)
	}
	var violations []string
	known := map[string]bool{}
	total, served, failed := 0, 0, map[string]int{}
	for _, r := range l.records {
		known[r.id] = true
		violations = append(violations, r.check(executions[r.id], revoked)...)
		if r.finished && !r.abandoned && !r.crashing && !l.recoveredAt.IsZero() && r.sentAt.After(l.recoveredAt) && r.sentAt.Before(l.recoveredAt.Add(observationPeriod/2)) {
			total++
			if r.status == http.StatusOK {
				served++
			} else {
				failed[fmt.Sprintf("%s %d", r.method, r.status)]++
			}
		}
	}
	for id := range executions {
		if !known[id] {
			violations = append(violations, fmt.Sprintf("a target ran %q, which no caller sent", id))
		}
	}
	if total > 0 && float64(served) < minServedShare*float64(total) {
		violations = append(violations, fmt.Sprintf("%d of %d requests were served after everything was mended, others: %v", served, total, failed))
	}
	return violations
}

func (r *requestRecord) check(executions []replica.Execution, revoked map[string]time.Time) []string {
	var violations []string
	addViolation := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s (%s, status %d): ", r.id, r.method, r.status)+fmt.Sprintf(format, args...))
	}
	if r.problem != "" {
		addViolation("%s", r.problem)
	}
	nonIdempotent := len(executions) > 0 && executions[0].Path == "/book/visit"
	if nonIdempotent && len(executions) > 1 {
		addViolation("ran %d times though it may run once", len(executions))
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if refused && nonIdempotent {
		addViolation("was refused as not run, and ran at %s", executions[0].Target)
	}
	for _, execution := range executions {
		if execution.APIKey != "" {
			addViolation("the target was given the key")
		}
		if execution.Workspace != "crew" {
			addViolation("ran for the workspace %q", execution.Workspace)
		}
	}
	revokedAt, isRevoked := revoked[r.key]
	if isRevoked && r.sentAt.After(revokedAt.Add(revokeTimeout)) && len(executions) > 0 {
		addViolation("ran with a key that was taken away %s before it was sent", r.sentAt.Sub(revokedAt))
	}
	return violations
}
