// Package network is a small stand-in for the network before a host: a UDP relay
// that can drop every packet in both directions, as when the host vanishes
// without a word.
package network

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxPacketBytes is the largest UDP payload.
const maxPacketBytes = 1 << 16

// UDPRelay passes packets between any number of clients and one server.
type UDPRelay struct {
	front  *net.UDPConn
	server *net.UDPAddr
	silent atomic.Bool

	mu    sync.Mutex
	backs map[string]*net.UDPConn
	tasks sync.WaitGroup
}

// NewUDPRelay starts a relay before the UDP server at an IP address and port.
func NewUDPRelay(server string) (*UDPRelay, error) {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, errors.Wrap(err, "server")
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &UDPRelay{front: front, server: address, backs: map[string]*net.UDPConn{}}
	r.tasks.Go(r.forward)
	return r, nil
}

// Address returns the address that clients send to.
func (r *UDPRelay) Address() string { return r.front.LocalAddr().String() }

// SetDropPackets drops all packets from now on, or passes them again.
func (r *UDPRelay) SetDropPackets(silent bool) { r.silent.Store(silent) }

// Close ends the relay.
func (r *UDPRelay) Close() {
	_ = r.front.Close()
	r.mu.Lock()
	for _, back := range r.backs {
		_ = back.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *UDPRelay) forward() {
	packet := make([]byte, maxPacketBytes)
	for {
		n, client, err := r.front.ReadFromUDP(packet)
		if err != nil {
			return
		}
		back, err := r.back(client)
		if err != nil || r.silent.Load() {
			continue
		}
		_, _ = back.Write(packet[:n])
	}
}

// back returns the socket that stands for a client towards the server.
func (r *UDPRelay) back(client *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if back, ok := r.backs[client.String()]; ok {
		return back, nil
	}
	back, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	r.backs[client.String()] = back
	r.tasks.Go(func() { r.backward(back, client) })
	return back, nil
}

func (r *UDPRelay) backward(back *net.UDPConn, client *net.UDPAddr) {
	packet := make([]byte, maxPacketBytes)
	for {
		n, err := back.Read(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.silent.Load() {
			continue
		}
		_, _ = r.front.WriteToUDP(packet[:n], client)
	}
}
