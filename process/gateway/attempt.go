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
	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/process/quarantine"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// maxIdleNonIdempotent is how long a connection may have been idle to carry a
	// request that must not be retried: if the target closes it just as the request is
	// sent, the request is lost.
	maxIdleNonIdempotent = 250 * time.Millisecond
	// maxIdleTime is that time for other requests.
	maxIdleTime = 800 * time.Millisecond
	// maxResponseBytes limits the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// maxDiscardedBytes and discardTimeout limit the body of a response that is discarded to
	// keep its connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
	// resumePrefillTokens is how many tokens an engine prefills when an attempt resumes
	// from a KV copy: the copy lags by some hundred milliseconds.
	resumePrefillTokens = 400
)

// attempt is one try of a request at a target.
type attempt struct {
	exchange     *exchange
	target       placement.Registration
	requirements placement.Requirements
	spec         request.Attempt
	// resumeFrom is the KV copy from which it resumes, if any.
	resumeFrom kvcopies.Copy
	ctx        context.Context
	cancel     context.CancelFunc
	monitor    *targetMonitor
	conn       *target.Conn
	// reply is the head of the response, if there was one.
	reply request.Reply
	// stopClose stops the end of the attempt from closing the connection. It returns
	// false if the connection is already being closed.
	stopClose func() bool
	startedAt time.Time
	// charge is what the retry budget was charged for the attempt, if anything.
	charge admission.Charge
	// stage is what has been decided about sending the request.
	stage atomic.Int32
	// mayHaveRun is set once the request has been sent, unless the target refused it.
	mayHaveRun bool
	// sentBefore is set if the request was sent to the target before.
	sentBefore bool
	// first is set if it is the first attempt of its request that was placed. sent is set once the
	// request has been sent, with the outcome; broken if the response broke off, though nobody had
	// given up the attempt; answeredAt is when the whole response to a call had arrived.
	first, sent, broken bool
	outcome             request.AttemptOutcome
	answeredAt          time.Time
	// prefillAlone is set if the target had no other prompt to prefill when the attempt was
	// placed.
	prefillAlone bool
	// keepWhenDown attempts are not cancelled when their target is marked down: the
	// request may have run, and no other target may be tried. targetDown is set on
	// other attempts when they are cancelled for that reason.
	keepWhenDown bool
	targetDown   atomic.Bool
	// lastSeen is when something was last received in response to it, in nanoseconds since the
	// start of the process; until then, when it was placed.
	lastSeen atomic.Int64
	// suspected is set while the target does not answer probes. The attempt goes on until
	// another one can replace it, since the target may.
	suspected atomic.Bool
	// replaces is set if the attempt is to replace one at a suspected target. confirmSending
	// then reports whether it may be sent; the other one has ended when it returns true.
	replaces       bool
	confirmSending func() bool
	// endSeen is set if an earlier attempt of the stream ended at the same position without
	// an event.
	endSeen bool
	// eventBegun is set if an earlier attempt of the stream broke off at the same position
	// inside the next event.
	eventBegun bool
	// complete is set when the whole response has been received.
	complete atomic.Bool
	// responseStarted is set when the target has begun to respond, at responseStartedAt;
	// survived when it has gone on for long enough, so that it does not crash on the
	// prompt. quarantined is set when the attempt is cancelled because of its prompt.
	responseStarted   atomic.Bool
	responseStartedAt time.Time
	survived          atomic.Bool
	quarantined       atomic.Bool

	// eventCount counts the events received, lastEvent is the ID of the last one; the goroutine
	// of the attempt owns them.
	eventCount, lastEvent int

	// The control goroutine owns the fields below once the attempt is placed.

	// kvCopy is where the KV memory is copied to, if anywhere. A copy that was
	// requested while the attempt ran exists once it has a handle. copyRefusedBy lists
	// targets that refused it.
	kvCopy         kvcopies.Copy
	copyRequested  bool
	copyRefusedBy  []request.TargetID
	streaming      bool
	streamingSince time.Time
	// prefillMark identifies the prefill work at the target since the attempt was placed, or
	// since the events were last timed.
	prefillMark placement.PrefillMark
	// brokenRecorded is set when the attempt was recorded as broken off.
	brokenRecorded bool
	// trial is the part in quarantine of which this attempt is the trial, if any.
	trial quarantine.Part
	// reserved is set if the attempt uses up a request that was reserved for it at a target
	// that asked for none.
	reserved bool
}

// Stages of an attempt. Only one of the other two follows stagePlaced: the attempt that another one
// replaces ends when that one is about to be sent.
const (
	stagePlaced int32 = iota
	stageSending
	stageWithdrawn
)

