package peers

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/kvcopies"
	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	simulatedService = "writer"
	// simulatedMemoryTokens is the memory of an engine.
	simulatedMemoryTokens = 88_000
	// simulatedLinkMbps is the link bandwidth of the slowest entry.
	simulatedLinkMbps = 10
	// simulatedLatency is the time from sending an update to its arrival.
	simulatedLatency = 2 * time.Millisecond
	// simulatedBatchDelay is how long an entry collects changes before it sends them.
	simulatedBatchDelay = 5 * time.Millisecond
	// simulatedPrefillRate is the prefill rate of an engine, in tokens per millisecond.
	simulatedPrefillRate = 8
)

// simulation runs light load in virtual time: many entries place long prompts at engines,
// and each entry knows only its own work and the updates of its peers.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	entries []*simulatedEntry
	// idleAt is when an engine finishes prefill of all prompts placed there.
	idleAt map[request.TargetID]time.Time
	// partialUpdates reports whether entries send partial updates for placed prompts.
	partialUpdates bool
	// placed counts all prompts, delayed those that had to wait for the prefill of another.
	placed, delayed int
	// received counts the updates received by all entries.
	received int
}

type simulatedEntry struct {
	name          string
	table         *placement.Table
	scheduler     *UpdateScheduler
	received      map[string]Update
	sequence      uint64
	updatePending bool
}

