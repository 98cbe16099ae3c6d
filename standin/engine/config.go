// Package engine is a small stand-in for a model engine: continuous batching
// with a step time, a prefix cache with limited memory, priorities, lagging load
// reports, and switches that bring about the failures engines have. Its tokens
// are those of the oracle.
package engine

import (
	"time"

	"github.com/mulberrylane/mulberrylane/standin/weights"
)

// Config describes one stand-in engine.
type Config struct {
	// Salt is the salt of the run, the same for all engines.
	Salt string `json:"salt"`
	// Models lists the model versions that are loaded.
	Models []string `json:"models"`
	// StepTime is the time of one decoding step of an empty batch.
	StepTime time.Duration `json:"stepTime"`
	// StepPerSequence is added to a step for every sequence in the batch.
	StepPerSequence time.Duration `json:"stepPerSequence"`
	// PrefillPerToken is added to a step for every uncached prompt token in it.
	PrefillPerToken time.Duration `json:"prefillPerToken"`
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int `json:"prefillChunk"`
	// Batch bounds the sequences that run at once.
	Batch int `json:"batch"`
	// CacheBlocks bounds the prefix cache, in blocks of CacheBlockTokens.
	CacheBlocks int `json:"cacheBlocks"`
	// CacheEventLag is how late cache events are published, and CacheEventLoss the
	// share that is lost.
	CacheEventLag  time.Duration `json:"cacheEventLag"`
	CacheEventLoss float64       `json:"cacheEventLoss"`
	// LoadLag is how old a load report is.
	LoadLag time.Duration `json:"loadLag"`
	// Jitter is the share by which step times vary, 0.2 for a fifth.
	Jitter float64 `json:"jitter"`
	// Seed drives the jitter.
	Seed uint64 `json:"seed"`
	// ChecksFencing says that an order with an old number is refused.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Weights is where loads take their weights from; nil takes no time.
	Weights *weights.Store `json:"-"`
	// KeepRecords keeps a record of every generation in memory.
	KeepRecords bool `json:"records"`
}

// CacheBlockTokens is the number of tokens in one block of the prefix cache.
const CacheBlockTokens = 16

// DefaultConfig returns an engine with the pace of a mid-sized model.
func DefaultConfig(salt string, models ...string) Config {
	return Config{
		Salt:            salt,
		Models:          models,
		StepTime:        18 * time.Millisecond,
		StepPerSequence: 200 * time.Microsecond,
		PrefillPerToken: 40 * time.Microsecond,
		PrefillChunk:    2048,
		Batch:           32,
		CacheBlocks:     4096,
		CacheEventLag:   500 * time.Millisecond,
		CacheEventLoss:  0.05,
		LoadLag:         500 * time.Millisecond,
		Jitter:          0.1,
	}
}
