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

// newEngineTable returns a table of engines spread over three failure domains.
func newEngineTable(count int) *Table {
	t := NewTable()
	for i := range count {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: targetID(i), Address: fmt.Sprintf("10.0.0.%d:80", i)},
			Service:  "writer", FailureDomain: failureDomain(i), Slots: 128, Incarnation: 1,
		})
	}
	t.SetEngineMemory("writer", engineMemory)
	return t
}

func targetID(i int) request.TargetID { return request.TargetID(fmt.Sprintf("e-%03d", i)) }

func failureDomain(i int) string { return []string{"naxos", "paros", "syros"}[i%3] }

func promptRequirements(session string) Requirements {
	return Requirements{Service: "writer", Session: session, PromptTokens: promptTokens, MemoryTokens: promptTokens + 600}
}

// simulateArrivals simulates arrivals at many entries that each see few of them, and returns
// the largest number of prompts that one target had to prefill at once. Prefill takes a
// second. If exchangeUpdates is set, entries send peer updates after each change.
func simulateArrivals(t *testing.T, exchangeUpdates bool) int {
	t.Helper()
	const entries, targets, arrivals = 26, 94, 600
	arrivalsPerSecond := 28.0
	random := rand.New(rand.NewPCG(7, 7))
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = newEngineTable(targets)
	}
	type prefill struct {
		entry        int
		target       request.TargetID
		requirements Requirements
		until        time.Time
	}
	var running []prefill
	maxPerTarget, now := 0, start
	sendUpdate := func(entry int) {
		if !exchangeUpdates {
			return
		}
		for i, table := range tables {
			if i != entry {
				table.UpdatePeer(now, fmt.Sprint(entry), PeerState{Work: tables[entry].LocalWork()})
			}
		}
	}
	for arrival := range arrivals {
		now = now.Add(time.Duration(random.ExpFloat64() / arrivalsPerSecond * float64(time.Second)))
		var unfinished []prefill
		for _, r := range running {
			if now.Before(r.until) {
				unfinished = append(unfinished, r)
				continue
			}
			tables[r.entry].RemoveAttempt(r.target, r.requirements, false)
			sendUpdate(r.entry)
		}
		running = unfinished
		entry := random.IntN(entries)
		requirements := promptRequirements(fmt.Sprint(arrival))
		choice, err := tables[entry].Pick(now, requirements)
		assert.NilError(t, err)
		tables[entry].AddAttempt(choice.Target.ID, requirements)
		running = append(running, prefill{entry, choice.Target.ID, requirements, now.Add(time.Second)})
		sendUpdate(entry)
		perTarget := map[request.TargetID]int{}
		for _, r := range running {
			perTarget[r.target]++
			maxPerTarget = max(maxPerTarget, perTarget[r.target])
		}
	}
	return maxPerTarget
}

func TestPick_PeerUpdatesPreventHerding(t *testing.T) {
	assert.Assert(t, simulateArrivals(t, false) > 2, "no herding without peer updates, so the test shows nothing")
	assert.Equal(t, simulateArrivals(t, true), 1)
}

func TestPick_IgnoresStalePeerState(t *testing.T) {
	table := newEngineTable(2)
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{targetID(0): {PrefillTokens: 50000}}})
	for i := range 20 {
		choice, err := table.Pick(start, promptRequirements(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.ID, targetID(1))
	}
	later := start.Add(defaultPeerStateTTL)
	chosen := map[request.TargetID]bool{}
	for i := range 20 {
		choice, err := table.Pick(later, promptRequirements(fmt.Sprint(i)))
		assert.NilError(t, err)
		chosen[choice.Target.ID] = true
	}
	assert.Equal(t, len(chosen), 2)
}

func TestPick_DownDomainGetsNoWorkUntilReregistered(t *testing.T) {
	table := newEngineTable(9)
	for i := 0; i < 9; i += 3 {
		table.MarkDown(start, targetID(i))
	}
	picked := func(at time.Time) map[string]int {
		domains := map[string]int{}
		for i := range 60 {
			choice, err := table.Pick(at, promptRequirements(fmt.Sprint(i)))
			assert.NilError(t, err)
			domains[choice.Target.FailureDomain]++
		}
		return domains
	}
	assert.Equal(t, picked(start)["naxos"], 0)
	assert.Equal(t, picked(start.Add(maxDownPeriod))["naxos"], 0, "targets awaiting a probe were chosen")
	for i := 0; i < 9; i += 3 {
		restarted := table.Get(targetID(i)).Registration
		restarted.ID += "-anew"
		restarted.Incarnation = 2
		table.Register(restarted)
	}
	table.SetEngineMemory("writer", engineMemory)
	assert.Assert(t, picked(start.Add(maxDownPeriod))["naxos"] > 0)
	for i := 0; i < 9; i += 3 {
		assert.Assert(t, table.Get(targetID(i)).Down(start.Add(time.Hour)), "the previous incarnation is still up")
	}
}

