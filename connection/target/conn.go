// Package target holds the connections of an entry to the targets: one HTTP/1.1
// exchange at a time on each, with what the safety of a repeat depends on: whether
// anything of a request was written, and whether an answer ended as it should.
package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the set-up of a connection: some round trips within a
	// region and a full queue at the target, less than a lost packet's repeat.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find a peer that lost its state while its
	// host was away; a second is the least that the system takes.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
	readBufferSize = 4096
)

// ErrNotSent means that nothing of the request reached the connection.
var ErrNotSent = errors.New("nothing of the request was sent")

// Request is one request to a target.
type Request struct {
	Method string
	// Path is the path and query, sent as it is.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	address string
	written atomic.Int64
	// sent is closed once the request was written; sendErr is valid then.
	sent    chan struct{}
	sendErr error
	// Reused says that the connection served a request before.
	Reused bool
	since  time.Time
}

// Dial opens a connection to a target at an IP address and port.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), address: address}, nil
}

// Write counts what was handed to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.raw.Write(data)
	c.written.Add(int64(n))
	return n, err //nolint:wrapcheck // io.Writer
}

// Close ends the connection. A target drops a request whose connection closes.
func (c *Conn) Close() { _ = c.raw.Close() }

// Do sends a request and returns the head of its answer. The body is read from the
// answer; Finish must be called after it. The error is ErrNotSent when the request
// is certain not to have reached the target.
func (c *Conn) Do(r Request) (*http.Response, error) {
	wire := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Path}, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		wire.Body = io.NopCloser(bytes.NewReader(r.Body))
		wire.ContentLength = int64(len(r.Body))
	}
	c.written.Store(0)
	c.sent = make(chan struct{})
	// The target may answer before it has read a long body.
	go c.send(wire)
	response, err := c.readHead(wire)
	if err == nil {
		return response, nil
	}
	c.Close()
	<-c.sent
	if c.written.Load() == 0 {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return nil, err
}

func (c *Conn) send(wire *http.Request) {
	defer close(c.sent)
	writer := bufio.NewWriterSize(c, readBufferSize)
	c.sendErr = wire.Write(writer)
	if c.sendErr == nil {
		c.sendErr = writer.Flush()
	}
}

func (c *Conn) readHead(wire *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, wire)
		if err != nil {
			return nil, errors.Wrap(err, "answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// reusable says whether the connection may carry another request after response,
// whose body was read to its end: nothing of either side may be left on it.
func (c *Conn) reusable(response *http.Response) bool {
	select {
	case <-c.sent:
	default:
		return false
	}
	return c.sendErr == nil && !response.Close && c.reader.Buffered() == 0
}

// quiet says whether an idle connection is open and has nothing to read. Bytes
// that come without a request belong to none.
func (c *Conn) quiet() bool {
	access, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
