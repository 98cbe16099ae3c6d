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

// retryPause is the pause before a lost attempt is tried elsewhere.
const retryPause = 5 * time.Millisecond

type completionAsk struct {
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

// answer is one request in work.
type answer struct {
	w       http.ResponseWriter
	id      string
	ask     completionAsk
	prompt  []request.TokenID
	tokens  []request.TokenID
	text    *request.Detokenizer
	outcome request.Outcome
	// skip counts the tokens of the attempt that the caller already has.
	skip int
}

// complete serves one completion. It looks at no token and no limit.
func (r *Router) complete(w http.ResponseWriter, post *http.Request) {
	var ask completionAsk
	if err := json.NewDecoder(post.Body).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := r.newAnswer(w, ask)
	for int(a.outcome.Attempts) < r.policy.MaxAttempts && len(a.tokens) < ask.MaxTokens {
		if post.Context().Err() != nil {
			return
		}
		target, err := r.pick()
		if err != nil {
			break
		}
		a.outcome.Attempts++
		err = r.attempt(post.Context(), target, a.generate(r), func(c outside.Chunk) error { return a.take(target, c) })
		if err != nil {
			r.eject(target)
			time.Sleep(retryPause)
		}
	}
	a.finish()
}

func (r *Router) newAnswer(w http.ResponseWriter, ask completionAsk) *answer {
	w.Header().Set("Content-Type", "text/event-stream")
	id := uuid.NewString()
	return &answer{
		w:       w,
		id:      id,
		ask:     ask,
		prompt:  oracle.Tokenize(ask.Prompt),
		text:    request.NewDetokenizer(vocabulary.Syllables),
		outcome: request.Outcome{Request: request.ID(id)},
	}
}

// generate returns what the next attempt asks the engine for.
func (a *answer) generate(r *Router) outside.GenerateRequest {
	g := outside.GenerateRequest{Model: r.version, Prompt: a.prompt, RequestID: a.id}
	g.Sampling.MaxTokens = a.ask.MaxTokens
	a.skip = len(a.tokens)
	if !r.policy.RerunFromPrompt {
		a.skip = 0
		g.Prompt = append(a.prompt[:len(a.prompt):len(a.prompt)], a.tokens...)
		g.Sampling.MaxTokens -= len(a.tokens)
	}
	return g
}

// take passes the tokens of a chunk on, without those that the caller has.
func (a *answer) take(target Target, chunk outside.Chunk) error {
	known := min(a.skip, len(chunk.Tokens))
	a.skip -= known
	tokens := chunk.Tokens[known:]
	if len(tokens) == 0 {
		return nil
	}
	a.tokens = append(a.tokens, tokens...)
	id := fmt.Sprintf("%s/%s/0/%d", a.id, target.Name, len(a.tokens))
	return a.write(id, event{Choices: []choice{{Text: string(a.text.Next(tokens)), TokenIDs: tokens}}})
}

func (a *answer) write(id string, e event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if id != "" {
		_, _ = fmt.Fprintf(a.w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answer) finish() {
	a.outcome.Tokens = len(a.tokens)
	a.outcome.WasRun = request.RunYes
	if len(a.tokens) < a.ask.MaxTokens {
		a.outcome.WasRun = request.RunUnknown
		a.outcome.Error = fault.RetriesExhausted.String()
	}
	last := event{Choices: []choice{{Text: string(a.text.Flush())}}, Outcome: &a.outcome}
	if a.write("", last) == nil {
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	}
}
