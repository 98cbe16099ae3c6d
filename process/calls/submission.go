package calls

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// minRemaining is the minimum time left before the deadline for a call to be sent.
	minRemaining = 20 * time.Millisecond
	// maxRetryPause bounds the random pause before the page or the agent is asked again.
	maxRetryPause = 20 * time.Millisecond
)

// submission is one submission of a non-idempotent call.
//
// Invariant: voided is zero or the nonce of a reservation whose call never was and
// never will be forwarded: it is sealed, or this process made it and never sent it.
type submission struct {
	executor *Executor
	call     Call
	digest   string
	// voided is the reservation that the next operation on the page replaces or removes.
	voided request.Nonce
	// refusalCause is the reason why this submission cannot run the call, if there is
	// one.
	refusalCause error
	// sawOther means that the page had a reservation of another submission.
	sawOther bool
	// sent means that a reservation of this submission was sent to an agent.
	sent     bool
	attempts request.AttemptNumber
	avoid    []request.TargetID
}

// run repeats makeProgress until there is a result.
func (s *submission) run(ctx context.Context) Result {
	for {
		if s.executor.stopped() {
			return unknownResult("the entry has ended")
		}
		result, done := s.makeProgress(ctx)
		if done {
			if result.Request == "" {
				result.Request = s.call.ID
			}
			result.Attempts = s.attempts
			return result
		}
	}
}

func (s *submission) record(kind timeline.Kind, target request.TargetID) {
	s.executor.events.Record(timeline.Event{Kind: kind, Request: s.call.ID, Target: target, Attempt: s.attempts})
}

// makeProgress makes, replaces or releases a reservation, or looks up the record if
// the call cannot be run, and acts on the result. It returns false if the submission
// must continue.
func (s *submission) makeProgress(ctx context.Context) (Result, bool) {
	if s.refusalCause == nil && time.Until(s.call.Deadline) < minRemaining {
		s.refusalCause = fault.New(fault.DeadlineTooNear, "")
	}
	op := callpage.Operation{
		Type: callpage.OpLookup, CallKey: s.call.Key, Digest: s.digest,
		Previous: s.voided, Request: s.call.ID, Retention: s.call.Retention,
	}
	if !s.voided.IsZero() {
		op.Type = callpage.OpRelease
	}
	if s.refusalCause != nil {
		return s.commit(ctx, op, Target{})
	}
	target, err := s.executor.targets.Pick(ctx, s.call.Service, s.avoid)
	if err != nil {
		s.refusalCause = err
		return s.commit(ctx, op, Target{})
	}
	defer target.Release()
	op.Type = callpage.OpReserve
	op.Nonce = newNonce(s.call.Deadline)
	op.Target = target.ID
	op.Incarnation = target.Agent.Incarnation()
	defer s.executor.trackReservation(op.Nonce)()
	return s.commit(ctx, op, target)
}

// commit commits op to the page and acts on its result.
func (s *submission) commit(ctx context.Context, op callpage.Operation, target Target) (Result, bool) {
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.storeTimeLimit())
	result, err := s.executor.pages.Do(storeCtx, s.call.Service, s.call.Pages, op)
	cancel()
	if err != nil {
		return s.storeUnavailable(err), true
	}
	switch result.Status {
	case callpage.StatusReserved:
		s.record(timeline.CallReserved, op.Target)
		return s.send(ctx, op, target)
	case callpage.StatusFound:
		return s.handleRecord(ctx, result.Record)
	case callpage.StatusAbsent:
		return notRunResult(s.refusalCause), true
	case callpage.StatusConflict:
		return conflictResult(result.Record), true
	case callpage.StatusExpired:
		return Result{WasRun: request.RunUnknown, Err: fault.New(fault.KeyExpired, "")}, true
	default:
		return notRunResult(fault.New(fault.PageFull, "")), true
	}
}

// storeTimeLimit returns how long the next operation on the page may take. The lookup
// for a refused call may take up to storeTimeout even after the deadline.
func (s *submission) storeTimeLimit() time.Duration {
	remaining := time.Until(s.call.Deadline)
	if s.refusalCause != nil {
		remaining = max(remaining, storeTimeout)
	}
	return min(remaining, s.call.UnavailableTimeout)
}

// storeUnavailable returns the result of a submission that ended because the store was
// unavailable. Without the store nothing is known of earlier submissions of the key.
func (s *submission) storeUnavailable(err error) Result {
	if s.sent || s.sawOther {
		return unknownResult("the key-value service does not answer; the call may or may not have run")
	}
	if s.call.FirstSubmission {
		return notRunResult(err)
	}
	return unknownResult("the key-value service does not answer; this submission sent nothing, an earlier one may have run")
}

// conflictResult returns the result for a key that was used for another call.
func conflictResult(record callpage.Record) Result {
	result := Result{WasRun: request.RunUnknown, Err: fault.New(fault.KeyConflict, ""), Request: record.Request}
	if record.Done {
		result.WasRun = request.RunYes
	}
	return result
}

