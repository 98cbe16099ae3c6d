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
	worldTargets = 4
	worldTokens  = 12
	worldSteps   = 400
)

// world is a small world around one Recovery: targets that generate, lose,
// repeat and cross frames. Its tokens depend on the attempt, as those of a
// sampled generation do, so text of two attempts in one answer shows.
type world struct {
	now      time.Time
	recovery *request.Recovery
	// mutate changes an event on its way, as a Recovery without one of its checks
	// would see it.
	mutate   func(w *world, event request.Event) request.Event
	sequence map[request.AttemptNumber][]request.TokenID
	target   map[request.AttemptNumber]request.TargetID
	running  map[request.AttemptNumber]bool
	answer   []request.TokenID
	picking  bool
	avoid    []request.TargetID
	wake     time.Time
	ended    *request.Action
	failed   []string
}

func newWorld(policy request.RecoveryPolicy) *world {
	return &world{
		now:      time.Unix(1000, 0),
		recovery: request.NewRecovery(policy, request.NewOutput(worldTokens)),
		sequence: map[request.AttemptNumber][]request.TokenID{},
		target:   map[request.AttemptNumber]request.TargetID{},
		running:  map[request.AttemptNumber]bool{},
	}
}

func (w *world) fail(format string, args ...any) {
	w.failed = append(w.failed, fmt.Sprintf(format, args...))
}

func (w *world) step(event request.Event) {
	if w.mutate != nil {
		event = w.mutate(w, event)
	}
	for _, action := range w.recovery.Step(w.now, event) {
		w.do(action)
	}
	if len(w.running) > 2 {
		w.fail("%d attempts run", len(w.running))
	}
}

func (w *world) do(action request.Action) {
	if w.ended != nil {
		w.fail("action %d after the end", action.Type)
	}
	switch action.Type {
	case request.ActionSelectTarget:
		w.picking = true
		w.avoid = slices.Clone(action.Avoid)
	case request.ActionStartAttempt:
		w.sequence[action.Attempt] = slices.Clone(w.recovery.Output().Tokens())
		w.target[action.Attempt] = action.Target
		w.running[action.Attempt] = true
	case request.ActionCancelAttempt:
		delete(w.running, action.Attempt)
	case request.ActionDeliver:
		w.deliver(action)
	case request.ActionSetTimer:
		w.wake = action.At
	case request.ActionEnd:
		w.ended = &action
		clear(w.running)
	case request.ActionReleaseTarget:
	}
}

// deliver checks that the attempt generated the whole answer up to its tokens.
func (w *world) deliver(action request.Action) {
	w.answer = append(w.answer, action.Tokens...)
	made := w.sequence[action.Attempt]
	if len(made) < len(w.answer) || !slices.Equal(made[:len(w.answer)], w.answer) {
		w.fail("attempt %d generated %v, the caller has %v", action.Attempt, made, w.answer)
	}
}

// generate makes the next token of an attempt.
func (w *world) generate(number request.AttemptNumber) request.TokenID {
	digest := fnv.New32a()
	_, _ = fmt.Fprint(digest, number, w.sequence[number])
	token := request.TokenID(digest.Sum32())
	w.sequence[number] = append(w.sequence[number], token)
	return token
}

// frames offers the next tokens of an attempt or ends it.
func (w *world) frames(number request.AttemptNumber, count int) {
	at := len(w.sequence[number])
	if at >= worldTokens {
		delete(w.running, number)
		w.step(request.Event{Type: request.EventEnded, Attempt: number, Position: at, Finish: request.FinishLength})
		return
	}
	var tokens []request.TokenID
	for range min(count, worldTokens-at) {
		tokens = append(tokens, w.generate(number))
	}
	w.step(request.Event{Type: request.EventTokens, Attempt: number, Position: at, Tokens: tokens})
}

func (w *world) lose(number request.AttemptNumber, kind fault.Kind) {
	delete(w.running, number)
	w.step(request.Event{Type: request.EventFailed, Attempt: number, Kind: kind})
}

func (w *world) choose() request.TargetID {
	for i := range worldTargets {
		if id := request.TargetID(fmt.Sprintf("t-%d", i)); !slices.Contains(w.avoid, id) {
			return id
		}
	}
	return "t-0"
}

func (w *world) pickAnswer(found bool) {
	if !w.picking {
		return
	}
	w.picking = false
	if found {
		w.step(request.Event{Type: request.EventTargetSelected, Target: w.choose()})
		return
	}
	w.step(request.Event{Type: request.EventNoTarget, Kind: fault.NoTarget})
}

