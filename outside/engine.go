package outside

import (
	"context"

	"github.com/mulberrylane/mulberrylane/request"
)

// GenerateRequest asks an engine to continue a sequence of tokens.
type GenerateRequest struct {
	// Model is the model version or adapter, as the engine names it.
	Model string
	// Prompt is the sequence to continue.
	Prompt   []request.TokenID
	Sampling request.Sampling
	Priority int
	// RequestID is echoed by the engine with every chunk.
	RequestID string
}

// Chunk is what an engine sends at one step of a stream.
type Chunk struct {
	// RequestID is the identity that the engine gives with the chunk.
	RequestID string
	Tokens    []request.TokenID
	// FinishReason is set on the last chunk.
	FinishReason request.FinishReason
}

// Stream is one running generation on an engine.
type Stream interface {
	// Next waits for the next chunk, whose tokens are valid until the next call. After a chunk with Finish it returns
	// io.EOF; an end without a finish is an error of kind TargetLost.
	Next() (Chunk, error)
	// Close cancels the generation.
	Close() error
}

// EngineLoad is the load that an engine reports. It lags behind the truth.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsage is the used share of the prefix cache, from 0 to 1.
	CacheUsage float64 `json:"cacheUsage"`
}

// Engine is a model engine behind the OpenAI-compatible API with the token-id
// and priority extensions.
type Engine interface {
	// Tokenize turns a prompt into the tokens of the model.
	Tokenize(ctx context.Context, model string, prompt request.Prompt) ([]request.TokenID, error)
	// Generate starts a generation. Cancelling ctx cancels it.
	Generate(ctx context.Context, generate GenerateRequest) (Stream, error)
	// Models lists the model versions and adapters that are loaded.
	Models(ctx context.Context) ([]string, error)
	// Load reads the engine's load.
	Load(ctx context.Context) (EngineLoad, error)
}
