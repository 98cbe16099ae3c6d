package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// Callers opened connections before the stop and send on them shortly before the end of the
// grace period, until which a stream keeps the process running.
func TestStop_CallsOnKeptConnectionsAreNotCutOff(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: 400,
		PrefillTime: 10 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 60 * time.Millisecond, Slots: 256})
	g := d.startReadyEntry("entry-1")
	d.openStream(context.Background(), g, streamRequest()).skipTo(t, 1)
	const callers = 100
	opened, results := make(chan struct{}), make(chan bool)
	stop := make(chan struct{})
	for i := range callers {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			call := func() (id string, err error) {
				req := bookingRequest()
				response, err := client.Do(req.httpRequest(context.Background(), g))
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				return req.AttemptID, err
			}
			_, _ = call()
			opened <- struct{}{}
			<-stop
			time.Sleep(g.settings.Bounds.Grace.Std() - 1100*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			id, err := call()
			results <- err != nil && d.fleet.ExecutionLog.Arrivals(id) > 0
		}()
	}
	for range callers {
		<-opened
	}
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop(context.Background()) }()
	close(stop)
	cutOff := 0
	for range callers {
		if <-results {
			cutOff++
		}
	}
	assert.NilError(t, <-stopped)
	assert.Equal(t, cutOff, 0)
}

// A call that lasts longer than the grace period gets a response before its end.
func TestStop_CallBeyondGracePeriodGetsResponse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: time.Minute, Slots: 6})
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	req.DeadlineRemaining = time.Minute
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(req.httpRequest(context.Background(), g))
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(req.AttemptID) > 0 })
	start := time.Now()
	go func() { _ = g.Stop(context.Background()) }()
	assert.Equal(t, <-statuses, http.StatusBadGateway)
	assert.Assert(t, time.Since(start) < g.settings.Bounds.Grace.Std())
}

// keptConnection is a connection on which a test writes requests byte by byte.
type keptConnection struct {
	net.Conn
	responses *bufio.Reader
}

func (d *deployment) dialCaller(g *Gateway) *keptConnection {
	d.t.Helper()
	conn, err := net.Dial("tcp", g.callerAddress())
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(d.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &keptConnection{Conn: conn, responses: bufio.NewReader(conn)}
}

// encodeRequest returns the bytes of a request.
func encodeRequest(t *testing.T, g *Gateway, req *callerRequest) []byte {
	t.Helper()
	var encoded bytes.Buffer
	assert.NilError(t, req.httpRequest(context.Background(), g).Write(&encoded))
	return encoded.Bytes()
}

func (c *keptConnection) send(t *testing.T, part []byte) {
	t.Helper()
	_, err := c.Write(part)
	assert.NilError(t, err)
}

// receive reads a whole response and returns its status.
func (c *keptConnection) receive(t *testing.T) int {
	t.Helper()
	response, err := http.ReadResponse(c.responses, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// keepBusy keeps an entry that stops running until the end of its grace period.
func (d *deployment) keepBusy(g *Gateway) {
	d.t.Helper()
	d.openStream(context.Background(), g, streamRequest()).skipTo(d.t, 1)
}

func startLongStreams(d *deployment) {
	d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: 400,
		PrefillTime: 10 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
}

// The first request on a connection that was accepted before the entry closed the idle ones
// arrives afterwards, as it does on a busy host.
func TestStop_FirstRequestReadAfterIdleConnectionsClosedGetsResponse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	startLongStreams(d)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.keepBusy(g)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	plan := g.stopPlan.Load()
	time.Sleep(time.Until(plan.CloseIdle()) - 100*time.Millisecond)
	conn := d.dialCaller(g)
	time.Sleep(time.Until(plan.CloseIdle()) + 200*time.Millisecond)
	conn.send(t, encodeRequest(t, g, bookingRequest()))
	status := conn.receive(t)
	assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
}

// The entry closes idle connections while it reads the head of a request.
func TestStop_RequestBeingReadGetsResponse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	startLongStreams(d)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	d.keepBusy(g)
	conn := d.dialCaller(g)
	conn.send(t, encodeRequest(t, g, bookingRequest()))
	assert.Equal(t, conn.receive(t), http.StatusOK)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	plan := g.stopPlan.Load()
	time.Sleep(time.Until(plan.CloseIdle()) - 200*time.Millisecond)
	encoded := encodeRequest(t, g, bookingRequest())
	conn.send(t, encoded[:40])
	time.Sleep(time.Until(plan.CloseIdle()) + 200*time.Millisecond)
	conn.send(t, encoded[40:])
	status := conn.receive(t)
	assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
}

// The limits change twice while the entry stops.
func TestStop_ChangedLimitsCutNothingOff(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 2500 * time.Millisecond, Slots: 60})
	g := d.startReadyEntry("entry-1")
	type result struct {
		status int
		err    error
	}
	const calls = 12
	results := make(chan result, calls)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	for i := range calls {
		if i%4 == 3 {
			d.configure(func(config map[string]any) {
				config["Limits"] = map[string]any{
					"MaxHeaderBytes": 16384 + i, "MaxBodyBytes": 4096, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			req := statusRequest()
			req.DeadlineRemaining = 2800 * time.Millisecond
			response, err := client.Do(req.httpRequest(context.Background(), g))
			if err != nil {
				results <- result{err: err}
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			results <- result{response.StatusCode, err}
		}()
	}
	for range calls {
		r := <-results
		assert.NilError(t, r.err)
	}
}

// A target falls silent during the call; the call's own time limit is after the end of the
// grace period.
func TestStop_CallAtSilentTargetGetsResponse(t *testing.T) {
	d := newDeployment(t)
	a1 := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	for range 5 {
		assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	}
	conn := d.dialCaller(g)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	a1.SetFaults(replica.Faults{Silent: true})
	time.Sleep(time.Until(g.stopPlan.Load().CloseIdle()) - 200*time.Millisecond)
	conn.send(t, encodeRequest(t, g, statusRequest()))
	status := conn.receive(t)
	assert.Assert(t, status >= 500, "%d", status)
}

// A caller sends two requests at once; the entry closes idle connections while the target is
// at work on the second.
func TestStop_PipelinedRequestGetsResponse(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 2500 * time.Millisecond, Slots: 6})
	g := d.startReadyEntry("entry-1")
	conn := d.dialCaller(g)
	unknown, booking := newCallerRequest(http.MethodGet, "/unknown", ""), bookingRequest()
	conn.send(t, append(encodeRequest(t, g, unknown), encodeRequest(t, g, booking)...))
	assert.Equal(t, conn.receive(t), http.StatusNotFound)
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(booking.AttemptID) > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop(context.Background()) }()
	assert.Equal(t, conn.receive(t), http.StatusOK)
	assert.NilError(t, <-stopped)
}

