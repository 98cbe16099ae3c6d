// Package graceful closes callers' connections without cutting off requests. http.Server closes
// an idle connection when its timer fires, also if a request has arrived by then, keeps the
// limits with which it was started, and when it shuts down it closes a connection without a
// response that reads its first request then, or has read a part of one. A Listener has limits
// that can be changed, applies them to open connections, and closes one only while no byte of a
// request has arrived.
package graceful

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/mulberrylane/mulberrylane/connection/keepalive"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/connection/quota"
)

// acceptQueueTime is how long connections are still accepted that the kernel had queued when
// the listener was about to close: closing it would reset them.
const acceptQueueTime = 20 * time.Millisecond

// headSlopBytes is how much more than the head of a request may be read with it: a part of its
// body.
const headSlopBytes = 4096

// backgroundReadBytes is how much http.Server reads while it handles a request, to learn whether
// the caller is still there. Other reads ask for more.
const backgroundReadBytes = 1

// refusalTime is how long the rest of a request is read whose head was refused. When memory is
// short, only what has arrived is read, and yieldTime limits the writing of the refusal.
const (
	refusalTime = 500 * time.Millisecond
	yieldTime   = 50 * time.Millisecond
)

// maxArrivedBytes limits how much of what has arrived is read then.
const maxArrivedBytes = 64 << 10

// lateRequestTime is how long a connection that was closed as idle is still read, so that a
// request that crossed the close is known. Most callers close their side much sooner.
const lateRequestTime = 500 * time.Millisecond

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// defaultLinger is the SetLinger argument with which the operating system sends what is left
// after a connection was closed.
const defaultLinger = -1

// IdleClose is the close of an idle connection.
type IdleClose struct {
	// Idle is how long the connection was idle after its last response, or after it was accepted,
	// Limit how long it may be. Requests counts the requests that it carried.
	Idle, Limit time.Duration
	Requests    int
	// LateRequest is set if data arrived after the close: the caller used the connection
	// before it knew. Stopping is set if the connection was closed because the server stops.
	LateRequest, Stopping bool
}

// Listener accepts the connections of an http.Server and keeps track of them. The server must
// call its ConnState and ConnContext, and have no timeouts and no limit of its own; see
// ConfigureServer.
type Listener struct {
	net.Listener
	// OnIdleClose, if set, is called for each idle connection that was closed; while the server
	// stops, only for those with a late request. It must be set before the first connection is
	// accepted.
	OnIdleClose func(IdleClose)
	// Memory limits what callers make the process hold; nil sets no limit. It must be set before
	// the first connection is accepted.
	Memory *memory.Memory

	mu     sync.Mutex
	open   map[*conn]struct{}
	limits keepalive.Limits
	// drainingSince is when idle connections were first closed because the server stops.
	// drained is closed when no connections are open any more.
	drainingSince time.Time
	drained       chan struct{}
	// closed is closed when the listener is closed.
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a Listener that accepts the connections of inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{
		Listener: inner, open: map[*conn]struct{}{}, drained: make(chan struct{}), closed: make(chan struct{}),
		limits: keepalive.Limits{HeaderBytes: http.DefaultMaxHeaderBytes},
	}
}

// ConfigureServer prepares a server whose connections l accepts: l applies the limits.
func (l *Listener) ConfigureServer(server *http.Server) {
	server.ConnState, server.ConnContext = l.ConnState, l.ConnContext
	server.ReadHeaderTimeout, server.ReadTimeout, server.IdleTimeout = 0, 0, -1
	server.MaxHeaderBytes = math.MaxInt32
}

