//go:build review

package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientRequest is one attempt of a client.
type clientRequest struct {
	attempt, method, path, body string
	// prefix and counts are Prompt-Prefix and Token-Counts, position is Last-Event-Id.
	prefix, counts string
	position       int
	timeLimit      time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	// retryAfter is the Retry-After of a refusal.
	retryAfter time.Duration
	events     []event
	body       string
	complete   bool
	err        error
}

// event is one event of a stream.
type event struct {
	id   int
	data string
}

// send sends a request on a new channel. onEvent, if set, is called for each event.
func (d *deployment) send(g *gateway, c clientRequest, onEvent func(event)) (a answer) {
	if c.timeLimit == 0 {
		c.timeLimit = 25 * time.Second
	}
	defer func() {
		d.record("client: attempt %s ends: status %d, %d events, %d bytes, complete %v, Retry-After %s, error %v", c.attempt, a.status, len(a.events), len(a.body),
			a.complete, a.retryAfter, a.err)
	}()
	d.record("client: attempt %s sent to %s: %s %s, Prompt-Prefix %q, Last-Event-Id %d", c.attempt, g.name, c.method, c.path, c.prefix, c.position)
	conn, err := net.DialTimeout("tcp", g.address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.timeLimit))
	var head strings.Builder
	head.WriteString(c.method + " " + c.path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + c.attempt + "\r\nKey: " + key + "\r\n")
	head.WriteString("Deadline-Remaining: " + strconv.FormatInt(c.timeLimit.Milliseconds(), 10) + "\r\n")
	if c.prefix != "" {
		head.WriteString("Model: m\r\nPrompt-Prefix: " + c.prefix + "\r\nToken-Counts: " + c.counts + "\r\n")
	}
	if c.position > 0 {
		head.WriteString("Last-Event-Id: " + strconv.Itoa(c.position) + "\r\n")
	}
	head.WriteString("Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return answer{err: err}
	}
	a.status, a.signed = response.StatusCode, response.Header.Get("Response-Signature") != ""
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	a.retryAfter = time.Duration(seconds * float64(time.Second))
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(response.Body)
		a.body, a.complete, a.err = string(body), err == nil, err
		return a
	}
	reader := bufio.NewReader(response.Body)
	current := event{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.complete = err == io.EOF && line == "" && current == event{}
			a.err = err
			return a
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			current.id, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			current.data = value
		}
		if line != "" {
			continue
		}
		a.events = append(a.events, current)
		if onEvent != nil {
			onEvent(current)
		}
		current = event{}
	}
}
