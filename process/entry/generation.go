package entry

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/routing"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// eventBuffer is how many frames of attempts may wait for the driver.
	eventBuffer = 64
	// noticeBuffer is how many notices of the control goroutine may wait; more are
	// dropped, since a lasting silence is told again.
	noticeBuffer = 16
)

// sink takes the parts of an answer as they become certain.
type sink interface {
	// began is called once, when the first agent has taken the request.
	began(wire.Start)
	// tokens is called with the next tokens and the id of the event they go out in.
	tokens(tokens []request.TokenID, next eventID) error
}

// generationDriver carries out the actions of one Recovery.
type generationDriver struct {
	entry      *Entry
	generation request.Generation
	prompt     request.Prompt
	recovery   *request.Recovery
	sink       sink
	events     chan attemptEvent
	notices    chan request.Event
	// picked brings the answer to the pick that is under way, if any.
	picked chan request.Event
	// need is what any attempt needs of a target, wanted the tokens of the last pick.
	need     routing.Requirements
	wanted   int
	snapshot *version.Snapshot
	// ticket is set once admission was asked.
	ticket *ticket
	// retryAfter is what admission told a refused request.
	retryAfter time.Duration
	attempts   map[request.AttemptNumber]*runningAttempt
	timer      *time.Timer
	kind       fault.Kind
	finish     request.FinishReason
	seen       bool
	watch      *requestWatch
	// callerLost says how a write to the caller failed.
	callerLost fault.Kind
	// epoch is that of the caller's arrival or attachment.
	epoch uint64
	// taken is set when the request was taken over from its journal.
	taken *attachment
}

type runningAttempt struct {
	target request.TargetID
	load   *attemptLoad
	cancel context.CancelFunc
	began  wire.Start
}

func newGenerationDriver(e *Entry, g request.Generation, prompt request.Prompt, policy request.RecoveryPolicy, out sink) *generationDriver {
	answer := request.NewOutput(g.Sampling.MaxTokens)
	return &generationDriver{
		entry:      e,
		generation: g,
		prompt:     prompt,
		recovery:   request.NewRecovery(policy, answer),
		sink:       out,
		events:     make(chan attemptEvent, eventBuffer),
		notices:    make(chan request.Event, noticeBuffer),
		picked:     make(chan request.Event, 1),
		need:       e.needOf(g, prompt),
		snapshot:   e.revisions.Current(),
		attempts:   map[request.AttemptNumber]*runningAttempt{},
		timer:      time.NewTimer(time.Hour),
		watch:      newRequestWatch(e.observer, g),
	}
}

// notify hands over an event from the control goroutine without waiting.
func (d *generationDriver) notify(event request.Event) {
	select {
	case d.notices <- event:
	default:
	}
}

// run drives the request to its end and returns its outcome.
func (d *generationDriver) run(ctx context.Context) request.Outcome {
	defer d.stop()
	d.begin(ctx)
	for !d.recovery.Ended() {
		if d.callerLost != fault.None {
			d.step(ctx, request.Event{Type: request.EventCallerDisconnected, Kind: d.callerLost})
			break
		}
		select {
		case <-ctx.Done():
			d.step(ctx, request.Event{Type: request.EventCallerDisconnected})
		case event := <-d.events:
			d.onAttempt(ctx, event)
		case event := <-d.picked:
			d.retryAfter = event.RetryAfter
			d.step(ctx, event)
		case event := <-d.notices:
			d.step(ctx, event)
		case <-d.timer.C:
			d.step(ctx, request.Event{Type: request.EventTimer})
		}
	}
	outcome := d.outcome()
	d.watch.ended(outcome)
	return outcome
}

