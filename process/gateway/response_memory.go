package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// smallResponseBytes is the size up to which a response is always buffered.
	smallResponseBytes = 64 << 10
	// responseMemoryFraction is the part of the process's memory that larger responses may
	// use while they are received, defaultResponseMemory that memory if no limit is set.
	responseMemoryFraction = 0.2
	defaultResponseMemory  = 256 << 20
)

var errResponseMemory = errors.New("responses being received use all memory that they may")

// responseMemory limits the memory of responses that are being received: failing targets may
// send several without end at the same time.
type responseMemory struct {
	limit int64
	used  atomic.Int64
}

func newResponseMemory(memoryMB int) *responseMemory {
	limit := int64(defaultResponseMemory)
	if memoryMB > 0 {
		limit = int64(responseMemoryFraction * float64(memoryMB) * (1 << 20))
	}
	return &responseMemory{limit: limit}
}

// readAll reads a body that must not be longer than limit.
func (m *responseMemory) readAll(body io.Reader, limit int64) ([]byte, error) {
	reader := &accountedReader{memory: m, from: body}
	defer func() { m.used.Add(-reader.counted) }()
	return readAtMost(reader, limit)
}

// accountedReader counts what it reads beyond smallResponseBytes.
type accountedReader struct {
	memory        *responseMemory
	from          io.Reader
	read, counted int64
}

// Read implements io.Reader.
func (r *accountedReader) Read(buffer []byte) (int, error) {
	n, err := r.from.Read(buffer[:min(len(buffer), smallResponseBytes)])
	r.read += int64(n)
	if more := r.read - smallResponseBytes - r.counted; more > 0 {
		r.counted += more
		if r.memory.used.Add(more) > r.memory.limit {
			return n, errResponseMemory
		}
	}
	return n, err //nolint:wrapcheck // io.Reader
}
