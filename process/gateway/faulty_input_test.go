package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/standin/replica"
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
	g.bodyMemory = newBodyMemory(40)
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
		assert.Assert(t, g.bodyMemory.used() <= 8<<20)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Equal(t, g.bodyMemory.used(), int64(0))
	d.startApplication("a2", "naxos")
	d.store.Delete(platform.TargetPrefix + "a1")
	d.waitWithin(applyTimeout, func() bool { return d.send(g, bookingRequest()).status == http.StatusOK })
}

// startTrickling registers a target that responds with a status and a body that goes on for ever,
// a byte at a time.
func (d *deployment) startTrickling(id, service string, status int) {
	d.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(status)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, "d"); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}))
	d.t.Cleanup(server.CloseClientConnections)
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": strings.TrimPrefix(server.URL, "http://"), "Zone": "naxos", "Slots": 64, "State": "ready", "Sequence": 1,
	})
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+id, value)
}

// The body of a failure that is not forwarded never ends. Requests waited for it until their
// deadlines.
func TestFailureBody_ThatIsNotForwardedIsNotWaitedFor(t *testing.T) {
	d := newDeployment(t)
	d.startTrickling("a1", "bookings", http.StatusServiceUnavailable)
	d.startTrickling("e1", "writer", http.StatusServiceUnavailable)
	g := d.startReadyEntry("entry-1")
	for _, req := range []*callerRequest{bookingRequest(), streamRequest()} {
		start := time.Now()
		response := d.send(g, req)
		assert.Equal(t, response.status, http.StatusBadGateway, req.Path)
		assert.Assert(t, time.Since(start) < time.Second, "%s took %s", req.Path, time.Since(start))
	}
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

// startTricklingEngine registers an engine that answers probes, and whose streams send a byte
// now and then but never an event. aborted counts the streams that the entry closed.
func (d *deployment) startTricklingEngine(id string, aborted *atomic.Int64) {
	d.t.Helper()
	const incarnation = 5000
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReportPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"Stage":"unified","Models":[],"Waiting":0,"Running":1,"KvUsed":0,"KvTotal":88000,"born":%d}`, incarnation)
	})
	mux.HandleFunc("/report/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := io.WriteString(w, "d"); err != nil || http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
				aborted.Add(1)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	server := httptest.NewServer(mux)
	d.t.Cleanup(server.CloseClientConnections)
	value, err := json.Marshal(map[string]any{
		"Service": "writer", "Address": strings.TrimPrefix(server.URL, "http://"), "Zone": "naxos", "Slots": 64, "State": "ready",
		"Sequence": 1, "born": incarnation,
	})
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+id, value)
}

func TestStream_BytesWithoutAnEventEndAtTheDeadline(t *testing.T) {
	d := newDeployment(t)
	var aborted atomic.Int64
	d.startTricklingEngine("e1", &aborted)
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.DeadlineRemaining = 2 * time.Second
	start := time.Now()
	response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
	if err == nil {
		_ = response.Body.Close()
		assert.Assert(t, response.StatusCode >= http.StatusInternalServerError)
	}
	assert.Assert(t, time.Since(start) < req.DeadlineRemaining+500*time.Millisecond, "ended after %s", time.Since(start))
	d.waitWithin(time.Second, func() bool { return aborted.Load() > 0 })
}

// Events that come slower than the silence after which a busy target is probed.
func TestStream_SlowButSoundIsNotCut(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: 5,
		PrefillTime: 900 * time.Millisecond, EventInterval: 600 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
}
