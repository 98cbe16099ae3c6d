package peers

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/placement"
	"github.com/mulberrylane/mulberrylane/request"
)

const (
	replayService = "writer"
	// replayMemory is the memory of an engine, in tokens.
	replayMemory = 88_000
	// replayLink is the bandwidth of the slowest entry, in megabits a second.
	replayLink = 10
	// replayDelay is how long a message is under way.
	replayDelay = 2 * time.Millisecond
	// replayGather is how long an entry gathers changes before it tells of them.
	replayGather = 5 * time.Millisecond
	// replayRate is how many prompt tokens an engine reads in a millisecond.
	replayRate = 8
)

// replay plays calm load in virtual time: many entries place long prompts at engines
// of which each entry knows what it was told.
type replay struct {
	random  *rand.Rand
	now     time.Time
	steps   steps
	entries []*replayEntry
	// free says when an engine has read all prompts that it was given.
	free map[request.TargetID]time.Time
	// brief says that placed prompts are told at once.
	brief bool
	// placed counts prompts, behind those that had to wait for another one.
	placed, behind int
}

type replayEntry struct {
	name   string
	table  *placement.Table
	outbox *UpdateScheduler
	known  map[string]Update
	number uint64
	timed  bool
}

type step struct {
	at  time.Time
	run func()
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newReplay(seed uint64, entries, engines int, brief bool) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 2)), now: start, free: map[request.TargetID]time.Time{}, brief: brief}
	for i := range entries {
		e := &replayEntry{
			name: fmt.Sprintf("edge-%d", i), table: placement.NewTable(), outbox: NewUpdateScheduler(), known: map[string]Update{},
		}
		e.table.SetEngineMemory(replayService, replayMemory)
		for j := range engines {
			e.table.Register(placement.Registration{
				Endpoint: request.Endpoint{ID: request.TargetID(fmt.Sprintf("i-%08x", j)), Address: fmt.Sprintf("10.0.0.%d:1", j)},
				Service:  replayService, FailureDomain: fmt.Sprintf("d%d", j%3),
			})
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.steps, step{at: r.now.Add(d), run: run})
}

// play has prompts come at random, so many a second, for as long as is said.
func (r *replay) play(perSecond float64, length time.Duration) {
	for at := time.Duration(0); at < length; at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) {
		r.after(at, r.place)
	}
	for r.steps.Len() > 0 {
		next := heap.Pop(&r.steps).(step)
		r.now = next.at
		next.run()
	}
}

// place has some entry place a prompt, which its engine reads after all that it was
// given before.
func (r *replay) place() {
	e := r.entries[r.random.IntN(len(r.entries))]
	prompt := 6000 + r.random.IntN(4000)
	need := placement.Requirements{
		Service: replayService, Session: fmt.Sprintf("%x", r.random.Uint64()), PromptTokens: prompt, MemoryTokens: prompt + 600,
	}
	choice, err := e.table.Pick(r.now, need)
	if err != nil {
		panic(err)
	}
	id := choice.Target.ID
	e.table.AddAttempt(id, need)
	r.placed++
	begins := r.now
	if free := r.free[id]; free.After(begins) {
		r.behind++
		begins = free
	}
	read := begins.Add(time.Duration(prompt/replayRate) * time.Millisecond)
	r.free[id] = read
	r.after(read.Sub(r.now), func() { e.table.PrefillDone(id, need); r.tell(e) })
	r.after(read.Sub(r.now)+4500*time.Millisecond, func() { e.table.RemoveAttempt(id, need, true); r.tell(e) })
	if r.brief && e.outbox.PartialAllowed(r.now) {
		m := Update{Entry: e.name, Incarnation: 1, Partial: true, Work: map[request.TargetID][3]int{}}
		m.SetWork(id, e.table.Get(id).LocalWork())
		r.send(e, m)
	}
	r.tell(e)
}

// tell has an entry tell what changed as soon as there is room for it on the links.
func (r *replay) tell(e *replayEntry) {
	if e.timed {
		return
	}
	e.timed = true
	r.after(max(replayGather, e.outbox.Delay(r.now)), func() {
		e.timed = false
		m := Update{Entry: e.name, Incarnation: 1, LinkMbps: replayLink, Work: map[request.TargetID][3]int{}, KVCopies: map[string]KVCopy{}}
		for id, work := range e.table.LocalWork() {
			m.SetWork(id, work)
			// Each running answer has a copy that others are told of.
			session := string("session-" + id)
			m.KVCopies[session] = KVCopy{RequestID: request.ID(session), Target: id, Incarnation: 1_700_000_000_000}
		}
		r.send(e, e.outbox.Compose(r.now, m))
	})
}

func (r *replay) send(from *replayEntry, m Update) {
	from.number++
	m.Sequence = from.number
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	from.outbox.RecordSent(r.now, m, len(data)+datagramOverhead, len(r.entries)-1, replayLink)
	for _, to := range r.entries {
		if to == from {
			continue
		}
		r.after(replayDelay, func() {
			all := Merge(to.known[from.name], m)
			to.known[from.name] = all
			to.table.UpdatePeer(r.now, from.name, all.PeerState())
		})
	}
}

// behind returns the share of prompts that waited for another one at their engine.
func behind(entries, engines int, perSecond float64, brief bool) float64 {
	waited, placed := 0, 0
	for seed := range uint64(5) {
		r := newReplay(seed, entries, engines, brief)
		r.play(perSecond, 30*time.Second)
		waited, placed = waited+r.behind, placed+r.placed
	}
	return float64(waited) / float64(placed)
}

// 99 of 100 prompts find an engine that reads no other one, as long as a third of
// the engines are reading at any time.
func TestPromptsOfManyEntriesDoNotMeetAtOneEngine(t *testing.T) {
	late, soon := behind(26, 94, 28, false), behind(26, 94, 28, true)
	t.Logf("waited for another prompt: %.3f when told with all changes, %.3f when told at once", late, soon)
	assert.Assert(t, soon < 0.01)
	assert.Assert(t, soon < late/2)
}
