package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrylane/mulberrylane/process/gossip"
)

// process is one process of the simulated fleet.
type process struct {
	name  string
	role  gossip.Role
	state *gossip.State
	// lowest is the highest revision seen in force since the process started.
	lowest int64
}

// wire is one link: entry and agent know it under their own ids, and each
// direction keeps its order.
type wire struct {
	entry, agent *process
	id           gossip.LinkID
	toEntry      []gossip.Frame
	toAgent      []gossip.Frame
}

// fleet is a simulated fleet with a store of one key.
type fleet struct {
	t       *rapid.T
	now     time.Time
	entries []*process
	agents  []*process
	wires   map[gossip.LinkID]*wire
	lastID  gossip.LinkID
	// accepted lists when each revision was accepted; revision i+1 at index i.
	accepted []time.Time
	storeUp  bool
}

func newFleet(t *rapid.T, entries, agents int) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0), wires: map[gossip.LinkID]*wire{}, storeUp: true}
	for i := range entries {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("entry-%d", i), role: gossip.Entry})
	}
	for i := range agents {
		f.agents = append(f.agents, &process{name: fmt.Sprintf("agent-%d", i), role: gossip.Agent})
	}
	for _, p := range append(f.entries[:entries:entries], f.agents...) {
		f.restart(p)
	}
	return f
}

// restart replaces a process by one that knows nothing; its links are over.
func (f *fleet) restart(p *process) {
	for id, w := range f.wires {
		if w.entry == p || w.agent == p {
			f.cut(id)
		}
	}
	p.state = gossip.New(p.name, p.role)
	p.lowest = 0
}

func (f *fleet) cut(id gossip.LinkID) {
	w := f.wires[id]
	delete(f.wires, id)
	f.perform(w.entry, w.entry.state.LinkDown(f.now, id))
	f.perform(w.agent, w.agent.state.LinkDown(f.now, id))
}

func (f *fleet) connect(entry, agent *process) {
	f.lastID++
	w := &wire{entry: entry, agent: agent, id: f.lastID}
	f.wires[w.id] = w
	f.perform(entry, entry.state.LinkUp(f.now, w.id, agent.name, agent.role))
	f.perform(agent, agent.state.LinkUp(f.now, w.id, entry.name, entry.role))
}

func (f *fleet) linked(entry, agent *process) bool {
	for _, w := range f.wires {
		if w.entry == entry && w.agent == agent {
			return true
		}
	}
	return false
}

func (f *fleet) perform(p *process, actions []gossip.Action) {
	for _, action := range actions {
		switch {
		case action.Apply != nil:
			f.perform(p, p.state.Activate(f.now, action.Apply.Revision, action.Apply.Document))
		case action.Send != nil:
			w, ok := f.wires[action.Send.Link]
			if ok && p.role == gossip.Entry {
				w.toAgent = append(w.toAgent, action.Send.Frame)
			} else if ok {
				w.toEntry = append(w.toEntry, action.Send.Frame)
			}
		}
	}
	f.check(p)
}

// check holds a process to what must always be true of it.
func (f *fleet) check(p *process) {
	revision := p.state.Revision()
	if revision < p.lowest {
		f.t.Fatalf("%s went back from revision %d to %d", p.name, p.lowest, revision)
	}
	p.lowest = revision
	newest := int64(0)
	for i, at := range f.accepted {
		if at.Before(p.state.Confirmed()) {
			newest = int64(i) + 1
		}
	}
	if !p.state.Confirmed().IsZero() && newest > revision {
		f.t.Fatalf("%s takes revision %d for confirmed at %v, when %d was accepted", p.name, revision, p.state.Confirmed(), newest)
	}
}

func (f *fleet) deliver(w *wire) {
	if len(w.toAgent) > 0 {
		frame := w.toAgent[0]
		w.toAgent = w.toAgent[1:]
		f.perform(w.agent, w.agent.state.Receive(f.now, w.id, frame))
	}
	if len(w.toEntry) > 0 {
		frame := w.toEntry[0]
		w.toEntry = w.toEntry[1:]
		f.perform(w.entry, w.entry.state.Receive(f.now, w.id, frame))
	}
}

// read lets an entry hear of the store: what it holds, or with late set an older
// watch event that was under way.
func (f *fleet) read(p *process, late int) {
	if !f.storeUp {
		f.perform(p, p.state.StoreFailed(f.now))
		return
	}
	revision := int64(len(f.accepted) - late)
	if revision <= 0 {
		return
	}
	body := []byte{byte(revision)}
	if late == 0 {
		f.perform(p, p.state.StoreConfirmed(f.now, f.now, revision, body))
		return
	}
	f.perform(p, p.state.Activate(f.now, revision, body))
}

func (f *fleet) step() {
	t := f.t
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	entry := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
	agent := f.agents[rapid.IntRange(0, len(f.agents)-1).Draw(t, "agent")]
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0:
		f.accepted = append(f.accepted, f.now)
	case 1:
		f.storeUp = !f.storeUp
	case 2:
		f.restart(entry)
	case 3:
		f.restart(agent)
	case 4, 5:
		if !f.linked(entry, agent) || rapid.Bool().Draw(t, "second copy") {
			f.connect(entry, agent)
		}
	case 6:
		if len(f.wires) > 0 {
			f.cut(f.someWire().id)
		}
	case 7:
		if entry.state.WatchesStore() {
			f.read(entry, rapid.IntRange(0, 2).Draw(t, "late"))
		}
	case 8:
		f.perform(entry, entry.state.Tick(f.now))
		f.perform(agent, agent.state.Tick(f.now))
	default:
		if len(f.wires) > 0 {
			f.deliver(f.someWire())
		}
	}
}