// beginSending records that the request is about to be sent, and reports whether it may be: the
// attempt may have been withdrawn.
func (a *attempt) beginSending() bool {
	return a.stage.CompareAndSwap(stagePlaced, stageSending) || a.stage.Load() == stageSending
}

// withdraw cancels the attempt because its target does not answer probes, and reports whether it
// could: nothing of it can be lost until it is about to be sent.
func (a *attempt) withdraw() bool {
	if a.keepWhenDown || !a.stage.CompareAndSwap(stagePlaced, stageWithdrawn) {
		return false
	}
	a.handleTargetDown()
	return true
}

// handleTargetDown cancels the attempt because its target was marked down.
func (a *attempt) handleTargetDown() {
	if !a.keepWhenDown {
		a.targetDown.Store(true)
		a.cancel()
	}
}

// setSuspected records whether the target of the attempt is suspected.
func (a *attempt) setSuspected(suspected bool) {
	if a.keepWhenDown || a.suspected.Swap(suspected) == suspected {
		return
	}
	select {
	case a.exchange.suspicionChanged <- struct{}{}:
	default:
	}
}

// placeAttempt picks a target and adds the attempt to its load.
func (e *exchange) placeAttempt(ctx context.Context, requirements placement.Requirements) (*attempt, error) {
	c := e.gateway.control
	a := &attempt{exchange: e, requirements: requirements, startedAt: time.Now(), keepWhenDown: !e.route.Idempotent()}
	var choice placement.Choice
	var copyTarget request.TargetID
	var err error
	if !c.do(func() {
		if err = c.checkQuarantine(e); err != nil {
			return
		}
		requirements.CachedPrompt = c.promptIndex.Find(a.startedAt, requirements.Session)
		if choice, err = c.pickTarget(a.startedAt, e, requirements); err != nil {
			c.returnTrial(e.trial)
			e.trial = quarantine.Part{}
			return
		}
		a.prefillAlone = choice.PrefillAlone
		a.requirements = requirements.ForTarget(choice.Target)
		c.reserve(a, choice.Target, ctx)
		copyTarget = a.kvCopy.Target
	}) {
		return nil, errors.WithStack(errStopping)
	}
	if err != nil {
		return nil, err
	}
	if requirements.FailureDomain != "" {
		e.gateway.metrics.countCallPlacement(a.target.FailureDomain == requirements.FailureDomain)
	}
	e.gateway.log.Event("placed", "request", e.inbound.ID, "target", a.target.ID, "failureDomain", a.target.FailureDomain,
		"incarnation", a.target.Incarnation, "cost", choice.Cost, "runnerUp", choice.RunnerUp, "copy", copyTarget,
		"toRead", a.requirements.PromptTokens)
	return a, nil
}

// reserve adds an attempt to the load of a target and picks a target for its KV copy.
func (c *control) reserve(a *attempt, t *placement.Target, ctx context.Context) {
	a.target = t.Registration
	a.trial, a.exchange.trial = a.exchange.trial, quarantine.Part{}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.spec.Target = t.Endpoint
	c.table.AddAttempt(t.ID, a.requirements)
	c.countPlaced(a)
	a.prefillMark = c.table.PrefillMark(t.ID)
	if a.requirements.MemoryTokens > 0 {
		if copyTarget := c.table.PickKVCopyTarget(a.startedAt, t, a.requirements); copyTarget != nil && a.exchange.usesKVCopies() {
			a.kvCopy = kvcopies.Copy{RequestID: a.exchange.inbound.ID, Target: copyTarget.ID, Incarnation: copyTarget.Incarnation}
			a.spec.KVCopyTo = copyTarget.Address
			c.table.AddKVCopyTokens(copyTarget.ID, a.requirements.MemoryTokens)
		}
		c.updatePending = true
		c.newlyPlaced = append(c.newlyPlaced, t.ID)
	}
	c.addAttempt(a)
}

// usesKVCopies reports whether the engines of the service send KV copies for this
// route.
func (e *exchange) usesKVCopies() bool {
	return e.engine != nil && e.engine.SupportsKVCopies && e.route.Resumable
}

// release cancels the attempt and removes it from the load of its target.
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
		c.countEnded(time.Now(), a)
		if !a.mayHaveRun {
			c.returnTrial(a.trial)
		}
	})
}

