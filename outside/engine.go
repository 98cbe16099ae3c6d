package outside

import (
	"context"

	"github.com/mulberrylane/mulberrylane/request"
)

// GenerateRequest requests that an engine continue a sequence of tokens.
type GenerateRequest struct {
	// Model is the engine's name for the model version or adapter.
	Model string
	// Prompt is the sequence to continue.
	Prompt   []request.TokenID
	Sampling request.Sampling
	Priority int
	// RequestID is returned by the engine with every chunk.
	RequestID string
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// RequestID is the request ID that the engine returned with the chunk.
	RequestID string
	Tokens    []request.TokenID
	// FinishReason is set on the last chunk.
	FinishReason request.FinishReason
}

// Stream is one running generation on an engine.
type Stream interface {
	// Next waits for the next chunk. The chunk's tokens are valid until the next call.
	// After a chunk with a FinishReason it returns io.EOF. If the stream ends without
	// one, it returns an error of kind TargetLost.
	Next() (Chunk, error)
	// Close cancels the generation.
	Close() error
}

// EngineLoad is the load that an engine reports. It lags behind the actual load.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsage is the used fraction of the prefix cache, from 0 to 1.
	CacheUsage float64 `json:"cacheUsage"`
}

// Engine is a model engine with the OpenAI-compatible API and its token-id and
// priority extensions.
type Engine interface {
	// Tokenize converts a prompt to tokens of the model.
	Tokenize(ctx context.Context, model string, prompt request.Prompt) ([]request.TokenID, error)
	// Generate starts a generation. Cancelling ctx cancels it.
	Generate(ctx context.Context, generate GenerateRequest) (Stream, error)
	// Models returns the names of the loaded model versions and adapters.
	Models(ctx context.Context) ([]string, error)
	// Load returns the load that the engine reports.
	Load(ctx context.Context) (EngineLoad, error)
}
