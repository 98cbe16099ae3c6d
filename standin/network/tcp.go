package network

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// TCPFaults selects the faults of a TCP relay. They apply to open connections as well.
type TCPFaults struct {
	// Delay is added before each forwarded chunk of data, in either direction.
	Delay time.Duration
	// HoldBothDirections holds all data without dropping it: connections are accepted
	// but carry nothing.
	HoldBothDirections bool
	// HoldResponses forwards the data of callers and holds the server's responses.
	HoldResponses bool
	// BytesPerSecond limits the data of the server's responses over all connections together, as the
	// link of the caller's host does; zero sets no limit.
	BytesPerSecond int
	// SpareOpen spares connections that were opened before the faults, SpareNew those that are
	// opened since.
	SpareOpen, SpareNew bool
}

// chunkBytes is the most that is forwarded at once.
const chunkBytes = 32 << 10

// TCPRelay forwards connections to a server, which can be replaced.
type TCPRelay struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	upstream string
	faults   TCPFaults
	// bandwidth paces responses, nil for no limit.
	bandwidth *rate.Limiter
	// faultsChanged is closed and replaced when the faults change, changes counts how often.
	faultsChanged chan struct{}
	changes       int
	connections   map[net.Conn]bool
}

// NewTCPRelay starts a relay on the loopback address in front of the server.
func NewTCPRelay(upstream string) (*TCPRelay, error) {
	return NewTCPRelayAt("127.0.0.1:0", upstream)
}

// NewTCPRelayAt starts a relay at address, an IP address and port, in front of the server.
func NewTCPRelayAt(address, upstream string) (*TCPRelay, error) {
	r := &TCPRelay{address: address, upstream: upstream, faultsChanged: make(chan struct{}), connections: map[net.Conn]bool{}}
	if err := r.Listen(); err != nil {
		return nil, err
	}
	r.address = r.listener.Addr().String()
	return r, nil
}

// Listen accepts connections, after Refuse or at the start.
func (r *TCPRelay) Listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = listener
	go r.acceptConnections(listener)
	return nil
}

// Refuse refuses connections until Listen is called. Open connections stay open.
func (r *TCPRelay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// Address returns the address that callers reach the server at.
func (r *TCPRelay) Address() string { return r.address }

// SetUpstream replaces the server for connections that are opened from now on. If it is
// empty, these connections are closed at once.
func (r *TCPRelay) SetUpstream(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream = upstream
}

// SetFaults replaces the faults.
func (r *TCPRelay) SetFaults(faults TCPFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.bandwidth = nil
	if faults.BytesPerSecond > 0 {
		r.bandwidth = rate.NewLimiter(rate.Limit(faults.BytesPerSecond), chunkBytes)
	}
	r.changes++
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
}

// ResetConnections resets all open connections.
func (r *TCPRelay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops the relay and resets its connections.
func (r *TCPRelay) Close() {
	r.Refuse()
	r.SetFaults(TCPFaults{})
	r.ResetConnections()
}

func (r *TCPRelay) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relayConnection(conn)
	}
}

func (r *TCPRelay) relayConnection(client net.Conn) {
	r.mu.Lock()
	upstream, openedIn := r.upstream, r.changes
	r.mu.Unlock()
	server, err := net.Dial("tcp", upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	r.track(client, server)
	defer r.untrack(client, server)
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(server, client, openedIn, false) })
	directions.Go(func() { r.copyDirection(client, server, openedIn, true) })
	directions.Wait()
}

func (r *TCPRelay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.connections[conn] = true
	}
}

func (r *TCPRelay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.connections, conn)
		_ = conn.Close()
	}
}

// copyDirection copies the data of one direction. When one direction ends, so does the
// other, since a half-closed connection is of no use to either side. The connection was opened
// after the faults had changed openedIn times.
func (r *TCPRelay) copyDirection(to, from net.Conn, openedIn int, response bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.applyFaults(openedIn, response)
			if response {
				r.pace(n)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			r.applyFaults(openedIn, response)
			return
		}
	}
}

// pace waits until the link has carried n bytes more.
func (r *TCPRelay) pace(n int) {
	r.mu.Lock()
	bandwidth := r.bandwidth
	r.mu.Unlock()
	if bandwidth != nil {
		_ = bandwidth.WaitN(context.Background(), n)
	}
}

// applyFaults blocks while the direction is held, then waits for the delay.
func (r *TCPRelay) applyFaults(openedIn int, response bool) {
	for {
		r.mu.Lock()
		faults, changed, changes := r.faults, r.faultsChanged, r.changes
		r.mu.Unlock()
		if isNew := openedIn == changes; isNew && faults.SpareNew || !isNew && faults.SpareOpen {
			return
		}
		hold := faults.HoldBothDirections || response && faults.HoldResponses
		if !hold {
			time.Sleep(faults.Delay)
			return
		}
		<-changed
	}
}
