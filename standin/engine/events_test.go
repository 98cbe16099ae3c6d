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

// fill has the server compute prompts that share no block.
func fill(t *testing.T, server *engine.Server, prompts int) {
	t.Helper()
	for i := range prompts {
		body := ask(fmt.Sprint(i), 1)
		body.Prompt[0] += request.TokenID(i)
		response, err := post(t, server, body)
		assert.NilError(t, err)
		_, whole := read(response)
		assert.Assert(t, whole)
	}
}

func cacheEvents(t *testing.T, server *engine.Server, after uint64) []engine.CacheEvent {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("%s/cache/events?after=%d", server.URL(), after))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list engine.CacheEvents
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
	assert.Equal(t, list.BlockTokens, engine.CacheBlockTokens)
	return list.Events
}

func TestCacheEventsTellWhatIsStoredAndRemoved(t *testing.T) {
	server := serve(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss, c.CacheBlocks = 0, 0, 8 })
	fill(t, server, 4)
	held := map[uint64]bool{}
	events := cacheEvents(t, server, 0)
	for i, event := range events {
		assert.Equal(t, event.Sequence, uint64(i+1))
		for _, block := range event.Stored {
			held[block] = true
		}
		for _, block := range event.Removed {
			assert.Assert(t, held[block])
			delete(held, block)
		}
	}
	assert.Equal(t, len(held), 8)
	assert.Equal(t, len(cacheEvents(t, server, events[0].Sequence)), len(events)-1)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	late := serve(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss = 1<<62, 0 })
	fill(t, late, 2)
	assert.Equal(t, len(cacheEvents(t, late, 0)), 0)

	gappy := serve(t, func(c *engine.Config) { c.CacheEventLag, c.CacheEventLoss = 0, 0.5 })
	fill(t, gappy, 24)
	events := cacheEvents(t, gappy, 0)
	assert.Assert(t, len(events) > 0)
	assert.Assert(t, events[len(events)-1].Sequence > uint64(len(events)))
}
