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
	// attemptEventBuffer is how many events of attempts may be queued for the driver.
	attemptEventBuffer = 64
	// controlEventBuffer is how many events of the control goroutine may be queued for
	// the driver. Further ones are dropped, since a suspicion that lasts is reported again.
	controlEventBuffer = 16
)

// tokenSink receives the output of a generation as it is accepted.
type tokenSink interface {
	// onStart is called once, with the first Start frame of an agent.
	onStart(wire.Start)
	// writeTokens is called with the next tokens and the id of the event that
	// carries them.
	writeTokens(tokens []request.TokenID, next eventID) error
}

// generationDriver executes the actions of the request.Recovery of one generation.
type generationDriver struct {
	entry         *Entry
	generation    request.Generation
	prompt        request.Prompt
	recovery      *request.Recovery
	sink          tokenSink
	events        chan attemptEvent
	controlEvents chan request.Event
	// selection receives the result of the pending target selection, if any.
	selection chan request.Event
	// requirements holds what every attempt requires of a target, expectedTokens the
	// number of tokens that the last target was selected for.
	requirements   routing.Requirements
	expectedTokens int
	snapshot       *version.Snapshot
	// ticket is set once the request was passed to admission.
	ticket *ticket
	// retryAfter is the delay that admission gave with a refusal.
	retryAfter    time.Duration
	attempts      map[request.AttemptNumber]*runningAttempt
	timer         *time.Timer
	errorKind     fault.Kind
	finishReason  request.FinishReason
	startReceived bool
	recorder      *requestRecorder
	// callerFailure is the kind of a failed write to the caller, else fault.None.
	callerFailure fault.Kind
	// epoch orders the attachments of the request; see incomingRequest.
	epoch uint64
	// attachment is set when the request was attached to a journal.
	attachment *attachment
}

type runningAttempt struct {
	target request.TargetID
	load   *attemptLoad
	cancel context.CancelFunc
	start  wire.Start
}

func newGenerationDriver(e *Entry, g request.Generation, prompt request.Prompt, policy request.RecoveryPolicy, sink tokenSink) *generationDriver {
	output := request.NewOutput(g.Sampling.MaxTokens)
	return &generationDriver{
		entry:         e,
		generation:    g,
		prompt:        prompt,
		recovery:      request.NewRecovery(policy, output),
		sink:          sink,
		events:        make(chan attemptEvent, attemptEventBuffer),
		controlEvents: make(chan request.Event, controlEventBuffer),
		selection:     make(chan request.Event, 1),
		requirements:  e.requirementsOf(g, prompt),
		snapshot:      e.revisions.Current(),
		attempts:      map[request.AttemptNumber]*runningAttempt{},
		timer:         time.NewTimer(time.Hour),
		recorder:      newRequestRecorder(e.observer, g),
	}
}

// notify queues an event from the control goroutine without blocking.
func (d *generationDriver) notify(event request.Event) {
	select {
	case d.controlEvents <- event:
	default:
	}
}

// run drives the request to its end and returns its outcome.
func (d *generationDriver) run(ctx context.Context) request.Outcome {
	defer d.release()
	d.begin(ctx)
	for !d.recovery.Ended() {
		if d.callerFailure != fault.None {
			d.step(ctx, request.Event{Type: request.EventCallerDisconnected, Kind: d.callerFailure})
			break
		}
		select {
		case <-ctx.Done():
			d.step(ctx, request.Event{Type: request.EventCallerDisconnected})
		case event := <-d.events:
			d.onAttemptEvent(ctx, event)
		case event := <-d.selection:
			d.retryAfter = event.RetryAfter
			d.step(ctx, event)
		case event := <-d.controlEvents:
			d.step(ctx, event)
		case <-d.timer.C:
			d.step(ctx, request.Event{Type: request.EventTimer})
		}
	}
	outcome := d.outcome()
	d.recorder.recordEnd(outcome)
	return outcome
}

