package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/replica"
)

func report() *ask { return newAsk(http.MethodPost, "/report/x?y=1", "a prompt") }

// runner returns the target that runs a request.
func (s *site) runner(id string, replicas ...*replica.Replica) *replica.Replica {
	s.t.Helper()
	runs := s.fleet.ExecutionLog.Executions(id)
	last := runs[len(runs)-1]
	for _, r := range replicas {
		if r.Config().ID == last.Target {
			return r
		}
	}
	s.t.Fatalf("no target %s", last.Target)
	return nil
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	g := s.entry("entry-1")
	a := report()
	a.Header = http.Header{"Request-Priority": {"0"}, "Tenant": {"someone-else"}, "Kv-Hold": {"h"}, "Pin-Duration": {"9"}, "Kv-From": {"1.2.3.4:5/x"}, "X-Note": {"kept"}}
	r := s.open(context.Background(), g, a)
	assert.Equal(t, r.response.StatusCode, http.StatusOK)
	assert.Equal(t, r.response.Header.Get("Response-Signature"), replica.Signature(a.AttemptID))
	r.events(t, a.AttemptID, 0)
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Workspace, "crew")
	assert.Equal(t, runs[0].APIKey, "")
	assert.Equal(t, runs[0].Priority, "1", "the rank is that of the workspace")
	assert.Equal(t, runs[0].Path, "/report/x?y=1")
	assert.Equal(t, runs[0].Body, "a prompt")
	assert.Assert(t, !runs[0].FromKVCopy)
}

func TestStreamGoesOnFromCopyAfterCrash(t *testing.T) {
	s := newSite(t)
	engines := []*replica.Replica{s.engine("e1", "naxos"), s.engine("e2", "paros"), s.engine("e3", "syros")}
	g := s.entry("entry-1")
	a := report()
	r := s.open(context.Background(), g, a)
	r.skip(t, 12)
	s.runner(a.AttemptID, engines...).Crash()
	begun := time.Now()
	r.skip(t, 14)
	assert.Assert(t, time.Since(begun) < 700*time.Millisecond)
	r.events(t, a.AttemptID, 14)
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1].FromKVCopy)
	assert.Assert(t, runs[1].Position >= 12)
}

func TestStreamGoesOnElsewhereWhenTargetFallsSilent(t *testing.T) {
	s := newSite(t)
	engines := []*replica.Replica{s.engine("e1", "naxos"), s.engine("e2", "paros"), s.engine("e3", "syros")}
	g := s.entry("entry-1")
	a := report()
	r := s.open(context.Background(), g, a)
	r.skip(t, 13)
	s.runner(a.AttemptID, engines...).SetFaults(replica.Faults{Silent: true})
	r.events(t, a.AttemptID, 13)
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1].FromKVCopy)
}

// A copy is lost with its target; the run must not be left without one.
func TestCopyIsMadeAnewWhenItsTargetIsLost(t *testing.T) {
	s := newSite(t)
	config := replica.Config{
		Service: "writer", Engine: true, EventCount: 60, PrefillTime: 50 * time.Millisecond, EventInterval: 40 * time.Millisecond, Slots: 128,
	}
	var engines []*replica.Replica
	for id, zone := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		config.ID, config.FailureDomain = id, zone
		engines = append(engines, s.start(config))
	}
	g := s.entry("entry-1")
	a := report()
	a.PromptID = a.AttemptID
	r := s.open(context.Background(), g, a)
	r.skip(t, 10)
	run := s.runner(a.AttemptID, engines...)
	held := ""
	g.control.do(func() {
		for _, w := range g.control.monitors {
			for running := range w.attempts {
				held = string(running.kvCopy.Target)
			}
		}
	})
	for _, e := range engines {
		if e.Config().ID == held {
			e.Crash()
			g.control.post(func() { g.control.markDown(request.TargetID(held), "test") })
		}
	}
	r.skip(t, 30)
	g.control.do(func() {
		told, ok := g.control.copiesForUpdate(time.Now())[a.PromptID]
		assert.Assert(t, ok)
		assert.Assert(t, string(told.Target) != held)
	})
	run.Crash()
	r.skip(t, 60)
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1].FromKVCopy)
	assert.Assert(t, runs[1].Target != held)
}