// prefillDone records that the target has finished the prefill and started streaming.
func (a *attempt) prefillDone() {
	c := a.exchange.gateway.control
	elapsed := time.Since(a.startedAt)
	c.post(func() {
		if a.streaming {
			return
		}
		alone := a.prefillsAlone()
		a.streaming, a.streamingSince = true, time.Now()
		c.countFirstEvent(a.streamingSince, a)
		c.promptIndex.Record(a.streamingSince, a.requirements.Session, prompts.Location{
			Target: a.target.ID, Incarnation: a.target.Incarnation, Tokens: a.exchange.inbound.PromptTokens,
		})
		if alone {
			c.table.RecordPrefill(a.streamingSince, a.target.ID, a.requirements.PromptTokens, elapsed)
		}
		c.table.PrefillDone(a.target.ID, a.requirements)
		a.prefillMark = c.table.PrefillMark(a.target.ID)
		c.updatePending = true
	})
}

// connect returns the connection to send the request on, or nil if it cannot or may not be
// sent.
func (a *attempt) connect() *target.Conn {
	maxIdle := maxIdleTime
	switch {
	case a.sentBefore:
		// A second copy of that refusal would name this request.
		maxIdle = 0
	case a.keepWhenDown:
		maxIdle = maxIdleNonIdempotent
	}
	conn, err := a.exchange.gateway.pool.Get(a.ctx, a.target.Address, maxIdle)
	if err != nil {
		a.connectFailed(err)
		return nil
	}
	if !a.mayBeSent() {
		conn.Close()
		return nil
	}
	begin := a.beginSending
	if a.confirmSending != nil {
		begin = a.confirmSending
	}
	if !begin() {
		a.refundCharge()
		conn.Close()
		return nil
	}
	return conn
}

// do sends the request and classifies the head of the response. The response is nil if
// there was none.
func (a *attempt) do() (*http.Response, request.Reply, request.AttemptOutcome) {
	g := a.exchange.gateway
	conn := a.connect()
	if conn == nil {
		return nil, request.Reply{}, request.AttemptUnsent
	}
	a.conn = conn
	a.stopClose = context.AfterFunc(a.ctx, conn.Close)
	response, err := a.sendRequest()
	if errors.Is(err, target.ErrNotSent) {
		a.connectFailed(err)
		return nil, request.Reply{}, request.AttemptUnsent
	}
	a.mayHaveRun, a.sent = true, true
	if err != nil {
		a.outcome = request.AttemptBroken
		a.responseFailed(err)
		return nil, request.Reply{}, request.AttemptBroken
	}
	a.recordSeen()
	a.reply = platform.DecodeReply(response, a.exchange.inbound.ID)
	a.reply.ConnectionReused = conn.Reused
	outcome := a.reply.Outcome()
	a.outcome, a.broken = outcome, outcome == request.AttemptBroken
	if !a.reply.WrongTarget && outcome != request.AttemptBroken {
		a.monitor.recordIdentified(g.control)
	}
	a.mayHaveRun = outcome != request.AttemptRefused
	a.recordReply(a.reply)
	a.logReply(outcome)
	return response, a.reply, outcome
}

// sendRequest sends the request and reads the head of the response.
func (a *attempt) sendRequest() (*http.Response, error) {
	inbound := &a.exchange.inbound
	a.spec.TimeLeft = a.exchange.timeLeft()
	a.spec.Workspace = a.exchange.workspaceName()
	if a.requirements.MemoryTokens > 0 {
		priority := a.exchange.priority()
		a.spec.Priority = &priority
	}
	lateCopies := a.conn.LateCopies
	response, err := a.conn.Do(target.Request{
		Method: inbound.Method, Path: inbound.Target, Host: inbound.Host,
		Header: platform.EncodeAttempt(*inbound, a.spec), Body: inbound.Body,
		ID: string(inbound.ID), ResponseID: platform.ResponseID,
	})
	if a.conn.LateCopies > lateCopies {
		a.exchange.gateway.log.Event("late_response_discarded", "request", inbound.ID, "target", a.target.ID)
	}
	return response, err //nolint:wrapcheck // distinguished by the caller
}

// logReply logs a response that is neither forwarded nor an error of the target.
func (a *attempt) logReply(outcome request.AttemptOutcome) {
	log := a.exchange.gateway.log
	switch outcome {
	case request.AttemptRefused:
		log.Event("refused_by_target", "request", a.exchange.inbound.ID, "target", a.target.ID, "status", a.reply.Status,
			"fromCopy", a.spec.KVCopyFrom, "after", time.Since(a.startedAt), "named", a.reply.MatchesRequest)
	case request.AttemptBroken:
		log.Event("response_rejected", "request", a.exchange.inbound.ID, "target", a.target.ID, "status", a.reply.Status,
			"named", a.reply.MatchesRequest, "namesOther", a.reply.NamesOtherRequest, "reused", a.reply.ConnectionReused)
	}
}

