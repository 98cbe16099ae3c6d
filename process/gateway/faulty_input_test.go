package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
)

// startEndlessTarget registers a target of bookings that responds with a body without end.
func (d *deployment) startEndlessTarget(id string) {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\n\r\n"
				for data := head; ; data = strings.Repeat("a", 1<<16) {
					if _, err := conn.Write([]byte(data)); err != nil {
						return
					}
				}
			}()
		}
	}()
	value, err := json.Marshal(map[string]any{
		"Service": "bookings", "Address": listener.Addr().String(), "Zone": "naxos", "Slots": 6, "State": "ready", "Sequence": 1,
	})
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+id, value)
}

func TestCall_EndlessBodyEndsWithinBounds(t *testing.T) {
	d := newDeployment(t)
	d.startEndlessTarget("a1")
	g := d.startReadyEntry("entry-1")
	g.responseMemory = newResponseMemory(40)
	statuses := make(chan int)
	const calls = 8
	start := time.Now()
	for range calls {
		go func() {
			response, err := http.DefaultClient.Do(bookingRequest().httpRequest(context.Background(), g))
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	for range calls {
		assert.Equal(t, <-statuses, http.StatusBadGateway)
		assert.Assert(t, g.responseMemory.used.Load() <= g.responseMemory.limit+calls*(1<<16))
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Equal(t, g.responseMemory.used.Load(), int64(0))
	d.startApplication("a2", "naxos")
	d.store.Delete(platform.TargetPrefix + "a1")
	d.waitWithin(applyTimeout, func() bool { return d.send(g, bookingRequest()).status == http.StatusOK })
}

func TestPanic_EndsOneTaskOnly(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	assert.Assert(t, g.control.do(func() { panic("in a command") }))
	g.control.post(func() { panic("in a command that nobody waits for") })
	assert.Assert(t, !g.protect("task", func() { panic("in a task") }))
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
}

func TestPeers_MalformedDatagramsAreIgnored(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	conn, err := net.Dial("udp", g.peers.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, data := range [][]byte{nil, {0xff}, {0xa1, 0x01}, []byte(strings.Repeat("\xbf", 3000)), []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err := conn.Write(data)
		assert.NilError(t, err)
	}
	// A question that names a revision that never was, from an entry that is not registered.
	stranger, err := peers.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = stranger.Close() }()
	_, err = stranger.Send(peers.Update{Entry: "stranger", Question: &peers.SyncQuestion{ID: 1, Revision: -5}}, []string{g.peers.Address()})
	assert.NilError(t, err)
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
}