// copySite is a site whose engines are in failure domains of their own, with a stream
// that has begun.
type copySite struct {
	*site
	gateway *Gateway
	engines []*replica.Replica
	ask     *ask
	reader  *reader
	run     *replica.Replica
}

func newCopySite(t *testing.T) *copySite {
	s := &copySite{site: newSite(t)}
	config := replica.Config{
		Service: "writer", Engine: true, EventCount: 60, PrefillTime: 50 * time.Millisecond, EventInterval: 40 * time.Millisecond, Slots: 128,
	}
	for id, zone := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros", "e4": "milos"} {
		config.ID, config.FailureDomain = id, zone
		s.engines = append(s.engines, s.start(config))
	}
	s.gateway, s.ask = s.entry("entry-1"), report()
	s.reader = s.open(context.Background(), s.gateway, s.ask)
	s.reader.skip(t, 5)
	s.run = s.runner(s.ask.AttemptID, s.engines...)
	return s
}

// holders returns the target of the copy and the one that would be the next.
func (s *copySite) holders() (held, next string) {
	c := s.gateway.control
	c.do(func() {
		for _, w := range c.monitors {
			for running := range w.attempts {
				held = string(running.kvCopy.Target)
				run := c.table.Get(running.target.ID)
				if other := c.table.PickKVCopyTarget(time.Now(), run, running.requirements, running.kvCopy.Target); other != nil {
					next = string(other.ID)
				}
			}
		}
	})
	return held, next
}

// loseCopy has the target of the copy die, and those that full chooses take no copies.
func (s *copySite) loseCopy(held string, full func(id string) bool) {
	for _, e := range s.engines {
		switch id := e.Config().ID; {
		case id == held:
			e.Crash()
		case full(id):
			e.SetFaults(replica.Faults{RejectKVCopies: true})
		}
	}
	s.gateway.control.post(func() { s.gateway.control.markDown(request.TargetID(held), "test") })
}

// A target that does not take the copy is given up for another one.
func TestCopyGoesElsewhereWhenItsTargetDoesNotTakeIt(t *testing.T) {
	s := newCopySite(t)
	first, second := s.holders()
	s.loseCopy(first, func(id string) bool { return id == second })
	s.eventually(func() bool { held, _ := s.holders(); return held != "" && held != first && held != second })
	s.reader.skip(t, 50)
	s.run.Crash()
	s.reader.skip(t, 60)
	runs := s.fleet.ExecutionLog.Executions(s.ask.AttemptID)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1].FromKVCopy)
}

// Where no target takes the copy, none is asked to go on from it.
func TestCopyThatWasNotTakenIsNotGoneOnFrom(t *testing.T) {
	s := newCopySite(t)
	first, _ := s.holders()
	s.loseCopy(first, func(string) bool { return true })
	s.reader.skip(t, 40)
	s.run.Crash()
	s.reader.skip(t, 60)
	assert.Equal(t, len(s.fleet.ExecutionLog.Executions(s.ask.AttemptID)), 2)
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(s.ask.AttemptID), 2)
}

// A target that resets connections by turns still holds the copy.
func TestCopyIsAskedForTwiceWhereTheConnectionBreaks(t *testing.T) {
	for _, c := range []struct {
		breaks, arrivals int
		copied           bool
	}{{breaks: 1, arrivals: 3, copied: true}, {breaks: 2, arrivals: 4, copied: false}} {
		s := newCopySite(t)
		held, _ := s.holders()
		for _, e := range s.engines {
			if e.Config().ID == held {
				e.SetFaults(replica.Faults{DropFirstRequests: c.breaks})
			}
		}
		s.reader.skip(t, 20)
		s.run.Crash()
		s.reader.skip(t, 60)
		runs := s.fleet.ExecutionLog.Executions(s.ask.AttemptID)
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, runs[1].FromKVCopy, c.copied)
		assert.Equal(t, s.fleet.ExecutionLog.Arrivals(s.ask.AttemptID), c.arrivals)
	}
}

