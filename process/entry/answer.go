package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// OutcomeHeader carries the outcome, as JSON, on answers that are not streamed.
const OutcomeHeader = "X-Mulberrylane-Outcome"

// answerWriter writes one answer to its caller, as events or whole.
type answerWriter struct {
	c           *gin.Context
	generation  request.Generation
	ask         completionAsk
	slowCaller  time.Duration
	controller  *http.ResponseController
	detokenizer *request.Detokenizer
	created     int64
	prompt      []request.TokenID
	text        []byte
	ids         []request.TokenID
	opened      bool
	// encoder writes all events but the first and the last.
	encoder  *eventEncoder
	roleSent bool
}

func newAnswerWriter(c *gin.Context, g request.Generation, ask completionAsk, words request.Vocabulary, slowCaller time.Duration) *answerWriter {
	return &answerWriter{
		c:           c,
		generation:  g,
		ask:         ask,
		slowCaller:  slowCaller,
		controller:  http.NewResponseController(c.Writer),
		detokenizer: request.NewDetokenizer(words),
		created:     time.Now().Unix(),
	}
}

func (w *answerWriter) began(began wire.Start) { w.prompt = began.Prompt }

// resume prepares the writer for an answer whose first tokens the caller has.
func (w *answerWriter) resume(prefix []request.TokenID) {
	w.detokenizer.Next(prefix)
	w.roleSent = len(prefix) > 0
}

// tokens implements sink.
func (w *answerWriter) tokens(tokens []request.TokenID, next eventID) error {
	text := w.detokenizer.Next(tokens)
	if !w.ask.Stream {
		w.text = append(w.text, text...)
		w.ids = append(w.ids, tokens...)
		return nil
	}
	if !w.opened {
		first := w.event(w.choice(string(text), tokens, nil))
		return w.writeEvent(string(next.append(nil)), first)
	}
	if w.encoder == nil {
		w.encoder = newEventEncoder(w.event(choice{}), w.generation.Chat, w.ask.ReturnTokenIDs)
	}
	return w.send(w.encoder.encode(next, text, tokens))
}

// send writes events and flushes them to the caller.
func (w *answerWriter) send(events []byte) error {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.slowCaller))
	if _, err := w.c.Writer.Write(events); err != nil {
		return callerLost(err)
	}
	return callerLost(w.controller.Flush())
}

func (w *answerWriter) choice(text string, tokens []request.TokenID, finish *request.FinishReason) choice {
	part := choice{FinishReason: finish}
	if w.ask.ReturnTokenIDs {
		part.TokenIDs = tokens
	}
	switch {
	case !w.generation.Chat:
		part.Text = &text
	case w.ask.Stream:
		part.Delta = &chatMessage{Content: text}
		if !w.roleSent {
			part.Delta.Role = "assistant"
			w.roleSent = true
		}
	default:
		part.Message = &chatMessage{Role: "assistant", Content: text}
	}
	if w.ask.ReturnTokenIDs && !w.opened {
		part.PromptTokenIDs = w.prompt
	}
	return part
}

func (w *answerWriter) event(part choice) reply {
	answer := reply{
		ID:      string(w.generation.ID),
		Object:  w.object(),
		Created: w.created,
		Model:   w.generation.Service,
		Choices: []choice{part},
	}
	return answer
}

func (w *answerWriter) object() string {
	switch {
	case w.generation.Chat && w.ask.Stream:
		return "chat.completion.chunk"
	case w.generation.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (w *answerWriter) open() {
	if w.opened {
		return
	}
	w.opened = true
	w.c.Header("Content-Type", "text/event-stream")
	w.c.Header("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}

func (w *answerWriter) writeEvent(id string, body any) error {
	w.open()
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	var event []byte
	if id != "" {
		event = fmt.Appendf(event, "id: %s\n", id)
	}
	return w.send(fmt.Appendf(event, "data: %s\n\n", data))
}

// callerLost tells a caller that does not read from one that left.
func callerLost(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.Wrap(fault.SlowCaller, err, "write")
	default:
		return fault.Wrap(fault.CallerGone, err, "write")
	}
}

// finish ends the answer with its outcome.
func (w *answerWriter) finish(outcome request.Outcome) {
	switch {
	case outcome.Kind != fault.None && !w.opened:
		writeError(w.c, fault.New(outcome.Kind, ""), outcome)
	case outcome.Kind != fault.None:
		_ = w.writeEvent("", errorReplyOf(fault.New(outcome.Kind, ""), outcome))
	case w.ask.Stream:
		w.finishStream(outcome)
	default:
		w.finishWhole(outcome)
	}
}

func (w *answerWriter) finishStream(outcome request.Outcome) {
	rest := string(w.detokenizer.Flush())
	last := w.event(w.choice(rest, nil, &outcome.Finish))
	last.Outcome = &outcome
	if w.ask.StreamOptions != nil && w.ask.StreamOptions.IncludeUsage {
		last.Usage = w.usage(outcome)
	}
	if w.writeEvent("", last) != nil {
		return
	}
	_, _ = fmt.Fprint(w.c.Writer, "data: [DONE]\n\n")
	_ = w.controller.Flush()
}

func (w *answerWriter) finishWhole(outcome request.Outcome) {
	w.text = append(w.text, w.detokenizer.Flush()...)
	whole := w.event(w.choice(string(w.text), w.ids, &outcome.Finish))
	whole.Usage = w.usage(outcome)
	whole.Outcome = &outcome
	setOutcomeHeader(w.c, outcome)
	w.c.JSON(http.StatusOK, whole)
}

func (w *answerWriter) usage(outcome request.Outcome) *usage {
	return &usage{
		PromptTokens:     len(w.prompt),
		CompletionTokens: outcome.Tokens,
		TotalTokens:      len(w.prompt) + outcome.Tokens,
	}
}

func setOutcomeHeader(c *gin.Context, outcome request.Outcome) {
	if data, err := json.Marshal(outcome); err == nil {
		c.Header(OutcomeHeader, string(data))
	}
}

// writeError ends a request with the answer of its error kind.
func writeError(c *gin.Context, err error, outcome request.Outcome) {
	kind := fault.KindOf(err)
	outcome.Kind = kind
	outcome.Error = kind.String()
	answer := kind.Response()
	if answer.Retryable {
		seconds := math.Ceil(max(1, outcome.RetryAfter.Seconds()))
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	setOutcomeHeader(c, outcome)
	c.AbortWithStatusJSON(answer.Status, errorReplyOf(err, outcome))
}

func errorReplyOf(err error, outcome request.Outcome) errorReply {
	kind := fault.KindOf(err)
	answer := kind.Response()
	body := errorBody{Message: answer.Message, Type: answer.Type, Code: answer.Name}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Message != "" {
		body.Message = typed.Message
	}
	return errorReply{Error: body, Outcome: &outcome}
}