// SetLimits changes the limits of all connections, also of those that are open. What a caller
// may already count on is not taken away.
func (l *Listener) SetLimits(limits keepalive.Limits) {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = http.DefaultMaxHeaderBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	l.limits = limits
	for c := range l.open {
		c.setDeadline()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
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
		var ok bool
		if c.account, ok = l.Memory.Connect(c.yield); !ok {
			_ = accepted.Close()
			continue
		}
		l.mu.Lock()
		c.state = keepalive.NewConnection(time.Now(), l.limits)
		l.open[c] = struct{}{}
		c.setDeadline()
		l.mu.Unlock()
		return c, nil
	}
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

// ConnState is the ConnState hook of the server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	// The account has a lock of its own, under which that of the listener may be taken.
	switch state {
	case http.StateActive:
		l.mu.Lock()
		tracked.state.HeadRead()
		tracked.readEnded = false
		_ = tracked.Conn.SetReadDeadline(time.Time{})
		l.mu.Unlock()
		if !tracked.account.SetState(quota.Kept, tracked.yield) {
			_ = tracked.Conn.Close()
		}
	case http.StateIdle:
		l.mu.Lock()
		tracked.state.ResponseSent(time.Now(), l.limits)
		tracked.setDeadline()
		waitsFor := quota.Idle
		if tracked.state.Phase() == keepalive.ReadingHead {
			waitsFor = quota.Receiving
		}
		counted := tracked.head.Next()
		l.mu.Unlock()
		tracked.count(counted)
		if !tracked.account.SetState(waitsFor, tracked.yield) {
			_ = tracked.Conn.Close()
		}
	}
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the server; Announce and SetReset need it.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Announce tells a caller in the header of a response for how long it may use its connection
// again, or that it is going to be closed. It is called before the header is written.
func Announce(r *http.Request, header http.Header) {
	const field = "Keep-Alive"
	tracked, _ := r.Context().Value(contextKey{}).(*conn)
	if tracked == nil {
		return
	}
	header.Del(field)
	// The end of the connection ends a response of unknown length to HTTP/1.0.
	endsWithConnection := !r.ProtoAtLeast(1, 1) && header.Get("Content-Length") == ""
	if r.Close || endsWithConnection || header.Get("Connection") == "close" {
		return
	}
	l := tracked.listener
	l.mu.Lock()
	seconds, reusable := tracked.state.Announce(l.limits)
	l.mu.Unlock()
	switch {
	case !reusable:
		header.Set("Connection", "close")
	case seconds > 0:
		header.Set(field, "timeout="+strconv.Itoa(seconds))
	}
}

// Account returns the account of the connection of a request, or nil.
func Account(ctx context.Context) *memory.Account {
	if tracked, _ := ctx.Value(contextKey{}).(*conn); tracked != nil {
		return tracked.account
	}
	return nil
}

// Hold begins a phase in which the connection of a request waits for its caller. It is closed if
// it has to yield.
func Hold(ctx context.Context, state quota.State) {
	if tracked, _ := ctx.Value(contextKey{}).(*conn); tracked != nil && !tracked.account.SetState(state, tracked.yield) {
		_ = tracked.Conn.Close()
	}
}

// EndRead ends the reading of the body of a request. A read deadline that is set later does not
// revive it: the handler may extend that at the same moment.
func EndRead(ctx context.Context) {
	tracked, _ := ctx.Value(contextKey{}).(*conn)
	if tracked == nil {
		return
	}
	tracked.listener.mu.Lock()
	defer tracked.listener.mu.Unlock()
	tracked.readEnded = true
	_ = tracked.Conn.SetReadDeadline(past)
}

// Disconnect closes the connection of a request.
func Disconnect(ctx context.Context) {
	if tracked, _ := ctx.Value(contextKey{}).(*conn); tracked != nil {
		_ = tracked.Conn.Close()
	}
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
// that has carried no request yet is left open for its first one, for as long as the head of a
// request may take. Drain returns when no connections are open, or with an error when ctx ends.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	if l.drainingSince.IsZero() {
		l.drainingSince = time.Now()
	}
	for c := range l.open {
		c.setDeadline()
	}
	l.signalIfDrained()
	l.mu.Unlock()
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
		switch c.state.Phase() {
		case keepalive.Unused:
			counts.Unused++
		case keepalive.Idle:
			counts.Idle++
		default:
			counts.InUse++
		}
	}
	return counts
}

