package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func bookingRequest() *callerRequest {
	return newCallerRequest(http.MethodPost, "/book/visit", "a visit")
}

func statusRequest() *callerRequest { return newCallerRequest(http.MethodGet, "/status/7", "") }

func TestCall_ForwardsResponseUnchanged(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, response.body, "answer to "+req.AttemptID)
	assert.Equal(t, response.header.Get("Response-Signature"), replica.Signature(req.AttemptID))
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 1)
	assert.Assert(t, executions[0].DeadlineRemaining != "" && len(executions[0].DeadlineRemaining) <= len("5000"))
}

func TestCall_NonIdempotentNotRetriedAfterLostResponse(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		d.startApplication(id, "naxos").SetFaults(replica.Faults{DropResponses: true})
	}
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusBadGateway)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
}

func TestCall_IdempotentRetriedAfterLostResponse(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{DropResponses: true})
	d.startApplication("a2", "naxos")
	g := d.startReadyEntry("entry-1")
	for range 6 {
		assert.Equal(t, d.send(g, statusRequest()).status, http.StatusOK)
	}
}

func TestCall_RefusedByAllTargetsIsNotExecuted(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		d.startApplication(id, "naxos").SetFaults(replica.Faults{RejectRequests: true})
	}
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, response.header.Get("Retry-After") != "")
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(req.AttemptID)), 0)
}

func TestCall_RefusedByOneTargetRunsAtAnother(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{RejectRequests: true})
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	for range 4 {
		req := bookingRequest()
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
		assert.Equal(t, len(d.fleet.ExecutionLog.Executions(req.AttemptID)), 1)
	}
}

func TestCall_RetriedAtAnotherTargetAfterCrash(t *testing.T) {
	d := newDeployment(t)
	crashed := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	crashed.Crash()
	for range 4 {
		req := bookingRequest()
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
		assert.Equal(t, len(d.fleet.ExecutionLog.Executions(req.AttemptID)), 1)
	}
}

// The target at the address is not the one that is registered there.
func TestCall_NotExecutedByDifferentTargetAtSameAddress(t *testing.T) {
	d := newDeployment(t)
	previous := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	previous.Crash()
	other, err := d.fleet.Start(replica.Config{ID: "b1", Service: "other", Address: previous.Config().Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	for range 4 {
		req := bookingRequest()
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
		assert.Equal(t, d.fleet.ExecutionLog.Executions(req.AttemptID)[0].Target, "a2")
	}
}

func TestCall_TargetErrorIsForwardedWithSignature(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		d.startApplication(id, "naxos").SetFaults(replica.Faults{RespondWithError: true})
	}
	g := d.startReadyEntry("entry-1")
	req := statusRequest()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusInternalServerError)
	assert.Equal(t, response.header.Get("Response-Signature"), replica.Signature(req.AttemptID))
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 2)
	other := bookingRequest()
	assert.Equal(t, d.send(g, other).status, http.StatusInternalServerError)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(other.AttemptID), 1)
}

func TestCall_InvalidResponseReturnsBadGateway(t *testing.T) {
	for name, faults := range map[string]replica.Faults{
		"unsigned": {OmitSignature: true}, "crossed": {WrongAttemptID: true}, "encoded": {SetContentEncoding: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startApplication("a1", "naxos").SetFaults(faults)
			g := d.startReadyEntry("entry-1")
			req := bookingRequest()
			response := d.send(g, req)
			assert.Equal(t, response.status, http.StatusBadGateway)
			assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
		})
	}
}

func TestCall_TrailingBytesReachNoOtherRequest(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{TrailingBytes: true})
	g := d.startReadyEntry("entry-1")
	for range 5 {
		req := statusRequest()
		response := d.send(g, req)
		assert.Equal(t, response.status, http.StatusOK)
		assert.Equal(t, response.body, "answer to "+req.AttemptID)
	}
}

func TestCall_SilentTargetEndsAtDeadline(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos").SetFaults(replica.Faults{Silent: true})
	g := d.startReadyEntry("entry-1")
	req := bookingRequest()
	req.DeadlineRemaining = 400 * time.Millisecond
	start := time.Now()
	response := d.send(g, req)
	elapsed := time.Since(start)
	assert.Equal(t, response.status, http.StatusGatewayTimeout)
	assert.Assert(t, elapsed > 300*time.Millisecond && elapsed < 650*time.Millisecond, "took %s", elapsed)
}