type event struct {
	at     time.Time
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, entries, engines int, partialUpdates bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, idleAt: map[request.TargetID]time.Time{}, partialUpdates: partialUpdates}
	for i := range entries {
		e := &simulatedEntry{
			name: fmt.Sprintf("edge-%d", i), table: placement.NewTable(), scheduler: NewUpdateScheduler(), received: map[string]Update{},
		}
		e.table.SetEngineMemory(simulatedService, simulatedMemoryTokens)
		for j := range engines {
			e.table.Register(placement.Registration{
				Endpoint: request.Endpoint{ID: request.TargetID(fmt.Sprintf("i-%08x", j)), Address: fmt.Sprintf("10.0.0.%d:1", j)},
				Service:  simulatedService, FailureDomain: fmt.Sprintf("d%d", j%3),
			})
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *simulation) schedule(delay time.Duration, action func()) {
	heap.Push(&s.events, event{at: s.now.Add(delay), action: action})
}

// run lets prompts arrive at random at the given rate for the given duration.
func (s *simulation) run(promptsPerSecond float64, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += time.Duration(s.random.ExpFloat64() / promptsPerSecond * float64(time.Second)) {
		s.schedule(at, s.place)
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
}

// place lets a random entry place a prompt, whose prefill starts after those of all prompts
// placed at the engine before.
func (s *simulation) place() {
	e := s.entries[s.random.IntN(len(s.entries))]
	promptTokens := 6000 + s.random.IntN(4000)
	requirements := placement.Requirements{
		Service: simulatedService, Session: fmt.Sprintf("%x", s.random.Uint64()), PromptTokens: promptTokens, MemoryTokens: promptTokens + 600,
	}
	choice, err := e.table.Pick(s.now, requirements)
	if err != nil {
		panic(err)
	}
	id := choice.Target.ID
	e.table.AddAttempt(id, requirements)
	s.placed++
	prefillStart := s.now
	if idleAt := s.idleAt[id]; idleAt.After(prefillStart) {
		s.delayed++
		prefillStart = idleAt
	}
	prefillEnd := prefillStart.Add(time.Duration(promptTokens/simulatedPrefillRate) * time.Millisecond)
	s.idleAt[id] = prefillEnd
	s.schedule(prefillEnd.Sub(s.now), func() { e.table.PrefillDone(id, requirements); s.scheduleUpdate(e) })
	s.schedule(prefillEnd.Sub(s.now)+4500*time.Millisecond, func() { e.table.RemoveAttempt(id, requirements, true); s.scheduleUpdate(e) })
	if s.partialUpdates && e.scheduler.PartialAllowed(s.now) {
		update := Update{Entry: e.name, Incarnation: 1, Partial: true, Work: map[request.TargetID][3]int{}}
		update.SetWork(id, e.table.Get(id).LocalWork())
		s.broadcast(e, update)
	}
	s.scheduleUpdate(e)
}

// scheduleUpdate schedules the next full update or delta of an entry for when there is
// bandwidth for it.
func (s *simulation) scheduleUpdate(e *simulatedEntry) {
	if e.updatePending {
		return
	}
	e.updatePending = true
	s.schedule(max(simulatedBatchDelay, e.scheduler.Delay(s.now)), func() {
		e.updatePending = false
		update := Update{Entry: e.name, Incarnation: 1, LinkMbps: simulatedLinkMbps, Work: map[request.TargetID][3]int{}, Runs: map[kvcopies.Number]kvcopies.Run{}}
		for id, work := range e.table.LocalWork() {
			update.SetWork(id, work)
			// Each running attempt has a KV copy, which is included in the update.
			run := request.ID("request-" + id)
			update.Runs[kvcopies.Number(len(update.Runs)+1)] = kvcopies.Run{
				ID: run, Identity: request.Identity{1}, Copy: kvcopies.Copy{RequestID: run, Target: id, Incarnation: 1_700_000_000_000},
			}
		}
		s.broadcast(e, e.scheduler.Compose(s.now, update))
	})
}

func (s *simulation) broadcast(from *simulatedEntry, update Update) {
	from.sequence++
	update.Sequence = from.sequence
	data, err := cbor.Marshal(update)
	if err != nil {
		panic(err)
	}
	from.scheduler.RecordSent(s.now, update, len(data)+datagramOverhead, len(s.entries)-1, simulatedLinkMbps)
	for _, to := range s.entries {
		if to == from {
			continue
		}
		s.schedule(simulatedLatency, func() {
			s.received++
			merged := Merge(to.received[from.name], update)
			to.received[from.name] = merged
			to.table.UpdatePeer(s.now, from.name, merged.PeerState())
		})
	}
}

// delayedShare returns the fraction of prompts that waited for the prefill of another.
func delayedShare(entries, engines int, promptsPerSecond float64, partialUpdates bool) float64 {
	delayed, placed := 0, 0
	for seed := range uint64(5) {
		s := newSimulation(seed, entries, engines, partialUpdates)
		s.run(promptsPerSecond, 30*time.Second)
		delayed, placed = delayed+s.delayed, placed+s.placed
	}
	return float64(delayed) / float64(placed)
}

// While a third of the engines are in prefill at any time, 99 of 100 prompts are placed at
// an engine that is not.
func TestPartialUpdates_KeepPromptsOnSeparateEngines(t *testing.T) {
	withoutPartial, withPartial := delayedShare(26, 94, 28, false), delayedShare(26, 94, 28, true)
	t.Logf("fraction of delayed prompts: %.3f without partial updates, %.3f with them", withoutPartial, withPartial)
	assert.Assert(t, withPartial < 0.01)
	assert.Assert(t, withPartial < withoutPartial/2)
}

// In a fleet of hundreds of hosts, entries receive their peers' updates at a bounded rate. At
// light load nine of ten prompts are still placed at an engine without a prompt in prefill, and
// no entry receives more than that rate.
func TestUpdatePace_LargeFleetKeepsPromptsApart(t *testing.T) {
	const entries, engines, promptsPerSecond = 103, 360, 108
	s := newSimulation(1, entries, engines, true)
	const period = 5 * time.Second
	s.run(promptsPerSecond, period)
	t.Logf("%d of %d prompts delayed", s.delayed, s.placed)
	assert.Assert(t, s.delayed*10 < s.placed)
	perSecond := float64(s.received) / entries / s.now.Sub(start).Seconds()
	t.Logf("%.0f updates a second to each entry", perSecond)
	assert.Assert(t, perSecond <= maxUpdatesPerSecond+promptsPerSecond)
}
