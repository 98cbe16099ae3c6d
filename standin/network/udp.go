// Package network is a small stand-in for the network in front of a host. A UDP relay can
// drop every packet in both directions, as when the host fails without closing its
// connections. A TCP relay can delay, hold and reset connections.
package network

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxPacketBytes is the largest UDP payload.
const maxPacketBytes = 1 << 16

// UDPRelay forwards packets between any number of clients and one server.
type UDPRelay struct {
	// clientConn is the socket that clients send to.
	clientConn  *net.UDPConn
	server      *net.UDPAddr
	dropPackets atomic.Bool

	mu sync.Mutex
	// serverConns holds a socket towards the server for each client, by the client's
	// address.
	serverConns map[string]*net.UDPConn
	forwarders  sync.WaitGroup
}

// NewUDPRelay starts a relay in front of the UDP server at an IP address and port.
func NewUDPRelay(server string) (*UDPRelay, error) {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, errors.Wrap(err, "resolve server address")
	}
	clientConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &UDPRelay{clientConn: clientConn, server: address, serverConns: map[string]*net.UDPConn{}}
	r.forwarders.Go(r.forwardToServer)
	return r, nil
}

// Address returns the address that clients send to.
func (r *UDPRelay) Address() string { return r.clientConn.LocalAddr().String() }

// SetDropPackets sets whether the relay drops all packets or forwards them.
func (r *UDPRelay) SetDropPackets(drop bool) { r.dropPackets.Store(drop) }

// Close stops the relay.
func (r *UDPRelay) Close() {
	_ = r.clientConn.Close()
	r.mu.Lock()
	for _, conn := range r.serverConns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.forwarders.Wait()
}

func (r *UDPRelay) forwardToServer() {
	packet := make([]byte, maxPacketBytes)
	for {
		n, client, err := r.clientConn.ReadFromUDP(packet)
		if err != nil {
			return
		}
		conn, err := r.serverConn(client)
		if err != nil || r.dropPackets.Load() {
			continue
		}
		_, _ = conn.Write(packet[:n])
	}
}

// serverConn returns the socket that forwards a client's packets to the server, and
// opens it at the client's first packet.
func (r *UDPRelay) serverConn(client *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if conn, ok := r.serverConns[client.String()]; ok {
		return conn, nil
	}
	conn, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	r.serverConns[client.String()] = conn
	r.forwarders.Go(func() { r.forwardToClient(conn, client) })
	return conn, nil
}

func (r *UDPRelay) forwardToClient(conn *net.UDPConn, client *net.UDPAddr) {
	packet := make([]byte, maxPacketBytes)
	for {
		n, err := conn.Read(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.dropPackets.Load() {
			continue
		}
		_, _ = r.clientConn.WriteToUDP(packet[:n], client)
	}
}
