package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/target"
	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/admission"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// reuseOnce is how long a connection may have been idle that carries a request
	// which may not be repeated: one that is closed meanwhile loses it.
	reuseOnce = 250 * time.Millisecond
	// reuseMost is that time for other requests.
	reuseMost = 800 * time.Millisecond
	// answerBytes bounds the body of an answer that is not a stream.
	answerBytes = 16 << 20
	// copyPrompt is how many tokens a run reads that goes on from a copy: the copy
	// lags by some hundred milliseconds.
	copyPrompt = 400
)

// attempt is one request to one target.
type attempt struct {
	exchange *exchange
	target   placement.Registration
	need     placement.Requirements
	spec     request.Attempt
	// from is the copy that it goes on from, if any.
	from    peers.KVCopy
	ctx     context.Context
	cancel  context.CancelFunc
	monitor *targetMonitor
	conn    *target.Conn
	// keepOpen stops the end of the attempt from closing the connection. It returns
	// false when that has begun.
	keepOpen func() bool
	began    time.Time
	// charge is what the budget of repeats was charged for it, if anything.
	charge admission.Charge
	// alone says that the target had no other prompt to read when this one came.
	alone bool
	// patient attempts are not given up when their target seems lost: the request may
	// have run, and no other target may be asked.
	patient bool
	given   atomic.Bool
	// done says that the answer came whole.
	done atomic.Bool

	// The control goroutine owns the fields below once the attempt is placed.

	// copy is where a copy of the memory goes, if anywhere. One that was ordered while
	// the attempt ran is there once it has a handle. copyless lists targets that did not
	// take one.
	copy       peers.KVCopy
	ordered    bool
	copyless   []request.TargetID
	answering  bool
	answeredAt time.Time
}

// abandon gives the attempt up because its target seems lost.
func (a *attempt) abandon() {
	if !a.patient {
		a.given.Store(true)
		a.cancel()
	}
}

// place chooses a target and counts the attempt there.
func (e *exchange) place(ctx context.Context, need placement.Requirements) (*attempt, error) {
	c := e.gateway.control
	a := &attempt{exchange: e, need: need, began: time.Now(), patient: !e.route.Idempotent()}
	var choice placement.Choice
	var copyTo request.TargetID
	var err error
	if !c.do(func() {
		need.CachedPrompt = c.promptIndex.Find(a.began, need.Session)
		if choice, err = c.table.Pick(a.began, need); err == nil {
			a.alone = choice.Cost == 0
			a.need = need.ForTarget(choice.Target)
			c.occupy(a, choice.Target, ctx)
			copyTo = a.copy.Target
		}
	}) {
		return nil, errors.WithStack(errStopping)
	}
	if err != nil {
		return nil, err
	}
	e.gateway.log.Event("placed", "request", e.in.ID, "target", a.target.ID, "failureDomain", a.target.FailureDomain,
		"incarnation", a.target.Incarnation, "cost", choice.Cost, "runnerUp", choice.RunnerUp, "copy", copyTo,
		"toRead", a.need.PromptTokens)
	return a, nil
}

// occupy counts an attempt at a target and chooses where its copy goes.
func (c *control) occupy(a *attempt, t *placement.Target, ctx context.Context) {
	a.target = t.Registration
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.spec.Target = t.Endpoint
	c.table.AddAttempt(t.ID, a.need)
	if a.need.MemoryTokens > 0 {
		if copyTo := c.table.PickKVCopyTarget(a.began, t, a.need); copyTo != nil && a.copies() {
			a.copy = peers.KVCopy{RequestID: a.exchange.in.ID, Target: copyTo.ID, Incarnation: copyTo.Incarnation}
			a.spec.KVCopyTo = copyTo.Address
			c.table.AddKVCopyTokens(copyTo.ID, a.need.MemoryTokens)
		}
		c.updatePending = true
		c.newlyPlaced = append(c.newlyPlaced, t.ID)
	}
	c.addAttempt(a)
}

// copies says whether the engines of the service send copies.
func (a *attempt) copies() bool {
	service := a.exchange.gateway.table.Load().Service(a.exchange.service)
	return service != nil && service.Engine != nil && service.Engine.SupportsKVCopies && a.exchange.route.Resumable
}

// release takes the attempt off its target.
func (a *attempt) release() {
	a.cancel()
	c := a.exchange.gateway.control
	c.post(func() {
		c.table.RemoveAttempt(a.target.ID, a.need, a.answering)
		if a.copy.Target != "" {
			c.table.AddKVCopyTokens(a.copy.Target, -a.need.MemoryTokens)
		}
		if a.need.MemoryTokens > 0 {
			c.updatePending = true
		}
		c.removeAttempt(a)
	})
}

