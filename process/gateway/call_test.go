package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func booking() *ask { return newAsk(http.MethodPost, "/book/visit", "a visit") }

func status() *ask { return newAsk(http.MethodGet, "/status/7", "") }

func TestAnswerIsReturnedUnchanged(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	a := booking()
	answer := s.send(g, a)
	assert.Equal(t, answer.status, http.StatusOK)
	assert.Equal(t, answer.body, "answer to "+a.AttemptID)
	assert.Equal(t, answer.header.Get("Response-Signature"), replica.Signature(a.AttemptID))
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, runs[0].DeadlineRemaining != "" && len(runs[0].DeadlineRemaining) <= len("5000"))
}

func TestCallWithLostAnswerRunsOnce(t *testing.T) {
	s := newSite(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		s.application(id, "naxos").SetFaults(replica.Faults{DropResponses: true})
	}
	g := s.entry("entry-1")
	a := booking()
	answer := s.send(g, a)
	assert.Equal(t, answer.status, http.StatusBadGateway)
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 1)
}

func TestIdempotentCallWithLostAnswerIsRepeated(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos").SetFaults(replica.Faults{DropResponses: true})
	s.application("a2", "naxos")
	g := s.entry("entry-1")
	for range 6 {
		assert.Equal(t, s.send(g, status()).status, http.StatusOK)
	}
}

func TestCallRefusedByAllIsNotRunAndSaysSo(t *testing.T) {
	s := newSite(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		s.application(id, "naxos").SetFaults(replica.Faults{RejectRequests: true})
	}
	g := s.entry("entry-1")
	a := booking()
	answer := s.send(g, a)
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.header.Get("Retry-After") != "")
	assert.Equal(t, len(s.fleet.ExecutionLog.Executions(a.AttemptID)), 0)
}

func TestCallRefusedByOneRunsAtAnother(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos").SetFaults(replica.Faults{RejectRequests: true})
	s.application("a2", "paros")
	g := s.entry("entry-1")
	for range 4 {
		a := booking()
		assert.Equal(t, s.send(g, a).status, http.StatusOK)
		assert.Equal(t, len(s.fleet.ExecutionLog.Executions(a.AttemptID)), 1)
	}
}

func TestCallIsNotLostToATargetThatIsGone(t *testing.T) {
	s := newSite(t)
	gone := s.application("a1", "naxos")
	s.application("a2", "paros")
	g := s.entry("entry-1")
	gone.Crash()
	for range 4 {
		a := booking()
		assert.Equal(t, s.send(g, a).status, http.StatusOK)
		assert.Equal(t, len(s.fleet.ExecutionLog.Executions(a.AttemptID)), 1)
	}
}

// The target at an address is another life than the one that is registered there.
func TestCallIsNotRunByAnotherTargetAtTheAddress(t *testing.T) {
	s := newSite(t)
	old := s.application("a1", "naxos")
	s.application("a2", "paros")
	g := s.entry("entry-1")
	old.Crash()
	other, err := s.fleet.Start(replica.Config{ID: "b1", Service: "other", Address: old.Config().Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	for range 4 {
		a := booking()
		assert.Equal(t, s.send(g, a).status, http.StatusOK)
		assert.Equal(t, s.fleet.ExecutionLog.Executions(a.AttemptID)[0].Target, "a2")
	}
}

func TestFailureOfTheTargetIsReturnedWithItsSignature(t *testing.T) {
	s := newSite(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		s.application(id, "naxos").SetFaults(replica.Faults{RespondWithError: true})
	}
	g := s.entry("entry-1")
	a := status()
	answer := s.send(g, a)
	assert.Equal(t, answer.status, http.StatusInternalServerError)
	assert.Equal(t, answer.header.Get("Response-Signature"), replica.Signature(a.AttemptID))
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 2)
	b := booking()
	assert.Equal(t, s.send(g, b).status, http.StatusInternalServerError)
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(b.AttemptID), 1)
}

func TestSpoiledAnswersAreNoSuccess(t *testing.T) {
	for name, faults := range map[string]replica.Faults{
		"unsigned": {OmitSignature: true}, "crossed": {WrongAttemptID: true}, "encoded": {SetContentEncoding: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.application("a1", "naxos").SetFaults(faults)
			g := s.entry("entry-1")
			a := booking()
			answer := s.send(g, a)
			assert.Equal(t, answer.status, http.StatusBadGateway)
			assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 1)
		})
	}
}

func TestBytesAfterAnAnswerBelongToNoRequest(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos").SetFaults(replica.Faults{TrailingBytes: true})
	g := s.entry("entry-1")
	for range 5 {
		a := status()
		answer := s.send(g, a)
		assert.Equal(t, answer.status, http.StatusOK)
		assert.Equal(t, answer.body, "answer to "+a.AttemptID)
	}
}

