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
	// minRemaining is the least time a call is given to run.
	minRemaining = 20 * time.Millisecond
	// retryPause is the longest random pause before the page is asked again.
	retryPause = 20 * time.Millisecond
)

// submission is one submission of a call that may not be repeated.
//
// Invariant: dead is zero or names a reservation that never was and never will be
// passed on: it is sealed, or this process made it and never sent it.
type submission struct {
	driver *Executor
	call   Call
	digest string
	// dead is the reservation that the next one takes the place of.
	dead request.Nonce
	// refusal is why the call cannot be run, once that is known.
	refusal error
	// followed says that the page had a reservation of another submission.
	followed bool
	// sent says that a reservation of this submission was sent to an agent.
	sent     bool
	attempts request.AttemptNumber
	avoid    []request.TargetID
}

// run goes on until there is an answer.
func (s *submission) run(ctx context.Context) Result {
	for {
		if s.driver.stopped() {
			return unknown("the entry has ended")
		}
		answer, done := s.step(ctx)
		if done {
			if answer.Request == "" {
				answer.Request = s.call.ID
			}
			answer.Attempts = s.attempts
			return answer
		}
	}
}

func (s *submission) record(kind timeline.Kind, target request.TargetID) {
	s.driver.events.Record(timeline.Event{Kind: kind, Request: s.call.ID, Target: target, Attempt: s.attempts})
}

// step makes or gives up a reservation and follows what the page says.
func (s *submission) step(ctx context.Context) (Result, bool) {
	if s.refusal == nil && time.Until(s.call.Deadline) < minRemaining {
		s.refusal = fault.New(fault.DeadlineTooNear, "")
	}
	op := callpage.Operation{
		Type: callpage.OpLookup, CallKey: s.call.Name, Digest: s.digest,
		Previous: s.dead, Request: s.call.ID, Retention: s.call.Retention,
	}
	if !s.dead.IsZero() {
		op.Type = callpage.OpRelease
	}
	if s.refusal != nil {
		return s.commit(ctx, op, Target{})
	}
	target, err := s.driver.targets.Pick(ctx, s.call.Service, s.avoid)
	if err != nil {
		s.refusal = err
		return s.commit(ctx, op, Target{})
	}
	defer target.Release()
	op.Type = callpage.OpReserve
	op.Nonce = newNonce(s.call.Deadline)
	op.Target = target.ID
	op.Incarnation = target.Agent.Incarnation()
	defer s.driver.begin(op.Nonce)()
	return s.commit(ctx, op, target)
}

// commit carries op out on the page and acts on its result.
func (s *submission) commit(ctx context.Context, op callpage.Operation, target Target) (Result, bool) {
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.patience())
	result, err := s.driver.pages.Do(storeCtx, s.call.Service, s.call.Pages, op)
	cancel()
	if err != nil {
		return s.withoutStore(err), true
	}
	switch result.Status {
	case callpage.StatusReserved:
		s.record(timeline.CallReserved, op.Target)
		return s.send(ctx, op, target)
	case callpage.StatusFound:
		return s.follow(ctx, result.Record)
	case callpage.StatusAbsent:
		return notRun(s.refusal), true
	case callpage.StatusConflict:
		return conflict(result.Record), true
	case callpage.StatusExpired:
		return Result{WasRun: request.RunUnknown, Err: fault.New(fault.KeyExpired, "")}, true
	default:
		return notRun(fault.New(fault.PageFull, "")), true
	}
}

// patience is how long the store may take now. A refusal is looked up also when
// the deadline is over.
func (s *submission) patience() time.Duration {
	left := time.Until(s.call.Deadline)
	if s.refusal != nil {
		left = max(left, storeTimeout)
	}
	return min(left, s.call.UnavailableTimeout)
}

// withoutStore answers while the store does not. Without it nothing is known of
// earlier submissions of the key.
func (s *submission) withoutStore(err error) Result {
	if s.sent || s.followed {
		return unknown("the key-value service does not answer; the call may or may not have run")
	}
	if s.call.FirstSubmission {
		return notRun(err)
	}
	return unknown("the key-value service does not answer; this submission sent nothing, an earlier one may have run")
}

// conflict answers a key that stands for another call.
func conflict(record callpage.Record) Result {
	answer := Result{WasRun: request.RunUnknown, Err: fault.New(fault.KeyConflict, ""), Request: record.Request}
	if record.Done {
		answer.WasRun = request.RunYes
	}
	return answer
}

// send passes the call to the agent that the reservation names.
func (s *submission) send(ctx context.Context, op callpage.Operation, target Target) (Result, bool) {
	if time.Until(s.call.Deadline) < minRemaining {
		s.dead = op.Nonce
		return Result{}, false
	}
	s.attempts++
	reply, sent, err := target.Agent.Call(ctx, wire.Call{
		Request: s.call.ID, Body: s.call.Body, Nonce: op.Nonce,
		Incarnation: op.Incarnation, MaxReplyBytes: s.call.MaxReplyBytes,
	})
	if !sent {
		s.dead = op.Nonce
		s.avoid = append(s.avoid, target.ID)
		return Result{}, false
	}
	s.sent = true
	if err != nil {
		klog.V(1).InfoS("call broke off", "request", s.call.ID, "target", target.ID, "err", err)
		return s.ask(ctx, op.Nonce, op.Target, op.Incarnation)
	}
	return s.heard(ctx, reply, op.Nonce, op.Target)
}

