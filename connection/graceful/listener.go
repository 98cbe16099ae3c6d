// Package graceful ends the connections of a server that stops. http.Server.Shutdown closes
// a connection without a response when it reads the first request after it was called, or
// when a request has been read in part. A Listener closes a connection only while no byte of
// a request has been read.
package graceful

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptQueueTime is how long connections are still accepted that the kernel had queued when
// the listener was about to close: closing it would reset them.
const acceptQueueTime = 20 * time.Millisecond

// defaultLinger is the SetLinger argument with which the operating system sends what is left
// after a connection was closed.
const defaultLinger = -1

// Listener accepts the connections of one or more http.Servers and keeps track of them. The
// servers must call its ConnState.
type Listener struct {
	net.Listener

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
	switch state {
	case http.StateIdle:
		tracked.served, tracked.reading, tracked.closing = true, false, l.draining
	case http.StateActive:
		tracked.reading = true
	}
	closing := tracked.closing
	l.mu.Unlock()
	switch {
	case !closing:
	case state == http.StateIdle:
		_ = tracked.Close()
	case state == http.StateActive:
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
		if c.served && !c.reading {
			c.closing = true
			idle = append(idle, c)
		}
	}
	l.signalIfDrained()
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
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
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return 0, err //nolint:wrapcheck // net.Conn
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	c.reading = true
	return n, err //nolint:wrapcheck // net.Conn
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
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
	c.listener.signalIfDrained()
	return err //nolint:wrapcheck // net.Conn
}
