package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/request"
)

// A failing engine sends heads without end to many calls at once. Each was kept up to 10 MB.
func TestEngine_LongHeadIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("a", 2*bounded.MaxHeadBytes))
		_, _ = w.Write([]byte(`{"tokens":[1]}`))
	}))
	defer server.Close()
	engine := newEngine(settings.Agent{EngineURL: server.URL})
	_, err := engine.Tokenize(t.Context(), "m", request.Prompt{Text: "a prompt"})
	assert.Equal(t, fault.KindOf(err), fault.TargetLost)
}
