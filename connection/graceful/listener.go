// Package graceful ends the connections of a server that stops. http.Server.Shutdown closes
// a connection without a response when it reads the first request after it was called, or
// when a request has been read in part. A Listener closes a connection only while no byte of
// a request has arrived.
package graceful

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptQueueTime is how long connections are still accepted that the kernel had queued when
// the listener was about to close: closing it would reset them.
const acceptQueueTime = 20 * time.Millisecond

// lateRequestTime is how long a connection that was closed as idle is still read, so that a
// request that crossed the close is known. Most callers close their side much sooner.
const lateRequestTime = 500 * time.Millisecond

// defaultLinger is the SetLinger argument with which the operating system sends what is left
// after a connection was closed.
const defaultLinger = -1

// IdleClose is the close of an idle connection.
type IdleClose struct {
	// Idle is how long the connection was idle after its last response, Limit how long it may
	// be. Requests counts the requests that it carried.
	Idle, Limit time.Duration
	Requests    int
	// LateRequest is set if data arrived after the close: the caller used the connection
	// before it knew. Stopping is set if the connection was closed because the server stops;
	// data that arrives then is not watched for.
	LateRequest, Stopping bool
}

// Listener accepts the connections of one or more http.Servers and keeps track of them. The
// servers must call its ConnState.
type Listener struct {
	net.Listener
	// OnIdleClose, if set, is called for each idle connection that was closed. It must be set
	// before the first connection is accepted.
	OnIdleClose func(IdleClose)

	mu   sync.Mutex
	open map[*conn]struct{}
	// draining is set when idle connections are closed, drained is closed when no
	// connections are open any more.
	draining bool
	drained  chan struct{}
	// closed is closed when the listener is closed.
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a Listener that accepts the connections of inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{
		Listener: inner, open: map[*conn]struct{}{}, drained: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// StopAccepting set the deadline.
		_ = l.Close()
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // net.Listener
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. Accepted connections stay open.
func (l *Listener) Close() error {
	err := net.ErrClosed
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err //nolint:wrapcheck // net.Listener
}

// StopAccepting accepts the connections that the kernel has queued and closes the listener.
func (l *Listener) StopAccepting() {
	if tcp, ok := l.Listener.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptQueueTime)) == nil {
		select {
		case <-l.closed:
			return
		case <-time.After(2 * acceptQueueTime):
		}
	}
	_ = l.Close()
}

// ConnState is the ConnState hook of the servers. It ends a connection whose next request was
// read before the connection was closed as idle: a caller sent both at once.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	draining, closing := l.draining, tracked.closing
	switch state {
	case http.StateIdle:
		tracked.served, tracked.reading = true, false
		tracked.idleSince = time.Now()
	case http.StateActive:
		tracked.reading = true
		tracked.requests++
	}
	l.mu.Unlock()
	switch {
	case state == http.StateIdle && draining:
		tracked.closeIdle()
	case state == http.StateActive && closing:
		panic(http.ErrAbortHandler)
	}
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the servers; SetReset needs it.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// SetReset sets whether the connection of a request is reset when it is closed, also by the
// end of the process. A response that ends with its connection looks complete otherwise.
func SetReset(ctx context.Context, reset bool) {
	tracked, _ := ctx.Value(contextKey{}).(*conn)
	if tracked == nil {
		return
	}
	tcp, ok := tracked.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := defaultLinger
	if reset {
		linger = 0
	}
	// It fails if the connection is closed.
	_ = tcp.SetLinger(linger)
}

// Drain closes the connections that are idle, and the others once they are. A connection
// that has carried no request yet is left open for its first one. Drain returns when no
// connections are open, or with an error when ctx ends.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	var idle []*conn
	for c := range l.open {
		if c.idle() && !c.closed {
			idle = append(idle, c)
		}
	}
	l.signalIfDrained()
	l.mu.Unlock()
	for _, c := range idle {
		c.closeIdle()
	}
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// Connections counts the open connections of a Listener.
type Connections struct {
	// Idle connections have carried requests and wait for the next one, of which no byte has
	// been read. InUse connections carry a request. Unused ones have not carried any yet.
	Idle, InUse, Unused int
}

// Connections counts the open connections.
func (l *Listener) Connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts Connections
	for c := range l.open {
		switch {
		case c.reading:
			counts.InUse++
		case c.served:
			counts.Idle++
		default:
			counts.Unused++
		}
	}
	return counts
}

// signalIfDrained must be called with the lock held.
func (l *Listener) signalIfDrained() {
	if !l.draining || len(l.open) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener

	// The lock of the listener guards the fields below.

	// served is set after the first response, reading when a byte was read after the last
	// one, or a request that was read before. closing is set when the connection is closed as
	// idle: what is read later is discarded.
	served, reading, closing bool
	// expired is set when the idle timeout of the server, idleTimeout, has passed.
	expired     bool
	idleSince   time.Time
	idleTimeout time.Duration
	requests    int
	// closed is set when the connection is being closed.
	closed bool
}

// SetReadDeadline implements net.Conn. The server sets its idle timeout with it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	if c.idle() && !t.IsZero() {
		c.idleTimeout = t.Sub(c.idleSince)
	}
	c.listener.mu.Unlock()
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // net.Conn
}

// idle must be called with the lock held.
func (c *conn) idle() bool { return c.served && !c.reading }

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n == 0 {
		c.expired = c.idle() && errors.Is(err, os.ErrDeadlineExceeded)
		return 0, err //nolint:wrapcheck // net.Conn
	}
	if c.closing {
		return 0, net.ErrClosed
	}
	c.reading = true
	return n, err //nolint:wrapcheck // net.Conn
}

// hasUnreadData reports whether data has arrived that was not read yet, as happens on a busy
// host. To close the connection would reset it.
func (c *conn) hasUnreadData() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// closeIdle closes a connection that was idle, unless a request has arrived.
func (c *conn) closeIdle() {
	if c.hasUnreadData() {
		return
	}
	c.listener.mu.Lock()
	closing := !c.reading
	c.closing = closing
	c.listener.mu.Unlock()
	if closing {
		_ = c.Close()
	}
}

// CloseWrite closes the writing side, which http.Server does before it closes a connection
// whose request was not read whole.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net.TCPConn
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	report := !c.closed && (c.expired || c.closing) && c.listener.OnIdleClose != nil
	c.closed = true
	closed := IdleClose{
		Idle: time.Since(c.idleSince).Round(time.Millisecond), Limit: c.idleTimeout.Round(time.Millisecond),
		Requests: c.requests, Stopping: c.closing,
	}
	c.listener.mu.Unlock()
	if report && !closed.Stopping {
		closed.LateRequest = c.receivesLateRequest()
	}
	err := c.Conn.Close()
	if report {
		c.listener.OnIdleClose(closed)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
	c.listener.signalIfDrained()
	return err //nolint:wrapcheck // net.Conn
}

// receivesLateRequest closes the writing side and reports whether data arrives before the
// caller has closed the other one.
func (c *conn) receivesLateRequest() bool {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lateRequestTime)) != nil {
		return false
	}
	n, _ := c.Conn.Read(make([]byte, 1))
	return n > 0
}