func (d *generationDriver) begin(ctx context.Context) {
	if d.taken == nil {
		d.watch.admitted()
		d.step(ctx, request.Event{Type: request.EventStart})
		return
	}
	d.watch.attached(*d.taken)
	began := d.taken.began
	target := d.taken.target
	d.recovery.Output().Append(0, began.Prefix)
	d.step(ctx, request.Event{Type: request.EventAttached, Attempt: began.Attempt, Target: target})
	attemptCtx, cancel := context.WithCancel(ctx)
	d.wanted = d.generation.Sampling.MaxTokens - len(began.Prefix)
	load := &attemptLoad{driver: d, expected: d.wanted}
	d.attempts[began.Attempt] = &runningAttempt{target: target, load: load, cancel: cancel}
	d.entry.control.adopt(ctx, target, d.wanted)
	d.entry.control.started(ctx, target, d.key(began.Attempt), load)
	d.onBegan(began)
	d.putPlace(ctx, began.Attempt, target)
	go d.entry.followAttempt(attemptCtx, *d.taken, d.events)
}

// putPlace tells the soft directory where an attempt runs.
func (d *generationDriver) putPlace(ctx context.Context, number request.AttemptNumber, target request.TargetID) {
	d.entry.putPlace(ctx, d.generation, wire.Location{Target: target, Epoch: d.epoch, Attempt: number})
}

func (d *generationDriver) stop() {
	d.timer.Stop()
	for number := range d.attempts {
		d.drop(number)
	}
	if d.ticket != nil {
		d.entry.control.leave(d.ticket, d.recovery.Output().Len())
	}
	d.entry.control.unpick(d.picked, d.wanted)
}

func (d *generationDriver) onAttempt(ctx context.Context, event attemptEvent) {
	if event.began != nil {
		d.onBegan(*event.began)
		return
	}
	d.step(ctx, event.Event)
}

// targetOf returns the target of a running attempt, or an empty one.
func (d *generationDriver) targetOf(number request.AttemptNumber) request.TargetID {
	if running, ok := d.attempts[number]; ok {
		return running.target
	}
	return ""
}

// onBegan keeps the prompt as tokens, so that a resume runs on exactly these.
func (d *generationDriver) onBegan(began wire.Start) {
	if running, ok := d.attempts[began.Attempt]; ok {
		running.began = began
	}
	if d.seen {
		return
	}
	d.seen = true
	if began.Prompt != nil {
		d.prompt = request.Prompt{Tokens: began.Prompt}
	}
	d.sink.began(began)
}

// step hands an event to the core and carries out its actions. An attempt that is
// over is dropped whoever said so: its target may only have paused, and would go
// on for nobody.
func (d *generationDriver) step(ctx context.Context, event request.Event) {
	d.watch.event(event, d.targetOf(event.Attempt))
	for _, action := range d.recovery.Step(time.Now(), event) {
		d.do(ctx, action)
	}
	if event.Type == request.EventFailed || event.Type == request.EventEnded {
		d.drop(event.Attempt)
	}
}

func (d *generationDriver) do(ctx context.Context, action request.Action) {
	switch action.Type {
	case request.ActionSelectTarget:
		d.pick(ctx, action)
	case request.ActionStartAttempt:
		d.start(ctx, action)
	case request.ActionCancelAttempt:
		d.drop(action.Attempt)
	case request.ActionDeliver:
		d.deliver(action)
	case request.ActionReleaseTarget:
		d.entry.control.giveBack(ctx, action.Target, d.wanted)
	case request.ActionSetTimer:
		d.timer.Reset(time.Until(action.At))
	case request.ActionEnd:
		d.kind = action.Kind
		d.finish = action.Finish
	}
}

// pick asks the control goroutine for a target; the answer comes on picked.
func (d *generationDriver) pick(ctx context.Context, action request.Action) {
	d.wanted = d.generation.Sampling.MaxTokens - d.recovery.Output().Len()
	need := d.need
	need.Avoid = slices.Clone(action.Avoid)
	need.Resume = action.Resume
	need.Tokens = d.wanted
	switch {
	case d.ticket == nil && !action.Resume:
		d.ticket = &ticket{service: need.Service, ask: askOf(d.snapshot, d.generation), need: need, reply: d.picked}
		d.entry.control.admit(ctx, d.ticket)
	case len(d.attempts) > 0:
		d.entry.control.hedge(ctx, d.anyTarget(), need, d.picked)
	default:
		d.entry.control.pick(ctx, need, d.picked)
	}
}

