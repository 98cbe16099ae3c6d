package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// requestTimeout is the deadline that callers set for a response.
const requestTimeout = 4 * time.Second

var lastRequestNumber atomic.Int64

// client is a caller that sends one request after another over persistent connections.
type client struct {
	deployment *deployment
	log        *requestLog
	random     *rand.Rand
	http       *http.Client
	// crashing is set if all requests have the prompt part that crashes engines.
	crashing bool
	// crew names the callers whose streams share the last part of their prompts, "" for none.
	crew string
	// streams counts the streams that were begun.
	streams int
	// streamPath is the path of streams.
	streamPath string
}

// generation is what a caller sends again if its stream breaks off.
type generation struct {
	body, promptID string
	// name identifies the generation among all; calls have none.
	name string
}

const (
	// crewCount is the number of crews.
	crewCount = 4
	// equalStreamInterval is after how many streams a member of a crew sends a request that
	// others of its crew send as well.
	equalStreamInterval = 5
)

// newCall returns the body of the next call.
func (c *client) newCall() generation {
	return generation{body: strings.Repeat("b", c.random.IntN(2000))}
}

// newGeneration returns the next request for a generation. Half of those of a crew have the last
// part of their prompts in common.
func (c *client) newGeneration() generation {
	c.streams++
	g := c.newCall()
	g.name = fmt.Sprintf("g%d", lastRequestNumber.Add(1))
	switch {
	case c.crew == "" || c.streams%2 == 0:
		g.promptID = g.name
	case c.streams%equalStreamInterval == 0:
		g.promptID, g.body = c.crew, "the notes of the crew"
	default:
		g.promptID, g.body = c.crew, g.name+g.body
	}
	return g
}

// crashingInterval is the longest delay between the requests of a caller whose prompts crash
// engines.
const crashingInterval = 600 * time.Millisecond

func newClient(d *deployment, log *requestLog, random *rand.Rand) *client {
	return &client{deployment: d, log: log, random: random, streamPath: "/report/x", http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.random.IntN(4) {
		case 0:
			c.send(ctx, http.MethodPost, "/book/visit")
		case 1:
			c.send(ctx, http.MethodGet, "/status/7")
		default:
			c.stream(ctx)
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

// runCrashing sends prompts that crash engines.
func (c *client) runCrashing(ctx context.Context) {
	c.crashing = true
	for ctx.Err() == nil {
		c.readStream(ctx, c.newGeneration(), 0)
		time.Sleep(time.Duration(c.random.Int64N(int64(crashingInterval))))
	}
	c.http.CloseIdleConnections()
}

func (c *client) request(ctx context.Context, method, path string, g generation, position int) (*http.Request, *requestRecord) {
	return c.requestTo(ctx, c.randomEntry(), method, path, g, position)
}

func (c *client) randomEntry() *process {
	return c.deployment.entries[c.random.IntN(len(c.deployment.entries))]
}

func (c *client) requestTo(ctx context.Context, entry *process, method, path string, g generation, position int) (*http.Request, *requestRecord) {
	record := &requestRecord{id: fmt.Sprintf("r%d", lastRequestNumber.Add(1)), generation: g.name, method: method, key: c.deployment.newestKey(), sentAt: time.Now(), entry: entry.callerAddress, crashing: c.crashing}
	c.log.add(record)
	var sharedParts []string
	if c.crashing {
		sharedParts = []string{"aa", crashPart}
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			c.log.markWritten(record)
		}
	}})
	r, err := caller.Request{
		SharedParts: sharedParts,
		Method:      method, Path: path, Host: routeHost, AttemptID: record.id, APIKey: record.key, DeadlineRemaining: requestTimeout,
		Position: position, Body: g.body, PromptID: g.promptID,
	}.NewHTTPRequest(ctx, entry.callerAddress)
	if err != nil {
		panic(err)
	}
	return r, record
}

// send sends a call and records its result.
func (c *client) send(ctx context.Context, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	r, record := c.request(ctx, method, path, c.newCall(), 0)
	response, err := c.http.Do(r)
	if err != nil {
		c.log.finish(record, 0, "")
		return
	}
	c.readCall(record, response)
	c.waitRetryAfter(ctx, response)
}

// readCall reads and records the response to a call. It returns whether it is complete.
func (c *client) readCall(record *requestRecord, response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	c.log.addHead(record, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.log.finish(record, 0, "")
		return false
	}
	problem := ""
	if response.StatusCode == http.StatusOK {
		if string(body) != "answer to "+record.id || !caller.HasValidSignature(response, record.id) {
			problem = fmt.Sprintf("a success with the body %q", body)
		}
	}
	c.log.finish(record, response.StatusCode, problem)
	return true
}

// waitRetryAfter waits as long as the Retry-After header asks, but at most 1 s.
func (c *client) waitRetryAfter(ctx context.Context, response *http.Response) {
	delay := caller.RetryAfter(response)
	if delay == 0 {
		return
	}
	select {
	case <-time.After(min(time.Second, delay)):
	case <-ctx.Done():
	}
}

// stream reads a streaming response. If the connection breaks after the first event,
// it resumes the stream once, at an entry chosen at random.
func (c *client) stream(ctx context.Context) {
	position := 0
	g := c.newGeneration()
	for range 2 {
		var complete bool
		if position, complete = c.readStream(ctx, g, position); complete || position == 0 {
			return
		}
	}
}

// readStream requests the events after position. It returns the last event received
// and whether the response is complete.
func (c *client) readStream(ctx context.Context, g generation, position int) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	r, record := c.request(ctx, http.MethodPost, c.streamPath, g, position)
	if c.random.IntN(12) == 0 {
		c.log.markAbandoned(record)
		time.AfterFunc(time.Duration(c.random.IntN(900))*time.Millisecond, cancel)
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.log.finish(record, 0, "")
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	c.log.addHead(record, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		c.log.finish(record, response.StatusCode, "")
		c.waitRetryAfter(ctx, response)
		return 0, false
	}
	last, problem, complete := readEvents(response.Body, record.id, position)
	status := response.StatusCode
	if !complete {
		status = 0
	}
	c.log.finish(record, status, problem)
	return last, complete
}

// readEvents checks that each event arrives once and in order. The response is
// complete if the stream ends without an error; this must be after the last event.
func readEvents(body io.Reader, id string, position int) (last int, problem string, complete bool) {
	reader := caller.NewEventReader(body)
	for {
		event, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF) && position != streamEvents:
			return position, fmt.Sprintf("the answer ended as complete after event %d", position), true
		case errors.Is(err, io.EOF):
			return position, "", true
		case err != nil:
			return position, "", false
		case event.ID != position+1:
			return position, fmt.Sprintf("event %d came after event %d", event.ID, position), false
		case event.Data != replica.EventData(id, event.ID):
			return position, fmt.Sprintf("event %d is that of another request", event.ID), false
		}
		position = event.ID
	}
}
