package network_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/network"
)

// echo answers every packet with itself.
func echo(t *testing.T) string {
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

// exchange sends one packet and says whether it came back within wait.
func exchange(t *testing.T, client net.Conn, wait time.Duration) bool {
	t.Helper()
	_, err := client.Write([]byte("packet"))
	assert.NilError(t, err)
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(wait)))
	packet := make([]byte, 64)
	n, err := client.Read(packet)
	return err == nil && string(packet[:n]) == "packet"
}

func TestRelayDropsPacketsWhileSilent(t *testing.T) {
	relay, err := network.NewUDPRelay(echo(t))
	assert.NilError(t, err)
	defer relay.Close()
	client, err := net.Dial("udp", relay.Address())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	assert.Assert(t, exchange(t, client, 30*time.Second))
	relay.SetDropPackets(true)
	assert.Assert(t, !exchange(t, client, 100*time.Millisecond))
	relay.SetDropPackets(false)
	assert.Assert(t, exchange(t, client, 30*time.Second))
}