// signalIfDrained must be called with the lock held.
func (l *Listener) signalIfDrained() {
	if l.drainingSince.IsZero() || len(l.open) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// conn is an accepted connection. Only the goroutine that reads from it closes it as idle.
type conn struct {
	net.Conn
	listener *Listener
	account  *memory.Account

	// The lock of the listener guards the fields below.

	state keepalive.Connection
	// head is what is counted for the head of the request.
	head quota.Head
	// yielded is set when the connection has to be closed because memory is short, readEnded when
	// the body of the request must not be read any more.
	yielded, readEnded bool
	// expired is set when the connection is to be closed as idle, closed when it is being
	// closed.
	expired, closed bool
}

// SetReadDeadline implements net.Conn. Between a response and the end of the next request's
// head, the listener sets the deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state.Phase() != keepalive.InUse {
		return nil
	}
	if c.readEnded {
		t = past
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // net.Conn
}

// setDeadline ends the wait for data when the connection may be closed. It must be called with
// the lock held.
func (c *conn) setDeadline() {
	if c.state.Phase() != keepalive.InUse && !c.closed && !c.yielded {
		_ = c.Conn.SetReadDeadline(c.state.Expires(c.listener.limits, c.listener.drainingSince))
	}
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	size := len(buffer)
	for {
		c.listener.mu.Lock()
		left, limited := c.state.HeadBytesLeft(c.listener.limits)
		counted := int64(0)
		if size != backgroundReadBytes {
			phase := c.state.Phase()
			counted = c.head.Reading(size, phase == keepalive.Unused || phase == keepalive.Idle)
		}
		c.listener.mu.Unlock()
		c.count(counted)
		if limited && left+headSlopBytes <= 0 {
			c.refuseHead()
			return 0, io.EOF
		}
		if limited {
			buffer = buffer[:min(len(buffer), left+headSlopBytes)]
		}
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			if !c.received(buffer[:n], size == backgroundReadBytes) {
				c.refuseYielded(true)
				return 0, io.EOF
			}
			return n, err //nolint:wrapcheck // net.Conn
		}
		if c.hasYielded() {
			c.refuseYielded(false)
			return 0, io.EOF
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.keepWaiting() {
			// A caller whose request crossed the close sends it again at once, on another
			// connection: those that are to be closed at the same time are closed first.
			runtime.Gosched()
			return 0, err //nolint:wrapcheck // net.Conn
		}
	}
}

// received records what was received, and reports whether there is memory for it.
func (c *conn) received(data []byte, inBackground bool) bool {
	l := c.listener
	l.mu.Lock()
	phase := c.state.Phase()
	cost := c.head.Read(data, phase != keepalive.InUse)
	if phase == keepalive.InUse {
		if inBackground {
			c.state.ReceivedAhead()
		}
		l.mu.Unlock()
		return true
	}
	c.state.Received(time.Now(), len(data), l.limits)
	c.setDeadline()
	l.mu.Unlock()
	if phase != keepalive.ReadingHead && !c.account.SetState(quota.Receiving, c.yield) {
		return false
	}
	return c.account.Reserve(cost)
}

// count changes what is counted for the connection.
func (c *conn) count(change int64) {
	if change > 0 {
		c.account.Force(change)
	} else {
		c.account.Release(-change)
	}
}

// yield ends what the connection waits for, so that it is closed.
func (c *conn) yield() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.yielded = true
	if c.state.Phase() == keepalive.InUse {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(past)
}

func (c *conn) hasYielded() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.yielded && c.state.Phase() != keepalive.InUse
}

// refuseYielded refuses a request of which a part has arrived, as not run.
func (c *conn) refuseYielded(received bool) {
	c.listener.mu.Lock()
	begun := received || c.state.Phase() == keepalive.ReadingHead
	c.listener.mu.Unlock()
	if (begun || c.hasUnreadData()) && c.writeRefusal(http.StatusServiceUnavailable, "Retry-After: 1\r\n", yieldTime) {
		c.discardArrived()
	}
}

