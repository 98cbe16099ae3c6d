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

func TestLog_HoldsNoSecretsAndNoContent(t *testing.T) {
	var out strings.Builder
	d := newDeployment(t)
	d.log = eventlog.New(&out)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros"), d.startEngine("e3", "syros")}
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{DropResponses: true})
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.Body, req.PromptID = "a-secret-prompt", "5e5510ca"
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 13)
	d.executingReplica(req.AttemptID, engines...).Crash()
	r.expectRest(t, req.AttemptID, 13)
	brokenCall := bookingRequest()
	brokenCall.Body = "a-secret-body"
	assert.Equal(t, d.send(g, brokenCall).status, http.StatusBadGateway)
	unknownKey := bookingRequest()
	unknownKey.APIKey = "a-secret-key"
	assert.Equal(t, d.send(g, unknownKey).status, http.StatusUnauthorized)
	time.Sleep(100 * time.Millisecond)
	d.log.Close()
	text := out.String()
	for _, want := range []string{"accepted", "placed", "broken", "resumed_from_copy", "ended", "target_lost", req.AttemptID, brokenCall.AttemptID} {
		assert.Assert(t, strings.Contains(text, want), "%s is missing", want)
	}
	for _, secret := range []string{testKey, req.Body, req.PromptID, brokenCall.Body, unknownKey.APIKey, replica.EventData(req.AttemptID, 1)} {
		assert.Assert(t, !strings.Contains(text, secret), "%s is logged", secret)
	}
}

// After a crash, logs tell the requests that waited at the engine from the one to which it had
// begun to respond.
func TestLog_TellsWaitingFromStartedAttemptsOfACrashedEngine(t *testing.T) {
	var out strings.Builder
	d := newDeployment(t)
	d.log = eventlog.New(&out)
	engine := d.startReplica(replica.Config{
		ID: "e1", Service: "writer", FailureDomain: "naxos", Engine: true, EventCount: testEvents,
		PrefillTime: 300 * time.Millisecond, EventInterval: 25 * time.Millisecond, Slots: 128,
	})
	g := d.startReadyEntry("entry-1")
	started, waiting := streamRequest(), streamRequest()
	r := d.openStream(context.Background(), g, started)
	r.skipTo(t, 3)
	go func() {
		response, err := http.DefaultClient.Do(waiting.httpRequest(context.Background(), g))
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(waiting.AttemptID) == 1 })
	engine.Crash()
	time.Sleep(200 * time.Millisecond)
	d.log.Close()
	for request, fields := range map[string]string{
		started.AttemptID: "responseStarted=true events=", waiting.AttemptID: "responseStarted=false events=0",
	} {
		found := false
		for line := range strings.Lines(out.String()) {
			found = found || strings.Contains(line, `"broken" request="`+request+`"`) && strings.Contains(line, fields)
		}
		assert.Assert(t, found, "%s of %s is missing in %s", fields, request, out.String())
	}
}

// The log and the metrics tell whether a request was accepted late, refused, or cut off at the
// end of the grace period.
func TestLog_TellsHowAPlannedStopEndedRequests(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	d := newDeployment(t)
	d.log = eventlog.New(&out)
	startLongStreams(d)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: time.Minute, Slots: 6})
	g := d.startReadyEntry("entry-1")
	stream, call, late := streamRequest(), bookingRequest(), bookingRequest()
	call.DeadlineRemaining = time.Minute
	d.openStream(context.Background(), g, stream).skipTo(t, 1)
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(call.httpRequest(context.Background(), g))
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	d.waitUntil(func() bool { return d.fleet.ExecutionLog.Arrivals(call.AttemptID) > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop(context.Background()) }()
	d.waitUntil(g.draining)
	late.DeadlineRemaining = 5 * time.Second
	assert.Equal(t, d.send(g, late).status, http.StatusServiceUnavailable)
	response, err := http.Get("http://" + g.ingress.metricsListener.Addr().String() + "/metrics")
	assert.NilError(t, err)
	metrics, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(string(metrics), `mulberrylane_stop_requests_total{result="refused"} 1`), "%s", metrics)
	assert.Equal(t, <-statuses, http.StatusBadGateway)
	assert.NilError(t, <-stopped)
	lineOf := func(event, id string) string {
		for _, line := range strings.Split(out.String(), "\n") {
			if strings.Contains(line, `"`+event+`"`) && strings.Contains(line, id) {
				return line
			}
		}
		t.Fatalf("no line %s of %s in\n%s", event, id, out.String())
		return ""
	}
	for _, id := range []string{stream.AttemptID, call.AttemptID} {
		assert.Assert(t, !strings.Contains(lineOf("accepted", id), "sinceStop="))
		ended := lineOf("ended", id)
		assert.Assert(t, strings.Contains(ended, "cutOff=true") && strings.Contains(ended, "sinceStop="), ended)
	}
	refused := lineOf("ended", late.AttemptID)
	assert.Assert(t, strings.Contains(refused, `outcome="draining"`) && !strings.Contains(refused, "cutOff"), refused)
	assert.Assert(t, strings.Contains(lineOf("connections_draining", ""), "inUse=2"), out.String())
}

// Operators see the state of an entry without reading its log.
func TestMetrics_GaugesShowEntryState(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	assert.Equal(t, d.send(g, bookingRequest()).status, http.StatusOK)
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
