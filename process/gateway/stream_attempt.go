package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/eventstream"
	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/memory"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// attemptUpdate is what an attempt reports to its stream.
type attemptUpdate struct {
	attempt *attempt
	number  request.AttemptNumber
	// head is the head of the response, set with events and with complete.
	head   *http.Response
	events []eventstream.Event
	// complete is set when the stream has ended normally. An update without events that
	// is not complete reports that the attempt failed; kind is the reason.
	complete bool
	kind     fault.Kind
	// failureResponse is the target's own error response, if it sent one.
	failureResponse *bufferedResponse
	// emptyEnd is set if the response ended without an event, an error or a mark of its end,
	// and its target runs on.
	emptyEnd bool
	// insideEvent is set if the response broke off inside an event.
	insideEvent bool
	// noResponse is set if the request was sent and no valid response received, unless
	// the target was marked down meanwhile.
	noResponse bool
	// sending is set if the attempt is about to be sent and waits until it is closed.
	sending chan struct{}
}

// queuedBytes returns how much of maxQueuedEventBytes the update takes.
func (u attemptUpdate) queuedBytes() int64 { return min(u.eventBytes(), maxQueuedEventBytes) }

// eventBytes returns the size of the events.
func (u attemptUpdate) eventBytes() int64 {
	total := 0
	for _, event := range u.events {
		total += len(event.Raw)
	}
	return int64(total)
}

// eventCopies is how much memory an event takes for its size: its buffer grows by factors of up
// to two.
const eventCopies = 2

// countedEvents counts the events that are read from a response until they have been written to
// the caller. It waits while there is no memory for them.
type countedEvents struct {
	attempt  *attempt
	account  *memory.Account
	response io.Reader
	// unsent is the size of what was read and not sent to the stream.
	unsent int64
}

// Read implements io.Reader.
func (c *countedEvents) Read(buffer []byte) (int, error) {
	n, err := c.response.Read(buffer)
	if c.account.Reserve(eventCopies * int64(n)) {
		c.unsent += int64(n)
		return n, err //nolint:wrapcheck // io.Reader
	}
	// The caller does not read, while memory is short.
	graceful.Disconnect(c.attempt.exchange.httpRequest.Context())
	<-c.attempt.ctx.Done()
	return 0, c.attempt.ctx.Err() //nolint:wrapcheck // of the request
}

// runStreamAttempt runs one attempt of a stream and sends its updates.
func (a *attempt) runStreamAttempt(s *stream, number request.AttemptNumber) {
	defer a.release()
	if !a.exchange.gateway.protect("attempt", func() { a.exchangeStream(s, number) }) {
		a.cancel()
		select {
		case s.updates <- attemptUpdate{attempt: a, number: number, kind: fault.TargetLost}:
		case <-s.stopped.Done():
		}
	}
}

// exchangeStream sends the request and the updates.
func (a *attempt) exchangeStream(s *stream, number request.AttemptNumber) {
	stopped := s.stopped.Done()
	send := func(update attemptUpdate) bool {
		update.attempt, update.number = a, number
		if bytes := update.queuedBytes(); bytes > 0 && s.queued.Acquire(s.stopped, bytes) != nil {
			return false
		}
		select {
		case s.updates <- update:
			return true
		case <-stopped:
			return false
		}
	}
	if a.replaces {
		a.confirmSending = func() bool {
			sending := make(chan struct{})
			if !send(attemptUpdate{sending: sending}) {
				return false
			}
			select {
			case <-sending:
				return a.ctx.Err() == nil && a.beginSending()
			case <-stopped:
				return false
			}
		}
	}
	response, reply, outcome := a.do()
	a.exchange.gateway.metrics.countAttempt(outcome.String())
	if a.quarantined.Load() {
		a.closeConnection()
		send(attemptUpdate{kind: fault.Quarantined})
		return
	}
	if outcome != request.AttemptAnswered {
		send(a.failureUpdate(response, outcome, reply))
		return
	}
	if reply.Status != http.StatusOK {
		send(a.otherResponseUpdate(response))
		return
	}
	a.forwardEvents(response, s.eventMemory, send)
}