// reading notes that the target has read the prompt.
func (a *attempt) reading() {
	c := a.exchange.gateway.control
	took := time.Since(a.began)
	c.post(func() {
		if a.answering {
			return
		}
		a.answering, a.answeredAt = true, time.Now()
		c.promptIndex.Record(a.answeredAt, a.need.Session, prompts.Location{
			Target: a.target.ID, Incarnation: a.target.Incarnation, Tokens: a.exchange.in.PromptTokens,
		})
		c.table.PrefillDone(a.target.ID, a.need)
		if a.alone {
			c.table.RecordPrefill(a.need.PromptTokens, took)
		}
		c.updatePending = true
	})
}

// do sends the request and judges the head of the answer. The answer is nil unless
// it came.
func (a *attempt) do() (*http.Response, request.Reply, request.AttemptOutcome) {
	g := a.exchange.gateway
	idle := reuseMost
	if a.patient {
		idle = reuseOnce
	}
	conn, err := g.pool.Get(a.ctx, a.target.Address, idle)
	if err != nil {
		a.unreached(err)
		return nil, request.Reply{}, request.AttemptUnsent
	}
	a.conn = conn
	a.keepOpen = context.AfterFunc(a.ctx, conn.Close)
	in := &a.exchange.in
	a.spec.TimeLeft = a.exchange.timeLeft()
	a.spec.Workspace = a.exchange.workspaceName()
	if a.need.MemoryTokens > 0 {
		priority := a.exchange.priority()
		a.spec.Priority = &priority
	}
	response, err := conn.Do(target.Request{
		Method: in.Method, Path: in.Target, Host: in.Host,
		Header: platform.EncodeAttempt(*in, a.spec), Body: in.Body,
	})
	if errors.Is(err, target.ErrNotSent) {
		a.unreached(err)
		return nil, request.Reply{}, request.AttemptUnsent
	}
	if err != nil {
		a.broke(err)
		return nil, request.Reply{}, request.AttemptBroken
	}
	a.monitor.recordSeen(g.control)
	reply := platform.DecodeReply(response, in.ID)
	if !reply.WrongTarget && reply.Outcome() != request.AttemptBroken {
		a.monitor.recordIdentified(g.control)
	}
	a.note(reply)
	if reply.Outcome() == request.AttemptRefused {
		g.log.Event("refused_by_target", "request", in.ID, "target", a.target.ID, "status", reply.Status,
			"fromCopy", a.spec.KVCopyFrom, "after", time.Since(a.began))
	}
	return response, reply, reply.Outcome()
}

// note tells the control state what an answer says of its target.
func (a *attempt) note(reply request.Reply) {
	c := a.exchange.gateway.control
	c.post(func() {
		if reply.WrongTarget {
			c.markReplaced(a.target.ID)
			return
		}
		c.table.RecordResponse(time.Now(), a.target.ID, reply.Outcome() == request.AttemptBroken, reply.Load)
	})
}

// unreached notes that no connection could be made.
func (a *attempt) unreached(err error) {
	c := a.exchange.gateway.control
	c.post(func() { c.budget(a.exchange.service).Refund(a.charge) })
	if a.ctx.Err() != nil {
		return
	}
	a.exchange.gateway.log.Event("not_reached", "request", a.exchange.in.ID, "target", a.target.ID, "error", err.Error())
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.post(func() { c.markDown(a.target.ID, "connection refused") })
		return
	}
	a.exchange.gateway.probeAfterFailure(a.target.ID)
}

// broke notes that an answer broke off.
func (a *attempt) broke(err error) {
	if a.ctx.Err() != nil && !a.given.Load() {
		return
	}
	g := a.exchange.gateway
	g.log.Event("broken", "request", a.exchange.in.ID, "target", a.target.ID,
		"givenUp", a.given.Load(), "after", time.Since(a.began), "error", err.Error())
	if a.given.Load() {
		return
	}
	g.probeAfterFailure(a.target.ID)
	if a.conn != nil && !a.conn.Reused && !a.hasAnswered() {
		g.control.post(func() {
			g.control.table.RecordConnectionFailure(time.Now(), a.target.ID)
			g.control.updatePending = true
		})
	}
}

// body reads the rest of an answer and gives its connection back.
func (a *attempt) body(response *http.Response) ([]byte, error) {
	body, err := readAtMost(response.Body, answerBytes)
	if err != nil {
		a.conn.Close()
		return nil, errors.Wrap(err, "body")
	}
	a.giveBack(response)
	return body, nil
}

// giveBack returns the connection after the body of its answer was read whole. The
// end of the attempt must not close it then: another request may be on it.
func (a *attempt) giveBack(response *http.Response) {
	if a.keepOpen() {
		a.exchange.gateway.pool.Put(a.conn, response)
	}
}

// readAtMost reads a body that must not be longer than limit.
func readAtMost(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errors.Errorf("longer than %d bytes", limit)
	}
	return data, errors.WithStack(err)
}
