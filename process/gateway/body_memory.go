package gateway

import (
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
)

const (
	// smallBodyBytes is the size up to which the body of a response is received in any case.
	smallBodyBytes = 16 << 10
	// callerMemoryFraction is the part of the process's memory that everything may use that is
	// held on behalf of callers, defaultCallerMemory that memory in bytes if no limit is set.
	callerMemoryFraction = 0.25
	defaultCallerMemory  = 256 << 20
	// minChunkBytes and maxChunkBytes are the sizes of the pieces in which a body is kept. A
	// buffer that grew as a whole would need room for two of its sizes each time.
	minChunkBytes = 1 << 10
	maxChunkBytes = 64 << 10
	// progressBytes is how much of a body counts as progress: less would let a caller keep it in
	// memory by sending a byte at times.
	progressBytes = 1 << 10
)

var (
	errBodyTooLong = errors.New("the body exceeds the size limit")
	errBodyYielded = errors.New("what is held for callers uses all memory that it may, and this body yields")
)

// bodyMemory keeps the bodies of requests and responses, from when they are received until they
// have been sent.
type bodyMemory struct{ memory *memory.Memory }

func newBodyMemory(memoryMB int) *bodyMemory {
	bytes := int64(defaultCallerMemory)
	if memoryMB > 0 {
		bytes = int64(callerMemoryFraction * float64(memoryMB) * (1 << 20))
	}
	return &bodyMemory{memory: memory.New(memory.CallerLimits(bytes))}
}

func (m *bodyMemory) used() int64 { return m.memory.Used() }

// heldBody is a whole body in memory.
type heldBody struct {
	account *memory.Account
	// shared is set if the account is that of a connection. received is called with each progress.
	shared   bool
	received func()
	// sinceProgress is how much was received since the last progress.
	sinceProgress int
	chunks        [][]byte
	length        int
	// counted is how many bytes are counted for the body.
	counted int64
}

// readResponse reads the body of a response that must not be longer than limit bytes. interrupt
// ends a read that waits for data. The caller releases the body, unless there is an error.
func (m *bodyMemory) readResponse(from io.Reader, limit int64, interrupt func()) (*heldBody, error) {
	body := &heldBody{account: m.memory.Open(quota.Receiving, interrupt)}
	return body.read(from, limit)
}

// readRequest reads the body of a request that must not be longer than limit bytes, and counts it
// for the connection. received is called with each progress.
func (m *bodyMemory) readRequest(connection *memory.Account, from io.Reader, limit int64, interrupt, received func()) (*heldBody, error) {
	body := &heldBody{account: connection, shared: true, received: received}
	if connection == nil {
		body.account, body.shared = m.memory.Open(quota.Receiving, interrupt), false
	}
	if !body.account.SetState(quota.Receiving, interrupt) {
		return nil, errBodyYielded
	}
	return body.read(from, limit)
}

func (b *heldBody) read(from io.Reader, limit int64) (*heldBody, error) {
	err := b.receive(from, limit)
	if !b.account.SetState(quota.Kept, nil) {
		err = errBodyYielded
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
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
		if !b.progress(n) {
			return errBodyYielded
		}
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

// progress records that n bytes were received, and reports whether the body may be kept.
func (b *heldBody) progress(n int) bool {
	if b.sinceProgress += n; b.sinceProgress < progressBytes {
		return true
	}
	b.sinceProgress = 0
	if b.received != nil {
		b.received()
	}
	return b.account.Progress()
}

// grow counts size more bytes, and reports whether the body may have them.
func (b *heldBody) grow(size int) bool {
	if !b.shared && b.length+size <= smallBodyBytes {
		b.account.Force(int64(size))
	} else if !b.account.Reserve(int64(size)) {
		return false
	}
	b.counted += int64(size)
	return true
}

// join returns the body in one piece and keeps no other.
func (b *heldBody) join() []byte {
	if len(b.chunks) > 1 {
		b.account.Force(int64(b.length))
		b.chunks = [][]byte{slices.Concat(b.chunks...)}
		b.account.Release(b.counted)
		b.counted = int64(b.length)
	}
	return b.chunks[0]
}

// release gives the memory of the body back, which must not be used any more.
func (b *heldBody) release() {
	if b.shared {
		b.account.Release(b.counted)
		b.counted = 0
		return
	}
	b.account.Close()
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
