package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// silence is how long a sound target sends nothing.
const silence = 1200 * time.Millisecond

// pausingLink passes connections on and holds all bytes back while it is paused, like a host
// that is suspended.
type pausingLink struct {
	net.Listener
	mu sync.RWMutex
	// accepting is held while no new connections are accepted.
	accepting sync.Mutex
}

func newPausingLink(t *testing.T) *pausingLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return &pausingLink{Listener: listener}
}

func (l *pausingLink) run(to string) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		l.accepting.Lock()
		go l.connect(from, to)
		l.accepting.Unlock()
	}
}

func (l *pausingLink) connect(from net.Conn, address string) {
	to, err := net.Dial("tcp", address)
	if err != nil {
		_ = from.Close()
		return
	}
	pass := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			l.mu.RLock()
			if n > 0 {
				_, _ = dst.Write(buffer[:n])
			}
			l.mu.RUnlock()
			if err != nil {
				_ = dst.Close()
				return
			}
		}
	}
	go pass(to, from)
	pass(from, to)
}

func (l *pausingLink) pause(d time.Duration) {
	l.mu.Lock()
	time.Sleep(d)
	l.mu.Unlock()
}

// startBehindLink starts a target that is reached over a link.
func (d *deployment) startBehindLink(config replica.Config) *pausingLink {
	d.t.Helper()
	link := newPausingLink(d.t)
	config.AdvertisedAddress = link.Addr().String()
	r := d.startReplica(config)
	go link.run(r.Config().Address)
	return link
}

func TestSilence_StreamAtTheOnlyTargetIsComplete(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	link := d.startBehindLink(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	go link.pause(silence)
	r.expectRest(t, req.AttemptID, 5)
}

func TestSilence_CallsAtTheOnlyTargetAreServed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	link := d.startBehindLink(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 300 * time.Millisecond, Slots: 6})
	g := d.startReadyEntry("entry-1")
	requests := []*callerRequest{statusRequest(), bookingRequest()}
	statuses := make(chan int, len(requests))
	for _, req := range requests {
		go func() {
			response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	d.waitUntil(func() bool {
		return d.fleet.ExecutionLog.Arrivals(requests[0].AttemptID)+d.fleet.ExecutionLog.Arrivals(requests[1].AttemptID) == len(requests)
	})
	link.pause(silence)
	for range requests {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// startEntryWithoutRetries starts an entry whose retry budget is empty.
func (d *deployment) startEntryWithoutRetries() *Gateway {
	d.t.Helper()
	settings := d.entrySettings("entry-1")
	settings.Bounds.RetryRatio, settings.Bounds.RetrySlack = 0, 0
	g := d.startEntryWith(settings)
	d.waitUntil(func() bool { return g.ready() && g.targetCount() >= len(d.storeValues(platform.TargetPrefix)) })
	return g
}

func pauseAll(links []*pausingLink, d time.Duration) {
	for _, link := range links {
		go link.pause(d)
	}
}

func TestSilence_StreamWithoutRetriesIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	config := replica.Config{
		Service: "writer", Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	}
	var links []*pausingLink
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros"} {
		config.ID, config.FailureDomain = id, failureDomain
		links = append(links, d.startBehindLink(config))
	}
	g := d.startEntryWithoutRetries()
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	pauseAll(links, silence)
	r.expectRest(t, req.AttemptID, 5)
}

// All targets fall silent for longer than the route's attempts take to be given up.
func TestSilence_StreamAtItsLastAttemptIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure(func(config map[string]any) {
		config["Routes"].([]any)[0].(map[string]any)["MaxAttempts"] = 2
	})
	config := replica.Config{
		Service: "writer", Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	}
	var links []*pausingLink
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros", "e4": "milos"} {
		config.ID, config.FailureDomain = id, failureDomain
		links = append(links, d.startBehindLink(config))
	}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 5)
	pauseAll(links, 3*silence/2)
	r.expectRest(t, req.AttemptID, 5)
}

func TestSilence_CallAtItsLastAttemptIsServed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure(func(config map[string]any) {
		config["Routes"].([]any)[2].(map[string]any)["MaxAttempts"] = 1
	})
	link := d.startBehindLink(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 300 * time.Millisecond, Slots: 6})
	g := d.startReadyEntry("entry-1")
	req := statusRequest()
	response := make(chan callerResponse, 1)
	go func() { response <- d.send(g, req) }()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0 })
	go link.pause(silence)
	g.control.do(func() { g.control.recordProbe("a1", probeResult{startedAt: time.Now()}) })
	assert.Equal(t, (<-response).status, http.StatusOK)
}

