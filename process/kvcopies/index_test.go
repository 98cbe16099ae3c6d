package kvcopies

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

var (
	start    = time.Unix(1000, 0)
	identity = request.Identity{1}
)

func copyOf(id request.ID) Copy { return Copy{RequestID: id, Target: "e1", Incarnation: 7} }

// startOwn starts a run that has a copy.
func startOwn(i *Index, number Number, id request.ID, identity request.Identity) {
	i.Start(start, number, id, identity, false)
	i.RecordCopy(number, copyOf(id))
}

func expectReturn(t *testing.T, i *Index, now time.Time, want Copy, wantResult Result) {
	t.Helper()
	found, result := i.Start(now, 100, "return", identity, true)
	assert.Equal(t, result, wantResult, "%s", result)
	assert.Equal(t, found, want)
}

// Streams of one session end and start in any order: none replaces or deletes the copy of another.
func TestIndex_RunsKeepTheirOwnCopies(t *testing.T) {
	i := New()
	startOwn(i, 1, "a", identity)
	startOwn(i, 2, "b", request.Identity{2})
	startOwn(i, 3, "c", request.Identity{3})
	i.Remove(2)
	i.End(start, 1, copyOf("a"), start.Add(time.Second))
	expectReturn(t, i, start, copyOf("a"), Found)
	assert.Equal(t, i.Own(start)[3].Copy, copyOf("c"))
}

