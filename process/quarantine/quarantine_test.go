package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

// replay feeds a tracker with crashes and survived requests at times in milliseconds.
type replay struct {
	tracker *Tracker
	start   time.Time
	crashes int
}

func newReplay() *replay { return &replay{tracker: New(), start: time.Unix(1000, 0)} }

func (r *replay) at(ms int) time.Time { return r.start.Add(time.Duration(ms) * time.Millisecond) }

// crash reports the crash of another engine.
func (r *replay) crash(ms int, suspects ...Suspect) []string {
	r.crashes++
	r.tracker.RecordCrash(r.at(ms), r.at(ms), Crash{
		Service: "writer", Target: request.TargetID(fmt.Sprintf("engine-%d", r.crashes)), Incarnation: 1, Suspects: suspects,
	})
	return r.evaluate(ms)
}

func (r *replay) evaluate(ms int) []string {
	records, _ := r.tracker.Evaluate(r.at(ms))
	return ids(records)
}

func (r *replay) survived(ms int, parts ...string) []Part {
	return r.tracker.RecordSurvival(r.at(ms), "writer", parts)
}

func (r *replay) quarantined(ms int, part string) bool {
	_, found := r.tracker.Find(r.at(ms), "writer", []string{part})
	return found
}

func ids(records []Record) []string {
	result := []string{}
	for _, r := range records {
		result = append(result, r.ID)
	}
	return result
}

func started(parts ...string) Suspect { return Suspect{Parts: parts, Started: true} }

func waiting(parts ...string) Suspect { return Suspect{Parts: parts} }

// Load: requests of one caller that share their first part with sound ones are passed from
// engine to engine, and each crashes.
func TestTracker_PartThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newReplay()
	assert.DeepEqual(t, r.crash(0, started("first", "deadly", "a")), []string{})
	assert.DeepEqual(t, r.crash(1200, started("first", "deadly", "a")), []string{})
	assert.DeepEqual(t, r.crash(2000, started("first", "deadly", "b")), []string{"deadly"})
	assert.Assert(t, !r.quarantined(2000, "first"))
	assert.Assert(t, !r.quarantined(2000, "a"))
}

// Load: prompts that are read within milliseconds.
func TestTracker_CrashesOfOneRequestInQuickSuccessionCount(t *testing.T) {
	r := newReplay()
	r.crash(0, started("first", "deadly", "a"))
	r.crash(70, started("first", "deadly", "a"))
	assert.DeepEqual(t, r.crash(500, started("first", "deadly", "b")), []string{"deadly"})
}

func TestTracker_OneRequestThatCrashesEnginesIsQuarantinedItself(t *testing.T) {
	r := newReplay()
	for i := range 2 {
		assert.DeepEqual(t, r.crash(1200*i, started("first", "second", "a")), []string{})
	}
	assert.DeepEqual(t, r.crash(2400, started("first", "second", "a")), []string{"a"})
}

// A later request of the caller shows that the part which both have is at fault.
func TestTracker_PartIsQuarantinedAfterASingleRequest(t *testing.T) {
	r := newReplay()
	for i := range 3 {
		r.crash(1200*i, started("first", "deadly", "a"))
	}
	assert.DeepEqual(t, r.crash(9000, started("first", "deadly", "b")), []string{"deadly"})
}

func TestTracker_FirstPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newReplay()
	r.crash(0, started("deadly", "a"))
	r.crash(1000, started("deadly", "b"))
	assert.DeepEqual(t, r.crash(2000, started("deadly", "c")), []string{"deadly"})
}

// Each request has a part of its own after the one that all share.
func TestTracker_SharedPartBeforeOthersIsQuarantined(t *testing.T) {
	r := newReplay()
	var found []string
	for i := 0; len(found) == 0 && i < 5; i++ {
		found = r.crash(1000*i, started("deadly", fmt.Sprint("own-", i), fmt.Sprint("last-", i)))
	}
	assert.DeepEqual(t, found, []string{"deadly"})
}

// Requests that waited at the crashed engines share the first part, too.
func TestTracker_NeighboursThatWaitedAreNotQuarantined(t *testing.T) {
	r := newReplay()
	for i := range 40 {
		last := fmt.Sprint("r", i/5)
		r.crash(1000*i, started("first", "deadly", last), waiting("first", fmt.Sprint("w", i)), waiting("other", "repeated"))
		r.evaluate(1000*i + 600)
	}
	assert.Assert(t, r.quarantined(40000, "deadly"))
	for _, part := range []string{"first", "other", "repeated", "w3"} {
		assert.Assert(t, !r.quarantined(40000, part), part)
	}
}

