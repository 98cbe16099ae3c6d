package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/standin/caller"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// patience is how long callers wait for an answer.
const patience = 4 * time.Second

var lastRequest atomic.Int64

// client is a caller; it sends one request after the other on connections that it keeps.
type client struct {
	site   *site
	book   *book
	random *rand.Rand
	http   *http.Client
}

func newClient(s *site, b *book, random *rand.Rand) *client {
	return &client{site: s, book: b, random: random, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
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

func (c *client) request(ctx context.Context, method, path string, position int) (*http.Request, *sent) {
	e := c.site.entries[c.random.IntN(len(c.site.entries))]
	out := &sent{id: fmt.Sprintf("r%d", lastRequest.Add(1)), method: method, key: c.site.newestKey(), at: time.Now()}
	c.book.open(out)
	r, err := caller.Request{
		Method: method, Path: path, Host: host, AttemptID: out.id, APIKey: out.key, DeadlineRemaining: patience,
		Position: position, Body: strings.Repeat("b", c.random.IntN(2000)),
	}.NewHTTPRequest(ctx, e.callers)
	if err != nil {
		panic(err)
	}
	return r, out
}

// send sends a call and keeps what came of it.
func (c *client) send(ctx context.Context, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	r, out := c.request(ctx, method, path, 0)
	response, err := c.http.Do(r)
	if err != nil {
		c.book.close(out, 0, "")
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.book.close(out, 0, "")
		return
	}
	problem := ""
	if response.StatusCode == http.StatusOK {
		if string(body) != "answer to "+out.id || !caller.HasValidSignature(response, out.id) {
			problem = fmt.Sprintf("a success with the body %q", body)
		}
	}
	c.book.close(out, response.StatusCode, problem)
	c.obey(ctx, response)
}

// obey waits as a refusal asks.
func (c *client) obey(ctx context.Context, response *http.Response) {
	after := caller.RetryAfter(response)
	if after == 0 {
		return
	}
	select {
	case <-time.After(min(time.Second, after)):
	case <-ctx.Done():
	}
}

// stream reads an answer in events; after a broken connection it goes on at another
// entry, once.
func (c *client) stream(ctx context.Context) {
	position := 0
	for range 2 {
		var whole bool
		if position, whole = c.read(ctx, position); whole || position == 0 {
			return
		}
	}
}

// read reads events after position, and says which is the last and whether the
// answer is whole.
func (c *client) read(ctx context.Context, position int) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	r, out := c.request(ctx, http.MethodPost, "/report/x", position)
	if c.random.IntN(12) == 0 {
		c.book.leaves(out)
		time.AfterFunc(time.Duration(c.random.IntN(900))*time.Millisecond, cancel)
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.book.close(out, 0, "")
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.book.close(out, response.StatusCode, "")
		c.obey(ctx, response)
		return 0, false
	}
	last, problem, whole := readEvents(response.Body, out.id, position)
	status := response.StatusCode
	if !whole {
		status = 0
	}
	c.book.close(out, status, problem)
	return last, whole
}

// readEvents checks that events come once each and in order. The answer is whole
// when its end was orderly, which must be after the last event.
func readEvents(body io.Reader, id string, position int) (last int, problem string, whole bool) {
	reader := caller.NewEventReader(body)
	for {
		event, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF) && position != events:
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