// holdNewConnections lets no connection be opened until release is called, as a host does whose
// kernel drops the packets that open them. Open connections go on.
func (l *pausingLink) holdNewConnections(t *testing.T) (release func()) {
	t.Helper()
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	setBacklog := func(n int) {
		assert.Check(t, raw.Control(func(fd uintptr) { assert.Check(t, unix.Listen(int(fd), n)) }))
	}
	l.accepting.Lock()
	setBacklog(0)
	// The first one is accepted and held, the next ones fill the queue.
	for range 3 {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	return func() {
		setBacklog(128)
		l.accepting.Unlock()
	}
}

func TestSilence_OfNewConnectionsMovesNoRunningStream(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	link := d.startBehindLink(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: 60,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	running := streamRequest()
	r := d.openStream(context.Background(), g, running)
	r.skipTo(t, 5)
	time.AfterFunc(silence, link.holdNewConnections(t))
	g.pool.CloseIdle(link.Addr().String())
	response := d.send(g, streamRequest())
	assert.Assert(t, response.complete)
	r.skipTo(t, 60)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(running.AttemptID)), 1)
}

// An engine answers one request and is mute for another and for probes.
func TestSilence_OfOneRequestMovesItAlone(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	const muteBody = "mute"
	arrived := make(chan struct{})
	events := make(chan struct{})
	engine := d.startRawTarget("e1", "writer", func(e rawExchange) {
		if e.request.ContentLength == int64(len(muteBody)) {
			close(arrived)
			time.Sleep(5 * time.Second)
			return
		}
		e.write(e.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for id := 1; id <= testEvents; id++ {
			<-events
			e.write(chunk(e.events(id, id)))
		}
		e.write("0\r\n\r\n")
	})
	g := d.startReadyEntry("entry-1")
	flowing, mute := streamRequest(), newCallerRequest(http.MethodPost, "/report/x", muteBody)
	go func() { events <- struct{}{} }()
	r := d.openStream(context.Background(), g, flowing)
	r.skipTo(t, 1)
	response := make(chan callerResponse, 1)
	go func() { response <- d.send(g, mute) }()
	<-arrived
	d.startEngine("e2", "paros")
	d.waitUntil(func() bool { return g.targetCount() == 2 })
	time.Sleep(prefillSilenceBounds.Max + 100*time.Millisecond)
	probedAt := time.Now()
	events <- struct{}{}
	r.skipTo(t, 2)
	g.control.do(func() { g.control.recordProbe("e1", probeResult{startedAt: probedAt}) })
	result := <-response
	assert.Equal(t, result.status, http.StatusOK)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(mute.AttemptID)), 1)
	go func() {
		for range testEvents - 2 {
			events <- struct{}{}
		}
	}()
	r.expectRest(t, flowing.AttemptID, 2)
	assert.Equal(t, engine.arrived(flowing.AttemptID), 1)
}

// A silent engine restarts, and its connections are not reset. Its successor under the same name
// answers probes.
func TestSilence_EndsStreamOfAnEarlierIncarnation(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	engine := d.startRawTarget("e1", "writer", func(e rawExchange) {
		last := deliveredBefore
		if e.position > 0 {
			last = testEvents
		}
		e.write(framings["chunked"](e, e.events(e.position+1, last), e.position > 0))
		if e.position == 0 {
			time.Sleep(5 * time.Second)
		}
	})
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, deliveredBefore)
	g.control.do(func() { g.control.recordProbe("e1", probeResult{startedAt: time.Now()}) })
	engine.incarnation.Add(1)
	d.registerRaw(engine)
	r.expectRest(t, req.AttemptID, deliveredBefore)
}

// A stream whose connection to a silent target is still being opened is placed again at once.
func TestSilence_AttemptThatWasNotSentIsNotKept(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	link := d.startBehindLink(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: 60 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	release := link.holdNewConnections(t)
	g.pool.CloseIdle(link.Addr().String())
	response := make(chan callerResponse, 1)
	go func() { response <- d.send(g, streamRequest()) }()
	cancelled := false
	d.waitUntil(func() bool {
		g.control.do(func() {
			m := g.control.monitors["e1"]
			if m == nil || len(m.attempts) != 1 {
				return
			}
			g.control.recordProbe("e1", probeResult{startedAt: time.Now()})
			for a := range m.attempts {
				cancelled = a.ctx.Err() != nil
			}
		})
		return cancelled
	})
	release()
	assert.Equal(t, (<-response).status, http.StatusOK)
}
