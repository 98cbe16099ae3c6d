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
	// highestRevision is the highest revision active since the process started.
	highestRevision int64
}

// link is a link between an entry and an agent. Each direction delivers frames in
// order.
type link struct {
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
	links   map[gossip.LinkID]*link
	lastID  gossip.LinkID
	// accepted holds the time when revision i+1 was accepted at index i.
	accepted       []time.Time
	storeAvailable bool
}

func newFleet(t *rapid.T, entries, agents int) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0), links: map[gossip.LinkID]*link{}, storeAvailable: true}
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

// restart replaces a process by one in the initial state and cuts its links.
func (f *fleet) restart(p *process) {
	for id, l := range f.links {
		if l.entry == p || l.agent == p {
			f.cut(id)
		}
	}
	p.state = gossip.New(p.name, p.role)
	p.highestRevision = 0
}

func (f *fleet) cut(id gossip.LinkID) {
	l := f.links[id]
	delete(f.links, id)
	f.perform(l.entry, l.entry.state.LinkDown(f.now, id))
	f.perform(l.agent, l.agent.state.LinkDown(f.now, id))
}

func (f *fleet) connect(entry, agent *process) {
	f.lastID++
	l := &link{entry: entry, agent: agent, id: f.lastID}
	f.links[l.id] = l
	f.perform(entry, entry.state.LinkUp(f.now, l.id, agent.name, agent.role))
	f.perform(agent, agent.state.LinkUp(f.now, l.id, entry.name, entry.role))
}

func (f *fleet) linked(entry, agent *process) bool {
	for _, l := range f.links {
		if l.entry == entry && l.agent == agent {
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
			l, ok := f.links[action.Send.Link]
			if ok && p.role == gossip.Entry {
				l.toAgent = append(l.toAgent, action.Send.Frame)
			} else if ok {
				l.toEntry = append(l.toEntry, action.Send.Frame)
			}
		}
	}
	f.checkInvariants(p)
}

// checkInvariants checks that the revision of a process never decreases and that no
// newer revision had been accepted when it was confirmed.
func (f *fleet) checkInvariants(p *process) {
	revision := p.state.Revision()
	if revision < p.highestRevision {
		f.t.Fatalf("%s: revision decreased from %d to %d", p.name, p.highestRevision, revision)
	}
	p.highestRevision = revision
	newest := int64(0)
	for i, at := range f.accepted {
		if at.Before(p.state.Confirmed()) {
			newest = int64(i) + 1
		}
	}
	if !p.state.Confirmed().IsZero() && newest > revision {
		f.t.Fatalf("%s: revision %d is confirmed at %v, when revision %d had been accepted", p.name, revision, p.state.Confirmed(), newest)
	}
}

func (f *fleet) deliver(l *link) {
	if len(l.toAgent) > 0 {
		frame := l.toAgent[0]
		l.toAgent = l.toAgent[1:]
		f.perform(l.agent, l.agent.state.Receive(f.now, l.id, frame))
	}
	if len(l.toEntry) > 0 {
		frame := l.toEntry[0]
		l.toEntry = l.toEntry[1:]
		f.perform(l.entry, l.entry.state.Receive(f.now, l.id, frame))
	}
}

// pollStore passes the result of a store request to an entry: the current revision
// or, if lag is positive, a delayed watch event of an older one.
func (f *fleet) pollStore(p *process, lag int) {
	if !f.storeAvailable {
		f.perform(p, p.state.StoreFailed(f.now))
		return
	}
	revision := int64(len(f.accepted) - lag)
	if revision <= 0 {
		return
	}
	body := []byte{byte(revision)}
	if lag == 0 {
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
		f.storeAvailable = !f.storeAvailable
	case 2:
		f.restart(entry)
	case 3:
		f.restart(agent)
	case 4, 5:
		if !f.linked(entry, agent) || rapid.Bool().Draw(t, "second copy") {
			f.connect(entry, agent)
		}
	case 6:
		if len(f.links) > 0 {
			f.cut(f.randomLink().id)
		}
	case 7:
		if entry.state.WatchesStore() {
			f.pollStore(entry, rapid.IntRange(0, 2).Draw(t, "late"))
		}
	case 8:
		f.perform(entry, entry.state.Tick(f.now))
		f.perform(agent, agent.state.Tick(f.now))
	default:
		if len(f.links) > 0 {
			f.deliver(f.randomLink())
		}
	}
}

