package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/request"
)

// ask asks an entry where a request would go.
func ask(t *testing.T, g *Gateway, query url.Values) Where {
	t.Helper()
	response, err := http.Get("http://" + g.ingress.metricsListener.Addr().String() + WherePath + "?" + query.Encode())
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	var answer Where
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	return answer
}

// Operators must be told where a request would go without one reaching a target, and the reason
// if it would be refused.
func TestWhere_SendsNothing(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	d.startEngine("e2", "paros")
	booking := d.startApplication("b1", "naxos")
	g := d.startReadyEntry("entry-1")

	stream := ask(t, g, url.Values{
		WhereHost: {testHost}, WhereRequestPath: {"/report/7"}, WhereWorkspace: {"crew"}, WherePrompt: {"8000"}, WhereSession: {"s1"},
	})
	assert.Equal(t, stream.Refused, "")
	assert.Equal(t, stream.Service, "writer")
	assert.Equal(t, stream.Rank, 1)
	assert.Assert(t, stream.Queue == nil)
	assert.Equal(t, len(stream.Candidates), 2)

	call := ask(t, g, url.Values{WhereHost: {testHost}, WhereRequestPath: {"/book/"}, WhereWorkspace: {"crew"}})
	assert.Equal(t, call.Candidates[0].ID, request.TargetID(booking.Config().ID))
	assert.Assert(t, !call.Queue.Waits && call.Queue.Free > 0)

	assert.Assert(t, ask(t, g, url.Values{WhereHost: {testHost}, WhereRequestPath: {"/other/"}}).Refused != "")
	d.register(booking, "draining")
	d.waitUntil(func() bool {
		return ask(t, g, url.Values{WhereHost: {testHost}, WhereRequestPath: {"/book/"}}).Candidates[0].Excluded == "draining"
	})
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions("")), 0)
	assert.Equal(t, len(d.storeValues(platform.TargetPrefix)), 3)
}