// anyTarget returns the target of a running attempt; there must be one.
func (d *generationDriver) anyTarget() (target request.TargetID) {
	for _, running := range d.attempts {
		target = running.target
	}
	return target
}

// needOf describes the targets that can serve a generation.
func (e *Entry) needOf(g request.Generation, prompt request.Prompt) routing.Requirements {
	_, profile := e.revisions.Current().ProfileOf(g.Service)
	parts := []string{g.Version, prompt.Text}
	for _, message := range prompt.Messages {
		parts = append(parts, message.Role, message.Content)
	}
	return routing.Requirements{
		Service:       g.Service,
		Model:         modelOf(g),
		FailureDomain: e.settings.FailureDomain,
		Spread:        profile.Spread,
		Prefix:        routing.PrefixDigests(parts...),
	}
}

func modelOf(g request.Generation) string {
	if g.Adapter != "" {
		return g.Adapter
	}
	return g.Version
}

// rank is that which admission gave the request, zero when it gave none.
func (d *generationDriver) rank() int {
	if d.ticket == nil {
		return 0
	}
	return d.ticket.rank
}

func (d *generationDriver) start(ctx context.Context, action request.Action) {
	position := d.recovery.Output().Len()
	stamp := d.watch.started(action.Attempt, action.Target, position, len(d.prompt.Tokens), len(d.attempts))
	attemptCtx, cancel := context.WithCancel(ctx)
	load := &attemptLoad{driver: d, expected: d.wanted}
	d.attempts[action.Attempt] = &runningAttempt{target: action.Target, load: load, cancel: cancel}
	d.entry.control.started(ctx, action.Target, d.key(action.Attempt), load)
	run := wire.Run{
		Generation: d.generation,
		Attempt:    action.Attempt,
		Prompt:     d.prompt,
		Accepted:   d.recovery.Output().Tokens(),
		SentAt:     uint64(stamp),
		Epoch:      d.epoch,
		Rank:       d.rank(),
	}
	d.putPlace(ctx, action.Attempt, action.Target)
	go d.entry.runAttempt(attemptCtx, action.Target, run, d.events)
}

func (d *generationDriver) key(number request.AttemptNumber) runKey {
	return runKey{request: d.generation.ID, attempt: number}
}

// drop ends the driver's part in an attempt; dropping it twice does nothing.
func (d *generationDriver) drop(number request.AttemptNumber) {
	running, ok := d.attempts[number]
	if !ok {
		return
	}
	running.cancel()
	delete(d.attempts, number)
	d.entry.control.ended(running.target, d.key(number), running.load)
}

func (d *generationDriver) deliver(action request.Action) {
	var from wire.Start
	if running, ok := d.attempts[action.Attempt]; ok {
		from = running.began
		running.load.produced.Add(int64(len(action.Tokens)))
	}
	answer := d.recovery.Output()
	next := eventID{
		request: d.generation.ID, target: from.Target, incarnation: from.Incarnation,
		position: answer.Len(), digest: answer.Hash(),
	}
	d.watch.delivered(action.Attempt, from.Target, answer.Len()-len(action.Tokens))
	if err := d.sink.tokens(action.Tokens, next); err != nil {
		d.callerLost = fault.KindOf(err)
	}
}

func (d *generationDriver) outcome() request.Outcome {
	answer := d.recovery.Output()
	outcome := request.Outcome{
		Request:      d.generation.ID,
		Profile:      d.generation.Profile,
		Revision:     d.generation.Revision,
		ModelVersion: d.generation.Version,
		Attempts:     d.recovery.Attempts(),
		Tokens:       answer.Len(),
		WasRun:       d.recovery.WasRun(),
		Kind:         d.kind,
		RetryAfter:   d.retryAfter,
		Finish:       d.finish,
	}
	if answer.Len() > 0 {
		outcome.Digest = answer.Digest()
	}
	if d.kind != fault.None {
		outcome.Error = d.kind.String()
	}
	return outcome
}
