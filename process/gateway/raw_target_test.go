package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/network"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// rawTarget is a target that decides each byte of its responses.
type rawTarget struct {
	id, service string
	respond     func(rawExchange)
	incarnation atomic.Int64
	listener    net.Listener
	// open holds the connections.
	open sync.Map

	mu       sync.Mutex
	arrivals map[string]int
	// reused counts the requests of callers on connections that had carried another one.
	reused int
}

// rawExchange is one request of a caller at a rawTarget.
type rawExchange struct {
	target  *rawTarget
	conn    net.Conn
	request *http.Request
	// id is the attempt ID, previousID that of the previous caller's request on the
	// connection, position the ID of the last event that the caller has.
	id, previousID string
	position       int
	// number counts the requests of callers at the target from 1.
	number int
}

// startRawTarget registers a target of a service that calls respond for each request of a
// caller. Engines answer probes as well.
func (d *deployment) startRawTarget(id, service string, respond func(rawExchange)) *rawTarget {
	d.t.Helper()
	listener, err := net.Listen("tcp", network.ProcessAddress())
	assert.NilError(d.t, err)
	d.startCount++
	target := &rawTarget{id: id, service: service, respond: respond, listener: listener, arrivals: map[string]int{}}
	target.incarnation.Store(int64(1000 + d.startCount))
	d.t.Cleanup(target.stop)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.open.Store(conn, nil)
			go target.serve(conn)
		}
	}()
	d.registerRaw(target)
	return target
}

// registerRaw registers a target with its current incarnation.
func (d *deployment) registerRaw(r *rawTarget) {
	d.t.Helper()
	registration := map[string]any{
		"Service": r.service, "Address": r.listener.Addr().String(), "Zone": "naxos", "Slots": 64, "State": "ready",
		"Sequence": 1, "born": r.incarnation.Load(),
	}
	value, err := json.Marshal(registration)
	assert.NilError(d.t, err)
	d.store.Put(platform.TargetPrefix+r.id, value)
}

// stop closes the listener and then the connections, as the end of a process does.
func (r *rawTarget) stop() {
	_ = r.listener.Close()
	r.open.Range(func(conn, _ any) bool { _ = conn.(net.Conn).Close(); return true })
}

func (r *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	previousID := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == platform.ReportPath {
			body := fmt.Sprintf(`{"Running":0,"KvTotal":88000,"born":%d}`, r.incarnation.Load())
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		if req.Header.Get("Attempt-Id") == "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if req.Header.Get("Expected-Instance") != r.id {
			// The address was another target's before, maybe of another process's tests.
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e := rawExchange{target: r, conn: conn, request: req, id: req.Header.Get("Attempt-Id"), previousID: previousID}
		e.position, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
		r.mu.Lock()
		r.arrivals[e.id]++
		for _, n := range r.arrivals {
			e.number += n
		}
		if previousID != "" {
			r.reused++
		}
		r.mu.Unlock()
		r.respond(e)
		previousID = e.id
	}
}

// arrived returns how often a request arrived.
func (r *rawTarget) arrived(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[id]
}

// reusedConnections returns how many requests arrived on connections that had carried
// another one.
func (r *rawTarget) reusedConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reused
}

// write writes bytes as they are.
func (e rawExchange) write(text string) { _, _ = io.WriteString(e.conn, text) }

// close ends the connection regularly.
func (e rawExchange) close() { _ = e.conn.Close() }

// reset breaks the connection.
func (e rawExchange) reset() {
	if conn, ok := e.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	e.close()
}

// head returns the head of a signed success without its empty line, with more header lines.
func (e rawExchange) head(more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n%s", e.id, replica.Signature(e.id), more)
}

// answer returns the complete response of a call.
func (e rawExchange) answer() string {
	body := "answer to " + e.id
	return e.head(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// events returns the events with IDs from first to last.
func (e rawExchange) events(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", id, replica.EventData(e.id, id))
	}
	return text
}

// streamHead returns the complete head of a stream that ends with its connection.
func (e rawExchange) streamHead() string { return e.head("Content-Type: text/event-stream\r\n\r\n") }

// transferTime is how long bytes that were written may take to be read by an entry.
const transferTime = 50 * time.Millisecond
