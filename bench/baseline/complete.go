package baseline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

// retryDelay is the delay before the next attempt after a failed one.
const retryDelay = 5 * time.Millisecond

type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

type choice struct {
	Text     string            `json:"text"`
	TokenIDs []request.TokenID `json:"token_ids"`
}

type event struct {
	Choices []choice         `json:"choices"`
	Outcome *request.Outcome `json:"outcome,omitempty"`
}

// completion is one request that is being served.
type completion struct {
	w       http.ResponseWriter
	id      string
	body    completionRequest
	prompt  []request.TokenID
	tokens  []request.TokenID
	text    *request.Detokenizer
	outcome request.Outcome
	// skipTokens is the number of tokens at the start of the current attempt that the
	// caller already has.
	skipTokens int
}

// complete serves one completion. It checks neither bearer tokens nor limits.
func (r *Router) complete(w http.ResponseWriter, req *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := r.newCompletion(w, body)
	for int(c.outcome.Attempts) < r.policy.MaxAttempts && len(c.tokens) < body.MaxTokens {
		if req.Context().Err() != nil {
			return
		}
		target, err := r.pickTarget()
		if err != nil {
			break
		}
		c.outcome.Attempts++
		err = r.attempt(req.Context(), target, c.nextRequest(r), func(chunk outside.Chunk) error { return c.forward(target, chunk) })
		if err != nil {
			r.eject(target)
			time.Sleep(retryDelay)
		}
	}
	c.finish()
}

func (r *Router) newCompletion(w http.ResponseWriter, body completionRequest) *completion {
	w.Header().Set("Content-Type", "text/event-stream")
	id := uuid.NewString()
	return &completion{
		w:       w,
		id:      id,
		body:    body,
		prompt:  oracle.Tokenize(body.Prompt),
		text:    request.NewDetokenizer(vocabulary.Syllables),
		outcome: request.Outcome{Request: request.ID(id)},
	}
}

// nextRequest returns the request for the next attempt at an engine.
func (c *completion) nextRequest(r *Router) outside.GenerateRequest {
	g := outside.GenerateRequest{Model: r.version, Prompt: c.prompt, RequestID: c.id}
	g.Sampling.MaxTokens = c.body.MaxTokens
	c.skipTokens = len(c.tokens)
	if !r.policy.RerunFromPrompt {
		c.skipTokens = 0
		g.Prompt = append(c.prompt[:len(c.prompt):len(c.prompt)], c.tokens...)
		g.Sampling.MaxTokens -= len(c.tokens)
	}
	return g
}

// forward sends the tokens of a chunk to the caller, without those that the caller
// already has.
func (c *completion) forward(target Target, chunk outside.Chunk) error {
	duplicates := min(c.skipTokens, len(chunk.Tokens))
	c.skipTokens -= duplicates
	tokens := chunk.Tokens[duplicates:]
	if len(tokens) == 0 {
		return nil
	}
	c.tokens = append(c.tokens, tokens...)
	id := fmt.Sprintf("%s/%s/0/%d", c.id, target.Name, len(c.tokens))
	return c.write(id, event{Choices: []choice{{Text: string(c.text.Next(tokens)), TokenIDs: tokens}}})
}

func (c *completion) write(id string, e event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if id != "" {
		_, _ = fmt.Fprintf(c.w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *completion) finish() {
	c.outcome.Tokens = len(c.tokens)
	c.outcome.WasRun = request.RunYes
	if len(c.tokens) < c.body.MaxTokens {
		c.outcome.WasRun = request.RunUnknown
		c.outcome.Error = fault.RetriesExhausted.String()
	}
	last := event{Choices: []choice{{Text: string(c.text.Flush())}}, Outcome: &c.outcome}
	if c.write("", last) == nil {
		_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
	}
}
