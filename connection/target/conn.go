// Package target manages an entry's HTTP/1.1 connections to targets. A connection
// carries one exchange at a time. It records whether any part of a request was written
// and whether the response ended properly, on which the safety of a retry depends.
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
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to connect. It allows for some round trips within a
	// region and a full accept queue at the target, and is shorter than the
	// retransmission timeout of a lost packet.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect a peer that lost its connection state
	// while its host was unreachable. One second is the minimum that the operating
	// system accepts.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	readBufferSize    = 4096
	// maxHeadBytes limits the head of a response, interim responses before it included.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status of a response.
	maxStatus = 599
	// maxLateCopyBytes limits the body of a late response that is discarded.
	maxLateCopyBytes = 64 << 10
	// maxInterimResponses limits the interim responses before a response.
	maxInterimResponses = 8
)

// ErrHeadTooLong means that the head of a response exceeds its limit.
var ErrHeadTooLong = errors.New("the head of the response exceeds the size limit")

// ErrStatus means that a response has a status that HTTP does not define.
var ErrStatus = errors.New("the status is not between 100 and 599")

// ErrNotSent means that no part of the request was written to the connection.
var ErrNotSent = errors.New("no part of the request was sent")

// Request is one request to a target.
type Request struct {
	Method string
	// Path is the path and query. It is sent unchanged.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request; empty for one that its response does not name. ResponseID
	// returns the ID that a response names, or "".
	ID         string
	ResponseID func(http.Header) string
}

// Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// headBytesLeft limits what is read while readingHead is set.
	readingHead   bool
	headBytesLeft int
	address       string
	bytesWritten  atomic.Int64
	// sendDone is closed when the write of the request has ended. sendErr may be read
	// only after that.
	sendDone chan struct{}
	sendErr  error
	// Reused means that the connection was used for an earlier request.
	Reused bool
	// idleSince is when the connection became idle, maxIdleTime how long it may be.
	idleSince   time.Time
	maxIdleTime time.Duration
	// lastID is the ID of the last request that had one.
	lastID string
	// LateCopies counts the responses that were discarded because they answer the previous
	// request once more.
	LateCopies int
}

// Dial opens a connection to the target at address, an IP address and port.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &Conn{raw: raw, address: address}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// Read reads from the connection, and no more than the limit while a head is read: a failing
// target may send one that never ends.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.readingHead {
		if c.headBytesLeft <= 0 {
			return 0, ErrHeadTooLong
		}
		buffer = buffer[:min(len(buffer), c.headBytesLeft)]
	}
	n, err := c.raw.Read(buffer)
	c.headBytesLeft -= n
	return n, err //nolint:wrapcheck // io.Reader
}

// Write writes data to the connection and counts the bytes written.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.raw.Write(data)
	c.bytesWritten.Add(int64(n))
	return n, err //nolint:wrapcheck // io.Writer
}

// Close closes the connection. A target cancels a request whose connection is closed.
func (c *Conn) Close() { _ = c.raw.Close() }

// Do sends a request and returns the response as soon as its header was read. The
// caller reads the body and then passes the connection to Pool.Put or closes it. The
// error is ErrNotSent if the request certainly did not reach the target.
func (c *Conn) Do(r Request) (*http.Response, error) {
	httpRequest := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Path}, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.Body))
		httpRequest.ContentLength = int64(len(r.Body))
	}
	c.bytesWritten.Store(0)
	c.sendDone = make(chan struct{})
	previousID := c.lastID
	switch {
	case r.Method == http.MethodHead:
		// The end of a response without its body cannot be told from that of others.
		previousID, c.lastID = "", ""
	case r.ID != "":
		c.lastID = r.ID
	}
	// The request is sent concurrently because the target may respond before it has
	// read a long body.
	go c.send(httpRequest)
	response, err := c.readResponse(r, previousID, httpRequest)
	if err == nil {
		return c.withEnd(response), nil
	}
	c.Close()
	<-c.sendDone
	if c.bytesWritten.Load() == 0 {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return nil, err
}

func (c *Conn) send(httpRequest *http.Request) {
	defer close(c.sendDone)
	writer := bufio.NewWriterSize(c, readBufferSize)
	c.sendErr = httpRequest.Write(writer)
	if c.sendErr == nil {
		c.sendErr = writer.Flush()
	}
}

// readResponse reads the head of the response. A failing target may send the response to the
// previous request once more; that copy is discarded.
func (c *Conn) readResponse(r Request, previousID string, httpRequest *http.Request) (*http.Response, error) {
	response, err := c.readResponseHeader(httpRequest)
	if err != nil || r.ResponseID == nil || response.Close {
		return response, err
	}
	if id := r.ResponseID(response.Header); id == "" || id == r.ID || id != previousID {
		return response, nil
	}
	c.LateCopies++
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateCopyBytes)); err != nil {
		return nil, errors.Wrap(err, "read a late response")
	}
	return c.readResponseHeader(httpRequest)
}

func (c *Conn) readResponseHeader(httpRequest *http.Request) (*http.Response, error) {
	c.readingHead, c.headBytesLeft = true, maxHeadBytes
	defer func() { c.readingHead = false }()
	for range maxInterimResponses {
		response, err := http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, errors.Wrapf(ErrStatus, "status %s", response.Status)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.WithMessagef(ErrHeadTooLong, "more than %d interim responses", maxInterimResponses)
}

// reusable reports whether the connection may carry another request after response,
// whose body was read to its end: the request must have been written completely, and
// no unread bytes may be left.
func (c *Conn) reusable(response *http.Response) bool {
	select {
	case <-c.sendDone:
	default:
		return false
	}
	return c.sendErr == nil && !response.Close && c.reader.Buffered() == 0
}

// idleTime returns for how long the connection has been idle. The target counts from when it
// sent the response, which may have waited here for a while before it was read.
func (c *Conn) idleTime() time.Duration {
	idle := time.Since(c.idleSince)
	syscallConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return idle
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return idle
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			idle = max(idle, time.Duration(info.Last_data_recv)*time.Millisecond)
		}
	})
	return idle
}

// idleAndOpen reports whether an idle connection is open and has nothing to read.
// Bytes that arrive before a request is sent cannot be its response.
func (c *Conn) idleAndOpen() bool {
	syscallConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		open = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