func TestPick_TargetAwaitingProbeIsLastResort(t *testing.T) {
	table := newEngineTable(1)
	table.MarkDown(start, targetID(0))
	_, err := table.Pick(start, promptRequirements("s"))
	assert.ErrorContains(t, err, "no_target")
	choice, err := table.Pick(start.Add(baseDownPeriod), promptRequirements("s"))
	assert.NilError(t, err)
	table.AddAttempt(choice.Target.ID, promptRequirements("s"))
	_, err = table.Pick(start.Add(baseDownPeriod), promptRequirements("s"))
	assert.ErrorContains(t, err, "no_target", "a second attempt was sent to a target awaiting a probe")
	table.RecordResponse(start.Add(baseDownPeriod), targetID(0), false, nil)
	_, err = table.Pick(start.Add(baseDownPeriod), promptRequirements("s"))
	assert.NilError(t, err)
}

func TestMarkDown_ConsecutiveFailuresDoubleDownPeriod(t *testing.T) {
	table := newEngineTable(1)
	table.MarkDown(start, targetID(0))
	assert.DeepEqual(t, table.ProbeDue(start.Add(baseDownPeriod)), []request.TargetID{targetID(0)})
	second := start.Add(baseDownPeriod)
	table.MarkDown(second, targetID(0))
	assert.Equal(t, len(table.ProbeDue(second.Add(baseDownPeriod))), 0)
	assert.Equal(t, len(table.ProbeDue(second.Add(2*baseDownPeriod))), 1)
}

func TestPick_AvoidsEngineWithoutFreeMemory(t *testing.T) {
	table := newEngineTable(2)
	table.UpdatePeer(start, "other", PeerState{Work: map[request.TargetID]Work{targetID(0): {MemoryTokens: engineMemory - 9000}}})
	for i := range 20 {
		choice, err := table.Pick(start, promptRequirements(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.ID, targetID(1))
	}
}

// After a crash of all entries, callers retry: waiting behind a short prompt at the engine
// that has theirs cached takes less time than prefill at another engine.
func TestPick_PrefersEngineWithCachedPrompt(t *testing.T) {
	table := newEngineTable(6)
	requirements := promptRequirements("s")
	requirements.CachedPrompt = prompts.Location{Target: targetID(2), Incarnation: 1, Tokens: requirements.PromptTokens}
	table.AddAttempt(targetID(2), Requirements{PromptTokens: promptTokens / 2})
	choice, err := table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(2))
	assert.Equal(t, requirements.ForTarget(choice.Target).PromptTokens, 0)

	table.AddAttempt(targetID(2), Requirements{PromptTokens: promptTokens})
	choice, err = table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.ID != targetID(2), "more prefill is pending there than the cached prompt saves")
	assert.Equal(t, requirements.ForTarget(choice.Target).PromptTokens, requirements.PromptTokens)

	requirements.CachedPrompt.Incarnation = 0
	assert.Equal(t, requirements.ForTarget(table.Get(targetID(2))).PromptTokens, requirements.PromptTokens, "the prompt was cached by an earlier incarnation")
}

func TestPick_EntriesAgreeOnTargetOfSession(t *testing.T) {
	for i := range 30 {
		session := fmt.Sprint("session-", i)
		first, err := newEngineTable(12).Pick(start, promptRequirements(session))
		assert.NilError(t, err)
		second, err := newEngineTable(12).Pick(start, promptRequirements(session))
		assert.NilError(t, err)
		assert.Equal(t, first.Target.ID, second.Target.ID)
	}
}

func TestPickKVCopyTarget_OtherDomainWithFreeMemory(t *testing.T) {
	table := newEngineTable(6)
	source := table.Get(targetID(0))
	for i := 1; i < 5; i++ {
		table.AddKVCopyTokens(targetID(i), engineMemory)
	}
	assert.Equal(t, table.PickKVCopyTarget(start, source, promptRequirements("s")).ID, targetID(5))
	table.MarkDown(start, targetID(5))
	assert.Assert(t, table.PickKVCopyTarget(start, source, promptRequirements("s")) == nil)
}

func TestRemoveAttempt_ReleasesWork(t *testing.T) {
	table := newEngineTable(1)
	requirements := promptRequirements("s")
	table.AddAttempt(targetID(0), requirements)
	table.PrefillDone(targetID(0), requirements)
	table.RemoveAttempt(targetID(0), requirements, true)
	table.AddAttempt(targetID(0), requirements)
	table.RemoveAttempt(targetID(0), requirements, false)
	assert.Equal(t, len(table.LocalWork()), 0)
	assert.Equal(t, table.Get(targetID(0)).InFlight, 0)
}

