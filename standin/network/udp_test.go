package network_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/network"
)

// startEchoServer starts a UDP server that sends every packet back, and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		packet := make([]byte, 64)
		for {
			n, client, err := server.ReadFrom(packet)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(packet[:n], client)
		}
	}()
	return server.LocalAddr().String()
}

// echoes sends one packet and reports whether it came back within the timeout.
func echoes(t *testing.T, client net.Conn, timeout time.Duration) bool {
	t.Helper()
	_, err := client.Write([]byte("packet"))
	assert.NilError(t, err)
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(timeout)))
	packet := make([]byte, 64)
	n, err := client.Read(packet)
	return err == nil && string(packet[:n]) == "packet"
}

func TestUDPRelay_DropsPacketsWhileSet(t *testing.T) {
	relay, err := network.NewUDPRelay(startEchoServer(t))
	assert.NilError(t, err)
	defer relay.Close()
	client, err := net.Dial("udp", relay.Address())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	assert.Assert(t, echoes(t, client, 30*time.Second))
	relay.SetDropPackets(true)
	assert.Assert(t, !echoes(t, client, 100*time.Millisecond))
	relay.SetDropPackets(false)
	assert.Assert(t, echoes(t, client, 30*time.Second))
}