func (d *generationDriver) begin(ctx context.Context) {
	if d.attachment == nil {
		d.recorder.recordAdmitted()
		d.step(ctx, request.Event{Type: request.EventStart})
		return
	}
	d.recorder.recordAttached(*d.attachment)
	start := d.attachment.start
	target := d.attachment.target
	d.recovery.Output().Append(0, start.Prefix)
	d.step(ctx, request.Event{Type: request.EventAttached, Attempt: start.Attempt, Target: target})
	attemptCtx, cancel := context.WithCancel(ctx)
	d.expectedTokens = d.generation.Sampling.MaxTokens - len(start.Prefix)
	load := &attemptLoad{driver: d, expectedTokens: d.expectedTokens}
	d.attempts[start.Attempt] = &runningAttempt{target: target, load: load, cancel: cancel}
	d.entry.control.addInFlight(ctx, target, d.expectedTokens)
	d.entry.control.addAttempt(ctx, target, d.key(start.Attempt), load)
	d.onStart(start)
	d.publishLocation(ctx, start.Attempt, target)
	go d.entry.runAttached(attemptCtx, *d.attachment, d.events)
}

// publishLocation stores in the soft directory where an attempt runs.
func (d *generationDriver) publishLocation(ctx context.Context, number request.AttemptNumber, target request.TargetID) {
	d.entry.publishLocation(ctx, d.generation, wire.Location{Target: target, Epoch: d.epoch, Attempt: number})
}

func (d *generationDriver) release() {
	d.timer.Stop()
	for number := range d.attempts {
		d.cancelAttempt(number)
	}
	if d.ticket != nil {
		d.entry.control.releaseTicket(d.ticket, d.recovery.Output().Len())
	}
	d.entry.control.releaseSelection(d.selection, d.expectedTokens)
}

func (d *generationDriver) onAttemptEvent(ctx context.Context, event attemptEvent) {
	if event.start != nil {
		d.onStart(*event.start)
		return
	}
	d.step(ctx, event.Event)
}

// targetOf returns the target of a running attempt, or an empty id.
func (d *generationDriver) targetOf(number request.AttemptNumber) request.TargetID {
	if running, ok := d.attempts[number]; ok {
		return running.target
	}
	return ""
}

// onStart records the Start frame of an attempt and passes the first one to the sink. It
// keeps the prompt tokens of the first, so that a resume uses exactly the same ones.
func (d *generationDriver) onStart(start wire.Start) {
	if running, ok := d.attempts[start.Attempt]; ok {
		running.start = start
	}
	if d.startReceived {
		return
	}
	d.startReceived = true
	if start.Prompt != nil {
		d.prompt = request.Prompt{Tokens: start.Prompt}
	}
	d.sink.onStart(start)
}

// step passes an event to the recovery state machine and executes the actions it
// returns. A failed or ended attempt is always cancelled, whoever reported the
// failure: its target may only have paused, and would otherwise resume generating
// output that is no longer used.
func (d *generationDriver) step(ctx context.Context, event request.Event) {
	d.recorder.recordEvent(event, d.targetOf(event.Attempt))
	for _, action := range d.recovery.Step(time.Now(), event) {
		d.execute(ctx, action)
	}
	if event.Type == request.EventFailed || event.Type == request.EventEnded {
		d.cancelAttempt(event.Attempt)
	}
}

func (d *generationDriver) execute(ctx context.Context, action request.Action) {
	switch action.Type {
	case request.ActionSelectTarget:
		d.selectTarget(ctx, action)
	case request.ActionStartAttempt:
		d.startAttempt(ctx, action)
	case request.ActionCancelAttempt:
		d.cancelAttempt(action.Attempt)
	case request.ActionDeliver:
		d.deliver(action)
	case request.ActionReleaseTarget:
		d.entry.control.releaseTarget(ctx, action.Target, d.expectedTokens)
	case request.ActionSetTimer:
		d.timer.Reset(time.Until(action.At))
	case request.ActionEnd:
		d.errorKind = action.Kind
		d.finishReason = action.Finish
	}
}