// Load: one request is passed from engine to engine, and each of them had just begun to respond
// to sound requests of the same caller, too.
func TestTracker_NeighboursOfOneRequestAreNotQuarantined(t *testing.T) {
	r := newReplay()
	r.survived(-1000, "first", "ok")
	for i := range 5 {
		r.crash(110*i, started("first", "deadly", "a"), started("first", fmt.Sprint("s", i)))
		r.evaluate(110*i + 50)
	}
	r.evaluate(1500)
	assert.Assert(t, !r.quarantined(1500, "first"))
	assert.Assert(t, r.quarantined(1500, "a"))
}

// Load: one request that engines crash on before they respond.
func TestTracker_OneWaitingRequestThatCrashesEnginesIsQuarantinedItself(t *testing.T) {
	r := newReplay()
	found := []string{}
	for i := 0; len(found) == 0 && i < 10; i++ {
		r.crash(1000*i, waiting("first", "a"), waiting("first", fmt.Sprint("w", i)))
		r.survived(1000*i+100, "first", "ok")
		found = r.evaluate(1000*i + 600)
	}
	assert.DeepEqual(t, found, []string{"a"})
}

// Load: the reports of many waiting requests arrive before that of the one at fault.
func TestTracker_WaitingRequestsDoNotHideTheStartedOne(t *testing.T) {
	r := newReplay()
	found := []string{}
	for i := 0; len(found) == 0 && i < 5; i++ {
		r.crashes++
		report := Crash{Service: "writer", Target: request.TargetID(fmt.Sprint("engine-", r.crashes)), Incarnation: 1}
		for j := range MaxSuspects {
			report.Suspects = append(report.Suspects, waiting("first", fmt.Sprint("w", i, j)))
		}
		r.tracker.RecordCrash(r.at(1000*i), r.at(1000*i), report)
		report.Suspects = []Suspect{started("first", "deadly", fmt.Sprint("r", i))}
		r.tracker.RecordCrash(r.at(1000*i+5), r.at(1000*i), report)
		found = r.evaluate(1000*i + 600)
	}
	assert.DeepEqual(t, found, []string{"deadly"})
}

// The engine sends nothing before it crashes, so that no request is known to have started.
func TestTracker_PartIsQuarantinedThoughNoResponseStarted(t *testing.T) {
	r := newReplay()
	found := []string{}
	for i := 0; len(found) == 0 && i < 8; i++ {
		r.crash(1000*i, waiting("first", "deadly", fmt.Sprint("r", i)), waiting(fmt.Sprint("first-", i%4), fmt.Sprint("w", i)))
		found = r.evaluate(1000*i + 600)
	}
	assert.DeepEqual(t, found, []string{"deadly"})
	assert.Assert(t, r.crashes <= 5, "after %d crashes", r.crashes)
}

// Fault: a failure domain ends many engines at once, and entries see that at different times.
func TestTracker_CrashesOfAFailureDomainBlameNobody(t *testing.T) {
	r := newReplay()
	for i := range 30 {
		r.crash(8*i, started("first", fmt.Sprint("r", i)), waiting("first", fmt.Sprint("w", i)))
	}
	assert.DeepEqual(t, r.evaluate(900), []string{})
	assert.Assert(t, !r.quarantined(900, "first"))
}

// Fault: engines go down and up by turns under sound requests that mostly end well.
func TestTracker_FlappingEnginesBlameNobody(t *testing.T) {
	r := newReplay()
	for i := range 60 {
		r.crash(500*i, started("first", fmt.Sprint("s", i)), started("common", fmt.Sprint("c", i)))
		r.survived(500*i+200, "first", fmt.Sprint("ok", i))
		r.survived(500*i+200, "common", fmt.Sprint("ok", i))
		assert.DeepEqual(t, r.evaluate(500*i+400), []string{})
	}
}

