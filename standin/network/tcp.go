package network

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TCPFaults are the failures of a TCP relay. They hold for open connections as well.
type TCPFaults struct {
	// Delay is added to what passes in either direction.
	Delay time.Duration
	// HoldBothDirections drops nothing and passes nothing: connections open and stay mute.
	HoldBothDirections bool
	// HoldResponses passes what callers send and holds what the server answers.
	HoldResponses bool
}

// TCPRelay passes connections to a server that may be replaced.
type TCPRelay struct {
	listener net.Listener

	mu     sync.Mutex
	server string
	faults TCPFaults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	open    map[net.Conn]bool
}

// NewTCPRelay starts a relay on the loopback address before the server.
func NewTCPRelay(server string) (*TCPRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &TCPRelay{listener: listener, server: server, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address that callers reach the server at.
func (r *TCPRelay) Address() string { return r.listener.Addr().String() }

// SetUpstream replaces the server for connections that are opened from now on. With
// an empty one they are closed at once.
func (r *TCPRelay) SetUpstream(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = server
}

// SetFaults replaces the failures.
func (r *TCPRelay) SetFaults(faults TCPFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	close(r.changed)
	r.changed = make(chan struct{})
}

// ResetConnections breaks all open connections.
func (r *TCPRelay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the relay and its connections.
func (r *TCPRelay) Close() {
	_ = r.listener.Close()
	r.SetFaults(TCPFaults{})
	r.ResetConnections()
}

func (r *TCPRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

func (r *TCPRelay) relay(front net.Conn) {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	back, err := net.Dial("tcp", server)
	if err != nil {
		_ = front.Close()
		return
	}
	r.track(front, back)
	defer r.untrack(front, back)
	var both sync.WaitGroup
	both.Go(func() { r.pass(back, front, false) })
	both.Go(func() { r.pass(front, back, true) })
	both.Wait()
}

func (r *TCPRelay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.open[conn] = true
	}
}

func (r *TCPRelay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.open, conn)
		_ = conn.Close()
	}
}

// pass copies one direction; both end when one does, since a half-closed
// connection is of no use to either side.
func (r *TCPRelay) pass(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.hold(back)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			r.hold(back)
			return
		}
	}
}

// hold waits as the faults say.
func (r *TCPRelay) hold(back bool) {
	for {
		r.mu.Lock()
		faults, changed := r.faults, r.changed
		r.mu.Unlock()
		held := faults.HoldBothDirections || back && faults.HoldResponses
		if !held {
			time.Sleep(faults.Delay)
			return
		}
		<-changed
	}
}
