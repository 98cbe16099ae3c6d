package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// patience is how long callers wait for an answer.
const patience = 4 * time.Second

var lastRequest atomic.Int64

// caller sends one request after the other on connections that it keeps.
type caller struct {
	site   *site
	book   *book
	random *rand.Rand
	client *http.Client
}

func newCaller(s *site, b *book, random *rand.Rand) *caller {
	return &caller{site: s, book: b, random: random, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func (c *caller) run(ctx context.Context) {
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
	c.client.CloseIdleConnections()
}

func (c *caller) request(ctx context.Context, method, path string, position int) (*http.Request, *sent) {
	e := c.site.entries[c.random.IntN(len(c.site.entries))]
	out := &sent{id: fmt.Sprintf("r%d", lastRequest.Add(1)), method: method, key: c.site.newestKey(), at: time.Now()}
	c.book.open(out)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, strings.NewReader(strings.Repeat("b", c.random.IntN(2000))))
	if err != nil {
		panic(err)
	}
	r.Host = host
	// GetBody would let the client library send a request again by itself.
	r.GetBody = nil
	r.Header.Set("Attempt-Id", out.id)
	r.Header.Set("Deadline-Remaining", strconv.FormatInt(patience.Milliseconds(), 10))
	r.Header.Set("Key", out.key)
	r.Header.Set("Token-Counts", "800,100")
	r.Header.Set("Prompt-Prefix", "aa:200,"+out.id+":600")
	if position > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(position))
	}
	return r, out
}

// send sends a call and keeps what came of it.
func (c *caller) send(ctx context.Context, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	r, out := c.request(ctx, method, path, 0)
	response, err := c.client.Do(r)
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
		if string(body) != "answer to "+out.id || response.Header.Get("Response-Signature") != replica.Signature(out.id) {
			problem = fmt.Sprintf("a success with the body %q", body)
		}
	}
	c.book.close(out, response.StatusCode, problem)
	c.obey(ctx, response)
}

// obey waits as a refusal asks.
func (c *caller) obey(ctx context.Context, response *http.Response) {
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return
	}
	select {
	case <-time.After(min(time.Second, time.Duration(after*float64(time.Second)))):
	case <-ctx.Done():
	}
}

// stream reads an answer in events; after a broken connection it goes on at another
// entry, once.
func (c *caller) stream(ctx context.Context) {
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
func (c *caller) read(ctx context.Context, position int) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	r, out := c.request(ctx, http.MethodPost, "/report/x", position)
	if c.random.IntN(12) == 0 {
		c.book.leaves(out)
		time.AfterFunc(time.Duration(c.random.IntN(900))*time.Millisecond, cancel)
	}
	response, err := c.client.Do(r)
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
	lines := bufio.NewReader(body)
	next, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			if position != events {
				return position, fmt.Sprintf("the answer ended as complete after event %d", position), true
			}
			return position, problem, true
		}
		if err != nil {
			return position, problem, false
		}
		switch line = strings.TrimSpace(line); {
		case strings.HasPrefix(line, "id: "):
			next, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "":
			if next != position+1 {
				return position, fmt.Sprintf("event %d came after event %d", next, position), false
			}
			if data != replica.EventData(id, next) {
				return position, fmt.Sprintf("event %d is that of another request", next), false
			}
			position = next
		}
	}
}
