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

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// OutcomeHeader carries the outcome, as JSON, on responses that are not streamed.
const OutcomeHeader = "X-Mulberrylane-Outcome"

// responseWriter writes one response to its caller, as an event stream or in one piece.
type responseWriter struct {
	c             *gin.Context
	generation    request.Generation
	req           completionAsk
	writeTimeout  time.Duration
	controller    *http.ResponseController
	detokenizer   *request.Detokenizer
	created       int64
	promptTokens  []request.TokenID
	text          []byte
	tokenIDs      []request.TokenID
	streamStarted bool
	// encoder encodes all events except the first and the last.
	encoder  *eventEncoder
	roleSent bool
}

func newResponseWriter(c *gin.Context, g request.Generation, req completionAsk, vocab request.Vocabulary, writeTimeout time.Duration) *responseWriter {
	return &responseWriter{
		c:            c,
		generation:   g,
		req:          req,
		writeTimeout: writeTimeout,
		controller:   http.NewResponseController(c.Writer),
		detokenizer:  request.NewDetokenizer(vocab),
		created:      time.Now().Unix(),
	}
}

func (w *responseWriter) onStart(start wire.Start) { w.promptTokens = start.Prompt }

// resume prepares the writer for a stream whose first tokens the caller already has.
func (w *responseWriter) resume(prefix []request.TokenID) {
	w.detokenizer.Next(prefix)
	w.roleSent = len(prefix) > 0
}

// writeTokens implements tokenSink.
func (w *responseWriter) writeTokens(tokens []request.TokenID, next eventID) error {
	text := w.detokenizer.Next(tokens)
	if !w.req.Stream {
		w.text = append(w.text, text...)
		w.tokenIDs = append(w.tokenIDs, tokens...)
		return nil
	}
	if !w.streamStarted {
		first := w.newResponse(w.choice(string(text), tokens, nil))
		return w.writeEvent(string(next.append(nil)), first)
	}
	if w.encoder == nil {
		w.encoder = newEventEncoder(w.newResponse(choice{}), w.generation.Chat, w.req.ReturnTokenIDs)
	}
	return w.writeAndFlush(w.encoder.encode(next, text, tokens))
}

// writeAndFlush writes events and flushes them to the caller.
func (w *responseWriter) writeAndFlush(events []byte) error {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	if _, err := w.c.Writer.Write(events); err != nil {
		return callerWriteError(err)
	}
	return callerWriteError(w.controller.Flush())
}

func (w *responseWriter) choice(text string, tokens []request.TokenID, finish *request.FinishReason) choice {
	part := choice{FinishReason: finish}
	if w.req.ReturnTokenIDs {
		part.TokenIDs = tokens
	}
	switch {
	case !w.generation.Chat:
		part.Text = &text
	case w.req.Stream:
		part.Delta = &chatMessage{Content: text}
		if !w.roleSent {
			part.Delta.Role = "assistant"
			w.roleSent = true
		}
	default:
		part.Message = &chatMessage{Role: "assistant", Content: text}
	}
	if w.req.ReturnTokenIDs && !w.streamStarted {
		part.PromptTokenIDs = w.promptTokens
	}
	return part
}

func (w *responseWriter) newResponse(part choice) completionResponse {
	response := completionResponse{
		ID:      string(w.generation.ID),
		Object:  w.object(),
		Created: w.created,
		Model:   w.generation.Service,
		Choices: []choice{part},
	}
	return response
}

func (w *responseWriter) object() string {
	switch {
	case w.generation.Chat && w.req.Stream:
		return "chat.completion.chunk"
	case w.generation.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (w *responseWriter) startStream() {
	if w.streamStarted {
		return
	}
	w.streamStarted = true
	w.c.Header("Content-Type", "text/event-stream")
	w.c.Header("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}

func (w *responseWriter) writeEvent(id string, body any) error {
	w.startStream()
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	var event []byte
	if id != "" {
		event = fmt.Appendf(event, "id: %s\n", id)
	}
	return w.writeAndFlush(fmt.Appendf(event, "data: %s\n\n", data))
}

// callerWriteError returns the error of a write to the caller with a kind that
// distinguishes a caller that does not read from one that has disconnected.
func callerWriteError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.Wrap(fault.SlowCaller, err, "write")
	default:
		return fault.Wrap(fault.CallerGone, err, "write")
	}
}

// finish ends the response with its outcome.
func (w *responseWriter) finish(outcome request.Outcome) {
	switch {
	case outcome.Kind != fault.None && !w.streamStarted:
		writeError(w.c, fault.New(outcome.Kind, ""), outcome)
	case outcome.Kind != fault.None:
		_ = w.writeEvent("", newErrorResponse(fault.New(outcome.Kind, ""), outcome))
	case w.req.Stream:
		w.finishStream(outcome)
	default:
		w.finishUnstreamed(outcome)
	}
}

func (w *responseWriter) finishStream(outcome request.Outcome) {
	rest := string(w.detokenizer.Flush())
	last := w.newResponse(w.choice(rest, nil, &outcome.Finish))
	last.Outcome = &outcome
	if w.req.StreamOptions != nil && w.req.StreamOptions.IncludeUsage {
		last.Usage = w.usage(outcome)
	}
	if w.writeEvent("", last) != nil {
		return
	}
	_, _ = fmt.Fprint(w.c.Writer, "data: [DONE]\n\n")
	_ = w.controller.Flush()
}

func (w *responseWriter) finishUnstreamed(outcome request.Outcome) {
	w.text = append(w.text, w.detokenizer.Flush()...)
	response := w.newResponse(w.choice(string(w.text), w.tokenIDs, &outcome.Finish))
	response.Usage = w.usage(outcome)
	response.Outcome = &outcome
	setOutcomeHeader(w.c, outcome)
	w.c.JSON(http.StatusOK, response)
}

func (w *responseWriter) usage(outcome request.Outcome) *usage {
	return &usage{
		PromptTokens:     len(w.promptTokens),
		CompletionTokens: outcome.Tokens,
		TotalTokens:      len(w.promptTokens) + outcome.Tokens,
	}
}

func setOutcomeHeader(c *gin.Context, outcome request.Outcome) {
	if data, err := json.Marshal(outcome); err == nil {
		c.Header(OutcomeHeader, string(data))
	}
}

// writeError ends a request with the response of its error kind.
func writeError(c *gin.Context, err error, outcome request.Outcome) {
	kind := fault.KindOf(err)
	outcome.Kind = kind
	outcome.Error = kind.String()
	response := kind.Response()
	if response.Retryable {
		seconds := math.Ceil(max(1, outcome.RetryAfter.Seconds()))
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	if graceful.Account(c.Request.Context()).Yielded() {
		// Its connection is closed as well.
		c.Header("Connection", "close")
	}
	setOutcomeHeader(c, outcome)
	c.AbortWithStatusJSON(response.Status, newErrorResponse(err, outcome))
}

func newErrorResponse(err error, outcome request.Outcome) errorResponse {
	kind := fault.KindOf(err)
	response := kind.Response()
	body := errorBody{Message: response.Message, Type: response.Type, Code: response.Name}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Message != "" {
		body.Message = typed.Message
	}
	return errorResponse{Error: body, Outcome: &outcome}
}
