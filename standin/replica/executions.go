package replica

import (
	"sync"
	"time"
)

// ExecutionLog records the executions on all targets of a test. It is safe for concurrent
// use.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
	arrivals   []Arrival
}

// Execution is one request that a target began to execute.
type Execution struct {
	Request           string
	Target            string
	Version           string
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
	// KVCopyOf is the request whose KV copy the execution resumed from, or "".
	KVCopyOf string
	At       time.Time
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{} }

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

func (l *ExecutionLog) addExecution(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
}