// selectTarget asks the control goroutine for a target. The result arrives on
// d.selection.
func (d *generationDriver) selectTarget(ctx context.Context, action request.Action) {
	d.expectedTokens = d.generation.Sampling.MaxTokens - d.recovery.Output().Len()
	requirements := d.requirements
	requirements.Avoid = slices.Clone(action.Avoid)
	requirements.Resume = action.Resume
	requirements.Tokens = d.expectedTokens
	switch {
	case d.ticket == nil && !action.Resume:
		d.ticket = &ticket{service: requirements.Service, request: admissionRequest(d.snapshot, d.generation), requirements: requirements, reply: d.selection}
		d.entry.control.admit(ctx, d.ticket)
	case len(d.attempts) > 0:
		d.entry.control.selectHedgeTarget(ctx, d.anyTarget(), requirements, d.selection)
	default:
		d.entry.control.selectTarget(ctx, requirements, d.selection)
	}
}

// anyTarget returns the target of any running attempt; there must be one.
func (d *generationDriver) anyTarget() (target request.TargetID) {
	for _, running := range d.attempts {
		target = running.target
	}
	return target
}

// requirementsOf returns what every attempt of a generation requires of a target.
func (e *Entry) requirementsOf(g request.Generation, prompt request.Prompt) routing.Requirements {
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

// rank returns the rank that admission gave the request, or zero when there is none.
func (d *generationDriver) rank() int {
	if d.ticket == nil {
		return 0
	}
	return d.ticket.rank
}

func (d *generationDriver) startAttempt(ctx context.Context, action request.Action) {
	position := d.recovery.Output().Len()
	sentAt := d.recorder.recordAttemptStart(action.Attempt, action.Target, position, len(d.prompt.Tokens), len(d.attempts))
	attemptCtx, cancel := context.WithCancel(ctx)
	load := &attemptLoad{driver: d, expectedTokens: d.expectedTokens}
	d.attempts[action.Attempt] = &runningAttempt{target: action.Target, load: load, cancel: cancel}
	d.entry.control.addAttempt(ctx, action.Target, d.key(action.Attempt), load)
	attempt := wire.StartAttempt{
		Generation: d.generation,
		Attempt:    action.Attempt,
		Prompt:     d.prompt,
		Accepted:   d.recovery.Output().Tokens(),
		SentAt:     uint64(sentAt),
		Epoch:      d.epoch,
		Rank:       d.rank(),
	}
	d.publishLocation(ctx, action.Attempt, action.Target)
	go d.entry.runAttempt(attemptCtx, action.Target, attempt, d.events)
}

func (d *generationDriver) key(number request.AttemptNumber) attemptKey {
	return attemptKey{request: d.generation.ID, attempt: number}
}

// cancelAttempt cancels an attempt and removes it. It does nothing if the attempt was
// removed before.
func (d *generationDriver) cancelAttempt(number request.AttemptNumber) {
	running, ok := d.attempts[number]
	if !ok {
		return
	}
	running.cancel()
	delete(d.attempts, number)
	d.entry.control.removeAttempt(running.target, d.key(number), running.load)
}

func (d *generationDriver) deliver(action request.Action) {
	var start wire.Start
	if running, ok := d.attempts[action.Attempt]; ok {
		start = running.start
		running.load.deliveredTokens.Add(int64(len(action.Tokens)))
	}
	output := d.recovery.Output()
	next := eventID{
		request: d.generation.ID, target: start.Target, incarnation: start.Incarnation,
		position: output.Len(), digest: output.Hash(),
	}
	d.recorder.recordDelivery(action.Attempt, start.Target, output.Len()-len(action.Tokens))
	if err := d.sink.writeTokens(action.Tokens, next); err != nil {
		d.callerFailure = fault.KindOf(err)
	}
}

func (d *generationDriver) outcome() request.Outcome {
	output := d.recovery.Output()
	outcome := request.Outcome{
		Request:      d.generation.ID,
		Profile:      d.generation.Profile,
		Revision:     d.generation.Revision,
		ModelVersion: d.generation.Version,
		Attempts:     d.recovery.Attempts(),
		Tokens:       output.Len(),
		WasRun:       d.recovery.WasRun(),
		Kind:         d.errorKind,
		RetryAfter:   d.retryAfter,
		Finish:       d.finishReason,
	}
	if output.Len() > 0 {
		outcome.Digest = output.Digest()
	}
	if d.errorKind != fault.None {
		outcome.Error = d.errorKind.String()
	}
	return outcome
}
