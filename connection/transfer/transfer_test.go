package transfer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/transfer"
)

// get reads a response of a server that sends parts of 1,000 bytes with a pause after each.
func get(t *testing.T, parts int, pause time.Duration, allow transfer.Allowance) (int, transfer.Exchange, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range parts {
			_, _ = w.Write(make([]byte, 1000))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer server.Close()
	observed := make(chan transfer.Exchange, 1)
	client := &http.Client{Transport: &transfer.Transport{
		Base: &http.Transport{DisableKeepAlives: true}, Observe: func(e transfer.Exchange) { observed <- e },
	}}
	request, err := http.NewRequestWithContext(transfer.WithAllowance(context.Background(), allow), http.MethodGet, server.URL+"/path?query", nil)
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, <-observed, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return len(data), <-observed, err
}

// A response that makes progress may take longer than one that does not begin.
func TestTransport_AllowanceGrowsWithWhatArrives(t *testing.T) {
	allow := func(bytes int) time.Duration { return 300*time.Millisecond + time.Duration(bytes)*100*time.Microsecond }
	n, exchange, err := get(t, 10, 50*time.Millisecond, allow)
	assert.NilError(t, err)
	assert.Equal(t, n, 10000)
	assert.Assert(t, exchange.Complete && exchange.Bytes == 10000 && exchange.Path == "/path")
	assert.Assert(t, exchange.ToEnd >= 500*time.Millisecond && exchange.ToHead > 0 && exchange.ToHead < exchange.ToEnd)
}

func TestTransport_ResponseWithoutProgressIsGivenUp(t *testing.T) {
	allow := func(bytes int) time.Duration { return 200*time.Millisecond + time.Duration(bytes)*10*time.Microsecond }
	n, exchange, err := get(t, 10, 100*time.Millisecond, allow)
	assert.Assert(t, errors.Is(err, transfer.ErrStalled), "%v", err)
	assert.Assert(t, n > 0 && n < 10000 && exchange.Bytes == n && !exchange.Complete)
	_, exchange, err = get(t, 0, 0, func(int) time.Duration { return 0 })
	assert.Assert(t, errors.Is(err, transfer.ErrStalled), "%v", err)
	assert.Equal(t, exchange.ToHead, time.Duration(0))
}