func TestCall_CallerDisconnectCancelsAttempt(t *testing.T) {
	d := newDeployment(t)
	app := d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 2 * time.Second, Slots: 6})
	g := d.startReadyEntry("entry-1")
	ctx, disconnect := context.WithCancel(context.Background())
	req := statusRequest()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(req.httpRequest(ctx, g)); err == nil {
			_ = response.Body.Close()
		}
	}()
	d.waitUntil(func() bool { return len(d.fleet.ExecutionLog.Executions(req.AttemptID)) == 1 })
	disconnect()
	<-done
	deadline := time.Now().Add(500 * time.Millisecond)
	for app.AbandonedRequests() == 0 {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

func TestLimits_OversizedBodyAndHeaderAreRejected(t *testing.T) {
	d := newDeployment(t)
	d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	oversized := bookingRequest()
	oversized.Body = strings.Repeat("x", 5000)
	assert.Equal(t, d.send(g, oversized).status, http.StatusRequestEntityTooLarge)
	largeHeader := bookingRequest()
	largeHeader.Header = http.Header{"X-Wide": {strings.Repeat("x", 40000)}}
	assert.Equal(t, d.send(g, largeHeader).status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions("")), 0)
}

// The first replica executes calls but responds too late.
func TestCall_HedgedOnlyIfIdempotent(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 3 * time.Second, Slots: 6})
	d.startApplication("a2", "paros")
	g := d.startReadyEntry("entry-1")
	req := statusRequest()
	start := time.Now()
	response := d.send(g, req)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "over the route's latency objective")
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 2)
	other := bookingRequest()
	other.DeadlineRemaining = time.Second
	d.send(g, other)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(other.AttemptID), 1, "a non-idempotent call was hedged")
}

// The end of an attempt closes its connection unless the connection was released
// before.
func TestCall_ReusesConnections(t *testing.T) {
	d := newDeployment(t)
	app := d.startApplication("a1", "naxos")
	g := d.startReadyEntry("entry-1")
	before := app.ConnectionCount()
	for range 20 {
		req := bookingRequest()
		assert.Equal(t, d.send(g, req).status, http.StatusOK)
	}
	assert.Equal(t, app.ConnectionCount()-before, 1)
}

func TestCall_EndOfAttemptKeepsReleasedConnectionOpen(t *testing.T) {
	d := newDeployment(t)
	d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: time.Millisecond, Slots: 64})
	g := d.startReadyEntry("entry-1")
	statuses := make(chan int)
	for range 8 {
		go func() {
			for range 60 {
				response, err := http.DefaultClient.Do(bookingRequest().httpRequest(context.Background(), g))
				if err != nil {
					statuses <- 0
					continue
				}
				_ = response.Body.Close()
				statuses <- response.StatusCode
			}
		}()
	}
	for range 8 * 60 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// During a store outage, entries learn of replaced targets from each other.
func TestStoreOutage_PeersLearnOfReplacedTarget(t *testing.T) {
	d := newDeployment(t)
	previous := d.startApplication("a1", "naxos")
	d.startApplication("a2", "paros")
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	knowsBothEntries := func() bool {
		n := 0
		first.control.do(func() { n = len(first.control.peers) })
		return n == 2
	}
	d.waitUntil(knowsBothEntries)
	d.store.SetFaults(kv.Faults{Outage: true})
	previous.Crash()
	other, err := d.fleet.Start(replica.Config{ID: "b1", Service: "bookings", Address: previous.Config().Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	for range 4 {
		d.send(first, bookingRequest())
	}
	d.waitWithin(time.Second, func() bool {
		down := false
		second.control.do(func() { down = second.control.table.Get("a1").Down(time.Now().Add(time.Hour)) })
		return down
	})
	before := d.fleet.ExecutionLog.Executions("")
	for range 4 {
		req := bookingRequest()
		assert.Equal(t, d.send(second, req).status, http.StatusOK)
		assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 1)
	}
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(""))-len(before), 4)
}

// Hedges and retries for which there is no target must not use up the budget that others
// need.
func TestRetryBudget_AttemptsWithoutTargetAreNotCharged(t *testing.T) {
	for name, only := range map[string]struct {
		callTime time.Duration
		faults   replica.Faults
	}{
		"hedge": {callTime: 400 * time.Millisecond},
		"retry": {faults: replica.Faults{Leaving: true, RejectRequests: true}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			target := d.startReplica(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: only.callTime, Slots: 1})
			g := d.startReadyEntry("entry-1")
			target.SetFaults(only.faults)
			ended := make(chan struct{})
			go func() { defer close(ended); d.send(g, statusRequest()) }()
			d.waitUntil(func() bool { return d.requestsAfter("a1", time.Time{}) == 1 })
			g.control.do(func() {
				g.control.markDraining("a1", request.Incarnation(target.Config().Incarnation), "request", "r0")
			})
			<-ended
			retries := 0
			g.control.do(func() { retries = g.control.budget("bookings").Usage(time.Now()).Retries })
			assert.Equal(t, retries, 0)
			assert.Equal(t, d.requestsAfter("a1", time.Time{}), 1)
		})
	}
}