// heard acts on what the gate says of a reservation.
func (s *submission) heard(ctx context.Context, reply wire.CallReply, nonce request.Nonce, target request.TargetID) (Result, bool) {
	switch reply.State {
	case request.GateSealed:
		s.record(timeline.CallSealed, target)
		s.dead = nonce
		s.avoid = append(s.avoid, target)
		return Result{}, false
	case request.GatePassed:
		if reply.Reply != nil {
			return s.settle(ctx, nonce, *reply.Reply), true
		}
		return unknown("the call was passed on to the target, which gave no reply"), true
	case request.GateOtherIncarnation:
		return unknown("the agent that may have passed the call on is gone"), true
	default:
		return unknown("the agent cannot say whether it passed the call on"), true
	}
}

// settle records the reply before the caller is told. When the store gives no
// answer in time, recording goes on and the caller is told all the same.
func (s *submission) settle(ctx context.Context, nonce request.Nonce, reply request.CallReply) Result {
	answer := Result{Reply: &reply, Digest: reply.Digest(), WasRun: request.RunYes}
	op := callpage.Operation{Type: callpage.OpSettle, CallKey: s.call.Name, Nonce: nonce, Reply: &reply, Retention: s.call.Retention}
	recorded := make(chan callpage.Result, 1)
	settleCtx := context.WithoutCancel(ctx)
	s.driver.addSettling(1)
	go func() {
		defer s.driver.addSettling(-1)
		settleCtx, cancel := context.WithDeadline(settleCtx, s.call.Deadline.Add(settleGrace))
		defer cancel()
		result, err := s.driver.pages.Do(settleCtx, s.call.Service, s.call.Pages, op)
		if err != nil {
			klog.InfoS("outcome not recorded", "request", s.call.ID, "err", err)
		} else {
			s.record(timeline.CallSettled, result.Record.Target)
		}
		recorded <- result
	}()
	patience, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	select {
	case result := <-recorded:
		if result.Status == callpage.StatusFound && result.IsFinal() {
			answer.Request = result.Record.Request
		}
	case <-patience.Done():
	}
	return answer
}

// follow acts on a record that the page holds of the call.
func (s *submission) follow(ctx context.Context, record callpage.Record) (Result, bool) {
	if record.Done {
		return s.recall(ctx, record), true
	}
	s.followed = true
	if s.driver.await(ctx, record.Nonce) {
		if ctx.Err() != nil {
			return unknown("the call is still running"), true
		}
		pauseRandomly(ctx)
		return Result{}, false
	}
	return s.ask(ctx, record.Nonce, record.Target, record.Incarnation)
}

// recall returns the outcome of a call that is done. A reply that the page does not
// hold may still be known at the agent that passed the call.
func (s *submission) recall(ctx context.Context, record callpage.Record) Result {
	answer := told(record)
	gate, ok := s.driver.targets.Find(record.Target)
	if record.BodyStored || !ok || gate.Incarnation() != record.Incarnation {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	reply, err := gate.Seal(ctx, wire.Seal{Nonce: record.Nonce, Incarnation: record.Incarnation})
	if err == nil && reply.Reply != nil && reply.Reply.Digest() == record.ReplyDigest {
		answer.Reply, answer.Err = reply.Reply, nil
	}
	return answer
}

// told is the answer that a record holds.
func told(record callpage.Record) Result {
	answer := Result{Digest: record.ReplyDigest, Request: record.Request, WasRun: request.RunYes, Reply: record.Reply}
	if !record.BodyStored {
		answer.Reply = nil
		answer.Err = fault.New(fault.TooLarge, "the call was run with status %d; its reply was over %d bytes and is not kept", record.Reply.Status, callpage.MaxStoredReply)
	}
	return answer
}

// ask seals a reservation at the agent that it names. Only that agent, in that
// life, can say that the call never runs.
func (s *submission) ask(ctx context.Context, nonce request.Nonce, target request.TargetID, incarnation request.Incarnation) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.call.UnavailableTimeout)
	defer cancel()
	for {
		gate, ok := s.driver.targets.Find(target)
		if s.driver.stopped() {
			return unknown("the entry has ended"), true
		}
		if ok && gate.Incarnation() > incarnation {
			return unknown("the agent that may have passed the call on is gone"), true
		}
		if ok && gate.Incarnation() == incarnation {
			reply, err := gate.Seal(ctx, wire.Seal{Nonce: nonce, Incarnation: incarnation})
			if err == nil {
				return s.heard(context.WithoutCancel(ctx), reply, nonce, target)
			}
		}
		pauseRandomly(ctx)
		if ctx.Err() != nil {
			return unknown("the agent that may have passed the call on does not answer"), true
		}
	}
}

func pauseRandomly(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(retryPause)):
	}
}