// Two requests that are the same run at once. Neither copy is proof, also after one of them ended.
func TestIndex_EqualRequestsGetNoCopy(t *testing.T) {
	for name, second := range map[string]func(i *Index){
		"here": func(i *Index) { startOwn(i, 2, "b", identity) },
		"there": func(i *Index) {
			i.Update(start, "entry-2", 1, map[Number]Run{1: {ID: "b", Identity: identity, Copy: copyOf("b")}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := New()
			startOwn(i, 1, "a", identity)
			second(i)
			i.End(start, 1, copyOf("a"), start.Add(time.Second))
			i.Remove(2)
			i.Update(start, "entry-2", 1, nil)
			assert.Assert(t, i.Own(start)[1].Ambiguous)
			expectReturn(t, i, start, Copy{}, Ambiguous)
		})
	}
}

// An entry was killed, and a request equal to one of its runs was sent to another that has just
// started. The other entries know both.
func TestIndex_ConflictsOfEntriesThatCannotKnow(t *testing.T) {
	i := New()
	i.Update(start, "entry-1", 1, map[Number]Run{1: {ID: "a", Identity: identity}})
	i.Lost(start, "entry-1", 0, start)
	b := map[Number]Run{5: {ID: "b", Identity: identity}, 6: {ID: "c", Identity: request.Identity{2}}}
	i.Update(start, "entry-2", 7, b)
	assert.DeepEqual(t, i.Conflicts(), []RunRef{{Entry: "entry-2", Incarnation: 7, Number: 5}})
	i.Update(start, "entry-2", 7, map[Number]Run{5: {ID: "b", Identity: identity, Ambiguous: true}})
	assert.Equal(t, len(i.Conflicts()), 0)

	young := New()
	startOwn(young, 5, "b", identity)
	young.MarkAmbiguous(5)
	expectReturn(t, young, start, Copy{}, Ambiguous)
}

// An entry that has just started knows only one of two equal runs, and that it is ambiguous.
func TestIndex_AmbiguousRunOfAnotherEntryIsNotUsed(t *testing.T) {
	i := New()
	i.Update(start, "entry-2", 1, map[Number]Run{1: {ID: "b", Identity: identity, Copy: copyOf("b"), Ambiguous: true}})
	expectReturn(t, i, start, Copy{}, Ambiguous)
}

// All entries were killed. The first of two equal requests that comes back runs again, and the
// second must not be served from that run.
func TestIndex_RunOfUnknownReturnIsNotUsed(t *testing.T) {
	i := New()
	_, result := i.Start(start, 1, "a.2", identity, true)
	assert.Equal(t, result, Unknown)
	i.RecordCopy(1, copyOf("a.2"))
	expectReturn(t, i, start, Copy{}, Ambiguous)
}

// A caller that sent its request anew is not served from the copy of its earlier run.
func TestIndex_CopyOfEarlierRunIsNotUsed(t *testing.T) {
	i := New()
	startOwn(i, 1, "a", identity)
	i.End(start, 1, copyOf("a"), start.Add(time.Second))
	startOwn(i, 2, "a again", identity)
	expectReturn(t, i, start, Copy{}, Ambiguous)
}

// A caller that comes back a second time is served from the run that went on with its first.
func TestIndex_SecondReturnGetsCopyOfLatestRun(t *testing.T) {
	i := New()
	i.Update(start, "entry-1", 1, map[Number]Run{1: {ID: "a.1", Identity: identity, Copy: copyOf("a.1")}})
	i.Lost(start, "entry-1", 0, start)
	i.Update(start, "entry-2", 1, map[Number]Run{1: {ID: "a.2", Identity: identity, Copy: copyOf("a.2"), Resumed: "a.1"}})
	expectReturn(t, i, start, copyOf("a.2"), Found)
}

// Targets keep copies under the ID that the caller chose. Another request has the same ID.
func TestIndex_CopyWithNameOfAnotherRequestIsNotUsed(t *testing.T) {
	i := New()
	startOwn(i, 1, "a", identity)
	i.End(start, 1, copyOf("a"), start.Add(time.Second))
	i.Update(start, "entry-2", 1, map[Number]Run{1: {ID: "a", Identity: request.Identity{2}}})
	expectReturn(t, i, start, Copy{}, Ambiguous)
}

// A caller comes back after the copy is gone, but while a run equal to its own may be running.
func TestIndex_RunIsRememberedLongerThanItsCopy(t *testing.T) {
	i := New()
	startOwn(i, 1, "a", identity)
	i.End(start, 1, copyOf("a"), start.Add(2*time.Second))
	later := start.Add(3 * time.Second)
	i.RemoveExpired(later)
	assert.Equal(t, i.Own(later)[1].Copy, Copy{})
	expectReturn(t, i, later, Copy{}, NoCopy)
	i.Remove(100)
	i.RemoveExpired(start.Add(ReturnTimeout + 1))
	expectReturn(t, i, start.Add(ReturnTimeout+1), Copy{}, Unknown)
}

// The callers of an entry that has ended come back after it has started again.
func TestIndex_RunsOfEndedIncarnationAreRemembered(t *testing.T) {
	i := New()
	i.Update(start, "entry-2", 1, map[Number]Run{1: {ID: "a", Identity: identity, Copy: copyOf("a")}})
	i.Lost(start, "entry-2", 2, start.Add(time.Second))
	i.Update(start, "entry-2", 2, nil)
	expectReturn(t, i, start, copyOf("a"), Found)
	i.Remove(100)
	expectReturn(t, i, start.Add(2*time.Second), Copy{}, NoCopy)
	i.Remove(100)
	i.RemoveExpired(start.Add(ReturnTimeout + 1))
	expectReturn(t, i, start.Add(ReturnTimeout+1), Copy{}, Unknown)
	i.Remove(100)
	assert.Equal(t, len(i.known), 0)
}

// An entry that was out of touch is heard again, and its streams have gone on.
func TestIndex_RunsOfEntryThatIsHeardAgainAreRunning(t *testing.T) {
	i := New()
	runs := map[Number]Run{1: {ID: "a", Identity: identity, Copy: copyOf("a")}}
	i.Update(start, "entry-2", 1, runs)
	i.Lost(start, "entry-2", 0, start)
	i.Update(start, "entry-2", 1, runs)
	later := start.Add(ReturnTimeout + 1)
	i.RemoveExpired(later)
	expectReturn(t, i, later, copyOf("a"), Found)
}

// An entry is out of touch. Its caller must not be served from the run of an equal request, which may be
// used again when all entries are known.
func TestIndex_SilentEntryMayHaveRuns(t *testing.T) {
	i := New()
	i.SetKnowledge(PeerSilent)
	startOwn(i, 1, "a", identity)
	assert.Assert(t, !i.Own(start)[1].Ambiguous)
	i.SetKnowledge(Complete)
	expectReturn(t, i, start, copyOf("a"), Found)

	i = New()
	startOwn(i, 1, "a", identity)
	i.SetKnowledge(PeerSilent)
	expectReturn(t, i, start, Copy{}, Incomplete)
	assert.Assert(t, i.Own(start)[1].Ambiguous)
	assert.Assert(t, i.Own(start)[100].Ambiguous)
}

// An entry that the others do not know was not told of an equal run, which has ended since.
func TestIndex_RunOfUnannouncedEntryIsNotUsed(t *testing.T) {
	i := New()
	i.SetKnowledge(Unannounced)
	startOwn(i, 1, "a", identity)
	startOwn(i, 2, "b", request.Identity{2})
	i.SetKnowledge(Complete)
	expectReturn(t, i, start, Copy{}, Ambiguous)
	_, result := i.Start(start, 101, "b.2", request.Identity{2}, true)
	assert.Equal(t, result, Ambiguous)
}

// modelCaller is a caller in TestIndex_RandomHistories and its latest run.
type modelCaller struct {
	name     string
	identity request.Identity
	tries    int
	// entry is the entry that the run is on, -1 if it broke off.
	entry  int
	number Number
	// streamed is set if it comes back for the rest of its response.
	streamed bool
}

// model is a few entries that tell each other of their runs, and callers of which some send
// requests that are the same.
type model struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	indexes []*Index
	lives   []int64
	callers []*modelCaller
	numbers Number
	found   int
}

