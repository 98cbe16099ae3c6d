// Package link carries messages between the system's processes over QUIC. A link
// is one connection from an entry (or operator tool) to an agent. It has one control
// stream, which the dialer opens first, and one stream for each request. QUIC applies
// flow control to each stream separately.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/wire"
)

const (
	// keepAlivePeriod is the period of QUIC keep-alives. They only keep NAT mappings
	// open; failures are detected by heartbeats.
	keepAlivePeriod = 4 * time.Second
	// idleTimeout is how long QUIC keeps a silent connection open. It is how an agent
	// detects an entry that crashed without closing the connection.
	idleTimeout = 10 * time.Second
	// streamWindowBytes is the flow control window: how many bytes of a request stream
	// may be sent before the receiver has read them.
	streamWindowBytes = 256 << 10
	// maxIncomingStreams limits the requests in flight on one link.
	maxIncomingStreams = 4096
)

// CodeCancelled is the stream error code of a cancelled request.
const CodeCancelled quic.StreamErrorCode = 1

// CodeClosed is the connection error code of a regular close.
const CodeClosed quic.ApplicationErrorCode = 0

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           2 * time.Second,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: 16 * streamWindowBytes,
		MaxConnectionReceiveWindow:     256 * streamWindowBytes,
		MaxIncomingStreams:             maxIncomingStreams,
	}
}

// Stream is one bidirectional stream of a link.
type Stream struct {
	*wire.Reader
	*wire.Writer
	raw      *quic.Stream
	activity *activity
	meter    *meter
	// control is set on the control stream. Its frames come from the agent and do not
	// count as activity of the target.
	control bool
}

// activity holds the times at which frames were last written to and read from a link,
// in Unix nanoseconds, and the meter of its control stream.
type activity struct {
	lastSent, lastReceived atomic.Int64
	controlMeter           atomic.Pointer[meter]
}

func newStream(raw *quic.Stream, linkActivity *activity) *Stream {
	m := &meter{raw: raw}
	return &Stream{Reader: wire.NewReader(m), Writer: wire.NewWriter(m), raw: raw, activity: linkActivity, meter: m}
}

// MarkControl marks s as the control stream: reads from it do not update
// LastReceived, and its bytes are counted as control traffic.
func (s *Stream) MarkControl() {
	s.control = true
	s.activity.controlMeter.Store(s.meter)
}

// Read decodes the next frame into frame, which must be a pointer.
func (s *Stream) Read(frame any) error {
	err := s.Reader.Read(frame)
	if err == nil && !s.control {
		s.activity.lastReceived.Store(time.Now().UnixNano())
	}
	return err
}

// Write encodes frame and sends it.
func (s *Stream) Write(frame any) error {
	err := s.Writer.Write(frame)
	if err == nil {
		s.activity.lastSent.Store(time.Now().UnixNano())
	}
	return err
}

// CloseWrite closes the write direction.
func (s *Stream) CloseWrite() error { return s.raw.Close() }

// CloseRead closes the read direction. A stream counts against the peer's limit until
// both directions are closed.
func (s *Stream) CloseRead() { s.raw.CancelRead(CodeCancelled) }

// AwaitPeerClose discards input until the peer closes or cancels the stream or the
// link fails. A peer that closes the stream after its last frame has read everything
// that was sent.
func (s *Stream) AwaitPeerClose() { _, _ = io.Copy(io.Discard, s.raw) }

// Cancel aborts both directions immediately.
func (s *Stream) Cancel() {
	s.raw.CancelRead(CodeCancelled)
	s.raw.CancelWrite(CodeCancelled)
}

// SetWriteDeadline sets the time until which writes may block on flow control.
func (s *Stream) SetWriteDeadline(at time.Time) { _ = s.raw.SetWriteDeadline(at) }

// Context returns a context that is done when the peer cancels the stream or the link
// fails.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Link is one connection between two processes.
type Link struct {
	connection *quic.Conn
	activity   activity
}

// LastReceived returns the time at which a frame was last read from a request stream.
// It is zero if there was none.
func (l *Link) LastReceived() time.Time { return timeFromNanos(l.activity.lastReceived.Load()) }

// LastSent returns the time at which a frame was last written to any stream. It is
// zero if there was none.
func (l *Link) LastSent() time.Time { return timeFromNanos(l.activity.lastSent.Load()) }

func timeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Open opens a request stream.
func (l *Link) Open(ctx context.Context) (*Stream, error) {
	raw, err := l.connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	return newStream(raw, &l.activity), nil
}

// Accept waits for the peer to open a stream.
func (l *Link) Accept(ctx context.Context) (*Stream, error) {
	raw, err := l.connection.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	return newStream(raw, &l.activity), nil
}

// Context returns a context that is done when the link is closed.
func (l *Link) Context() context.Context { return l.connection.Context() }

// PeerRole returns the role of the peer.
func (l *Link) PeerRole() keys.Role { return keys.PeerRole(l.connection.ConnectionState().TLS) }

// Close closes the link without an error.
func (l *Link) Close() { _ = l.connection.CloseWithError(CodeClosed, "") }

// Dialer opens links that share one UDP socket.
type Dialer struct {
	transport *quic.Transport
	tls       *tls.Config
}

// NewDialer returns a dialer bound to the given local IP address.
func NewDialer(localIP string, config *tls.Config) (*Dialer, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(localIP)})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Dialer{transport: &quic.Transport{Conn: socket}, tls: config}, nil
}

// Dial opens a link to the agent at address.
func (d *Dialer) Dial(ctx context.Context, address string) (*Link, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve agent address")
	}
	connection, err := d.transport.Dial(ctx, remote, d.tls, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return &Link{connection: connection}, nil
}

// Close closes the socket and all links of the dialer.
func (d *Dialer) Close() error {
	err := d.transport.Close()
	_ = d.transport.Conn.Close()
	return errors.Wrap(err, "close")
}

// Listener accepts links.
type Listener struct{ listener *quic.Listener }

// Listen listens at address.
func Listen(address string, config *tls.Config) (*Listener, error) {
	listener, err := quic.ListenAddr(address, config, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Listener{listener: listener}, nil
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Accept waits for the next link.
func (l *Listener) Accept(ctx context.Context) (*Link, error) {
	connection, err := l.listener.Accept(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	return &Link{connection: connection}, nil
}

// Close closes the listener and its links.
func (l *Listener) Close() error { return errors.Wrap(l.listener.Close(), "close") }
