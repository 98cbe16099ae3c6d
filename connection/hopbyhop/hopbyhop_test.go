package hopbyhop

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A field that is meant for one connection must not reach the next.
func TestRemove(t *testing.T) {
	header := http.Header{
		"Connection": {"close, x-one ,", " X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Content-Length": {"5"}, "Upgrade": {"h2c"},
	}
	RemoveListed(header)
	assert.DeepEqual(t, header, http.Header{
		"Connection": {"close, x-one ,", " X-Two"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Content-Length": {"5"}, "Upgrade": {"h2c"},
	})
	Remove(header)
	assert.DeepEqual(t, header, http.Header{"X-Three": {"3"}})
}
