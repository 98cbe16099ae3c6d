package fleet_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/fleet"
	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

const openaiMaxTokens = 40

func openaiClient(f *fleet.Fleet, token string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1/"), option.WithAPIKey(token), option.WithMaxRetries(0))
}

// wantText returns the text that the oracle generates for a tokenized prompt.
func wantText(prompt []request.TokenID) string {
	var text []byte
	for _, token := range oracle.Generate(salt, fleet.TrialVersion, prompt, openaiMaxTokens) {
		text = vocabulary.Syllables.TokenBytes(text, token)
	}
	return string([]rune(string(text)))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: fleet.TrialService,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Răspunde pe scurt."),
			openai.UserMessage("Când începe cursul?"),
		},
		MaxCompletionTokens: openai.Int(openaiMaxTokens),
	}
}

func wantChat() string {
	return wantText(oracle.Tokenize(oracle.ApplyChatTemplate([]request.Message{
		{Role: "system", Content: "Răspunde pe scurt."},
		{Role: "user", Content: "Când începe cursul?"},
	})))
}

// TestOpenAIClient sends requests to an entry with the unmodified OpenAI client
// library.
func TestOpenAIClient(t *testing.T) {
	f := startFleet(t, 2)
	client := openaiClient(f, fleet.TrialToken)
	completion := openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(fleet.TrialService),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Λίμνη")},
		MaxTokens: openai.Int(openaiMaxTokens),
	}
	t.Run("whole chat", func(t *testing.T) {
		resp, err := client.Chat.Completions.New(t.Context(), chatParams())
		assert.NilError(t, err)
		assert.Equal(t, resp.Choices[0].Message.Content, wantChat())
		assert.Equal(t, resp.Choices[0].FinishReason, "length")
		assert.Equal(t, resp.Usage.CompletionTokens, int64(openaiMaxTokens))
	})
	t.Run("streamed chat", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
		accumulator := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			assert.Assert(t, accumulator.AddChunk(stream.Current()))
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, accumulator.Choices[0].Message.Content, wantChat())
		assert.Equal(t, accumulator.Choices[0].FinishReason, "length")
	})
	t.Run("whole completion", func(t *testing.T) {
		resp, err := client.Completions.New(t.Context(), completion)
		assert.NilError(t, err)
		assert.Equal(t, resp.Choices[0].Text, wantText(oracle.Tokenize("Λίμνη")))
	})
	t.Run("streamed completion", func(t *testing.T) {
		stream := client.Completions.NewStreaming(t.Context(), completion)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, wantText(oracle.Tokenize("Λίμνη")))
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, page.Data[0].ID, fleet.TrialService)
		model, err := client.Models.Get(t.Context(), fleet.TrialService)
		assert.NilError(t, err)
		assert.Equal(t, model.ID, fleet.TrialService)
	})
	t.Run("refusals", func(t *testing.T) { testRefusals(t, f) })
}

func testRefusals(t *testing.T, f *fleet.Fleet) {
	client := openaiClient(f, fleet.TrialToken)
	stop := chatParams()
	stop.Stop = openai.ChatCompletionNewParamsStopUnion{OfString: openai.String("\n")}
	unknown := chatParams()
	unknown.Model = "no-such-model"
	long := chatParams()
	long.MaxCompletionTokens = openai.Int(1 << 30)
	for _, test := range []struct {
		name   string
		client openai.Client
		params openai.ChatCompletionNewParams
		status int
		kind   string
		code   string
	}{
		{"unknown token", openaiClient(f, "nobody"), chatParams(), http.StatusUnauthorized, "authentication_error", "unauthenticated"},
		{"unknown model", client, unknown, http.StatusNotFound, "invalid_request_error", "not_found"},
		{"parameter that is not served", client, stop, http.StatusBadRequest, "invalid_request_error", "bad_request"},
		{"too many tokens", client, long, http.StatusBadRequest, "invalid_request_error", "bad_request"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := test.client.Chat.Completions.New(t.Context(), test.params)
			var apiError *openai.Error
			assert.Assert(t, errors.As(err, &apiError), "%v", err)
			assert.Equal(t, apiError.StatusCode, test.status)
			assert.Equal(t, apiError.Type, test.kind)
			assert.Equal(t, apiError.Code, test.code)
			assert.Assert(t, apiError.Response.Header.Get("X-Mulberrylane-Outcome") != "")
		})
	}
}
