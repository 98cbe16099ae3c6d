// Package engine is a small stand-in for a model engine: continuous batching
// with a step time, a prefix cache of limited size, priorities, delayed load reports,
// and switches for the faults that engines have. Package oracle defines the tokens it
// generates.
package engine

import (
	"time"

	"github.com/mulberrylane/mulberrylane/standin/weights"
)

// Config describes one stand-in engine.
type Config struct {
	// Salt is the oracle's salt, the same for all engines of a run.
	Salt string `json:"salt"`
	// Models lists the model versions that are loaded at the start.
	Models []string `json:"models"`
	// StepTime is the duration of one decoding step before the additions below.
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
	// CacheEventLag is the delay before cache events become visible, and
	// CacheEventLoss the fraction that is lost.
	CacheEventLag  time.Duration `json:"cacheEventLag"`
	CacheEventLoss float64       `json:"cacheEventLoss"`
	// LoadLag is the age of the load that a report shows.
	LoadLag time.Duration `json:"loadLag"`
	// Jitter is the fraction by which step times vary at random: 0.2 means ±20%.
	Jitter float64 `json:"jitter"`
	// Seed is the random seed for jitter and event loss.
	Seed uint64 `json:"seed"`
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than
	// one it has already seen.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Weights is the store from which a load order fetches the model's weights; with
	// nil, loads take no time.
	Weights *weights.Store `json:"-"`
	// KeepRecords makes the engine keep a record of every generation in memory.
	KeepRecords bool `json:"records"`
}

// CacheBlockTokens is the number of tokens in one block of the prefix cache.
const CacheBlockTokens = 16

// DefaultConfig returns the configuration of an engine with the speed of a mid-sized
// model.
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