func TestStreamLostBeforeItsFirstEventStartsElsewhere(t *testing.T) {
	s := newSite(t)
	engines := []*replica.Replica{s.engine("e1", "naxos"), s.engine("e2", "paros")}
	g := s.entry("entry-1")
	a := report()
	answered := make(chan *reader)
	go func() { answered <- s.open(context.Background(), g, a) }()
	s.eventually(func() bool { return len(s.fleet.ExecutionLog.Executions(a.AttemptID)) == 1 })
	s.runner(a.AttemptID, engines...).Crash()
	(<-answered).events(t, a.AttemptID, 0)
	runs := s.fleet.ExecutionLog.Executions(a.AttemptID)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, !runs[1].FromKVCopy)
	assert.Equal(t, s.fleet.ExecutionLog.Arrivals(a.AttemptID), 2)
}

func TestEventTornInTheMiddleIsNotPassedOn(t *testing.T) {
	s := newSite(t)
	first, second := s.engine("e1", "naxos"), s.engine("e2", "paros")
	first.SetFaults(replica.Faults{TruncateStreamAfter: 15})
	second.SetFaults(replica.Faults{TruncateStreamAfter: 17})
	s.engine("e3", "syros")
	s.engine("e4", "syros")
	g := s.entry("entry-1")
	for range 4 {
		a := report()
		s.open(context.Background(), g, a).events(t, a.AttemptID, 0)
	}
}

func TestCallerReturnsToAnotherEntryWithItsPosition(t *testing.T) {
	s := newSite(t)
	for id, zone := range map[string]string{"e1": "naxos", "e2": "paros", "e3": "syros"} {
		s.engine(id, zone)
	}
	first, second := s.entry("entry-1"), s.entry("entry-2")
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	a := report()
	s.open(ctx, first, a).skip(t, 13)
	leave()
	// Each attempt of a caller has an id of its own; the session is the same.
	again := report()
	again.Position, again.PromptID = 13, a.AttemptID
	s.eventually(func() bool {
		known := false
		second.control.do(func() { _, known = second.control.findCopy(a.AttemptID) })
		return known
	})
	s.open(context.Background(), second, again).events(t, again.AttemptID, 13)
	runs := s.fleet.ExecutionLog.Executions(again.AttemptID)
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, runs[0].FromKVCopy, "the prompt was read again")
}

func TestTargetStopsWhenCallerLeaves(t *testing.T) {
	s := newSite(t)
	e := s.engine("e1", "naxos")
	g := s.entry("entry-1")
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s.open(ctx, g, report()).skip(t, 5)
	leave()
	deadline := time.Now().Add(500 * time.Millisecond)
	for e.AbandonedRequests() == 0 {
		assert.Assert(t, time.Now().Before(deadline), "the target still works half a second after the caller left")
		time.Sleep(5 * time.Millisecond)
	}
}

func TestStreamWithoutAnyTargetIsRefusedAtOnce(t *testing.T) {
	s := newSite(t)
	g := s.entry("entry-1")
	begun := time.Now()
	answer := s.send(g, report())
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(begun) < 200*time.Millisecond)
}

// A caller may have lost its connection right after the last event.
// A domain is lost; streams that find nobody there must not use up the budget that
// those which broke off need.
func TestTargetsOutOfReachCostNoRepeats(t *testing.T) {
	s := newSite(t)
	for id, zone := range map[string]string{"e1": "naxos", "e2": "naxos", "e3": "naxos"} {
		s.engine(id, zone).Crash()
	}
	s.engine("e4", "paros")
	g := s.entry("entry-1")
	for range 4 {
		a := report()
		s.open(context.Background(), g, a).events(t, a.AttemptID, 0)
	}
	repeats := 0
	g.control.do(func() { repeats = g.control.budget("writer").Usage(time.Now()).Retries })
	assert.Equal(t, repeats, 0)
}

func TestCallerThatHasAllEventsGetsASignedEnd(t *testing.T) {
	s := newSite(t)
	s.engine("e1", "naxos")
	g := s.entry("entry-1")
	a := report()
	a.Position = testEvents
	r := s.open(context.Background(), g, a)
	assert.Equal(t, r.response.StatusCode, http.StatusOK)
	assert.Equal(t, r.response.Header.Get("Response-Signature"), replica.Signature(a.AttemptID))
	r.events(t, a.AttemptID, testEvents)
}
