package gateway

import (
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/bodies"
)

const (
	// smallBodyBytes is the size up to which a body is kept without being counted.
	smallBodyBytes = 16 << 10
	// bodyMemoryFraction is the part of the process's memory that larger bodies may use,
	// defaultBodyMemory that memory in bytes if no limit is set.
	bodyMemoryFraction = 0.2
	defaultBodyMemory  = 256 << 20
	// minChunkBytes and maxChunkBytes are the sizes of the pieces in which a body is kept. A
	// buffer that grew as a whole would need room for two of its sizes each time.
	minChunkBytes = 1 << 10
	maxChunkBytes = 64 << 10
)

var (
	errBodyTooLong = errors.New("the body exceeds the size limit")
	errBodyYielded = errors.New("the bodies in memory use all that they may, and this one was the largest being received")
)

// bodyMemory limits the memory of the bodies of requests and responses, from when they are
// received until they have been sent.
type bodyMemory struct {
	mu sync.Mutex
	// changed is signalled when a body was released or has to yield.
	changed *sync.Cond
	budget  *bodies.Budget
	// interrupts holds what ends the reading of the bodies being received.
	interrupts map[*bodies.Body]func()
}

func newBodyMemory(memoryMB int) *bodyMemory {
	limit := int64(defaultBodyMemory)
	if memoryMB > 0 {
		limit = int64(bodyMemoryFraction * float64(memoryMB) * (1 << 20))
	}
	m := &bodyMemory{budget: bodies.NewBudget(limit), interrupts: map[*bodies.Body]func(){}}
	m.changed = sync.NewCond(&m.mu)
	return m
}

func (m *bodyMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// heldBody is a whole body in memory.
type heldBody struct {
	memory    *bodyMemory
	counted   bodies.Body
	interrupt func()
	chunks    [][]byte
	length    int
}

// read reads a body that must not be longer than limit bytes. interrupt ends a read that waits for
// data. The caller releases the body, unless there is an error.
func (m *bodyMemory) read(from io.Reader, limit int64, interrupt func()) (*heldBody, error) {
	body := &heldBody{memory: m, interrupt: interrupt}
	err := body.receive(from, limit)
	m.mu.Lock()
	delete(m.interrupts, &body.counted)
	if !m.budget.Received(&body.counted) {
		err = errBodyYielded
	}
	m.mu.Unlock()
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// receive appends what it reads to the body.
func (b *heldBody) receive(from io.Reader, limit int64) error {
	size := minChunkBytes
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			if !b.grow(size) {
				return errBodyYielded
			}
			chunk = make([]byte, 0, size)
			b.chunks = append(b.chunks, chunk)
			size = min(2*size, maxChunkBytes)
		}
		n, err := from.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.chunks[len(b.chunks)-1] = chunk
		b.length += n
		switch {
		case int64(b.length) > limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err //nolint:wrapcheck // of the reader
		}
	}
}

// grow counts size more bytes if the body is not small, and reports whether it may have them.
func (b *heldBody) grow(size int) bool {
	if b.length+size <= smallBodyBytes {
		return true
	}
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupts[&b.counted] = b.interrupt
	for {
		grant, yielding := m.budget.Add(&b.counted, int64(size))
		if yielding != nil {
			m.interrupts[yielding]()
			m.changed.Broadcast()
		}
		if grant != bodies.Wait {
			return grant == bodies.Granted
		}
		m.changed.Wait()
	}
}

// join returns the body in one piece and keeps no other.
func (b *heldBody) join() []byte {
	if len(b.chunks) > 1 {
		b.chunks = [][]byte{slices.Concat(b.chunks...)}
	}
	return b.chunks[0]
}

// release gives the memory of the body back, which must not be used any more.
func (b *heldBody) release() {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(&b.counted)
	m.changed.Broadcast()
}

// heldBodies holds the bodies of one exchange until it has ended.
type heldBodies struct {
	mu     sync.Mutex
	ended  bool
	bodies []*heldBody
}

// add adds a body. It is released at once if the exchange has ended, as for an attempt whose
// response came after that of another one.
func (h *heldBodies) add(body *heldBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		body.release()
		return
	}
	h.bodies = append(h.bodies, body)
}

// release releases all bodies, as the exchange ends.
func (h *heldBodies) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for _, body := range h.bodies {
		body.release()
	}
	h.bodies = nil
}
