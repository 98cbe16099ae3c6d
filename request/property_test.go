package request_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	simulatedTargets   = 4
	outputTokens       = 12
	maxCompletionSteps = 400
)

// simulation drives one Recovery with simulated targets that generate, lose,
// duplicate and misdirect tokens. Tokens depend on the attempt, as in a sampled
// generation, so that an output mixed from two attempts is detected.
type simulation struct {
	now      time.Time
	recovery *request.Recovery
	// mutate alters each event before the Recovery handles it, to simulate a Recovery
	// without one of its checks.
	mutate     func(s *simulation, event request.Event) request.Event
	generated  map[request.AttemptNumber][]request.TokenID
	targetOf   map[request.AttemptNumber]request.TargetID
	running    map[request.AttemptNumber]bool
	delivered  []request.TokenID
	selecting  bool
	avoid      []request.TargetID
	timerAt    time.Time
	ended      *request.Action
	violations []string
}

func newSimulation(policy request.RecoveryPolicy) *simulation {
	return &simulation{
		now:       time.Unix(1000, 0),
		recovery:  request.NewRecovery(policy, request.NewOutput(outputTokens)),
		generated: map[request.AttemptNumber][]request.TokenID{},
		targetOf:  map[request.AttemptNumber]request.TargetID{},
		running:   map[request.AttemptNumber]bool{},
	}
}

func (s *simulation) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *simulation) step(event request.Event) {
	if s.mutate != nil {
		event = s.mutate(s, event)
	}
	for _, action := range s.recovery.Step(s.now, event) {
		s.perform(action)
	}
	if len(s.running) > 2 {
		s.reportViolation("%d attempts run", len(s.running))
	}
}

func (s *simulation) perform(action request.Action) {
	if s.ended != nil {
		s.reportViolation("action %d after the end", action.Type)
	}
	switch action.Type {
	case request.ActionSelectTarget:
		s.selecting = true
		s.avoid = slices.Clone(action.Avoid)
	case request.ActionStartAttempt:
		s.generated[action.Attempt] = slices.Clone(s.recovery.Output().Tokens())
		s.targetOf[action.Attempt] = action.Target
		s.running[action.Attempt] = true
	case request.ActionCancelAttempt:
		delete(s.running, action.Attempt)
	case request.ActionDeliver:
		s.checkDelivery(action)
	case request.ActionSetTimer:
		s.timerAt = action.At
	case request.ActionEnd:
		s.ended = &action
		clear(s.running)
	case request.ActionReleaseTarget:
	}
}

// checkDelivery checks that the attempt generated the whole output up to and including
// the delivered tokens.
func (s *simulation) checkDelivery(action request.Action) {
	s.delivered = append(s.delivered, action.Tokens...)
	generated := s.generated[action.Attempt]
	if len(generated) < len(s.delivered) || !slices.Equal(generated[:len(s.delivered)], s.delivered) {
		s.reportViolation("attempt %d generated %v, the caller has %v", action.Attempt, generated, s.delivered)
	}
}

// generate returns the next token of an attempt.
func (s *simulation) generate(number request.AttemptNumber) request.TokenID {
	digest := fnv.New32a()
	_, _ = fmt.Fprint(digest, number, s.generated[number])
	token := request.TokenID(digest.Sum32())
	s.generated[number] = append(s.generated[number], token)
	return token
}

// sendTokens sends the next tokens of an attempt, or its end when all were generated.
func (s *simulation) sendTokens(number request.AttemptNumber, count int) {
	position := len(s.generated[number])
	if position >= outputTokens {
		delete(s.running, number)
		s.step(request.Event{Type: request.EventEnded, Attempt: number, Position: position, Finish: request.FinishLength})
		return
	}
	var tokens []request.TokenID
	for range min(count, outputTokens-position) {
		tokens = append(tokens, s.generate(number))
	}
	s.step(request.Event{Type: request.EventTokens, Attempt: number, Position: position, Tokens: tokens})
}

func (s *simulation) failAttempt(number request.AttemptNumber, kind fault.Kind) {
	delete(s.running, number)
	s.step(request.Event{Type: request.EventFailed, Attempt: number, Kind: kind})
}

func (s *simulation) chooseTarget() request.TargetID {
	for i := range simulatedTargets {
		if id := request.TargetID(fmt.Sprintf("t-%d", i)); !slices.Contains(s.avoid, id) {
			return id
		}
	}
	return "t-0"
}

func (s *simulation) replyToSelection(found bool) {
	if !s.selecting {
		return
	}
	s.selecting = false
	if found {
		s.step(request.Event{Type: request.EventTargetSelected, Target: s.chooseTarget()})
		return
	}
	s.step(request.Event{Type: request.EventNoTarget, Kind: fault.NoTarget})
}

