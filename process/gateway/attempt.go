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
	// maxIdleNonIdempotent is how long a connection may have been idle that carries a request
	// which may not be repeated: one that is closed meanwhile loses it.
	maxIdleNonIdempotent = 250 * time.Millisecond
	// maxIdleTime is that time for other requests.
	maxIdleTime = 800 * time.Millisecond
	// maxResponseBytes bounds the body of an answer that is not a stream.
	maxResponseBytes = 16 << 20
	// resumePrefillTokens is how many tokens a run reads that goes on from a copy: the copy
	// lags by some hundred milliseconds.
	resumePrefillTokens = 400
)

// attempt is one request to one target.
type attempt struct {
	exchange     *exchange
	target       placement.Registration
	requirements placement.Requirements
	spec         request.Attempt
	// resumeFrom is the copy that it goes on from, if any.
	resumeFrom peers.KVCopy
	ctx        context.Context
	cancel     context.CancelFunc
	monitor    *targetMonitor
	conn       *target.Conn
	// stopClose stops the end of the attempt from closing the connection. It returns
	// false when that has begun.
	stopClose func() bool
	startedAt time.Time
	// charge is what the budget of repeats was charged for it, if anything.
	charge admission.Charge
	// prefillUncontended says that the target had no other prompt to read when this one came.
	prefillUncontended bool
	// keepWhenDown attempts are not given up when their target seems lost: the request may
	// have run, and no other target may be asked.
	keepWhenDown bool
	targetDown   atomic.Bool
	// complete says that the answer came whole.
	complete atomic.Bool

	// The control goroutine owns the fields below once the attempt is placed.

	// kvCopy is where a copy of the memory goes, if anywhere. One that was ordered while
	// the attempt ran is there once it has a handle. copyless lists targets that did not
	// take one.
	kvCopy         peers.KVCopy
	copyRequested  bool
	copyRefusedBy  []request.TargetID
	streaming      bool
	streamingSince time.Time
}

// handleTargetDown gives the attempt up because its target seems lost.
func (a *attempt) handleTargetDown() {
	if !a.keepWhenDown {
		a.targetDown.Store(true)
		a.cancel()
	}
}

// placeAttempt chooses a target and counts the attempt there.
func (e *exchange) placeAttempt(ctx context.Context, requirements placement.Requirements) (*attempt, error) {
	c := e.gateway.control
	a := &attempt{exchange: e, requirements: requirements, startedAt: time.Now(), keepWhenDown: !e.route.Idempotent()}
	var choice placement.Choice
	var copyTarget request.TargetID
	var err error
	if !c.do(func() {
		requirements.CachedPrompt = c.promptIndex.Find(a.startedAt, requirements.Session)
		if choice, err = c.table.Pick(a.startedAt, requirements); err == nil {
			a.prefillUncontended = choice.Cost == 0
			a.requirements = requirements.ForTarget(choice.Target)
			c.reserve(a, choice.Target, ctx)
			copyTarget = a.kvCopy.Target
		}
	}) {
		return nil, errors.WithStack(errStopping)
	}
	if err != nil {
		return nil, err
	}
	e.gateway.log.Event("placed", "request", e.inbound.ID, "target", a.target.ID, "failureDomain", a.target.FailureDomain,
		"incarnation", a.target.Incarnation, "cost", choice.Cost, "runnerUp", choice.RunnerUp, "copy", copyTarget,
		"toRead", a.requirements.PromptTokens)
	return a, nil
}

// reserve counts an attempt at a target and chooses where its copy goes.
func (c *control) reserve(a *attempt, t *placement.Target, ctx context.Context) {
	a.target = t.Registration
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.spec.Target = t.Endpoint
	c.table.AddAttempt(t.ID, a.requirements)
	if a.requirements.MemoryTokens > 0 {
		if copyTarget := c.table.PickKVCopyTarget(a.startedAt, t, a.requirements); copyTarget != nil && a.sendsKVCopies() {
			a.kvCopy = peers.KVCopy{RequestID: a.exchange.inbound.ID, Target: copyTarget.ID, Incarnation: copyTarget.Incarnation}
			a.spec.KVCopyTo = copyTarget.Address
			c.table.AddKVCopyTokens(copyTarget.ID, a.requirements.MemoryTokens)
		}
		c.updatePending = true
		c.newlyPlaced = append(c.newlyPlaced, t.ID)
	}
	c.addAttempt(a)
}

// sendsKVCopies says whether the engines of the service send copies.
func (a *attempt) sendsKVCopies() bool {
	service := a.exchange.gateway.table.Load().Service(a.exchange.service)
	return service != nil && service.Engine != nil && service.Engine.SupportsKVCopies && a.exchange.route.Resumable
}

// release takes the attempt off its target.
func (a *attempt) release() {
	a.cancel()
	c := a.exchange.gateway.control
	c.post(func() {
		c.table.RemoveAttempt(a.target.ID, a.requirements, a.streaming)
		if a.kvCopy.Target != "" {
			c.table.AddKVCopyTokens(a.kvCopy.Target, -a.requirements.MemoryTokens)
		}
		if a.requirements.MemoryTokens > 0 {
			c.updatePending = true
		}
		c.removeAttempt(a)
	})
}