func TestCallAtASilentTargetEndsWithItsTime(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos").SetFaults(replica.Faults{Silent: true})
	g := s.entry("entry-1")
	a := booking()
	a.DeadlineRemaining = 400 * time.Millisecond
	begun := time.Now()
	answer := s.send(g, a)
	took := time.Since(begun)
	assert.Equal(t, answer.status, http.StatusGatewayTimeout)
	assert.Assert(t, took > 300*time.Millisecond && took < 650*time.Millisecond, "took %s", took)
}

func TestTargetStopsACallWhoseCallerLeft(t *testing.T) {
	s := newSite(t)
	e := s.start(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 2 * time.Second, Slots: 6})
	g := s.entry("entry-1")
	ctx, leave := context.WithCancel(context.Background())
	a := status()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(a.request(ctx, g)); err == nil {
			_ = response.Body.Close()
		}
	}()
	s.eventually(func() bool { return len(s.fleet.ExecutionLog.Executions(a.AttemptID)) == 1 })
	leave()
	<-done
	deadline := time.Now().Add(500 * time.Millisecond)
	for e.AbandonedRequests() == 0 {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

func TestLimitsOnWhatCallersSend(t *testing.T) {
	s := newSite(t)
	s.application("a1", "naxos")
	g := s.entry("entry-1")
	big := booking()
	big.Body = strings.Repeat("x", 5000)
	assert.Equal(t, s.send(g, big).status, http.StatusRequestEntityTooLarge)
	wide := booking()
	wide.Header = http.Header{"X-Wide": {strings.Repeat("x", 40000)}}
	assert.Equal(t, s.send(g, wide).status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(s.fleet.ExecutionLog.Executions("")), 0)
}

// A replica that runs calls and loses their answers without a sign.
func TestIdempotentCallIsHedged(t *testing.T) {
	s := newSite(t)
	s.start(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: 3 * time.Second, Slots: 6})
	s.application("a2", "paros")
	g := s.entry("entry-1")
	a := status()
	begun := time.Now()
	answer := s.send(g, a)
	assert.Equal(t, answer.status, http.StatusOK)
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond, "over the route's target latency")
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 2)
	b := booking()
	b.DeadlineRemaining = time.Second
	s.send(g, b)
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(b.AttemptID), 1, "a call that may not be repeated was hedged")
}

// The end of an attempt closes its connection unless that was given back before.
func TestConnectionsAreUsedAgain(t *testing.T) {
	s := newSite(t)
	application := s.application("a1", "naxos")
	g := s.entry("entry-1")
	before := application.ConnectionCount()
	for range 20 {
		a := booking()
		assert.Equal(t, s.send(g, a).status, http.StatusOK)
	}
	assert.Equal(t, application.ConnectionCount()-before, 1)
}

func TestNoCallIsCutByTheEndOfTheOneBefore(t *testing.T) {
	s := newSite(t)
	s.start(replica.Config{ID: "a1", Service: "bookings", FailureDomain: "naxos", CallTime: time.Millisecond, Slots: 64})
	g := s.entry("entry-1")
	statuses := make(chan int)
	for range 8 {
		go func() {
			for range 60 {
				response, err := http.DefaultClient.Do(booking().request(context.Background(), g))
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

// While the store is away, entries learn of targets that started anew from each other.
func TestOneEntryTellsOthersOfAReplacedTarget(t *testing.T) {
	s := newSite(t)
	old := s.application("a1", "naxos")
	s.application("a2", "paros")
	first, second := s.entry("entry-1"), s.entry("entry-2")
	knows := func() bool {
		n := 0
		first.control.do(func() { n = len(first.control.peers) })
		return n == 2
	}
	s.eventually(knows)
	s.store.SetFaults(kv.Faults{Outage: true})
	old.Crash()
	other, err := s.fleet.Start(replica.Config{ID: "b1", Service: "bookings", Address: old.Config().Address, Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(other.Crash)
	for range 4 {
		s.send(first, booking())
	}
	s.within(time.Second, func() bool {
		gone := false
		second.control.do(func() { gone = second.control.table.Get("a1").Down(time.Now().Add(time.Hour)) })
		return gone
	})
	before := s.fleet.ExecutionLog.Executions("")
	for range 4 {
		a := booking()
		assert.Equal(t, s.send(second, a).status, http.StatusOK)
		assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 1)
	}
	assert.Equal(t, len(s.fleet.ExecutionLog.Executions(""))-len(before), 4)
}
