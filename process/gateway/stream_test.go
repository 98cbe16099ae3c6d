package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func streamRequest() *callerRequest {
	return newCallerRequest(http.MethodPost, "/report/x?y=1", "a prompt")
}

// executingReplica returns the target that executes a request.
func (d *deployment) executingReplica(id string, replicas ...*replica.Replica) *replica.Replica {
	d.t.Helper()
	executions := d.fleet.ExecutionLog.Executions(id)
	last := executions[len(executions)-1]
	for _, r := range replicas {
		if r.Config().ID == last.Target {
			return r
		}
	}
	d.t.Fatalf("no target %s", last.Target)
	return nil
}

func TestStream_IsForwardedCompletely(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.Header = http.Header{"Request-Priority": {"0"}, "Tenant": {"someone-else"}, "Kv-Hold": {"h"}, "Pin-Duration": {"9"}, "Kv-From": {"1.2.3.4:5/x"}, "X-Note": {"kept"}}
	r := d.openStream(context.Background(), g, req)
	assert.Equal(t, r.response.StatusCode, http.StatusOK)
	assert.Equal(t, r.response.Header.Get("Response-Signature"), replica.Signature(req.AttemptID))
	r.expectRest(t, req.AttemptID, 0)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 1)
	assert.Equal(t, executions[0].Workspace, "crew")
	assert.Equal(t, executions[0].APIKey, "")
	assert.Equal(t, executions[0].Priority, "1", "not the priority of the workspace")
	assert.Equal(t, executions[0].Path, "/report/x?y=1")
	assert.Equal(t, executions[0].Body, "a prompt")
	assert.Assert(t, !executions[0].FromKVCopy)
}

func TestStream_ResumesFromKVCopyAfterCrash(t *testing.T) {
	d := newDeployment(t)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros"), d.startEngine("e3", "syros")}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 12)
	d.executingReplica(req.AttemptID, engines...).Crash()
	start := time.Now()
	r.skipTo(t, 14)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond)
	r.expectRest(t, req.AttemptID, 14)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
	assert.Assert(t, executions[1].Position >= 12)
}

func TestStream_ResumesFromKVCopyWhenTargetIsSilent(t *testing.T) {
	d := newDeployment(t)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros"), d.startEngine("e3", "syros")}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 13)
	d.executingReplica(req.AttemptID, engines...).SetFaults(replica.Faults{Silent: true})
	r.expectRest(t, req.AttemptID, 13)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
}

// A copy is lost when its target crashes; the running attempt must get another one.
func TestKVCopy_ReplacedWhenItsTargetGoesDown(t *testing.T) {
	d := newDeployment(t)
	config := replica.Config{
		Service: "writer", Engine: true, EventCount: 60, PrefillTime: 50 * time.Millisecond, EventInterval: 40 * time.Millisecond, Slots: 128,
	}
	var engines []*replica.Replica
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		config.ID, config.FailureDomain = id, failureDomain
		engines = append(engines, d.startReplica(config))
	}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.PromptID = req.AttemptID
	r := d.openStream(context.Background(), g, req)
	r.skipTo(t, 10)
	source := d.executingReplica(req.AttemptID, engines...)
	copyTarget := ""
	g.control.do(func() {
		for _, m := range g.control.monitors {
			for running := range m.attempts {
				copyTarget = string(running.kvCopy.Target)
			}
		}
	})
	for _, engine := range engines {
		if engine.Config().ID == copyTarget {
			engine.Crash()
			g.control.post(func() { g.control.markDown(request.TargetID(copyTarget), "test") })
		}
	}
	r.skipTo(t, 30)
	g.control.do(func() {
		runs := g.control.kvCopies.Own(time.Now())
		assert.Equal(t, len(runs), 1)
		for _, run := range runs {
			assert.Assert(t, run.Copy.Target != "")
			assert.Assert(t, string(run.Copy.Target) != copyTarget)
		}
	})
	source.Crash()
	r.skipTo(t, 60)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
	assert.Assert(t, executions[1].Target != copyTarget)
}

// copyTest is a deployment with four engines in four failure domains and a stream that
// has started.
type copyTest struct {
	*deployment
	gateway *Gateway
	engines []*replica.Replica
	req     *callerRequest
	reader  *streamReader
	source  *replica.Replica
}

func newCopyTest(t *testing.T) *copyTest {
	return newCopyTestWith(t, replica.Config{EventCount: 60, PrefillTime: 50 * time.Millisecond, EventInterval: 40 * time.Millisecond})
}

