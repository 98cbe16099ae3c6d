package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Idle limits of callers in the configuration.
const (
	initialIdleLimit = 2 * time.Second
	minIdleLimit     = time.Second
	maxIdleLimit     = 3 * time.Second
)

// applyTime is how soon after a change an entry must have the configuration, and how long a
// caller may go on with the one before. It is the platform's.
const applyTime = time.Second

// idleLimit is an idle limit and when it came into force.
type idleLimit struct {
	since time.Time
	limit time.Duration
}

func (d *deployment) setIdleLimit(limit time.Duration) {
	d.change(func() { d.idleLimits = append(d.idleLimits, idleLimit{time.Now(), limit}) })
}

// idleTime returns how long a connection may have been idle for a caller to send a request on
// it: four fifths of each limit that was known to callers between two times.
func (d *deployment) idleTime(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	lowest := maxIdleLimit
	for i, l := range d.idleLimits {
		ended := i+1 < len(d.idleLimits) && !d.idleLimits[i+1].since.After(from.Add(-applyTime))
		if !ended && !l.since.After(to.Add(-applyTime)) {
			lowest = min(lowest, l.limit)
		}
	}
	return lowest * 4 / 5
}

// keptConnection is a connection that a caller keeps open between requests.
type keptConnection struct {
	entry    string
	openedAt time.Time
	// idleSince is when the last response was complete, closedAt when the entry closed the
	// connection, usableUntil is until when the caller could have used it.
	idleSince, closedAt, usableUntil time.Time
	// announced is the idle time that the entry has announced in the last response, or zero.
	announced time.Duration
}

// keepingClient is a caller that sends calls on one connection with long pauses.
type keepingClient struct {
	*client
	// announcedOnly is set if the caller keeps to the idle time that the entry announces. It
	// does not know the limit of the configuration then.
	announcedOnly bool
	entry         *process
	conn          net.Conn
	reader        *bufio.Reader
	kept          *keptConnection
	// served is set after the first response on the connection.
	served bool
}

func newKeepingClient(d *deployment, log *requestLog, random *rand.Rand) *keepingClient {
	return &keepingClient{client: newClient(d, log, random), announcedOnly: random.IntN(2) == 0}
}

// redialDelay is the delay before another attempt to connect.
const redialDelay = 50 * time.Millisecond

func (k *keepingClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.conn == nil && !k.connect(ctx) {
			time.Sleep(redialDelay)
			continue
		}
		if !k.exchange(ctx) || !k.idle(ctx) {
			k.close()
			time.Sleep(redialDelay)
		}
	}
	k.close()
}

func (k *keepingClient) connect(ctx context.Context) bool {
	k.entry = k.randomEntry()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.entry.callerAddress)
	if err != nil {
		return false
	}
	k.conn, k.reader, k.served = conn, bufio.NewReader(conn), false
	k.kept = &keptConnection{entry: k.entry.callerAddress, openedAt: time.Now()}
	return true
}

func (k *keepingClient) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// exchange sends a call and reads the response. It returns whether the connection can be used
// again.
func (k *keepingClient) exchange(ctx context.Context) bool {
	method, path := http.MethodGet, "/status/7"
	if k.random.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/visit"
	}
	r, record := k.requestTo(ctx, k.entry, method, path, k.newCall(), 0)
	if k.served {
		connection := *k.kept
		record.connection = &connection
	}
	response, err := k.roundTrip(r)
	if err != nil {
		k.log.finish(record, 0, "")
		return false
	}
	if !k.readCall(record, response) || response.Close {
		return false
	}
	k.served = true
	k.kept.idleSince, k.kept.announced = time.Now(), announcedIdleTime(response)
	return true
}

func (k *keepingClient) roundTrip(r *http.Request) (*http.Response, error) {
	if err := k.conn.SetDeadline(time.Now().Add(requestTimeout + time.Second)); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := r.Write(k.conn); err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.ReadResponse(k.reader, r)
	return response, errors.WithStack(err)
}

// announcedIdleTime returns the time that a response gives in Keep-Alive, or zero.
func announcedIdleTime(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// usableTime returns how long the connection may be idle by now before the caller uses it
// again. A caller that was told no time uses the connection until it sees it closed.
func (k *keepingClient) usableTime(now time.Time) time.Duration {
	if !k.announcedOnly {
		return k.deployment.idleTime(k.kept.idleSince, now)
	}
	if k.kept.announced > 0 {
		return k.kept.announced
	}
	return maxIdleLimit * 5 / 4
}

// minIdleShare is the share of the usable time that connections are idle at least.
const minIdleShare = 0.3

// idle waits and returns whether the caller may use the connection again.
func (k *keepingClient) idle(ctx context.Context) bool {
	usable := k.usableTime(k.kept.idleSince)
	share := minIdleShare + (1-minIdleShare)*k.random.Float64()
	wait := time.Duration(share * float64(usable))
	conn := k.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	if conn.SetReadDeadline(k.kept.idleSince.Add(wait)) != nil || ctx.Err() != nil {
		return false
	}
	_, err := k.reader.Peek(1)
	now := time.Now()
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return now.Sub(k.kept.idleSince) <= k.usableTime(now)
	}
	if err != nil {
		closing := *k.kept
		closing.closedAt, closing.usableUntil = now, k.kept.idleSince.Add(k.usableTime(now))
		k.log.addClosing(&closing)
	}
	return false
}

func (l *requestLog) addClosing(c *keptConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closings = append(l.closings, c)
}
