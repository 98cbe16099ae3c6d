// Package eventlog writes one key=value line for each decision of a process. It never
// blocks a request: lines wait in a bounded buffer, and are dropped and counted when it
// is full. Each kind of event has a rate limit; lines above it are suppressed and counted.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// maxLinesPerSecond and lineBurst limit the rate of lines of one kind. An entry makes
	// a few decisions for each of some tens of requests a second.
	maxLinesPerSecond = 60
	lineBurst         = 240
	// maxBufferedLines bounds the lines that wait for a slow reader of the log.
	maxBufferedLines = 2048
	// maxBufferedBytes bounds their memory: a line may hold what a caller sent, such as the ID of a
	// request.
	maxBufferedBytes = 2 << 20
)

// Log writes the events of one process. A nil Log writes nothing.
type Log struct {
	mu    sync.Mutex
	kinds map[string]*eventKind
	sink  *sink
}

type eventKind struct {
	limiter *rate.Limiter
	// suppressed counts the lines suppressed since the last written one.
	suppressed int
}

// New returns a log that writes to out. All other output of klog goes to out as well.
func New(out io.Writer) *Log {
	s := &sink{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go s.run(out)
	klog.LogToStderr(false)
	klog.SetOutput(s)
	return &Log{kinds: map[string]*eventKind{}, sink: s}
}

// Event writes one line: name is the kind of event, keysAndValues alternates keys and
// values.
func (l *Log) Event(name string, keysAndValues ...any) {
	if l == nil {
		return
	}
	suppressed, ok := l.allow(name)
	if !ok {
		return
	}
	if suppressed > 0 {
		keysAndValues = append(keysAndValues, "leftOut", suppressed)
	}
	if dropped := l.sink.dropped.Swap(0); dropped > 0 {
		keysAndValues = append(keysAndValues, "linesDropped", dropped)
	}
	klog.InfoSDepth(1, name, keysAndValues...)
}

func (l *Log) allow(name string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := l.kinds[name]
	if !known {
		k = &eventKind{limiter: rate.NewLimiter(maxLinesPerSecond, lineBurst)}
		l.kinds[name] = k
	}
	if !k.limiter.Allow() {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// Close writes the buffered lines and closes the log. Later lines are dropped.
func (l *Log) Close() {
	if l == nil {
		return
	}
	klog.Flush()
	l.sink.close()
	<-l.sink.done
}

// sink passes lines to a goroutine that writes them.
type sink struct {
	mu      sync.RWMutex
	closed  bool
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// buffered is the size of the lines in the buffer.
	buffered atomic.Int64
}

// Write buffers a line, or drops it if the buffer is full. It never blocks or fails.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	size := int64(len(line))
	if s.buffered.Add(size) <= maxBufferedBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.buffered.Add(-size)
	s.dropped.Add(1)
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
		// An error cannot be reported anywhere, since the log itself cannot be written.
		_, _ = out.Write(line)
		s.buffered.Add(-int64(len(line)))
	}
}
