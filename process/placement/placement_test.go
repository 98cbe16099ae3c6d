package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/prompts"
	"github.com/mulberrylane/mulberrylane/request"
)

var start = time.Unix(1_700_000_000, 0)

const (
	engineMemory = 88000
	promptTokens = 8200
)

// engines returns a table of engines spread over three failure domains.
func engines(count int) *Table {
	t := NewTable()
	for i := range count {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: id(i), Address: fmt.Sprintf("10.0.0.%d:80", i)},
			Service:  "writer", FailureDomain: domain(i), Slots: 128, Incarnation: 1,
		})
	}
	t.SetEngineMemory("writer", engineMemory)
	return t
}

func id(i int) request.TargetID { return request.TargetID(fmt.Sprintf("e-%03d", i)) }

func domain(i int) string { return []string{"naxos", "paros", "syros"}[i%3] }

func prompt(session string) Requirements {
	return Requirements{Service: "writer", Session: session, PromptTokens: promptTokens, MemoryTokens: promptTokens + 600}
}

// herd replays arrivals at many entries that each see few of them, and returns the
// most prompts that one target had to read at once. Prompts take a second to read.
// Entries tell each other of their work after each change if told is set.
func herd(t *testing.T, told bool) int {
	t.Helper()
	const entries, targets, arrivals = 26, 94, 600
	perSecond := 28.0
	random := rand.New(rand.NewPCG(7, 7))
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = engines(targets)
	}
	type reading struct {
		entry  int
		target request.TargetID
		need   Requirements
		until  time.Time
	}
	var running []reading
	busiest, now := 0, start
	tell := func(entry int) {
		if !told {
			return
		}
		for i, table := range tables {
			if i != entry {
				table.UpdatePeer(now, fmt.Sprint(entry), PeerState{Work: tables[entry].LocalWork()})
			}
		}
	}
	for arrival := range arrivals {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		var left []reading
		for _, r := range running {
			if now.Before(r.until) {
				left = append(left, r)
				continue
			}
			tables[r.entry].RemoveAttempt(r.target, r.need, false)
			tell(r.entry)
		}
		running = left
		entry := random.IntN(entries)
		need := prompt(fmt.Sprint(arrival))
		choice, err := tables[entry].Pick(now, need)
		assert.NilError(t, err)
		tables[entry].AddAttempt(choice.Target.ID, need)
		running = append(running, reading{entry, choice.Target.ID, need, now.Add(time.Second)})
		tell(entry)
		at := map[request.TargetID]int{}
		for _, r := range running {
			at[r.target]++
			busiest = max(busiest, at[r.target])
		}
	}
	return busiest
}

func TestEntriesThatTellEachOtherDoNotHerd(t *testing.T) {
	assert.Assert(t, herd(t, false) > 2, "the pattern brings no herd, so it shows nothing")
	assert.Equal(t, herd(t, true), 1)
}

func TestAnEntryThatHearsNothingForgetsWhatOthersHad(t *testing.T) {
	table := engines(2)
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{id(0): {PrefillTokens: 50000}}})
	for i := range 20 {
		choice, err := table.Pick(start, prompt(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.ID, id(1))
	}
	later := start.Add(peerLife)
	chosen := map[request.TargetID]bool{}
	for i := range 20 {
		choice, err := table.Pick(later, prompt(fmt.Sprint(i)))
		assert.NilError(t, err)
		chosen[choice.Target.ID] = true
	}
	assert.Equal(t, len(chosen), 2)
}

