package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

const (
	// callerMemoryFraction is the part of the process's memory that may be held for callers,
	// defaultCallerMemory that memory in bytes if no limit is set.
	callerMemoryFraction = 0.25
	defaultCallerMemory  = 64 << 20
	// memoryLimitFraction is the part of it that the Go runtime may use before it collects garbage
	// more often; the rest is for stacks and sockets.
	memoryLimitFraction = 0.6
	// bodyCopies is how often a body is kept: as it was received, in a buffer that grows by a
	// quarter, and as it was decoded.
	bodyCopies = 3
	// progressBytes is how much of a body counts as progress.
	progressBytes = 1 << 10
)

// errBodyYielded means that no memory is left for the body of a request.
var errBodyYielded = errors.New("no memory is left for the body")

func callerMemory(limits settings.Limits) *memory.Memory {
	bytes := int64(defaultCallerMemory)
	if limits.MemoryMB > 0 {
		bytes = int64(callerMemoryFraction * float64(limits.MemoryMB) * (1 << 20))
	}
	return memory.New(memory.CallerLimits(bytes))
}

// limitBody limits the size of the body of a request, its memory, and the time for it.
func (e *Entry) limitBody(c *gin.Context) {
	account := graceful.Account(c.Request.Context())
	if c.Request.ContentLength != 0 && account != nil {
		// It fails if the connection is closed, and ends with the body.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		ctx := c.Request.Context()
		account.SetState(quota.Receiving, func() { graceful.EndRead(ctx) })
		body := &countedBody{ReadCloser: c.Request.Body, account: account}
		defer body.release()
		c.Request.Body = body
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, e.settings.Limits.MaxBodyBytes)
	c.Next()
}

// countedBody counts the body of a request for its connection.
type countedBody struct {
	io.ReadCloser
	account *memory.Account
	counted int64
	// sinceProgress is how much was read since the last progress.
	sinceProgress int
}

// Read implements io.Reader.
func (b *countedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if b.sinceProgress += n; b.sinceProgress >= progressBytes {
		b.sinceProgress = 0
		b.account.Progress()
	}
	if !b.account.Reserve(bodyCopies * int64(n)) {
		return 0, errBodyYielded
	}
	b.counted += bodyCopies * int64(n)
	if errors.Is(err, io.EOF) && !b.account.SetState(quota.Kept, nil) {
		return 0, errBodyYielded
	}
	return n, err //nolint:wrapcheck // io.Reader
}

func (b *countedBody) release() { b.account.Release(b.counted) }
