package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// Load: all entries have just started, so that no survived request is known. Each engine that
// crashes had also begun to respond to a sound request less than a second before.
func TestTracker_NeighboursThatHadStartedAreNotQuarantinedAfterAStart(t *testing.T) {
	r := newReplay()
	for i := range 8 {
		r.crash(300*i, started("first", "deadly", fmt.Sprint("r", i/2)), started("first", fmt.Sprint("n", i)))
		assert.Assert(t, !r.quarantined(300*i, "first"), "after %d crashes", i+1)
	}
	assert.Assert(t, r.quarantined(2400, "deadly"))
}

// Fault: the entries see different requests of the same crashes, and the one that sees the
// sound ones quarantines their part first.
func TestTracker_PartIsReleasedWhenAnotherExplainsItsCrashes(t *testing.T) {
	r := newReplay()
	for i := range 3 {
		r.crash(300*i, started("first", fmt.Sprint("n", i)))
	}
	for i := range 3 {
		r.tracker.RecordCrash(r.at(700), r.at(300*i), Crash{
			Service: "writer", Target: request.TargetID(fmt.Sprintf("engine-%d", i+1)), Incarnation: 1, Suspects: []Suspect{started("first", "deadly", fmt.Sprint("r", i))},
		})
	}
	r.evaluate(700)
	assert.Assert(t, r.quarantined(1300, "deadly"))
	assert.Assert(t, !r.quarantined(1300, "first"))
}

// Load: each request has a document of its own after the harmful part, which no engine has
// survived, and is passed from engine to engine.
func TestTracker_PartBeforeDocumentsOfRetriedRequestsIsQuarantined(t *testing.T) {
	for attempts := 1; attempts <= 5; attempts++ {
		r := newReplay()
		for i := 0; !r.quarantined(1200*r.crashes, "deadly"); i++ {
			last := fmt.Sprint("r", i)
			for n := 0; n < attempts && !r.quarantined(1200*r.crashes, "deadly") && !r.quarantined(1200*r.crashes, last); n++ {
				r.crash(1200*r.crashes, started("first", "deadly", fmt.Sprint("doc-", i), last))
			}
		}
		assert.Assert(t, r.crashes <= 5, "%d crashes with %d attempts", r.crashes, attempts)
		assert.Assert(t, !r.quarantined(1200*r.crashes, "first"))
	}
}

// Load: the first requests with a harmful part also share a later part that no engine has
// survived; further ones do not.
func TestTracker_LaterPartIsReleasedWhenTheOneBeforeItIsFound(t *testing.T) {
	r := newReplay()
	r.crash(0, started("deadly", "document", "r0"))
	r.crash(1000, started("deadly", "document", "r0"))
	assert.DeepEqual(t, r.crash(2000, started("deadly", "document", "r1")), []string{"document"})
	for i := 3; !r.quarantined(1000*i, "deadly"); i++ {
		r.crash(1000*i, started("deadly", fmt.Sprint("document-", i), fmt.Sprint("r", i)))
		assert.Assert(t, i < 8)
	}
	assert.Assert(t, !r.quarantined(1000*r.crashes, "document"))
}

// Load: requests with several harmful parts crash engines within a second, while sound requests
// that share their first part are running.
func TestTracker_PartThatEnginesSurviveIsNotBlamedForSeveralHarmfulParts(t *testing.T) {
	r := newReplay()
	r.survived(-1000, "first", "ok")
	for i := range 9 {
		r.crash(100*i, started("first", fmt.Sprint("deadly-", i/3), fmt.Sprint("r", i/3)))
	}
	for ms := 800; ms < 1300; ms += 50 {
		r.evaluate(ms)
		assert.Assert(t, !r.quarantined(ms, "first"), "at %d ms", ms)
	}
	// A request that started after the crashes has gone on for long enough.
	r.survived(850, "first", "next")
	r.evaluate(1900)
	assert.Assert(t, !r.quarantined(1900, "first"))
}