func TestLostDomainGetsNothingUntilItRegistersAnew(t *testing.T) {
	table := engines(9)
	for i := 0; i < 9; i += 3 {
		table.MarkDown(start, id(i))
	}
	picked := func(at time.Time) map[string]int {
		domains := map[string]int{}
		for i := range 60 {
			choice, err := table.Pick(at, prompt(fmt.Sprint(i)))
			assert.NilError(t, err)
			domains[choice.Target.FailureDomain]++
		}
		return domains
	}
	assert.Equal(t, picked(start)["naxos"], 0)
	assert.Equal(t, picked(start.Add(downMost))["naxos"], 0, "targets on trial were taken")
	for i := 0; i < 9; i += 3 {
		old := table.Get(id(i)).Registration
		old.ID += "-anew"
		old.Incarnation = 2
		table.Register(old)
	}
	table.SetEngineMemory("writer", engineMemory)
	assert.Assert(t, picked(start.Add(downMost))["naxos"] > 0)
	for i := 0; i < 9; i += 3 {
		assert.Assert(t, table.Get(id(i)).Down(start.Add(time.Hour)), "the life before is still taken for alive")
	}
}

func TestTargetOnTrialIsTheLastResort(t *testing.T) {
	table := engines(1)
	table.MarkDown(start, id(0))
	_, err := table.Pick(start, prompt("s"))
	assert.ErrorContains(t, err, "no_target")
	choice, err := table.Pick(start.Add(downFor), prompt("s"))
	assert.NilError(t, err)
	table.AddAttempt(choice.Target.ID, prompt("s"))
	_, err = table.Pick(start.Add(downFor), prompt("s"))
	assert.ErrorContains(t, err, "no_target", "more than one attempt goes to a target on trial")
	table.RecordResponse(start.Add(downFor), id(0), false, nil)
	_, err = table.Pick(start.Add(downFor), prompt("s"))
	assert.NilError(t, err)
}

func TestLossesInARowAreWaitedForLonger(t *testing.T) {
	table := engines(1)
	table.MarkDown(start, id(0))
	assert.DeepEqual(t, table.ProbeDue(start.Add(downFor)), []request.TargetID{id(0)})
	second := start.Add(downFor)
	table.MarkDown(second, id(0))
	assert.Equal(t, len(table.ProbeDue(second.Add(downFor))), 0)
	assert.Equal(t, len(table.ProbeDue(second.Add(2*downFor))), 1)
}

func TestTargetWithoutMemoryIsLeftToOthers(t *testing.T) {
	table := engines(2)
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{id(0): {MemoryTokens: engineMemory - 9000}}})
	for i := range 20 {
		choice, err := table.Pick(start, prompt(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.ID, id(1))
	}
}

// All entries died and their callers come back: waiting behind a short prompt at the
// engine that has read theirs takes less time than reading it again elsewhere.
func TestPromptGoesWhereItWasRead(t *testing.T) {
	table := engines(6)
	need := prompt("s")
	need.CachedPrompt = prompts.Location{Target: id(2), Incarnation: 1, Tokens: need.PromptTokens}
	table.AddAttempt(id(2), Requirements{PromptTokens: promptTokens / 2})
	choice, err := table.Pick(start, need)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, id(2))
	assert.Equal(t, need.ForTarget(choice.Target).PromptTokens, 0)

	table.AddAttempt(id(2), Requirements{PromptTokens: promptTokens})
	choice, err = table.Pick(start, need)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.ID != id(2), "more has to be read there than elsewhere")
	assert.Equal(t, need.ForTarget(choice.Target).PromptTokens, need.PromptTokens)

	need.CachedPrompt.Incarnation = 0
	assert.Equal(t, need.ForTarget(table.Get(id(2))).PromptTokens, need.PromptTokens, "an earlier life read it")
}

func TestEntriesAgreeOnTheTargetOfASession(t *testing.T) {
	for i := range 30 {
		session := fmt.Sprint("session-", i)
		first, err := engines(12).Pick(start, prompt(session))
		assert.NilError(t, err)
		second, err := engines(12).Pick(start, prompt(session))
		assert.NilError(t, err)
		assert.Equal(t, first.Target.ID, second.Target.ID)
	}
}

func TestCopyGoesToAnotherDomainWithRoom(t *testing.T) {
	table := engines(6)
	run := table.Get(id(0))
	for i := 1; i < 5; i++ {
		table.AddKVCopyTokens(id(i), engineMemory)
	}
	assert.Equal(t, table.PickKVCopyTarget(start, run, prompt("s")).ID, id(5))
	table.MarkDown(start, id(5))
	assert.Assert(t, table.PickKVCopyTarget(start, run, prompt("s")) == nil)
}

