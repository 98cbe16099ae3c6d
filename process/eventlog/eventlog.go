// Package eventlog writes one key=value line for each decision of a process. It
// never blocks a request: lines wait in a bounded buffer and are dropped and
// counted when it is full, and each kind of event has a rate over which lines are
// left out and counted.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// linesPerSecond and lineBurst bound the lines of one kind. An entry decides a
	// few times for each of some tens of requests a second.
	linesPerSecond = 60
	lineBurst      = 240
	// buffered is how many lines wait for a reader of the log that is slow.
	buffered = 2048
)

// Log writes the events of one process. A nil Log writes nothing.
type Log struct {
	mu    sync.Mutex
	kinds map[string]*kind
	sink  *sink
}

type kind struct {
	limit *rate.Limiter
	// leftOut counts the lines since the last one that was written.
	leftOut int
}

// New returns a log whose lines, and all others that klog gets, go to out.
func New(out io.Writer) *Log {
	s := &sink{lines: make(chan []byte, buffered), done: make(chan struct{})}
	go s.run(out)
	klog.LogToStderr(false)
	klog.SetOutput(s)
	return &Log{kinds: map[string]*kind{}, sink: s}
}

// Event writes a line of the given kind with keys and values in turn.
func (l *Log) Event(name string, keysAndValues ...any) {
	if l == nil {
		return
	}
	leftOut, ok := l.allow(name)
	if !ok {
		return
	}
	if leftOut > 0 {
		keysAndValues = append(keysAndValues, "leftOut", leftOut)
	}
	if dropped := l.sink.dropped.Swap(0); dropped > 0 {
		keysAndValues = append(keysAndValues, "linesDropped", dropped)
	}
	klog.InfoSDepth(1, name, keysAndValues...)
}

func (l *Log) allow(name string) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := l.kinds[name]
	if !known {
		k = &kind{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.kinds[name] = k
	}
	if !k.limit.Allow() {
		k.leftOut++
		return 0, false
	}
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}

// Close writes what waits and ends the log. Later lines are dropped.
func (l *Log) Close() {
	if l == nil {
		return
	}
	klog.Flush()
	l.sink.close()
	<-l.sink.done
}

// sink hands lines to a goroutine that writes them.
type sink struct {
	mu      sync.RWMutex
	closed  bool
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// Write takes a line unless the buffer is full. It never blocks nor fails.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *sink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
}

func (s *sink) run(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		// There is nowhere left to report that the log itself cannot be written.
		_, _ = out.Write(line)
	}
}
