package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/engine"
)

// computePrompts makes the engine compute prompts that share no block.
func computePrompts(t *testing.T, server *engine.Server, prompts int) {
	t.Helper()
	for i := range prompts {
		body := newCompletion(fmt.Sprint(i), 1)
		body.Prompt[0] += request.TokenID(i)
		response, err := sendCompletion(t, server, body)
		assert.NilError(t, err)
		_, complete := readStream(response)
		assert.Assert(t, complete)
	}
}

func getCacheEvents(t *testing.T, server *engine.Server, after uint64) []engine.CacheEvent {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("%s/cache/events?after=%d", server.URL(), after))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list engine.CacheEvents
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
	assert.Equal(t, list.BlockTokens, engine.CacheBlockTokens)
	return list.Events
}

func TestCacheEvents_ReportStoredAndRemovedBlocks(t *testing.T) {
	server := startEngine(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss, c.CacheBlocks = 0, 0, 8 })
	computePrompts(t, server, 4)
	cached := map[uint64]bool{}
	events := getCacheEvents(t, server, 0)
	for i, event := range events {
		assert.Equal(t, event.Sequence, uint64(i+1))
		for _, block := range event.Stored {
			cached[block] = true
		}
		for _, block := range event.Removed {
			assert.Assert(t, cached[block])
			delete(cached, block)
		}
	}
	assert.Equal(t, len(cached), 8)
	assert.Equal(t, len(getCacheEvents(t, server, events[0].Sequence)), len(events)-1)
}

func TestCacheEvents_LagAndLoss(t *testing.T) {
	lagging := startEngine(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss = 1<<62, 0 })
	computePrompts(t, lagging, 2)
	assert.Equal(t, len(getCacheEvents(t, lagging, 0)), 0)

	lossy := startEngine(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss = 0, 0.5 })
	computePrompts(t, lossy, 24)
	events := getCacheEvents(t, lossy, 0)
	assert.Assert(t, len(events) > 0)
	assert.Assert(t, events[len(events)-1].Sequence > uint64(len(events)))
}