// A caller sends its body slowly, beyond the end of the grace period.
func TestStop_BodyNotWholeAtTheEndGetsRefusal(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	conn := d.dialCaller(g)
	booking := bookingRequest()
	encoded := encodeRequest(t, g, booking)
	go func() { _ = g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	conn.send(t, encoded[:len(encoded)-1])
	assert.Equal(t, conn.receive(t), http.StatusServiceUnavailable)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(booking.AttemptID), 0)
}

// waitForMovedCopy marks the target of the stream's copy down and waits until another target
// holds the copy.
func (d *copyTest) waitForMovedCopy() {
	d.t.Helper()
	first, _ := d.copyTargets()
	d.gateway.control.post(func() { d.gateway.control.markDown(request.TargetID(first), "test") })
	d.waitUntil(func() bool {
		moved := false
		d.gateway.control.do(func() {
			for _, m := range d.gateway.control.monitors {
				for running := range m.attempts {
					moved = running.kvCopy.Handle != ""
				}
			}
		})
		return moved
	})
}

// readUntilBroken reads events until the stream breaks off, which must not look like its end,
// and returns the ID of the last one.
func (r *streamReader) readUntilBroken(t *testing.T) (last int) {
	t.Helper()
	for {
		event, err := r.stream.Next()
		if err != nil {
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			return last
		}
		last = event.ID
	}
}

// A stream that the end of a planned stop cuts off goes on at another entry, from its KV copy,
// also if that was moved while the stream ran.
func TestStop_StreamGoesOnAtAnotherEntryFromItsCopy(t *testing.T) {
	for _, moved := range []bool{false, true} {
		d := newCopyTestWith(t, replica.Config{EventCount: 400, PrefillTime: 50 * time.Millisecond, EventInterval: 25 * time.Millisecond})
		second := d.startReadyEntry("entry-2")
		d.waitUntil(func() bool {
			known := 0
			d.gateway.control.do(func() { known = len(d.gateway.control.peers) })
			return known == 2
		})
		if moved {
			d.waitForMovedCopy()
		}
		stopped := make(chan error, 1)
		go func() { stopped <- d.gateway.Stop(context.Background()) }()
		last := d.reader.readUntilBroken(t)
		retry := streamRequest()
		retry.Position, retry.PromptID = last, d.req.AttemptID
		rest := d.openStream(context.Background(), second, retry)
		event, err := rest.stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, event.ID, last+1)
		assert.NilError(t, <-stopped)
		executions := d.fleet.ExecutionLog.Executions(retry.AttemptID)
		assert.Equal(t, len(executions), 1)
		assert.Assert(t, executions[0].FromKVCopy, "moved=%t: the prompt was prefilled again", moved)
		assert.Equal(t, d.fleet.ExecutionLog.Arrivals(retry.AttemptID), 1, "moved=%t", moved)
	}
}