func TestWorkIsTakenBackWhenAttemptsEnd(t *testing.T) {
	table := engines(1)
	need := prompt("s")
	table.AddAttempt(id(0), need)
	table.PrefillDone(id(0), need)
	table.RemoveAttempt(id(0), need, true)
	table.AddAttempt(id(0), need)
	table.RemoveAttempt(id(0), need, false)
	assert.Equal(t, len(table.LocalWork()), 0)
	assert.Equal(t, table.Get(id(0)).InFlight, 0)
}

// applications returns a table of three replicas with six slots each.
func applications() *Table {
	t := NewTable()
	for i := range 3 {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: id(i), Address: fmt.Sprint(i)}, Service: "bookings",
			FailureDomain: domain(i), Slots: 6, Incarnation: 1,
		})
	}
	return t
}

func TestCallsStayInTheDomainWhileItHasSlots(t *testing.T) {
	table := applications()
	need := Requirements{Service: "bookings", FailureDomain: "paros"}
	for i := range 2 {
		choice, err := table.Pick(start, need)
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.FailureDomain, "paros", "call %d", i)
		table.AddAttempt(choice.Target.ID, need)
	}
	choice, err := table.Pick(start, need)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.FailureDomain != "paros")
}

func TestFailingReplicaIsLeftAndTriedAgain(t *testing.T) {
	table := applications()
	need := Requirements{Service: "bookings", FailureDomain: "paros"}
	for range 6 {
		table.RecordResponse(start, id(1), true, nil)
	}
	choice, err := table.Pick(start, need)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.ID != id(1))
	choice, err = table.Pick(start.Add(4*failureHalfLife), need)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, id(1), "the one in the own domain is tried again after a while")
	for range 20 {
		table.RecordResponse(start, id(1), false, nil)
	}
	choice, err = table.Pick(start, need)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, id(1))
}

// A replica takes connections and resets them, by turns; every request that is sent
// there once more may be one that must not be repeated.
func TestReplicaThatResetsConnectionsIsLeftByAllEntries(t *testing.T) {
	one, other := applications(), applications()
	need := Requirements{Service: "bookings", FailureDomain: "paros"}
	one.RecordConnectionFailure(start, id(1))
	other.UpdatePeer(start, "one", PeerState{FailureRates: one.FailureRates(start)})
	for _, table := range []*Table{one, other} {
		choice, err := table.Pick(start.Add(time.Second), need)
		assert.NilError(t, err)
		assert.Assert(t, choice.Target.ID != id(1))
	}
	// All fail alike: none is better than the others.
	for i := range 3 {
		one.RecordConnectionFailure(start, id(i))
	}
	_, err := one.Pick(start, need)
	assert.NilError(t, err)
}

// A prompt that is read beside a running answer holds that answer up; calm load leaves
// engines without any.
func TestPromptIsNotReadBesideAnswersWhileEnginesAreIdle(t *testing.T) {
	table := engines(36)
	need := prompt("running")
	for i := range 26 {
		table.AddAttempt(id(i), need)
		table.PrefillDone(id(i), need)
	}
	for i := range 200 {
		choice, err := table.Pick(start, prompt(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Assert(t, choice.Target.ID >= id(26), "session %d went to %s", i, choice.Target.ID)
	}
}

// The rest of a prompt is waited for rather than holding several answers up.
func TestPromptWaitsForTheRestOfAnotherRatherThanHoldAnswersUp(t *testing.T) {
	table := engines(2)
	need := prompt("running")
	for range 2 {
		table.AddAttempt(id(0), need)
		table.PrefillDone(id(0), need)
	}
	rest := need
	rest.PromptTokens = promptTokens / 4
	table.AddAttempt(id(1), rest)
	choice, err := table.Pick(start, prompt("s"))
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, id(1))
}
