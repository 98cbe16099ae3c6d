package target

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// sendEndTimeout is how long the end of a response that ends with its connection waits for the sending of the
// request to be seen to have ended, when both end at the same time.
const sendEndTimeout = 50 * time.Millisecond

// errReset means that a response ended with a connection that was not closed in order.
var errReset = errors.New("the connection was reset")

// unframedBody is the body of a response that ends with its connection. The end of a connection that was
// reset looks like that of one that was closed if the sender of the request has met the error: the system
// reports it once.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.conn.closedInOrder() { //nolint:errorlint // readers return io.EOF itself
		return n, errors.WithStack(errReset)
	}
	return n, err //nolint:wrapcheck // io.Reader
}

// withEnd returns a response whose body, if it ends with the connection, is complete only if that was closed in
// order.
func (c *Conn) withEnd(response *http.Response) *http.Response {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: c}
	}
	return response
}

// closedInOrder reports whether the target has closed its side of the connection after it took the whole
// request. A target that closes before that resets the connection with what it has not read.
func (c *Conn) closedInOrder() bool {
	timeout := time.NewTimer(sendEndTimeout)
	defer timeout.Stop()
	select {
	case <-c.sendDone:
	case <-timeout.C:
		return false
	}
	return c.sendErr == nil && !c.isReset()
}

// isReset reports whether the connection was reset, as far as the system tells.
func (c *Conn) isReset() bool {
	syscallConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		// After an orderly close by the target the state is CLOSE_WAIT.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return reset
}