// Load: many entries repeat a quarantine to each other for a minute, each with some delay.
func TestTracker_ReportsDoNotMoveAQuarantine(t *testing.T) {
	const entries, delay, interval = 40, 10, 500
	trackers := make([]*replay, entries)
	for i := range trackers {
		trackers[i] = newReplay()
	}
	part := Part{Service: "writer", ID: "deadly"}
	first := trackers[0]
	assert.Assert(t, first.tracker.Adopt(first.at(0), Record{Part: part, From: first.at(-1000), Until: first.at(600000)}))
	for ms := 0; ms < 60000; ms += interval {
		for _, sender := range trackers {
			for _, r := range sender.tracker.Quarantined(sender.at(ms)) {
				for _, receiver := range trackers {
					late := Record{Part: r.Part, From: r.From.Add(delay * time.Millisecond), Until: r.Until.Add(delay * time.Millisecond)}
					receiver.tracker.Adopt(receiver.at(ms+delay), late)
				}
			}
		}
	}
	for _, r := range trackers {
		records := r.tracker.Quarantined(r.at(60000))
		assert.Equal(t, len(records), 1)
		assert.Assert(t, records[0].Until.Sub(r.at(600000)) <= delay*time.Millisecond, records[0].Until.Sub(r.at(600000)))
		assert.Assert(t, records[0].From.Sub(r.at(-1000)) <= delay*time.Millisecond)
		// The end is not undone by a report that is still on its way.
		assert.Assert(t, !r.tracker.Adopt(r.at(600000+delay), Record{Part: part, From: r.at(-1000 + delay), Until: r.at(600000 + 5*delay)}))
	}
}

// A part was sound until the engines were changed.
func TestTracker_PartThatWasSoundIsQuarantinedAfterMoreCrashes(t *testing.T) {
	r := newReplay()
	r.survived(0, "first", "ok")
	r.survived(0, "first", "turned", "ok")
	var found []string
	for i := 0; len(found) == 0 && i < 8; i++ {
		found = r.crash(1000+1000*i, started("first", "turned", fmt.Sprint("r", i)))
	}
	assert.DeepEqual(t, found, []string{"turned"})
	assert.Equal(t, r.crashes, 5)
}

// A sound request that had started at another engine clears its parts.
func TestTracker_SurvivedRequestReleasesItsParts(t *testing.T) {
	r := newReplay()
	r.crash(0, started("first", "a"))
	r.crash(1000, started("first", "b"))
	assert.DeepEqual(t, r.crash(2000, started("first", "c")), []string{"first"})
	assert.DeepEqual(t, r.survived(1500, "first", "d"), []Part{{Service: "writer", ID: "first"}})
	assert.Assert(t, !r.quarantined(2500, "first"))
	// Another entry that has not heard of it repeats the quarantine.
	assert.Assert(t, !r.tracker.Adopt(r.at(2600), Record{Part: Part{Service: "writer", ID: "first"}, From: r.at(0), Until: r.at(600000)}))
}

func TestTracker_RequestStartedBeforeTheCrashesReleasesNothing(t *testing.T) {
	r := newReplay()
	r.survived(0, "deadly", "ok")
	for i := range 5 {
		r.crash(1000+1000*i, started("deadly", fmt.Sprint("r", i)))
	}
	assert.Assert(t, r.quarantined(6000, "deadly"))
	r.survived(500, "deadly", "ok")
	assert.Assert(t, r.quarantined(6000, "deadly"))
}

// Fault: an engine was cut off for a while and responds again.
func TestTracker_EngineThatWasOutOfReachBlamesNobody(t *testing.T) {
	r := newReplay()
	for i := range 10 {
		r.crash(1000*i, started("first", fmt.Sprint("r", i)))
		r.tracker.RetractCrash(r.at(1000*i+600), r.at(1000*i+500), request.TargetID(fmt.Sprintf("engine-%d", r.crashes)), 1)
		assert.DeepEqual(t, r.evaluate(1000*i+700), []string{})
	}
}

// Fault: the entry was cut off from engines, which it took for crashed.
func TestTracker_RetractedCrashReleasesThePartEverywhere(t *testing.T) {
	r, other := newReplay(), newReplay()
	for i := range 3 {
		r.crash(1000*i, started("quiet", fmt.Sprint("r", i)))
	}
	assert.Assert(t, r.quarantined(2000, "quiet"))
	quarantine := r.tracker.Quarantined(r.at(2000))[0]
	assert.Assert(t, other.tracker.Adopt(other.at(2010), quarantine))
	// A probe that was answered just before the crash says nothing.
	assert.Equal(t, len(r.tracker.RetractCrash(r.at(2100), r.at(1990), "engine-3", 1)), 0)
	released := r.tracker.RetractCrash(r.at(2200), r.at(2100), "engine-3", 1)
	assert.Equal(t, len(released), 1)
	assert.Assert(t, !r.quarantined(2200, "quiet"))
	assert.Assert(t, !r.tracker.Adopt(r.at(2300), quarantine))
	assert.Equal(t, len(other.tracker.RecordPeerSurvival(released[0])), 1)
	assert.Assert(t, !other.quarantined(2300, "quiet"))
}