func (w *world) attempts() []request.AttemptNumber {
	var numbers []request.AttemptNumber
	for number := range w.running {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// chaos does one random thing.
func (w *world) chaos(t *rapid.T) {
	attempts := w.attempts()
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
	what := rapid.IntRange(0, 9).Draw(t, "what")
	if len(attempts) == 0 || what < 2 {
		w.pickAnswer(rapid.IntRange(0, 4).Draw(t, "found") > 0)
		return
	}
	number := rapid.SampledFrom(attempts).Draw(t, "attempt")
	switch what {
	case 2:
		w.lose(number, rapid.SampledFrom([]fault.Kind{fault.TargetLost, fault.Overloaded, fault.Draining}).Draw(t, "kind"))
	case 3:
		w.step(request.Event{Type: request.EventSuspected, Target: w.target[number]})
	case 4:
		w.step(request.Event{Type: request.EventMigrate, Target: w.target[number]})
	case 5:
		w.repeat(number)
	case 6:
		w.late(t)
	default:
		w.frames(number, rapid.IntRange(1, 3).Draw(t, "count"))
	}
}

// repeat sends the last token of an attempt again.
func (w *world) repeat(number request.AttemptNumber) {
	made := w.sequence[number]
	if len(made) == 0 || len(made) > len(w.answer) {
		return
	}
	w.step(request.Event{Type: request.EventTokens, Attempt: number, Position: len(made) - 1, Tokens: made[len(made)-1:]})
}

// late sends tokens of an attempt that is over, as a target does that was paused.
func (w *world) late(t *rapid.T) {
	number := request.AttemptNumber(rapid.IntRange(1, len(w.sequence)).Draw(t, "old"))
	if w.running[number] {
		return
	}
	at := len(w.sequence[number])
	w.step(request.Event{Type: request.EventTokens, Attempt: number, Position: at, Tokens: []request.TokenID{w.generate(number)}})
}

// settle lets everything go well from here on, and expects a complete answer.
func (w *world) settle() {
	for range worldSteps {
		if w.ended != nil {
			return
		}
		w.pickAnswer(true)
		if !w.wake.IsZero() && len(w.running) == 0 && !w.picking {
			w.now = w.wake
			w.step(request.Event{Type: request.EventTimer})
		}
		for _, number := range w.attempts() {
			if w.running[number] {
				w.frames(number, 1)
			}
		}
	}
}

func (w *world) check() {
	switch {
	case w.ended == nil:
		w.fail("the request did not end")
	case w.ended.Kind != fault.None:
		w.fail("the request ended with %s", w.ended.Kind)
	case len(w.answer) != worldTokens:
		w.fail("the answer has %d tokens", len(w.answer))
	}
	if w.ended == nil {
		return
	}
	if w.recovery.WasRun() != request.RunYes {
		w.fail("wasRun is %s", w.recovery.WasRun())
	}
	if len(w.recovery.Step(w.now, request.Event{Type: request.EventStart})) > 0 {
		w.fail("an action after the end")
	}
}

// play runs one random schedule and returns what went wrong.
func play(t *rapid.T, mutate func(*world, request.Event) request.Event) []string {
	w := newWorld(request.RecoveryPolicy{Hedge: rapid.Bool().Draw(t, "hedge"), ResumeTimeout: time.Hour, MaxTokens: worldTokens})
	w.mutate = mutate
	w.step(request.Event{Type: request.EventStart})
	w.pickAnswer(true)
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		w.chaos(t)
	}
	w.settle()
	w.check()
	return w.failed
}

func TestRecoveryDeliversEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if failed := play(t, nil); len(failed) > 0 {
			t.Fatalf("%v", failed)
		}
	})
}

// Each mutation stands for a Recovery without one of its checks; the property
// must catch it within a bounded number of schedules.
func TestRecoveryPropertyCatchesMutations(t *testing.T) {
	for name, mutate := range map[string]func(*world, request.Event) request.Event{
		"attempts are not told apart": func(w *world, event request.Event) request.Event {
			if attempts := w.attempts(); event.Type == request.EventTokens && len(attempts) > 0 {
				event.Attempt = attempts[0]
			}
			return event
		},
		"positions are not checked": func(w *world, event request.Event) request.Event {
			if event.Type == request.EventTokens {
				event.Position = len(w.answer)
			}
			return event
		},
		"losses are not seen": func(_ *world, event request.Event) request.Event {
			if event.Type == request.EventFailed {
				event.Attempt = 0
			}
			return event
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, caught(mutate), "no schedule caught it") })
	}
}

const mutationSchedules = 2000

func caught(mutate func(*world, request.Event) request.Event) bool {
	schedules := rapid.Custom(func(t *rapid.T) []string { return play(t, mutate) })
	for seed := range mutationSchedules {
		if len(schedules.Example(seed)) > 0 {
			return true
		}
	}
	return false
}

// TestDetokenizerNeverSplitsLetters compares pieces with the whole text.
func TestDetokenizerNeverSplitsLetters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, -1).Draw(t, "text")
		detokenizer := request.NewDetokenizer(vocabulary.Bytes{})
		whole := ""
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, min(4, len(rest))).Draw(t, "n")
			var tokens []request.TokenID
			for _, c := range rest[:n] {
				tokens = append(tokens, request.TokenID(c))
			}
			rest = rest[n:]
			piece := string(detokenizer.Next(tokens))
			if !utf8.ValidString(piece) {
				t.Fatalf("%q is not whole", piece)
			}
			whole += piece
		}
		if whole += string(detokenizer.Flush()); whole != text {
			t.Fatalf("%q became %q", text, whole)
		}
	})
}