func newCopyTestWith(t *testing.T, config replica.Config) *copyTest {
	d := &copyTest{deployment: newDeployment(t)}
	config.Service, config.Engine, config.Slots = "writer", true, 128
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros", "e4": "milos"} {
		config.ID, config.FailureDomain = id, failureDomain
		d.engines = append(d.engines, d.startReplica(config))
	}
	d.gateway, d.req = d.startReadyEntry("entry-1"), streamRequest()
	d.waitForKnowledge(d.gateway, kvcopies.Complete)
	d.reader = d.openStream(context.Background(), d.gateway, d.req)
	d.reader.skipTo(t, 5)
	d.source = d.executingReplica(d.req.AttemptID, d.engines...)
	return d
}

// copyTargets returns the target of the copy and the one that would be picked next.
func (d *copyTest) copyTargets() (current, next string) {
	c := d.gateway.control
	c.do(func() {
		for _, m := range c.monitors {
			for running := range m.attempts {
				current = string(running.kvCopy.Target)
				source := c.table.Get(running.target.ID)
				if other := c.table.PickKVCopyTarget(time.Now(), source, running.requirements, running.kvCopy.Target); other != nil {
					next = string(other.ID)
				}
			}
		}
	})
	return current, next
}

// A configuration without the service of a running stream does not end the care for its copy:
// the stream goes on as it was accepted.
func TestStream_CopyIsMovedAfterItsServiceWasRemoved(t *testing.T) {
	d := newCopyTest(t)
	d.configure(func(config map[string]any) {
		config["Routes"], config["Services"] = config["Routes"].([]any)[1:], config["Services"].([]any)[1:]
	})
	d.waitUntil(func() bool { return d.gateway.table.Load().Service("writer") == nil })
	d.waitForMovedCopy()
	d.source.Crash()
	d.reader.skipTo(t, 60)
	executions := d.fleet.ExecutionLog.Executions(d.req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
}

// crashCopyTarget crashes the target of the copy and makes the targets selected by
// refuses reject copies.
func (d *copyTest) crashCopyTarget(target string, refuses func(id string) bool) {
	for _, engine := range d.engines {
		switch id := engine.Config().ID; {
		case id == target:
			engine.Crash()
		case refuses(id):
			engine.SetFaults(replica.Faults{RejectKVCopies: true})
		}
	}
	d.gateway.control.post(func() { d.gateway.control.markDown(request.TargetID(target), "test") })
}

// A copy whose target refuses it is moved to another target.
func TestKVCopy_MovesWhenItsTargetRefusesIt(t *testing.T) {
	d := newCopyTest(t)
	first, second := d.copyTargets()
	d.crashCopyTarget(first, func(id string) bool { return id == second })
	d.waitUntil(func() bool {
		copyTarget, _ := d.copyTargets()
		return copyTarget != "" && copyTarget != first && copyTarget != second
	})
	d.reader.skipTo(t, 50)
	d.source.Crash()
	d.reader.skipTo(t, 60)
	executions := d.fleet.ExecutionLog.Executions(d.req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].FromKVCopy)
}

// If no target accepts the copy, none is asked to resume from it.
func TestKVCopy_RefusedCopyIsNotResumedFrom(t *testing.T) {
	d := newCopyTest(t)
	first, _ := d.copyTargets()
	d.crashCopyTarget(first, func(string) bool { return true })
	d.reader.skipTo(t, 40)
	d.source.Crash()
	d.reader.skipTo(t, 60)
	assert.Equal(t, len(d.fleet.ExecutionLog.Executions(d.req.AttemptID)), 2)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(d.req.AttemptID), 2)
}

// A target that resets some connections may still hold the copy.
func TestKVCopy_RetriedOnceAfterConnectionFailure(t *testing.T) {
	for _, c := range []struct {
		droppedRequests, arrivals int
		fromKVCopy                bool
	}{{droppedRequests: 1, arrivals: 3, fromKVCopy: true}, {droppedRequests: 2, arrivals: 4, fromKVCopy: false}} {
		d := newCopyTest(t)
		copyTarget, _ := d.copyTargets()
		for _, engine := range d.engines {
			if engine.Config().ID == copyTarget {
				engine.SetFaults(replica.Faults{DropFirstRequests: c.droppedRequests})
			}
		}
		d.reader.skipTo(t, 20)
		d.source.Crash()
		d.reader.skipTo(t, 60)
		executions := d.fleet.ExecutionLog.Executions(d.req.AttemptID)
		assert.Equal(t, len(executions), 2)
		assert.Equal(t, executions[1].FromKVCopy, c.fromKVCopy)
		assert.Equal(t, d.fleet.ExecutionLog.Arrivals(d.req.AttemptID), c.arrivals)
	}
}