func (s *simulation) runningAttempts() []request.AttemptNumber {
	var numbers []request.AttemptNumber
	for number := range s.running {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// randomEvent applies one random event.
func (s *simulation) randomEvent(t *rapid.T) {
	attempts := s.runningAttempts()
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
	choice := rapid.IntRange(0, 11).Draw(t, "what")
	if len(attempts) == 0 || choice < 2 {
		s.replyToSelection(rapid.IntRange(0, 4).Draw(t, "found") > 0)
		return
	}
	number := rapid.SampledFrom(attempts).Draw(t, "attempt")
	switch choice {
	case 2:
		s.failAttempt(number, rapid.SampledFrom([]fault.Kind{fault.TargetLost, fault.Overloaded, fault.Draining}).Draw(t, "kind"))
	case 3:
		s.step(request.Event{Type: request.EventSuspected, Target: s.targetOf[number]})
	case 4:
		s.step(request.Event{Type: request.EventMigrate, Target: s.targetOf[number]})
	case 5:
		s.resendLastToken(number)
	case 6:
		s.sendLateToken(t)
	case 7:
		s.step(request.Event{Type: request.EventTrusted, Target: s.targetOf[number]})
	case 8:
		s.step(request.Event{Type: request.EventSending, Attempt: attempts[len(attempts)-1]})
	default:
		s.sendTokens(number, rapid.IntRange(1, 3).Draw(t, "count"))
	}
}

// resendLastToken sends the last token of an attempt a second time.
func (s *simulation) resendLastToken(number request.AttemptNumber) {
	generated := s.generated[number]
	if len(generated) == 0 || len(generated) > len(s.delivered) {
		return
	}
	s.step(request.Event{Type: request.EventTokens, Attempt: number, Position: len(generated) - 1, Tokens: generated[len(generated)-1:]})
}

// sendLateToken sends a token of an attempt that is over, as a target that was paused
// does.
func (s *simulation) sendLateToken(t *rapid.T) {
	number := request.AttemptNumber(rapid.IntRange(1, len(s.generated)).Draw(t, "old"))
	if s.running[number] {
		return
	}
	position := len(s.generated[number])
	s.step(request.Event{Type: request.EventTokens, Attempt: number, Position: position, Tokens: []request.TokenID{s.generate(number)}})
}

// runToCompletion continues without further faults until the request ends or
// maxCompletionSteps is reached.
func (s *simulation) runToCompletion() {
	for range maxCompletionSteps {
		if s.ended != nil {
			return
		}
		s.replyToSelection(true)
		if !s.timerAt.IsZero() && len(s.running) == 0 && !s.selecting {
			s.now = s.timerAt
			s.step(request.Event{Type: request.EventTimer})
		}
		for _, number := range s.runningAttempts() {
			if s.running[number] {
				s.sendTokens(number, 1)
			}
		}
	}
}

func (s *simulation) checkOutcome() {
	switch {
	case s.ended == nil:
		s.reportViolation("the request did not end")
	case s.ended.Kind != fault.None:
		s.reportViolation("the request ended with %s", s.ended.Kind)
	case len(s.delivered) != outputTokens:
		s.reportViolation("the output has %d tokens", len(s.delivered))
	}
	if s.ended == nil {
		return
	}
	if s.recovery.WasRun() != request.RunYes {
		s.reportViolation("wasRun is %s", s.recovery.WasRun())
	}
	if len(s.recovery.Step(s.now, request.Event{Type: request.EventStart})) > 0 {
		s.reportViolation("an action after the end")
	}
}

// runSchedule runs one random schedule and returns the violations it found.
func runSchedule(t *rapid.T, mutate func(*simulation, request.Event) request.Event) []string {
	s := newSimulation(request.RecoveryPolicy{
		Hedge: rapid.Bool().Draw(t, "hedge"), ReplaceSuspected: rapid.Bool().Draw(t, "replaceSuspected"),
		ResumeTimeout: time.Hour, MaxTokens: outputTokens,
	})
	s.mutate = mutate
	s.step(request.Event{Type: request.EventStart})
	s.replyToSelection(true)
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		s.randomEvent(t)
	}
	s.runToCompletion()
	s.checkOutcome()
	return s.violations
}

func TestRecovery_DeliversEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violations := runSchedule(t, nil); len(violations) > 0 {
			t.Fatalf("%v", violations)
		}
	})
}

// Each mutation simulates a Recovery without one of its checks. The property must
// detect it within maxMutationSchedules schedules.
func TestRecoveryProperty_DetectsMutations(t *testing.T) {
	for name, mutate := range map[string]func(*simulation, request.Event) request.Event{
		"attempts are not told apart": func(s *simulation, event request.Event) request.Event {
			if attempts := s.runningAttempts(); event.Type == request.EventTokens && len(attempts) > 0 {
				event.Attempt = attempts[0]
			}
			return event
		},
		"positions are not checked": func(s *simulation, event request.Event) request.Event {
			if event.Type == request.EventTokens {
				event.Position = len(s.delivered)
			}
			return event
		},
		"losses are not seen": func(_ *simulation, event request.Event) request.Event {
			if event.Type == request.EventFailed {
				event.Attempt = 0
			}
			return event
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, detectsMutation(mutate), "no schedule caught it") })
	}
}

const maxMutationSchedules = 2000

func detectsMutation(mutate func(*simulation, request.Event) request.Event) bool {
	schedules := rapid.Custom(func(t *rapid.T) []string { return runSchedule(t, mutate) })
	for seed := range maxMutationSchedules {
		if len(schedules.Example(seed)) > 0 {
			return true
		}
	}
	return false
}

// The pieces returned for a text must each be valid UTF-8 and together equal the text.
func TestDetokenizer_NeverSplitsCharacters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, -1).Draw(t, "text")
		detokenizer := request.NewDetokenizer(vocabulary.Bytes{})
		joined := ""
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, min(4, len(rest))).Draw(t, "n")
			var tokens []request.TokenID
			for _, c := range rest[:n] {
				tokens = append(tokens, request.TokenID(c))
			}
			rest = rest[n:]
			piece := string(detokenizer.Next(tokens))
			if !utf8.ValidString(piece) {
				t.Fatalf("%q is not valid UTF-8", piece)
			}
			joined += piece
		}
		if joined += string(detokenizer.Flush()); joined != text {
			t.Fatalf("%q became %q", text, joined)
		}
	})
}
