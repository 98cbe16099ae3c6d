package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/eventlog"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func TestLogsHoldNoSecretAndNoContent(t *testing.T) {
	var out strings.Builder
	s := newSite(t)
	s.log = eventlog.New(&out)
	engines := []*replica.Replica{s.engine("e1", "naxos"), s.engine("e2", "paros"), s.engine("e3", "syros")}
	s.application("a1", "naxos").SetFaults(replica.Faults{DropResponses: true})
	g := s.entry("entry-1")
	a := report()
	a.Body, a.PromptID = "a-secret-prompt", "5e5510ca"
	r := s.open(context.Background(), g, a)
	r.skip(t, 13)
	s.runner(a.AttemptID, engines...).Crash()
	r.events(t, a.AttemptID, 13)
	lost := booking()
	lost.Body = "a-secret-body"
	assert.Equal(t, s.send(g, lost).status, http.StatusBadGateway)
	stranger := booking()
	stranger.APIKey = "a-secret-key"
	assert.Equal(t, s.send(g, stranger).status, http.StatusUnauthorized)
	time.Sleep(100 * time.Millisecond)
	s.log.Close()
	text := out.String()
	for _, want := range []string{"accepted", "placed", "broken", "resumed_from_copy", "ended", "target_lost", a.AttemptID, lost.AttemptID} {
		assert.Assert(t, strings.Contains(text, want), "%s is missing", want)
	}
	for _, secret := range []string{testKey, a.Body, a.PromptID, lost.Body, stranger.APIKey, replica.EventData(a.AttemptID, 1)} {
		assert.Assert(t, !strings.Contains(text, secret), "%s is logged", secret)
	}
}

// Operators see what an entry believes without reading its log.
func TestGaugesTellWhatAnEntryBelieves(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	assert.Equal(t, s.send(g, booking()).status, http.StatusOK)
	response, err := http.Get("http://" + g.ingress.metricsListener.Addr().String() + "/metrics")
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	for gauge, value := range map[string]string{
		"configuration_version": "1", "targets_known": "1", "targets_down": "0", "entries_heard": "0", "budget_left": "135",
	} {
		assert.Assert(t, strings.Contains(string(body), "\nmulberrylane_"+gauge+" "+value+"\n"), "%s in %s", gauge, body)
	}
	assert.Assert(t, strings.Contains(string(body), "\nmulberrylane_configuration_age_milliseconds "))
}