func TestStream_LostBeforeFirstEventRestartsAtAnotherTarget(t *testing.T) {
	d := newDeployment(t)
	engines := []*replica.Replica{d.startEngine("e1", "naxos"), d.startEngine("e2", "paros")}
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	opened := make(chan *streamReader)
	go func() { opened <- d.openStream(context.Background(), g, req) }()
	d.waitUntil(func() bool { return len(d.fleet.ExecutionLog.Executions(req.AttemptID)) == 1 })
	d.executingReplica(req.AttemptID, engines...).Crash()
	(<-opened).expectRest(t, req.AttemptID, 0)
	executions := d.fleet.ExecutionLog.Executions(req.AttemptID)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, !executions[1].FromKVCopy)
	assert.Equal(t, d.fleet.ExecutionLog.Arrivals(req.AttemptID), 2)
}

func TestStream_TruncatedEventIsNotForwarded(t *testing.T) {
	d := newDeployment(t)
	first, second := d.startEngine("e1", "naxos"), d.startEngine("e2", "paros")
	first.SetFaults(replica.Faults{TruncateStreamAfter: 15})
	second.SetFaults(replica.Faults{TruncateStreamAfter: 17})
	d.startEngine("e3", "syros")
	d.startEngine("e4", "syros")
	g := d.startReadyEntry("entry-1")
	for range 4 {
		req := streamRequest()
		d.openStream(context.Background(), g, req).expectRest(t, req.AttemptID, 0)
	}
}

func TestStream_ResumesAtAnotherEntryFromPosition(t *testing.T) {
	d := newDeployment(t)
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		d.startEngine(id, failureDomain)
	}
	first, second := d.startReadyEntry("entry-1"), d.startReadyEntry("entry-2")
	d.waitForKnowledge(first, kvcopies.Complete)
	d.waitForKnowledge(second, kvcopies.Complete)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	req := streamRequest()
	d.openStream(ctx, first, req).skipTo(t, 13)
	disconnect()
	// Each attempt of a caller has its own ID; the session is the same.
	retry := streamRequest()
	retry.Position, retry.PromptID = 13, req.AttemptID
	d.waitUntil(func() bool {
		found := false
		second.control.do(func() {
			for _, update := range second.control.peerUpdates {
				for _, run := range update.Runs {
					found = found || run.ID == request.ID(req.AttemptID) && run.Copy.Target != ""
				}
			}
		})
		return found
	})
	d.openStream(context.Background(), second, retry).expectRest(t, retry.AttemptID, 13)
	executions := d.fleet.ExecutionLog.Executions(retry.AttemptID)
	assert.Equal(t, len(executions), 1)
	assert.Assert(t, executions[0].FromKVCopy, "the prompt was prefilled again")
}

func TestStream_CallerDisconnectCancelsAttempt(t *testing.T) {
	d := newDeployment(t)
	engine := d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	d.openStream(ctx, g, streamRequest()).skipTo(t, 5)
	disconnect()
	deadline := time.Now().Add(500 * time.Millisecond)
	for engine.AbandonedRequests() == 0 {
		assert.Assert(t, time.Now().Before(deadline), "the target still works half a second after the caller disconnected")
		time.Sleep(5 * time.Millisecond)
	}
}

func TestStream_WithoutTargetsIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t)
	g := d.startReadyEntry("entry-1")
	start := time.Now()
	response := d.send(g, streamRequest())
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Assert(t, response.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
}

// A failure domain is lost. Attempts that cannot connect there must not use up the
// budget that interrupted streams need.
func TestRetryBudget_UnreachableTargetsAreNotCharged(t *testing.T) {
	d := newDeployment(t)
	for id, failureDomain := range map[string]string{"e1": "naxos", "e2": "naxos", "e3": "naxos"} {
		d.startEngine(id, failureDomain).Crash()
	}
	d.startEngine("e4", "paros")
	g := d.startReadyEntry("entry-1")
	for range 4 {
		req := streamRequest()
		d.openStream(context.Background(), g, req).expectRest(t, req.AttemptID, 0)
	}
	retries := 0
	g.control.do(func() { retries = g.control.budget("writer").Usage(time.Now()).Retries })
	assert.Equal(t, retries, 0)
}

// A caller may lose its connection right after the last event.
func TestStream_CallerWithAllEventsGetsSignedEnd(t *testing.T) {
	d := newDeployment(t)
	d.startEngine("e1", "naxos")
	g := d.startReadyEntry("entry-1")
	req := streamRequest()
	req.Position = testEvents
	r := d.openStream(context.Background(), g, req)
	assert.Equal(t, r.response.StatusCode, http.StatusOK)
	assert.Equal(t, r.response.Header.Get("Response-Signature"), replica.Signature(req.AttemptID))
	r.expectRest(t, req.AttemptID, testEvents)
}
