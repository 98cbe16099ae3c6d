package gateway

import (
	"net/http"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/request"
)

// part is what an attempt tells the stream it works for.
type part struct {
	attempt *attempt
	number  request.AttemptNumber
	// head comes with the first events.
	head   *http.Response
	events []platform.Event
	// ended says that the answer is complete, kind why the attempt failed else.
	ended bool
	kind  fault.Kind
	// failure is the target's own answer of a failure, if it gave one.
	failure *answer
	// unanswered says that the connection broke before the target answered.
	unanswered bool
}

// runStream runs one attempt of a stream and tells what comes of it.
func (a *attempt) runStream(parts chan<- part, over <-chan struct{}, number request.AttemptNumber) {
	defer a.release()
	tell := func(p part) bool {
		p.attempt, p.number = a, number
		select {
		case parts <- p:
			return true
		case <-over:
			return false
		}
	}
	response, reply, outcome := a.do()
	a.exchange.gateway.metrics.attempt(outcome.String())
	if outcome != request.AttemptAnswered {
		tell(a.failed(response, outcome, reply))
		return
	}
	if reply.Status != http.StatusOK {
		p := part{kind: fault.BadRequest}
		if body, err := a.readBody(response); err == nil {
			p.failure = &answer{head: response, body: body}
		}
		tell(p)
		return
	}
	a.events(response, tell)
}

// failed describes an attempt whose answer is not a stream.
func (a *attempt) failed(response *http.Response, outcome request.AttemptOutcome, reply request.Reply) part {
	p := part{kind: fault.TargetLost}
	switch outcome {
	case request.AttemptUnsent:
		p.kind = fault.Unreachable
	case request.AttemptRefused:
		p.kind = fault.Overloaded
		a.conn.Close()
	case request.AttemptFailed:
		if body, err := a.readBody(response); err == nil && !promises(reply.Status) {
			p.failure = &answer{head: response, body: body}
		}
	default:
		p.unanswered = !a.targetDown.Load()
		if a.conn != nil {
			a.conn.Close()
		}
	}
	return p
}

// events reads the events of a stream until it ends or breaks off.
func (a *attempt) events(response *http.Response, tell func(part) bool) {
	reader := platform.NewEventReader(response.Body)
	var batch []platform.Event
	for {
		event, err := reader.Next()
		if err == nil {
			a.monitor.recordIdentified(a.exchange.gateway.control)
			batch = append(batch, event)
			if reader.Buffered() {
				continue
			}
		}
		if len(batch) > 0 {
			a.prefillDone()
			if !tell(part{head: response, events: batch}) {
				a.conn.Close()
				return
			}
			batch = nil
		}
		if err == nil {
			continue
		}
		if platform.IsEndOfStream(err) {
			a.complete.Store(true)
			a.releaseConnection(response)
			tell(part{head: response, ended: true})
			return
		}
		a.responseFailed(err)
		a.conn.Close()
		tell(part{kind: fault.TargetLost})
		return
	}
}
