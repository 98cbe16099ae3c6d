//go:build review

package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of the answer to one request.
type answer struct {
	id       string
	sentAt   time.Time
	took     time.Duration
	status   int
	signed   bool
	body     string
	events   []int
	complete bool
	err      error
}

// request describes one request of a client.
type request struct {
	id, method, path, key string
	remaining             time.Duration
	position              int
	headers               map[string]string
	body                  string
}

func (q request) bytes() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", q.method, q.path, host, q.id)
	if q.remaining > 0 {
		fmt.Fprintf(&text, "Deadline-Remaining: %d\r\n", q.remaining.Milliseconds())
	}
	if q.key != "" {
		fmt.Fprintf(&text, "Key: %s\r\n", q.key)
	}
	if q.position > 0 {
		fmt.Fprintf(&text, "Last-Event-Id: %d\r\n", q.position)
	}
	for name, value := range q.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	return text.String()
}

// do sends a request on a new connection and reads its answer.
func do(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{id: q.id, sentAt: time.Now(), err: err}
	}
	defer func() { _ = conn.Close() }()
	return doOn(conn, bufio.NewReader(conn), q)
}

// doOn sends a request on a connection and reads its answer.
func doOn(conn net.Conn, reader *bufio.Reader, q request) answer {
	a := answer{id: q.id, sentAt: time.Now()}
	defer func() { a.took = time.Since(a.sentAt) }()
	_ = conn.SetDeadline(time.Now().Add(q.remaining + 3*time.Second))
	if _, err := io.WriteString(conn, q.bytes()); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		a.took = time.Since(a.sentAt)
		return a
	}
	a.status, a.signed = response.StatusCode, response.Header.Get("Response-Signature") != ""
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	for line := range strings.SplitSeq(a.body, "\n") {
		var event int
		if _, err := fmt.Sscanf(line, "id: %d", &event); err == nil {
			a.events = append(a.events, event)
		}
	}
	a.took = time.Since(a.sentAt)
	return a
}

const (
	// streamEvents is the number of events of a whole stream, streamLimit how long its client waits.
	streamEvents = 120
	streamLimit  = 25 * time.Second
)

// streamRequest returns the request of a generation.
func streamRequest(number int) request {
	return request{
		id: fmt.Sprintf("%016x", 0x1000+number), method: "POST", path: streamPath, key: apiKey, remaining: streamLimit,
		headers: map[string]string{"Model": "m", "Token-Counts": "8200,600", "Prompt-Prefix": fmt.Sprintf("aa:200,%x:8000", 0x5000+number)},
		body:    strings.Repeat("x", 8000),
	}
}