// send sends the call to the agent that the reservation names.
func (s *submission) send(ctx context.Context, op callpage.Operation, target Target) (Result, bool) {
	if time.Until(s.call.Deadline) < minRemaining {
		s.voided = op.Nonce
		return Result{}, false
	}
	s.attempts++
	reply, sent, err := target.Agent.Call(ctx, wire.Call{
		Request: s.call.ID, Body: s.call.Body, Nonce: op.Nonce,
		Incarnation: op.Incarnation, MaxReplyBytes: s.call.MaxReplyBytes,
	})
	if !sent {
		s.voided = op.Nonce
		s.avoid = append(s.avoid, target.ID)
		return Result{}, false
	}
	s.sent = true
	if err != nil {
		klog.V(1).InfoS("call to agent failed", "request", s.call.ID, "target", target.ID, "err", err)
		return s.sealReservation(ctx, op.Nonce, op.Target, op.Incarnation)
	}
	return s.handleGateReply(ctx, reply, op.Nonce, op.Target)
}

// handleGateReply acts on the state of a reservation that the gate reported.
func (s *submission) handleGateReply(ctx context.Context, reply wire.CallReply, nonce request.Nonce, target request.TargetID) (Result, bool) {
	switch reply.State {
	case request.GateSealed:
		s.record(timeline.CallSealed, target)
		s.voided = nonce
		s.avoid = append(s.avoid, target)
		return Result{}, false
	case request.GateForwarded:
		if reply.Reply != nil {
			return s.settle(ctx, nonce, *reply.Reply), true
		}
		return unknownResult("the call was passed on to the target, which gave no reply"), true
	case request.GateOtherIncarnation:
		return unknownResult("the agent that may have passed the call on is gone"), true
	default:
		return unknownResult("the agent cannot say whether it passed the call on"), true
	}
}

// settle records the reply before it is returned to the caller. If the store does not
// respond within UnavailableTimeout, the reply is returned while recording continues.
func (s *submission) settle(ctx context.Context, nonce request.Nonce, reply request.CallReply) Result {
	result := Result{Reply: &reply, Digest: reply.Digest(), WasRun: request.RunYes}
	op := callpage.Operation{Type: callpage.OpSettle, CallKey: s.call.Key, Nonce: nonce, Reply: &reply, Retention: s.call.Retention}
	recorded := make(chan callpage.Result, 1)
	settleCtx := context.WithoutCancel(ctx)
	s.executor.addPendingSettles(1)
	go func() {
		defer s.executor.addPendingSettles(-1)
		settleCtx, cancel := context.WithDeadline(settleCtx, s.call.Deadline.Add(settleGracePeriod))
		defer cancel()
		settled, err := s.executor.pages.Do(settleCtx, s.call.Service, s.call.Pages, op)
		if err != nil {
			klog.InfoS("outcome not recorded", "request", s.call.ID, "err", err)
		} else {
			s.record(timeline.CallSettled, settled.Record.Target)
		}
		recorded <- settled
	}()
	waitCtx, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	select {
	case settled := <-recorded:
		if settled.Status == callpage.StatusFound && settled.IsFinal() {
			result.Request = settled.Record.Request
		}
	case <-waitCtx.Done():
	}
	return result
}

// handleRecord acts on an existing record of the call.
func (s *submission) handleRecord(ctx context.Context, record callpage.Record) (Result, bool) {
	if record.Done {
		return s.recoverReply(ctx, record), true
	}
	s.sawOther = true
	if s.executor.awaitReservation(ctx, record.Nonce) {
		if ctx.Err() != nil {
			return unknownResult("the call is still running"), true
		}
		pauseRandomly(ctx)
		return Result{}, false
	}
	return s.sealReservation(ctx, record.Nonce, record.Target, record.Incarnation)
}

// recoverReply returns the result of a call that is done. If the reply is not stored
// on the page, the agent that forwarded the call may still have it.
func (s *submission) recoverReply(ctx context.Context, record callpage.Record) Result {
	result := recordedResult(record)
	agent, ok := s.executor.targets.Find(record.Target)
	if record.BodyStored || !ok || agent.Incarnation() != record.Incarnation {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	reply, err := agent.Seal(ctx, wire.Seal{Nonce: record.Nonce, Incarnation: record.Incarnation})
	if err == nil && reply.Reply != nil && reply.Reply.Digest() == record.ReplyDigest {
		result.Reply, result.Err = reply.Reply, nil
	}
	return result
}

// recordedResult returns the result stored in a record.
func recordedResult(record callpage.Record) Result {
	result := Result{Digest: record.ReplyDigest, Request: record.Request, WasRun: request.RunYes, Reply: record.Reply}
	if !record.BodyStored {
		result.Reply = nil
		result.Err = fault.New(fault.TooLarge, "the call was run with status %d; its reply was over %d bytes and is not kept", record.Reply.Status, callpage.MaxStoredReplyBytes)
	}
	return result
}

// sealReservation seals a reservation at the agent that it names and acts on the
// reply. Only the named incarnation of that agent can ensure that the call never runs.
func (s *submission) sealReservation(ctx context.Context, nonce request.Nonce, target request.TargetID, incarnation request.Incarnation) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	for {
		agent, ok := s.executor.targets.Find(target)
		if s.executor.stopped() {
			return unknownResult("the entry has ended"), true
		}
		if ok && agent.Incarnation() > incarnation {
			return unknownResult("the agent that may have passed the call on is gone"), true
		}
		if ok && agent.Incarnation() == incarnation {
			reply, err := agent.Seal(ctx, wire.Seal{Nonce: nonce, Incarnation: incarnation})
			if err == nil {
				return s.handleGateReply(context.WithoutCancel(ctx), reply, nonce, target)
			}
		}
		pauseRandomly(ctx)
		if ctx.Err() != nil {
			return unknownResult("the agent that may have passed the call on does not answer"), true
		}
	}
}

func pauseRandomly(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(maxRetryPause)):
	}
}