// prefillDone notes that the target has read the prompt.
func (a *attempt) prefillDone() {
	c := a.exchange.gateway.control
	elapsed := time.Since(a.startedAt)
	c.post(func() {
		if a.streaming {
			return
		}
		a.streaming, a.streamingSince = true, time.Now()
		c.promptIndex.Record(a.streamingSince, a.requirements.Session, prompts.Location{
			Target: a.target.ID, Incarnation: a.target.Incarnation, Tokens: a.exchange.inbound.PromptTokens,
		})
		c.table.PrefillDone(a.target.ID, a.requirements)
		if a.prefillUncontended {
			c.table.RecordPrefill(a.requirements.PromptTokens, elapsed)
		}
		c.updatePending = true
	})
}

// do sends the request and judges the head of the answer. The answer is nil unless
// it came.
func (a *attempt) do() (*http.Response, request.Reply, request.AttemptOutcome) {
	g := a.exchange.gateway
	maxIdle := maxIdleTime
	if a.keepWhenDown {
		maxIdle = maxIdleNonIdempotent
	}
	conn, err := g.pool.Get(a.ctx, a.target.Address, maxIdle)
	if err != nil {
		a.connectFailed(err)
		return nil, request.Reply{}, request.AttemptUnsent
	}
	a.conn = conn
	a.stopClose = context.AfterFunc(a.ctx, conn.Close)
	inbound := &a.exchange.inbound
	a.spec.TimeLeft = a.exchange.timeLeft()
	a.spec.Workspace = a.exchange.workspaceName()
	if a.requirements.MemoryTokens > 0 {
		priority := a.exchange.priority()
		a.spec.Priority = &priority
	}
	response, err := conn.Do(target.Request{
		Method: inbound.Method, Path: inbound.Target, Host: inbound.Host,
		Header: platform.EncodeAttempt(*inbound, a.spec), Body: inbound.Body,
	})
	if errors.Is(err, target.ErrNotSent) {
		a.connectFailed(err)
		return nil, request.Reply{}, request.AttemptUnsent
	}
	if err != nil {
		a.responseFailed(err)
		return nil, request.Reply{}, request.AttemptBroken
	}
	a.monitor.recordSeen(g.control)
	reply := platform.DecodeReply(response, inbound.ID)
	if !reply.WrongTarget && reply.Outcome() != request.AttemptBroken {
		a.monitor.recordIdentified(g.control)
	}
	a.recordReply(reply)
	if reply.Outcome() == request.AttemptRefused {
		g.log.Event("refused_by_target", "request", inbound.ID, "target", a.target.ID, "status", reply.Status,
			"fromCopy", a.spec.KVCopyFrom, "after", time.Since(a.startedAt))
	}
	return response, reply, reply.Outcome()
}

// recordReply tells the control state what an answer says of its target.
func (a *attempt) recordReply(reply request.Reply) {
	c := a.exchange.gateway.control
	c.post(func() {
		if reply.WrongTarget {
			c.markReplaced(a.target.ID)
			return
		}
		c.table.RecordResponse(time.Now(), a.target.ID, reply.Outcome() == request.AttemptBroken, reply.Load)
	})
}

// connectFailed notes that no connection could be made.
func (a *attempt) connectFailed(err error) {
	c := a.exchange.gateway.control
	c.post(func() { c.budget(a.exchange.service).Refund(a.charge) })
	if a.ctx.Err() != nil {
		return
	}
	a.exchange.gateway.log.Event("not_reached", "request", a.exchange.inbound.ID, "target", a.target.ID, "error", err.Error())
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.post(func() { c.markDown(a.target.ID, "connection refused") })
		return
	}
	a.exchange.gateway.probeAfterFailure(a.target.ID)
}

// responseFailed notes that an answer broke off.
func (a *attempt) responseFailed(err error) {
	if a.ctx.Err() != nil && !a.targetDown.Load() {
		return
	}
	g := a.exchange.gateway
	g.log.Event("broken", "request", a.exchange.inbound.ID, "target", a.target.ID,
		"givenUp", a.targetDown.Load(), "after", time.Since(a.startedAt), "error", err.Error())
	if a.targetDown.Load() {
		return
	}
	g.probeAfterFailure(a.target.ID)
	if a.conn != nil && !a.conn.Reused && !a.isStreaming() {
		g.control.post(func() {
			g.control.table.RecordConnectionFailure(time.Now(), a.target.ID)
			g.control.updatePending = true
		})
	}
}

// readBody reads the rest of an answer and gives its connection back.
func (a *attempt) readBody(response *http.Response) ([]byte, error) {
	body, err := readAtMost(response.Body, maxResponseBytes)
	if err != nil {
		a.conn.Close()
		return nil, errors.Wrap(err, "body")
	}
	a.releaseConnection(response)
	return body, nil
}

// releaseConnection returns the connection after the body of its answer was read whole. The
// end of the attempt must not close it then: another request may be on it.
func (a *attempt) releaseConnection(response *http.Response) {
	if a.stopClose() {
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