// keepWaiting reports whether a read whose deadline has passed is to be repeated: the connection
// may be kept for longer by now, or data has arrived, on a busy host long ago.
func (c *conn) keepWaiting() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	phase := c.state.Phase()
	if phase == keepalive.InUse || c.closed || c.yielded {
		return false
	}
	expires := c.state.Expires(l.limits, l.drainingSince)
	if expires.IsZero() || time.Now().Before(expires) {
		c.setDeadline()
		return true
	}
	if c.hasUnreadData() {
		// The read does not wait, and the deadline is set again afterwards.
		return c.Conn.SetReadDeadline(time.Time{}) == nil
	}
	if phase != keepalive.ReadingHead {
		c.expired = true
		// It fails if the caller has reset the connection.
		_ = c.closeWrite()
	}
	return false
}

// refuseHead responds to a request whose head is too long, and discards the rest for a while:
// data that is not read when the connection is closed would reset it before the caller has the
// response.
func (c *conn) refuseHead() {
	if c.writeRefusal(http.StatusRequestHeaderFieldsTooLarge, "", refusalTime) {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// writeRefusal responds to a request whose head is not read to its end, and reports whether that
// succeeded. What remains to be done with the connection must end within the given time.
func (c *conn) writeRefusal(status int, fields string, timeout time.Duration) bool {
	c.listener.mu.Lock()
	c.closed = true
	err := c.SetDeadline(time.Now().Add(timeout))
	c.listener.mu.Unlock()
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n", status, http.StatusText(status), fields)
	return err == nil && c.CloseWrite() == nil
}

// hasUnreadData reports whether data has arrived that was not read yet, as happens on a busy
// host. To close the connection would reset it.
func (c *conn) hasUnreadData() bool { return c.receiveArrived(make([]byte, 1), unix.MSG_PEEK) > 0 }

// discardArrived reads what has arrived without waiting for more.
func (c *conn) discardArrived() {
	buffer := make([]byte, 4<<10)
	for read := 0; read < maxArrivedBytes; {
		n := c.receiveArrived(buffer, 0)
		if n <= 0 {
			return
		}
		read += n
	}
}

// receiveArrived receives data without waiting for it, and returns how much.
func (c *conn) receiveArrived(buffer []byte, flags int) int {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return 0
	}
	received := 0
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), buffer, flags|unix.MSG_DONTWAIT)
		if err == nil {
			received = n
		}
	})
	if err != nil {
		return 0
	}
	return received
}

// CloseWrite closes the writing side, which http.Server does before it closes a connection
// whose request was not read whole. It waits half a second then, without the request.
func (c *conn) CloseWrite() error {
	c.listener.mu.Lock()
	counted := c.head.End()
	c.listener.mu.Unlock()
	c.count(counted)
	return c.closeWrite()
}

func (c *conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net.TCPConn
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	report := c.expired && !c.closed && c.listener.OnIdleClose != nil
	c.closed = true
	closed := IdleClose{
		Idle:     time.Since(c.state.Since()).Round(time.Millisecond),
		Limit:    c.state.IdleTimeout(c.listener.limits),
		Requests: c.state.Requests(), Stopping: !c.listener.drainingSince.IsZero(),
	}
	c.listener.mu.Unlock()
	if report {
		closed.LateRequest = c.receivesLateRequest()
	}
	err := c.Conn.Close()
	if report && (closed.LateRequest || !closed.Stopping) {
		c.listener.OnIdleClose(closed)
	}
	c.account.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
	c.listener.signalIfDrained()
	return err //nolint:wrapcheck // net.Conn
}

// receivesLateRequest reports whether data arrives, after the writing side was closed, before
// the caller has closed the other one.
func (c *conn) receivesLateRequest() bool {
	if c.Conn.SetReadDeadline(time.Now().Add(lateRequestTime)) != nil {
		return false
	}
	n, _ := c.Conn.Read(make([]byte, 1))
	return n > 0
}