// Streams longer than the grace period arrive while the balancer still sends connections. A
// caller that is turned away returns to the same entry.
func TestStop_StreamLongerThanGracePeriodIsHandedOver(t *testing.T) {
	t.Parallel()
	d := newCopyTestWith(t, replica.Config{EventCount: 60, PrefillTime: 50 * time.Millisecond, EventInterval: 70 * time.Millisecond})
	second := d.startReadyEntry("entry-2")
	d.reader.skipTo(t, 60)
	_, err := d.reader.stream.Next()
	assert.ErrorIs(t, err, io.EOF)
	go func() { _ = d.gateway.Stop(context.Background()) }()
	d.waitUntil(d.gateway.draining)
	req := streamRequest()
	reader := d.openStream(context.Background(), d.gateway, req)
	assert.Equal(t, reader.response.StatusCode, http.StatusOK)
	last := reader.readUntilBroken(t)
	retry := streamRequest()
	retry.Position, retry.PromptID = last, req.AttemptID
	d.openStream(context.Background(), second, retry).skipTo(t, 60)
	executions := d.fleet.ExecutionLog.Executions(retry.AttemptID)
	assert.Equal(t, len(executions), 1)
	assert.Assert(t, executions[0].FromKVCopy)
}

// Requests that may not be repeated keep arriving throughout the stop, most as the last byte of
// a body that was begun before; their target is silent for a second. One that reached a target
// is not cut off by the stop: it gets its response, or 504 when its own time is over.
func TestStop_NonRepeatableCallsThatReachedATargetGetResponses(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	startLongStreams(d)
	a1 := d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 200 * time.Millisecond, Slots: 256})
	g := d.startReadyEntry("entry-1")
	d.keepBusy(g)
	grace := g.settings.Bounds.Grace.Std()
	const callers = 80
	type result struct {
		id string
		// status is 0 without a whole response.
		status int
	}
	results := make(chan result, callers)
	var begin sync.WaitGroup
	begin.Add(1)
	for i := range callers {
		conn, req := d.dialCaller(g), bookingRequest()
		delay := time.Duration(i) * grace / callers
		req.DeadlineRemaining = delay + 520*time.Millisecond
		encoded := encodeRequest(t, g, req)
		go func() {
			begin.Wait()
			_, _ = conn.Write(encoded[:len(encoded)-1])
			time.Sleep(delay)
			_, _ = conn.Write(encoded[len(encoded)-1:])
			r := result{id: req.AttemptID}
			if response, err := http.ReadResponse(conn.responses, nil); err == nil {
				if _, err := io.Copy(io.Discard, response.Body); err == nil {
					r.status = response.StatusCode
				}
			}
			results <- r
		}()
	}
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	begin.Done()
	time.AfterFunc(grace/2, func() { a1.SetFaults(replica.Faults{Silent: true}) })
	time.AfterFunc(grace/2+time.Second, func() { a1.SetFaults(replica.Faults{}) })
	reached := 0
	for range callers {
		r := <-results
		if d.fleet.ExecutionLog.Arrivals(r.id) > 0 {
			reached++
			assert.Assert(t, r.status == http.StatusOK || r.status == http.StatusGatewayTimeout,
				"%s reached a target, and its response was %d", r.id, r.status)
		}
	}
	assert.Assert(t, reached > 0)
	assert.NilError(t, <-stopped)
}

// An entry that was stopped starts again at once, knowing nothing, while the others still count
// it as running.
func TestPeerUpdates_RestartedEntryGetsWholeStateAtOnce(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	c := g.control
	c.do(func() {
		c.handlePeerUpdate(peers.Update{Entry: "entry-2", Incarnation: 1, Full: true})
		c.sendPeerUpdate()
		c.updateScheduler.Compose(time.Now(), peers.Update{})
		c.handlePeerUpdate(peers.Update{Entry: "entry-2", Incarnation: 2, Full: true})
		assert.Check(t, c.updatePending)
		assert.Check(t, c.updateScheduler.Compose(time.Now(), peers.Update{}).Full)
	})
}

// The caller of a stream that a planned stop cut off comes after the stopped entry has started
// again and has told the others that it runs no streams.
func TestStop_CopyIsFoundAfterStoppedEntryRestarted(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	d.waitForKnowledge(g, kvcopies.Complete)
	c := g.control
	kvCopy := kvcopies.Copy{RequestID: "request-a", Target: "e1", Incarnation: 1}
	identity := request.Identity{1}
	runs := map[kvcopies.Number]kvcopies.Run{1: {ID: "request-a", Identity: identity, Copy: kvCopy}}
	c.do(func() {
		c.handlePeerUpdate(peers.Update{Entry: "entry-2", Incarnation: 1, Full: true, Runs: runs})
		c.handlePeerUpdate(peers.Update{Entry: "entry-2", Incarnation: 2, Full: true})
		found, result := c.kvCopies.Start(time.Now(), 1, "request-b", identity, true)
		assert.Check(t, result == kvcopies.Found)
		assert.Check(t, found == kvCopy)
		c.kvCopies.Remove(1)
		_, result = c.kvCopies.Start(time.Now().Add(c.peerTimeout()+time.Second), 1, "request-b", identity, true)
		assert.Check(t, result == kvcopies.NoCopy)
	})
}