// otherResponseUpdate returns the update for an attempt whose response to the request is not
// a stream.
func (a *attempt) otherResponseUpdate(response *http.Response) attemptUpdate {
	body, err := a.readBody(response)
	if err != nil {
		a.responseFailed(err)
		return attemptUpdate{kind: fault.TargetLost}
	}
	if a.spec.Position > a.exchange.inbound.Position {
		// Another target has served a part of the stream, so the request is not at fault.
		return attemptUpdate{kind: fault.TargetLost}
	}
	return attemptUpdate{kind: fault.BadRequest, failureResponse: &bufferedResponse{head: response, body: body}}
}

// failureUpdate returns the update for an attempt that failed.
func (a *attempt) failureUpdate(response *http.Response, outcome request.AttemptOutcome, reply request.Reply) attemptUpdate {
	update := attemptUpdate{kind: fault.TargetLost}
	switch outcome {
	case request.AttemptUnsent:
		update.kind = fault.Unreachable
	case request.AttemptRefused:
		update.kind = fault.Overloaded
		a.conn.Close()
	case request.AttemptFailed:
		if request.GuaranteesNotRun(reply.Status) {
			a.discardBody(response)
		} else if body, err := a.readBody(response); err == nil {
			update.failureResponse = &bufferedResponse{head: response, body: body}
		}
	default:
		update.noResponse = !a.targetDown.Load()
		a.closeConnection()
	}
	return update
}

// closeConnection closes the connection, if there is one.
func (a *attempt) closeConnection() {
	if a.conn != nil {
		a.conn.Close()
	}
}

// forwardEvents sends the events of a stream until it ends or breaks.
func (a *attempt) forwardEvents(response *http.Response, account *memory.Account, send func(attemptUpdate) bool) {
	a.startResponse()
	counted := &countedEvents{attempt: a, account: account, response: response.Body}
	defer func() { account.Release(eventCopies * counted.unsent) }()
	reader := eventstream.NewReader(counted)
	timer := eventTimer{attempt: a}
	var batch []eventstream.Event
	for {
		event, err := reader.Next()
		if err == nil {
			a.recordSeen()
			a.monitor.recordIdentified(a.exchange.gateway.control)
			a.eventCount++
			a.lastEvent = event.ID
			a.checkSurvival()
			batch = append(batch, event)
			if reader.Buffered() {
				continue
			}
		}
		if len(batch) > 0 {
			a.prefillDone()
			receivedAt := time.Now()
			update := attemptUpdate{head: response, events: batch}
			if !send(update) {
				a.conn.Close()
				return
			}
			timer.record(len(batch), receivedAt, time.Now())
			counted.unsent -= update.eventBytes()
			batch = nil
		}
		if err == nil {
			continue
		}
		update := a.endOfEvents(response, err)
		update.insideEvent = !update.complete && event.Begun()
		send(update)
		return
	}
}

// endOfEvents returns the update for the end of a stream, as which the reader returned err.
func (a *attempt) endOfEvents(response *http.Response, err error) attemptUpdate {
	ended := eventstream.IsEndOfStream(err)
	// The head is all of a response to HEAD.
	framed := a.exchange.inbound.Method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	end := request.StreamEnd{
		Position: a.spec.Position, Events: max(0, a.lastEvent-a.spec.Position),
		Repeats:   a.eventCount > 0 && a.lastEvent <= a.spec.Position,
		Confirmed: a.endSeen, EventBegun: a.eventBegun,
		Framed:       framed,
		OtherContent: !eventstream.MayHoldEvents(response.Header),
	}
	if ended && end.DependsOnTarget() {
		end.TargetRuns = a.targetRuns()
	}
	if ended && end.Complete() {
		a.complete.Store(true)
		a.recordSurvival()
		a.releaseConnection(response)
		return attemptUpdate{head: response, complete: true}
	}
	a.responseFailed(err)
	a.conn.Close()
	if a.quarantined.Load() {
		return attemptUpdate{kind: fault.Quarantined}
	}
	return attemptUpdate{kind: fault.TargetLost, emptyEnd: ended && end.MayConfirm()}
}

// targetRuns probes the target after a response without an event and reports whether it is
// still running. If it is not, the attempt broke off.
func (a *attempt) targetRuns() bool {
	c := a.exchange.gateway.control
	c.recordBroken(a)
	result := make(chan bool, 1)
	c.post(func() {
		c.probeIncarnation(a.target.ID, a.target.Address, a.target.Service, func(probed probeResult) { result <- probed.alive })
	})
	select {
	case alive := <-result:
		return alive
	case <-a.ctx.Done():
		return false
	}
}
