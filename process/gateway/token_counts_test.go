package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The counts are what a caller claims.
func TestStream_AnyTokenCountsGetAResponse(t *testing.T) {
	d := newDeployment(t)
	d.startRawTarget("t1", "writer", func(e rawExchange) {
		e.write(e.streamHead() + e.events(1, testEvents))
		e.close()
	})
	g := d.startReadyEntry("entry-1")
	for _, counts := range []string{
		"", "x,y", "0,0", "-1,-1", "100,-5", "100,100", "100,4000000000000000000", "100,99999999999999999999",
	} {
		req := streamRequest().httpRequest(context.Background(), g)
		req.Header.Set("Token-Counts", counts)
		response, err := http.DefaultClient.Do(req)
		assert.NilError(t, err, counts)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, counts)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK, counts)
	}
}