// Engines were changed and crash on a part that they had survived, within a second.
func TestTracker_PartThatIsNoLongerSurvivedIsBlamedSoon(t *testing.T) {
	r := newReplay()
	r.survived(-1000, "first", "turned", "ok")
	for i := range 6 {
		r.crash(260*i, started("first", "turned", fmt.Sprint("r", i)), started("first", fmt.Sprint("n", i)))
	}
	for ms := 800; ms <= 2500; ms += 50 {
		r.evaluate(ms)
	}
	assert.Assert(t, r.quarantined(2500, "turned"))
}

// Load: few engines, which one request crashes again and again. Another request with the part has
// been lost once; each has a document of its own.
func TestTracker_RequestThatCrashesEnginesAgainAndAgainIsQuarantined(t *testing.T) {
	r := newReplay()
	r.crash(0, started("first", "deadly", "document-a", "a"))
	r.crash(1000, started("first", "deadly", "document-b", "b"))
	for i := 2; !r.quarantined(1000*i, "a") && !r.quarantined(1000*i, "deadly"); i++ {
		r.crash(1000*i, started("first", "deadly", "document-a", "a"))
		assert.Assert(t, i < 8, "after %d crashes", r.crashes)
	}
	assert.Assert(t, r.crashes <= 6, "after %d crashes", r.crashes)
}

// Load: engines crash before the head of a response, so that the harmful requests look like those
// that waited there; each is passed from engine to engine. Sound requests wait at each engine, and
// other engines survive them.
func TestTracker_TwoRequestsSufficeThoughNoResponseStarted(t *testing.T) {
	r := newReplay()
	for i := 0; !r.quarantined(1200*r.crashes, "deadly"); i++ {
		last := fmt.Sprint("r", i)
		for n := 0; n < 5 && !r.quarantined(1200*r.crashes, "deadly") && !r.quarantined(1200*r.crashes, last); n++ {
			at := 1200 * r.crashes
			neighbour := fmt.Sprint("n", r.crashes)
			r.crash(at, waiting("first", "deadly", last), waiting("first", neighbour))
			r.evaluate(at + 600)
			r.survived(at+100, "first", neighbour)
		}
		assert.Assert(t, r.crashes <= 8, "after %d crashes", r.crashes)
	}
	assert.Assert(t, !r.quarantined(1200*r.crashes, "first"))
}

// Load: after the harmful part is in quarantine, engines end for other reasons while sound
// requests, which share the part before it, wait there.
func TestTracker_HarmfulPartStaysWhenWaitingRequestsBlameTheOneBeforeIt(t *testing.T) {
	r := newReplay()
	r.crash(0, started("first", "deadly", "a"))
	r.crash(70, started("first", "deadly", "a"))
	assert.DeepEqual(t, r.crash(500, started("first", "deadly", "b")), []string{"deadly"})
	for i := range 5 {
		r.crash(1000+300*i, waiting("first", fmt.Sprint("n", i)))
	}
	assert.DeepEqual(t, r.evaluate(2800), []string{"first"})
	assert.Assert(t, r.quarantined(2800, "deadly"))
}

// Fault: the reports of other entries are late, on an overloaded machine or a slow link. By then
// the harmful part is in quarantine, and so is the first part, which requests had that waited.
func TestTracker_PartIsReleasedWhenAKnownOneExplainsItsCrashesLater(t *testing.T) {
	r := newReplay()
	r.crash(0, started("first", "deadly", "a"))
	r.crash(70, started("first", "deadly", "a"))
	assert.DeepEqual(t, r.crash(500, started("first", "deadly", "b")), []string{"deadly"})
	const crashes = 5
	for i := range crashes {
		r.crash(1000+300*i, waiting("first", fmt.Sprint("n", i)))
	}
	r.evaluate(2800)
	for i := range crashes {
		r.tracker.RecordCrash(r.at(2900), r.at(1000+300*i), Crash{
			Service: "writer", Target: request.TargetID(fmt.Sprintf("engine-%d", 4+i)), Incarnation: 1, Suspects: []Suspect{started("first", "deadly", fmt.Sprint("r", i))},
		})
	}
	r.evaluate(2900)
	assert.Assert(t, r.quarantined(2900, "deadly"))
	assert.Assert(t, !r.quarantined(2900, "first"))
}
