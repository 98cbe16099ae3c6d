package network

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startTCPEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func TestTCPRelay_HoldsOpenOrNewConnections(t *testing.T) {
	for name, test := range map[string]struct {
		faults              TCPFaults
		openHeld, newIsHeld bool
	}{
		"all":  {TCPFaults{HoldResponses: true}, true, true},
		"open": {TCPFaults{HoldResponses: true, SpareNew: true}, true, false},
		"new":  {TCPFaults{HoldResponses: true, SpareOpen: true}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			relay, err := NewTCPRelay(startTCPEchoServer(t))
			assert.NilError(t, err)
			defer relay.Close()
			connect := func() net.Conn {
				conn, err := net.Dial("tcp", relay.Address())
				assert.NilError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			echo := func(conn net.Conn, wait time.Duration) error {
				_, err := conn.Write([]byte("x\n"))
				assert.NilError(t, err)
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
				_, err = bufio.NewReader(conn).ReadString('\n')
				return err
			}
			opened := connect()
			assert.NilError(t, echo(opened, 5*time.Second))
			relay.SetFaults(test.faults)
			for conn, held := range map[net.Conn]bool{opened: test.openHeld, connect(): test.newIsHeld} {
				if held {
					assert.ErrorContains(t, echo(conn, 50*time.Millisecond), "timeout")
				} else {
					assert.NilError(t, echo(conn, 5*time.Second))
				}
			}
			relay.SetFaults(TCPFaults{})
			assert.NilError(t, echo(opened, 5*time.Second))
		})
	}
}

func TestTCPRelay_LimitsResponsesOfAllConnections(t *testing.T) {
	relay, err := NewTCPRelay(startTCPEchoServer(t))
	assert.NilError(t, err)
	defer relay.Close()
	const perSecond = 1 << 20
	relay.SetFaults(TCPFaults{BytesPerSecond: perSecond})
	start := time.Now()
	done := make(chan error, 2)
	for range cap(done) {
		conn, err := net.Dial("tcp", relay.Address())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		go func() { _, _ = conn.Write(make([]byte, perSecond/4)) }()
		go func() {
			_, err := io.CopyN(io.Discard, conn, perSecond/4)
			done <- err
		}()
	}
	for range cap(done) {
		assert.NilError(t, <-done)
	}
	assert.Assert(t, time.Since(start) > 400*time.Millisecond, "took %s", time.Since(start))
}
