// Package link carries messages between the system's processes over QUIC. A link
// is one connection from an entry (or operator tool) to an agent. It has one
// control stream, opened first by the dialer, and one stream for each request.
// The flow control of QUIC gives every stream its own credit.
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
	// keepAlive is the period of QUIC's own keep-alive; the failure detector
	// works on heartbeats, this only keeps address translations open.
	keepAlive = 4 * time.Second
	// maxIdle is when QUIC gives up a silent connection; an agent learns by it
	// that an entry died without a word.
	maxIdle = 10 * time.Second
	// streamCredit is how many bytes a request stream may be ahead of its reader.
	streamCredit = 256 << 10
	// maxStreams bounds the requests in flight on one link.
	maxStreams = 4096
)

// CodeCancelled is the stream error code of a cancelled request.
const CodeCancelled quic.StreamErrorCode = 1

// CodeClosed is the connection error code of a planned end.
const CodeClosed quic.ApplicationErrorCode = 0

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:                keepAlive,
		MaxIdleTimeout:                 maxIdle,
		HandshakeIdleTimeout:           2 * time.Second,
		InitialStreamReceiveWindow:     streamCredit,
		MaxStreamReceiveWindow:         streamCredit,
		InitialConnectionReceiveWindow: 16 * streamCredit,
		MaxConnectionReceiveWindow:     256 * streamCredit,
		MaxIncomingStreams:             maxStreams,
	}
}

// Stream is one bidirectional stream of a link.
type Stream struct {
	*wire.Reader
	*wire.Writer
	raw     *quic.Stream
	traffic *traffic
	meter   *meter
	// control is set on the control stream, whose reads are no sign of the target.
	control bool
}

// traffic holds when a link last carried a frame, in Unix nanoseconds, and the
// meter of its control stream.
type traffic struct {
	sent, heard atomic.Int64
	control     atomic.Pointer[meter]
}

func newStream(raw *quic.Stream, t *traffic) *Stream {
	m := &meter{raw: raw}
	return &Stream{Reader: wire.NewReader(m), Writer: wire.NewWriter(m), raw: raw, traffic: t, meter: m}
}

// MarkControl makes s the control stream: what it reads does not count for
// Heard, and what it carries counts as control traffic.
func (s *Stream) MarkControl() {
	s.control = true
	s.traffic.control.Store(s.meter)
}

// Read decodes the next frame into frame, a pointer.
func (s *Stream) Read(frame any) error {
	err := s.Reader.Read(frame)
	if err == nil && !s.control {
		s.traffic.heard.Store(time.Now().UnixNano())
	}
	return err
}

// Write encodes frame and sends it.
func (s *Stream) Write(frame any) error {
	err := s.Writer.Write(frame)
	if err == nil {
		s.traffic.sent.Store(time.Now().UnixNano())
	}
	return err
}

// CloseWrite says that nothing more will be written.
func (s *Stream) CloseWrite() error { return s.raw.Close() }

// CloseRead says that nothing more will be read. A stream counts against the
// peer's limit until both of its directions are over.
func (s *Stream) CloseRead() { s.raw.CancelRead(CodeCancelled) }

// AwaitPeerClose reads until the peer finishes or cancels the stream or the link
// breaks. A peer that finishes after its last frame has read all that was sent.
func (s *Stream) AwaitPeerClose() { _, _ = io.Copy(io.Discard, s.raw) }

// Cancel ends both directions at once.
func (s *Stream) Cancel() {
	s.raw.CancelRead(CodeCancelled)
	s.raw.CancelWrite(CodeCancelled)
}

// SetWriteDeadline bounds the time that writes may wait for credit.
func (s *Stream) SetWriteDeadline(at time.Time) { _ = s.raw.SetWriteDeadline(at) }

// Context ends when the peer cancels the stream or the link breaks.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Link is one connection.
type Link struct {
	connection *quic.Conn
	traffic    traffic
}

// LastReceived returns when a frame was last read from a request stream; zero means never.
func (l *Link) LastReceived() time.Time { return instant(l.traffic.heard.Load()) }

// LastSent returns when a frame was last written to any stream; zero means never.
func (l *Link) LastSent() time.Time { return instant(l.traffic.sent.Load()) }

func instant(nanos int64) time.Time {
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
	return newStream(raw, &l.traffic), nil
}

// Accept waits for a stream that the peer opens.
func (l *Link) Accept(ctx context.Context) (*Stream, error) {
	raw, err := l.connection.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	return newStream(raw, &l.traffic), nil
}

// Context ends when the link is over.
func (l *Link) Context() context.Context { return l.connection.Context() }

// PeerRole returns the role of the peer.
func (l *Link) PeerRole() keys.Role { return keys.PeerRole(l.connection.ConnectionState().TLS) }

// Close ends the link as planned.
func (l *Link) Close() { _ = l.connection.CloseWithError(CodeClosed, "") }

// Dialer opens links from one UDP socket.
type Dialer struct {
	transport *quic.Transport
	tls       *tls.Config
}

// NewDialer returns a dialer that sends from the given local IP address.
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
		return nil, errors.Wrap(err, "address")
	}
	connection, err := d.transport.Dial(ctx, remote, d.tls, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return &Link{connection: connection}, nil
}

// Close ends all links of the dialer.
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

// Close ends the listener and its links.
func (l *Listener) Close() error { return errors.Wrap(l.listener.Close(), "close") }