func (f *fleet) someWire() *wire {
	ids := make([]gossip.LinkID, 0, len(f.wires))
	for id := gossip.LinkID(1); id <= f.lastID; id++ {
		if _, ok := f.wires[id]; ok {
			ids = append(ids, id)
		}
	}
	return f.wires[ids[rapid.IntRange(0, len(ids)-1).Draw(f.t, "wire")]]
}

// settle heals everything and runs until all that is under way has arrived.
func (f *fleet) settle() {
	f.storeUp = true
	f.accepted = append(f.accepted, f.now)
	for _, entry := range f.entries {
		for _, agent := range f.agents {
			if !f.linked(entry, agent) {
				f.connect(entry, agent)
			}
		}
	}
	for range 40 {
		f.now = f.now.Add(600 * time.Millisecond)
		for _, entry := range f.entries {
			if entry.state.WatchesStore() {
				f.read(entry, 0)
			}
			f.perform(entry, entry.state.Tick(f.now))
		}
		for _, agent := range f.agents {
			f.perform(agent, agent.state.Tick(f.now))
		}
		for id := gossip.LinkID(1); id <= f.lastID; id++ {
			for w := f.wires[id]; w != nil && len(w.toAgent)+len(w.toEntry) > 0; {
				f.deliver(w)
			}
		}
	}
}

// TestSpreadNeverGoesBackAndEndsEverywhere runs histories of accepted changes,
// store outages, late watch events, links that break, second copies of links and
// restarts.
func TestSpreadNeverGoesBackAndEndsEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "agents"))
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			f.step()
		}
		f.settle()
		watching := 0
		for _, p := range append(f.entries[:len(f.entries):len(f.entries)], f.agents...) {
			if p.state.Revision() != int64(len(f.accepted)) {
				t.Fatalf("%s ended with revision %d of %d", p.name, p.state.Revision(), len(f.accepted))
			}
			if f.now.Sub(p.state.Confirmed()) > 3*gossip.RefreshInterval {
				t.Fatalf("%s was last confirmed at %v, now is %v", p.name, p.state.Confirmed(), f.now)
			}
			if p.state.WatchesStore() {
				watching++
			}
		}
		if want := min(gossip.Watchers, len(f.entries)); watching != want {
			t.Fatalf("%d entries watch, not %d", watching, want)
		}
	})
}

func TestEntriesThatReachTheStoreReplaceThoseThatDoNot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, fails := range []bool{false, true} {
		watching := 0
		for i := range 8 {
			name := fmt.Sprintf("entry-%d", i)
			entry := gossip.New(name, gossip.Entry)
			entry.LinkUp(now, 1, "agent", gossip.Agent)
			var others []gossip.EntryStatus
			for j := range 8 {
				first := j < 4
				others = append(others, gossip.EntryStatus{Process: fmt.Sprintf("entry-%d", j), StoreUnavailable: fails && first})
			}
			entry.Receive(now, 1, gossip.Frame{Entries: others})
			failing := fails && i < 4
			if entry.WatchesStore() && !failing {
				watching++
			}
		}
		if watching != gossip.Watchers {
			t.Fatalf("%d entries that reach the store watch, not %d", watching, gossip.Watchers)
		}
	}
}

func TestBodyThatDoesNotComeIsAskedForAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agent := gossip.New("agent", gossip.Agent)
	agent.LinkUp(now, 1, "entry", gossip.Entry)
	asked := func(actions []gossip.Action) bool {
		for _, action := range actions {
			if action.Send != nil && action.Send.Frame.WantDocument {
				return true
			}
		}
		return false
	}
	if !asked(agent.Receive(now, 1, gossip.Frame{Revision: 7})) {
		t.Fatal("the body was not asked for")
	}
	if asked(agent.Tick(now.Add(100 * time.Millisecond))) {
		t.Fatal("the body was asked for twice at once")
	}
	if !asked(agent.Tick(now.Add(time.Second))) {
		t.Fatal("the body was not asked for again")
	}
}

func TestWordOfAPeerWithANewerRevisionConfirmsNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agent := gossip.New("agent", gossip.Agent)
	agent.LinkUp(now, 1, "entry-1", gossip.Entry)
	agent.LinkUp(now, 2, "entry-2", gossip.Entry)
	agent.Receive(now, 1, gossip.Frame{Revision: 5, Confirmed: now})
	agent.Receive(now, 2, gossip.Frame{Revision: 4, Confirmed: now.Add(-time.Minute)})
	agent.Activate(now, 4, []byte{4})
	if !agent.Confirmed().Equal(now.Add(-time.Minute)) {
		t.Fatalf("revision 4 is taken for confirmed at %v", agent.Confirmed())
	}
	agent.Activate(now, 5, []byte{5})
	if !agent.Confirmed().Equal(now) {
		t.Fatalf("revision 5 is taken for confirmed at %v", agent.Confirmed())
	}
}