// Load: the route of the requests moves to another service.
func TestTracker_QuarantineHoldsAtServicesThatHaveNotSurvivedThePart(t *testing.T) {
	r := newReplay()
	r.tracker.RecordSurvival(r.at(0), "other", []string{"deadly", "ok"})
	for i := range 3 {
		r.crash(1000*i, started("first", "deadly", fmt.Sprint("r", i)))
	}
	_, moved := r.tracker.Find(r.at(3000), "canary", []string{"first", "deadly", "r9"})
	assert.Assert(t, moved)
	_, sound := r.tracker.Find(r.at(3000), "other", []string{"first", "deadly", "r9"})
	assert.Assert(t, !sound)
}

// An engine that is killed under a waiting request does not renew a quarantine.
func TestTracker_WaitingRequestRenewsNoQuarantine(t *testing.T) {
	r := newReplay()
	for i := range 3 {
		r.crash(1000*i, started("first", "part", fmt.Sprint("r", i)))
	}
	end := 2000 + int(quarantinePeriod.Milliseconds())
	r.crash(end+1000, waiting("first", "part", "r9"))
	assert.DeepEqual(t, r.evaluate(end+2000), []string{})
}

// Each entry sees one of the crashes and hears of the others.
func TestTracker_ReportsOfSeveralEntriesOfOneCrashCountOnce(t *testing.T) {
	r := newReplay()
	for range 10 {
		report := Crash{Service: "writer", Target: "engine-1", Incarnation: 1, Suspects: []Suspect{started("first", "deadly", "a")}}
		r.tracker.RecordCrash(r.at(300), r.at(0), report)
		assert.DeepEqual(t, r.evaluate(300), []string{})
	}
}

func TestTracker_PartThatCrashesEnginesAfterItsQuarantineIsQuarantinedForLonger(t *testing.T) {
	r := newReplay()
	for i := range 3 {
		r.crash(1000*i, started("first", "deadly", fmt.Sprint("r", i)))
	}
	end := 2000 + int(quarantinePeriod.Milliseconds())
	assert.Assert(t, r.quarantined(end-1, "deadly"))
	assert.Assert(t, !r.quarantined(end, "deadly"))
	assert.DeepEqual(t, r.crash(end+5000, started("first", "deadly", "r9")), []string{"deadly"})
	assert.Assert(t, r.quarantined(end+5000+int(2*quarantinePeriod.Milliseconds())-1, "deadly"))
}

func TestTracker_PartIsForgottenAfterAQuietPeriod(t *testing.T) {
	r := newReplay()
	for i := range 3 {
		r.crash(1000*i, started("first", "deadly", fmt.Sprint("r", i)))
	}
	later := 3 * int(quarantinePeriod.Milliseconds())
	assert.DeepEqual(t, r.evaluate(later), []string{})
	assert.DeepEqual(t, r.crash(later, started("first", "deadly", "r9")), []string{})
	assert.Equal(t, len(r.tracker.parts), 0)
}

// A caller crashes engines with ever new parts.
func TestTracker_MemoryIsBounded(t *testing.T) {
	r := newReplay()
	for i := range 600 {
		part := fmt.Sprint("deadly-", i/3)
		r.crash(300*i, started("first", part, fmt.Sprint("r", i)))
		r.survived(300*i+1, "first", fmt.Sprint("doc-", i), "last")
	}
	assert.Assert(t, len(r.tracker.parts) <= maxParts)
	assert.Assert(t, len(r.tracker.crashes) <= maxCrashes)
	assert.Assert(t, !r.quarantined(180000, "first"))
}

// Load: two requests with the part arrive together and are passed on within milliseconds, so that
// their crashes are correlated.
func TestTracker_TwoRequestsThatCrashEnginesTogetherSuffice(t *testing.T) {
	r := newReplay()
	for i := 0; !r.quarantined(110*i, "deadly"); i++ {
		r.crash(110*i, started("first", "deadly", "a"))
		r.crash(110*i+5, started("first", "deadly", "b"))
		assert.Assert(t, r.crashes < 10, "after %d crashes", r.crashes)
	}
	assert.Assert(t, r.crashes <= 6, "after %d crashes", r.crashes)
	assert.Assert(t, !r.quarantined(110*r.crashes, "first"))
}