// newApplicationTable returns a table of three replicas with six slots each.
func newApplicationTable() *Table {
	t := NewTable()
	for i := range 3 {
		t.Register(Registration{
			Endpoint: request.Endpoint{ID: targetID(i), Address: fmt.Sprint(i)}, Service: "bookings",
			FailureDomain: failureDomain(i), Slots: 6, Incarnation: 1,
		})
	}
	return t
}

func TestPick_PrefersOwnDomainWhileItHasFreeSlots(t *testing.T) {
	table := newApplicationTable()
	requirements := Requirements{Service: "bookings", FailureDomain: "paros"}
	for i := range 2 {
		choice, err := table.Pick(start, requirements)
		assert.NilError(t, err)
		assert.Equal(t, choice.Target.FailureDomain, "paros", "call %d", i)
		table.AddAttempt(choice.Target.ID, requirements)
	}
	choice, err := table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.FailureDomain != "paros")
}

func TestPick_FailingReplicaIsAvoidedThenRetried(t *testing.T) {
	table := newApplicationTable()
	requirements := Requirements{Service: "bookings", FailureDomain: "paros"}
	for range 6 {
		table.RecordResponse(start, targetID(1), true, nil)
	}
	choice, err := table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Assert(t, choice.Target.ID != targetID(1))
	choice, err = table.Pick(start.Add(4*failureHalfLife), requirements)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(1), "the replica in the own domain is tried again after a while")
	for range 20 {
		table.RecordResponse(start, targetID(1), false, nil)
	}
	choice, err = table.Pick(start, requirements)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(1))
}

// A replica alternates between accepting and resetting connections; each request sent there
// may be one that must not be retried.
func TestPick_ConnectionFailureSteersAllEntriesAway(t *testing.T) {
	first, second := newApplicationTable(), newApplicationTable()
	requirements := Requirements{Service: "bookings", FailureDomain: "paros"}
	first.RecordConnectionFailure(start, targetID(1))
	second.UpdatePeer(start, "one", PeerState{FailureRates: first.FailureRates(start)})
	for _, table := range []*Table{first, second} {
		choice, err := table.Pick(start.Add(time.Second), requirements)
		assert.NilError(t, err)
		assert.Assert(t, choice.Target.ID != targetID(1))
	}
	// All replicas fail alike: one is still chosen.
	for i := range 3 {
		first.RecordConnectionFailure(start, targetID(i))
	}
	_, err := first.Pick(start, requirements)
	assert.NilError(t, err)
}

// Prefill delays attempts that decode at the same engine; under light load, idle engines
// are available.
func TestPick_PrefersIdleEngineToDecodingEngine(t *testing.T) {
	table := newEngineTable(36)
	requirements := promptRequirements("running")
	for i := range 26 {
		table.AddAttempt(targetID(i), requirements)
		table.PrefillDone(targetID(i), requirements)
	}
	for i := range 200 {
		choice, err := table.Pick(start, promptRequirements(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Assert(t, choice.Target.ID >= targetID(26), "session %d went to %s", i, choice.Target.ID)
	}
}

// Waiting for the rest of another prefill costs less than delaying several attempts that
// decode.
func TestPick_PrefersShortPrefillQueueToDecodingEngine(t *testing.T) {
	table := newEngineTable(2)
	requirements := promptRequirements("running")
	for range 2 {
		table.AddAttempt(targetID(0), requirements)
		table.PrefillDone(targetID(0), requirements)
	}
	partlyPrefilled := requirements
	partlyPrefilled.PromptTokens = promptTokens / 4
	table.AddAttempt(targetID(1), partlyPrefilled)
	choice, err := table.Pick(start, promptRequirements("s"))
	assert.NilError(t, err)
	assert.Equal(t, choice.Target.ID, targetID(1))
}

// Load: most engines are silent, and what ran there would all move to the few others, whose
// queues become longer than the silence.
func TestPick_MaxPrefillTimeExcludesLongQueues(t *testing.T) {
	table := newEngineTable(2)
	requirements := promptRequirements("s")
	requirements.MaxPrefillTime = 3 * table.PrefillTime(promptTokens)
	placed := 0
	for ; placed < 100; placed++ {
		choice, err := table.Pick(start, requirements)
		if err != nil {
			break
		}
		table.AddAttempt(choice.Target.ID, requirements)
	}
	// Three prompts at each engine are prefilled within that time.
	assert.Equal(t, placed, 6)
	requirements.MaxPrefillTime = 0
	_, err := table.Pick(start, requirements)
	assert.NilError(t, err)
}
