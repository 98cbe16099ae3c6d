package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

const (
	salt  = "engine-test"
	model = "trial-lm-v1"
)

func startEngine(t *testing.T, change func(*engine.Config)) *engine.Server {
	t.Helper()
	config := engine.DefaultConfig(salt, model)
	config.StepTime = 2 * time.Millisecond
	config.KeepRecords = true
	if change != nil {
		change(&config)
	}
	server, err := engine.Serve(config, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Kill)
	return server
}

type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    []request.TokenID `json:"prompt"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
	RequestID string            `json:"request_id"`
}

func newCompletion(id string, tokens int) completionRequest {
	return completionRequest{Model: model, Prompt: oracle.Tokenize("a survey of " + strings.Repeat("the dew pond ", 8)), MaxTokens: tokens, RequestID: id}
}

func sendCompletion(t *testing.T, server *engine.Server, body completionRequest) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL()+"/v1/completions", bytes.NewReader(data))
	assert.NilError(t, err)
	return http.DefaultClient.Do(httpRequest)
}

// readStream reads a stream to its end. It returns the tokens and reports whether the stream
// ended with [DONE].
func readStream(response *http.Response) (tokens []request.TokenID, complete bool) {
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var event struct {
			Choices []struct {
				TokenIDs []request.TokenID `json:"token_ids"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return tokens, false
		}
		tokens = append(tokens, event.Choices[0].TokenIDs...)
	}
	return tokens, false
}

func TestCompletion_StreamsOracleTokens(t *testing.T) {
	server := startEngine(t, nil)
	body := newCompletion("r1", 20)
	response, err := sendCompletion(t, server, body)
	assert.NilError(t, err)
	tokens, complete := readStream(response)
	assert.Assert(t, complete)
	assert.DeepEqual(t, tokens, oracle.Generate(salt, model, body.Prompt, 20))
}

func TestRecords_CountWorkPerRequest(t *testing.T) {
	server := startEngine(t, nil)
	body := newCompletion("r1", 20)
	for range 2 {
		response, err := sendCompletion(t, server, body)
		assert.NilError(t, err)
		_, complete := readStream(response)
		assert.Assert(t, complete)
	}
	records := server.Records()
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[0].PrefillTokens, len(body.Prompt))
	assert.Equal(t, records[0].DecodedTokens, 20)
	assert.Equal(t, records[1].PrefillTokens+records[1].CachedTokens, len(body.Prompt))
	assert.Assert(t, records[1].CachedTokens >= len(body.Prompt)-engine.CacheBlockTokens)
	work := server.Work()
	assert.Equal(t, work.PrefillTokens, int64(records[0].PrefillTokens+records[1].PrefillTokens))
	assert.Equal(t, work.DecodedTokens, int64(40))
}

func TestKill_BreaksStreamAndKeepsWorkCounts(t *testing.T) {
	server := startEngine(t, nil)
	response, err := sendCompletion(t, server, newCompletion("r1", 100_000))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.Work().DecodedTokens > 5 {
			return poll.Success()
		}
		return poll.Continue("no tokens yet")
	})
	server.Kill()
	work := server.Work()
	tokens, complete := readStream(response)
	assert.Assert(t, !complete)
	active := server.ActiveRecords()
	assert.Equal(t, len(active), 1)
	assert.Equal(t, int64(active[0].DecodedTokens), work.DecodedTokens)
	assert.Assert(t, len(tokens) <= active[0].DecodedTokens)
	assert.Equal(t, server.Work(), work)
	_, err = sendCompletion(t, server, newCompletion("r2", 1))
	assert.Assert(t, err != nil)
}

func TestShutdown_FinishesRunningAndRefusesNewGenerations(t *testing.T) {
	server := startEngine(t, nil)
	response, err := sendCompletion(t, server, newCompletion("r1", 300))
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		refused, err := sendCompletion(t, server, newCompletion("r2", 1))
		if err != nil {
			return poll.Success()
		}
		defer func() { _ = refused.Body.Close() }()
		if refused.StatusCode == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("status %d", refused.StatusCode)
	})
	tokens, complete := readStream(response)
	assert.Assert(t, complete)
	assert.Equal(t, len(tokens), 300)
	assert.NilError(t, <-ended)
}

func TestPause_GenerationContinuesWithOracleTokens(t *testing.T) {
	server := startEngine(t, nil)
	body := newCompletion("r1", 50)
	response, err := sendCompletion(t, server, body)
	assert.NilError(t, err)
	server.SetFaults(engine.Faults{Pause: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := server.Work()
		time.Sleep(20 * time.Millisecond)
		if server.Work() == before {
			return poll.Success()
		}
		return poll.Continue("still working")
	})
	server.SetFaults(engine.Faults{})
	tokens, complete := readStream(response)
	assert.Assert(t, complete)
	assert.DeepEqual(t, tokens, oracle.Generate(salt, model, body.Prompt, 50))
}

func TestAdmission_LowerPriorityValueFirst(t *testing.T) {
	server := startEngine(t, func(c *engine.Config) { c.Batch = 1 })
	first, err := sendCompletion(t, server, newCompletion("running", 100_000))
	assert.NilError(t, err)
	late := newCompletion("late", 1)
	late.Priority = 5
	second, err := sendCompletion(t, server, late)
	assert.NilError(t, err)
	urgent, err := sendCompletion(t, server, newCompletion("urgent", 1))
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	for _, response := range []*http.Response{second, urgent} {
		_, complete := readStream(response)
		assert.Assert(t, complete)
	}
	records := server.Records()
	assert.Equal(t, records[1].RequestID, "late")
	assert.Assert(t, records[2].Admitted.Before(records[1].Admitted))
}

func TestPause_DropsGenerationCancelledMeanwhile(t *testing.T) {
	server := startEngine(t, nil)
	response, err := sendCompletion(t, server, newCompletion("r1", 100_000))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.Work().DecodedTokens > 5 {
			return poll.Success()
		}
		return poll.Continue("no tokens yet")
	})
	server.SetFaults(engine.Faults{Pause: true})
	assert.NilError(t, response.Body.Close())
	server.SetFaults(engine.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(server.ActiveRecords()) == 0 {
			return poll.Success()
		}
		return poll.Continue("still running")
	}, poll.WithTimeout(30*time.Second))
}