func (f *fleet) randomLink() *link {
	ids := make([]gossip.LinkID, 0, len(f.links))
	for id := gossip.LinkID(1); id <= f.lastID; id++ {
		if _, ok := f.links[id]; ok {
			ids = append(ids, id)
		}
	}
	return f.links[ids[rapid.IntRange(0, len(ids)-1).Draw(f.t, "wire")]]
}

// converge ends all faults and runs the fleet until all frames are delivered.
func (f *fleet) converge() {
	f.storeAvailable = true
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
				f.pollStore(entry, 0)
			}
			f.perform(entry, entry.state.Tick(f.now))
		}
		for _, agent := range f.agents {
			f.perform(agent, agent.state.Tick(f.now))
		}
		for id := gossip.LinkID(1); id <= f.lastID; id++ {
			for l := f.links[id]; l != nil && len(l.toAgent)+len(l.toEntry) > 0; {
				f.deliver(l)
			}
		}
	}
}

// TestGossip_ConvergesAndNeverLowersRevision runs random histories of accepted
// changes, store outages, delayed watch events, link failures, duplicate links and
// restarts.
func TestGossip_ConvergesAndNeverLowersRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "agents"))
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			f.step()
		}
		f.converge()
		watching := 0
		for _, p := range append(f.entries[:len(f.entries):len(f.entries)], f.agents...) {
			if p.state.Revision() != int64(len(f.accepted)) {
				t.Fatalf("%s: final revision is %d, want %d", p.name, p.state.Revision(), len(f.accepted))
			}
			if f.now.Sub(p.state.Confirmed()) > 3*gossip.RefreshInterval {
				t.Fatalf("%s: last confirmed at %v, now %v", p.name, p.state.Confirmed(), f.now)
			}
			if p.state.WatchesStore() {
				watching++
			}
		}
		if want := min(gossip.Watchers, len(f.entries)); watching != want {
			t.Fatalf("%d entries watch the store, want %d", watching, want)
		}
	})
}

func TestWatchesStore_SkipsEntriesThatCannotReachStore(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, outage := range []bool{false, true} {
		watching := 0
		for i := range 8 {
			name := fmt.Sprintf("entry-%d", i)
			entry := gossip.New(name, gossip.Entry)
			entry.LinkUp(now, 1, "agent", gossip.Agent)
			var others []gossip.EntryStatus
			for j := range 8 {
				first := j < 4
				others = append(others, gossip.EntryStatus{Process: fmt.Sprintf("entry-%d", j), StoreUnavailable: outage && first})
			}
			entry.Receive(now, 1, gossip.Frame{Entries: others})
			failing := outage && i < 4
			if entry.WatchesStore() && !failing {
				watching++
			}
		}
		if watching != gossip.Watchers {
			t.Fatalf("%d entries that reach the store watch it, want %d", watching, gossip.Watchers)
		}
	}
}

func TestDocumentRequest_RepeatedAfterTimeout(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agent := gossip.New("agent", gossip.Agent)
	agent.LinkUp(now, 1, "entry", gossip.Entry)
	requestsDocument := func(actions []gossip.Action) bool {
		for _, action := range actions {
			if action.Send != nil && action.Send.Frame.WantDocument {
				return true
			}
		}
		return false
	}
	if !requestsDocument(agent.Receive(now, 1, gossip.Frame{Revision: 7})) {
		t.Fatal("the document was not requested")
	}
	if requestsDocument(agent.Tick(now.Add(100 * time.Millisecond))) {
		t.Fatal("the document was requested again before the timeout")
	}
	if !requestsDocument(agent.Tick(now.Add(time.Second))) {
		t.Fatal("the document was not requested again after the timeout")
	}
}

func TestConfirmation_OfNewerRevisionNotAppliedToOlder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agent := gossip.New("agent", gossip.Agent)
	agent.LinkUp(now, 1, "entry-1", gossip.Entry)
	agent.LinkUp(now, 2, "entry-2", gossip.Entry)
	agent.Receive(now, 1, gossip.Frame{Revision: 5, Confirmed: now})
	agent.Receive(now, 2, gossip.Frame{Revision: 4, Confirmed: now.Add(-time.Minute)})
	agent.Activate(now, 4, []byte{4})
	if !agent.Confirmed().Equal(now.Add(-time.Minute)) {
		t.Fatalf("revision 4 is confirmed at %v, want a minute ago", agent.Confirmed())
	}
	agent.Activate(now, 5, []byte{5})
	if !agent.Confirmed().Equal(now) {
		t.Fatalf("revision 5 is confirmed at %v, want now", agent.Confirmed())
	}
}