func entryName(entry int) string { return fmt.Sprint("entry-", entry) }

// tell lets all entries know of the runs of one.
func (m *model) tell(from int) {
	runs := m.indexes[from].Own(m.now)
	for to, index := range m.indexes {
		if to != from {
			index.Lost(m.now, entryName(from), m.lives[from], m.now.Add(2*time.Second))
			index.Update(m.now, entryName(from), m.lives[from], maps.Clone(runs))
			m.tellConflicts(to)
		}
	}
}

func (m *model) tellConflicts(from int) {
	for _, ref := range m.indexes[from].Conflicts() {
		for to, index := range m.indexes {
			if entryName(to) == ref.Entry && m.lives[to] == ref.Incarnation {
				index.MarkAmbiguous(ref.Number)
			}
		}
	}
}

func (m *model) send(c *modelCaller) {
	entry := m.random.IntN(len(m.indexes))
	m.numbers++
	c.tries++
	id := request.ID(fmt.Sprint(c.name, ".", c.tries))
	found, result := m.indexes[entry].Start(m.now, m.numbers, id, c.identity, c.streamed)
	if result == Found {
		m.found++
		assert.Assert(m.t, strings.HasPrefix(string(found.RequestID), c.name+"."), "%s goes on from the copy of %s", id, found.RequestID)
	}
	m.indexes[entry].RecordCopy(m.numbers, Copy{RequestID: id, Target: "e1"})
	c.entry, c.number, c.streamed = entry, m.numbers, true
	m.tell(entry)
	m.tellConflicts(entry)
}

// breakOff ends the connection of a caller.
func (m *model) breakOff(c *modelCaller) {
	own := m.indexes[c.entry].Own(m.now)[c.number]
	m.indexes[c.entry].End(m.now, c.number, own.Copy, m.now.Add(2*time.Second))
	m.tell(c.entry)
	c.entry = -1
}

func (m *model) complete(c *modelCaller) {
	m.indexes[c.entry].Remove(c.number)
	m.tell(c.entry)
	c.entry, c.streamed = -1, false
}

// kill ends an entry and starts it again. It knows what the others then tell it.
func (m *model) kill(entry int) {
	m.indexes[entry] = New()
	m.lives[entry]++
	for _, c := range m.callers {
		if c.entry == entry {
			c.entry = -1
		}
	}
	for from := range m.indexes {
		m.tell(from)
	}
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(400)) * time.Millisecond)
	for _, index := range m.indexes {
		index.RemoveExpired(m.now)
	}
	c := m.callers[m.random.IntN(len(m.callers))]
	switch action := m.random.IntN(20); {
	case action == 0 && m.random.IntN(4) == 0:
		// One entry runs on and knows what the others have forgotten.
		m.kill(m.random.IntN(len(m.indexes) - 1))
	case c.entry < 0:
		m.send(c)
	case action < 8:
		m.breakOff(c)
	default:
		m.complete(c)
	}
}

// Connections break, entries are killed and start again, callers come back and repeat themselves:
// none is served from the copy of another, and callers with a request of their own from theirs.
func TestIndex_RandomHistories(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, indexes: []*Index{New(), New(), New()}, lives: make([]int64, 3)}
		for n := range 6 {
			// The last three send the same request; they start before any entry is killed.
			m.callers = append(m.callers, &modelCaller{name: fmt.Sprint("caller-", n), identity: request.Identity{byte(min(n, 3) + 1)}, entry: -1})
		}
		for _, c := range m.callers {
			m.send(c)
		}
		for range 200 {
			m.step()
		}
		found += m.found
	}
	assert.Assert(t, found > 1000, "%d", found)
}
