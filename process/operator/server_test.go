package operator_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/version"
)

func getStatus(t *testing.T, url, token string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

func TestServer_RequiresTokenExceptForHealth(t *testing.T) {
	server := operator.New("127.0.0.1:0", []string{version.TokenDigest("secret")})
	server.Handle("GET /status", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	assert.NilError(t, server.Start())
	t.Cleanup(server.Close)
	base := "http://" + server.Address()
	assert.Equal(t, getStatus(t, base+"/health", ""), http.StatusOK)
	assert.Equal(t, getStatus(t, base+"/status", "guess"), http.StatusUnauthorized)
	assert.Equal(t, getStatus(t, base+"/status", "secret"), http.StatusNoContent)
}