// recordReply records what a response says about its target.
func (a *attempt) recordReply(reply request.Reply) {
	c := a.exchange.gateway.control
	c.post(func() {
		outcome, load := reply.Outcome(), reply.Load
		switch {
		case outcome == request.AttemptRefused && reply.WrongTarget:
			c.markReplaced(a.target.ID)
			return
		case !reply.BelongsToRequest():
			load = nil
		}
		c.recordReplyAnnouncement(a, reply)
		c.table.RecordResponse(time.Now(), a.target.ID, outcome == request.AttemptBroken, load)
	})
}

// connectFailed handles a failure to send the request: the retry budget is refunded and
// the target checked.
func (a *attempt) connectFailed(err error) {
	a.refundCharge()
	if a.ctx.Err() != nil {
		return
	}
	a.exchange.gateway.log.Event("not_reached", "request", a.exchange.inbound.ID, "target", a.target.ID, "error", err.Error())
	if errors.Is(err, syscall.ECONNREFUSED) {
		c := a.exchange.gateway.control
		c.post(func() { c.markDown(a.target.ID, "connection refused") })
		return
	}
	a.exchange.gateway.probeAfterFailure(a.target.ID)
}

// refundCharge refunds the retry budget for an attempt that is not sent.
func (a *attempt) refundCharge() {
	c := a.exchange.gateway.control
	c.post(func() { c.budget(a.exchange.service).Refund(a.charge) })
}

// responseFailed handles a response that is missing or incomplete.
func (a *attempt) responseFailed(err error) {
	if a.ctx.Err() != nil && !a.targetDown.Load() {
		return
	}
	g := a.exchange.gateway
	g.log.Event("broken", "request", a.exchange.inbound.ID, "target", a.target.ID,
		"givenUp", a.targetDown.Load(), "after", time.Since(a.startedAt), "error", err.Error(),
		"responseStarted", a.responseStarted.Load(), "events", a.eventCount)
	a.broken = true
	if a.targetDown.Load() {
		return
	}
	g.control.recordBroken(a)
	g.probeAfterFailure(a.target.ID)
	if a.conn != nil && !a.conn.Reused && !a.isStreaming() {
		g.control.post(func() {
			g.control.table.RecordConnectionFailure(time.Now(), a.target.ID)
			g.control.updatePending = true
		})
	}
}

// readBody reads the rest of a response and releases its connection. The body is held until the
// exchange ends.
func (a *attempt) readBody(response *http.Response) (*heldBody, error) {
	body, err := a.exchange.gateway.bodyMemory.readResponse(response.Body, maxResponseBytes, a.conn.Close)
	if err != nil {
		a.conn.Close()
		if errors.Is(err, errBodyTooLong) || errors.Is(err, errBodyYielded) {
			// Its target most likely sends bytes without end.
			c := a.exchange.gateway.control
			c.post(func() { c.table.RecordFailure(time.Now(), a.target.ID) })
		}
		return nil, errors.Wrap(err, "body")
	}
	a.exchange.bodies.add(body)
	a.releaseConnection(response)
	return body, nil
}

// discardBody releases the connection of a response whose body nobody needs, once the rest of a
// short one has been read. Its end may never come.
func (a *attempt) discardBody(response *http.Response) {
	if response.ContentLength > maxDiscardedBytes || !a.stopClose() {
		a.conn.Close()
		return
	}
	go a.exchange.gateway.protect("discard", func() {
		timer := time.AfterFunc(discardTimeout, a.conn.Close)
		_, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes+1)
		if !timer.Stop() || !errors.Is(err, io.EOF) {
			a.conn.Close()
			return
		}
		a.keepConnection(response)
	})
}

// releaseConnection returns the connection to the pool after the whole body has been
// read. From then on the end of the attempt must not close it, since another request
// may use it. A response that names no request may arrive once more and could not be told
// from that to the next request, so its connection is closed.
func (a *attempt) releaseConnection(response *http.Response) {
	if a.stopClose() {
		a.keepConnection(response)
	}
}

// keepConnection returns a connection to the pool whose response has been read.
func (a *attempt) keepConnection(response *http.Response) {
	if !a.reply.MatchesRequest {
		a.conn.Close()
		return
	}
	a.exchange.gateway.pool.Put(a.conn, response)
}

// readAtMost reads a body that must not be longer than limit.
func readAtMost(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errors.Errorf("longer than %d bytes", limit)
	}
	return data, errors.WithStack(err)
}
