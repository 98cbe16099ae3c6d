// Package gossip is the deciding core by which configuration revisions reach
// every process. A few entries watch the store; all other processes hear of
// revisions on their links: first the number, then the body when it is asked for.
//
// It does no I/O, has no goroutine, and is given the time.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is how many entries watch the store, whatever their number.
	Watchers = 3
	// RefreshInterval is the period at which a link is told again what it knows, so
	// that confirmations keep flowing.
	RefreshInterval = 5 * time.Second
	// askAgainAfter is when a body that was asked for is asked for elsewhere.
	askAgainAfter = 500 * time.Millisecond
)

// Role is what a process is.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// LinkID names one link of the process, for as long as the link lives.
type LinkID uint64

// EntryStatus is what an agent tells of an entry that has a link to it.
type EntryStatus struct {
	Process  string
	Revision int64
	// StoreUnavailable says that the entry asks the store and gets no answer.
	StoreUnavailable bool
}

// Frame is what one process tells another.
type Frame struct {
	// Revision is in force at the sender.
	Revision int64
	// Confirmed is when the sender's revision was last known to be the newest,
	// zero when never. It travels as an age, since clocks differ.
	Confirmed time.Time
	// StoreUnavailable is the sender's own Presence.StoreFails.
	StoreUnavailable bool
	// Entries lists the entries that have a link to the sending agent.
	Entries []EntryStatus
	// Document is the body of Revision.
	Document []byte
	// WantDocument asks for the body of the receiver's revision.
	WantDocument bool
}

// Action is a decision for the driver. Exactly one field is set.
type Action struct {
	// Send asks for a frame to be sent on Link.
	Send *Send
	// Apply hands over a body to be decoded and put in force.
	Apply *Apply
}

// Send is a frame to send.
type Send struct {
	Link  LinkID
	Frame Frame
}

// Apply is a body that a peer sent.
type Apply struct {
	Revision int64
	Document []byte
	// From is the process that sent it.
	From string
}

// Peer is what is known of the process at the other end of a link.
type Peer struct {
	Process  string
	Role     Role
	Revision int64
	// Since is when that revision was first heard of on this link.
	Since time.Time
	// StoreUnavailable and Entries are the peer's last word.
	StoreUnavailable bool
	Entries          []EntryStatus

	// confirmed is when Revision was last known to be the newest, as the peer says.
	confirmed time.Time
	// told is what the peer was last told, at toldAt.
	told   told
	toldAt time.Time
}

// told is the part of a frame that is sent again at once when it changes.
type told struct {
	revision   int64
	storeFails bool
	entries    uint64
}

// State is what a process knows of revisions.
//
// Invariant: Revision never goes down.
type State struct {
	process    string
	role       Role
	revision   int64
	document   []byte
	confirmed  time.Time
	storeFails bool
	links      map[LinkID]*Peer
	// asked is the revision whose body was last asked for, at askedAt.
	asked   int64
	askedAt time.Time
}

// New returns the state of a process that knows nothing yet.
func New(process string, role Role) *State {
	return &State{process: process, role: role, links: map[LinkID]*Peer{}}
}

// Revision returns the revision in force.
func (s *State) Revision() int64 { return s.revision }

// Confirmed returns when the revision in force was last known to be the newest.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Activate notes that a revision was put in force, and tells the links.
func (s *State) Activate(now time.Time, revision int64, document []byte) []Action {
	if revision <= s.revision {
		return nil
	}
	s.take(revision, document)
	return s.tell(now)
}

// take puts a newer revision in force. What peers had confirmed for it, or for an
// older one, is confirmed here from now on.
func (s *State) take(revision int64, document []byte) {
	s.revision = revision
	s.document = document
	for _, peer := range s.links {
		if peer.Revision <= revision {
			s.confirm(peer.confirmed)
		}
	}
}

// StoreConfirmed notes that the store was asked at the given time and held the
// given revision, which the caller has put in force if it is newer.
func (s *State) StoreConfirmed(now, at time.Time, revision int64, document []byte) []Action {
	s.storeFails = false
	if revision > s.revision {
		s.take(revision, document)
	}
	s.confirm(at)
	return s.tell(now)
}

// StoreFailed notes that the store did not answer.
func (s *State) StoreFailed(now time.Time) []Action {
	s.storeFails = true
	return s.tell(now)
}

func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// LinkUp notes a new link.
func (s *State) LinkUp(now time.Time, link LinkID, process string, role Role) []Action {
	s.links[link] = &Peer{Process: process, Role: role, Since: now}
	return s.tell(now)
}

// LinkDown notes the end of a link.
func (s *State) LinkDown(now time.Time, link LinkID) []Action {
	delete(s.links, link)
	return s.tell(now)
}

// Receive takes in a frame of a peer.
func (s *State) Receive(now time.Time, link LinkID, frame Frame) []Action {
	peer, ok := s.links[link]
	if !ok {
		return nil
	}
	s.note(now, peer, frame)
	var actions []Action
	if frame.Document != nil && frame.Revision > s.revision {
		actions = append(actions, Action{Apply: &Apply{Revision: frame.Revision, Document: frame.Document, From: peer.Process}})
	}
	if frame.WantDocument {
		actions = append(actions, s.send(now, link, peer, true))
	}
	if ask, ok := s.ask(now, link, peer); ok && frame.Document == nil {
		actions = append(actions, ask)
	}
	return append(actions, s.tell(now)...)
}

func (s *State) note(now time.Time, peer *Peer, frame Frame) {
	if frame.Revision > peer.Revision {
		peer.Revision = frame.Revision
		peer.Since = now
	}
	if frame.Revision == peer.Revision && frame.Confirmed.After(peer.confirmed) {
		peer.confirmed = frame.Confirmed
	}
	peer.StoreUnavailable = frame.StoreUnavailable
	if peer.Role == Agent {
		peer.Entries = frame.Entries
	}
	// What the peer holds for the newest is at most the revision in force here,
	// so what it had confirmed is confirmed here too.
	if frame.Revision <= s.revision {
		s.confirm(frame.Confirmed)
	}
}

// ask asks a peer for its body when it has a newer revision and no other peer
// was asked for that lately.
func (s *State) ask(now time.Time, link LinkID, peer *Peer) (Action, bool) {
	if peer.Revision <= s.revision {
		return Action{}, false
	}
	if s.asked >= peer.Revision && now.Sub(s.askedAt) < askAgainAfter {
		return Action{}, false
	}
	s.asked = peer.Revision
	s.askedAt = now
	action := s.send(now, link, peer, false)
	action.Send.Frame.WantDocument = true
	return action, true
}

// Tick repeats what is due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	for _, link := range s.order() {
		peer := s.links[link]
		if ask, ok := s.ask(now, link, peer); ok {
			actions = append(actions, ask)
		}
		if now.Sub(peer.toldAt) >= RefreshInterval {
			actions = append(actions, s.send(now, link, peer, false))
		}
	}
	return actions
}

func (s *State) order() []LinkID { return slices.Sorted(maps.Keys(s.links)) }

// tell sends to every link that does not know what it should.
func (s *State) tell(now time.Time) []Action {
	var actions []Action
	entries := s.entries()
	for _, link := range s.order() {
		peer := s.links[link]
		if peer.told != s.toTell(peer, entries) {
			actions = append(actions, s.send(now, link, peer, false))
		}
	}
	return actions
}

func (s *State) toTell(peer *Peer, entries []EntryStatus) told {
	t := told{revision: s.revision, storeFails: s.storeFails}
	if s.role == Agent && peer.Role == Entry {
		t.entries = digest(entries)
	}
	return t
}

func digest(entries []EntryStatus) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e.Process)
		flags := []byte{0, byte(e.Revision), byte(e.Revision >> 8), byte(e.Revision >> 16), byte(e.Revision >> 24), 0}
		if e.StoreUnavailable {
			flags[5] = 1
		}
		_, _ = d.Write(flags)
	}
	return d.Sum64()
}

func (s *State) send(now time.Time, link LinkID, peer *Peer, document bool) Action {
	entries := s.entries()
	frame := Frame{Revision: s.revision, Confirmed: s.confirmed, StoreUnavailable: s.storeFails}
	if s.role == Agent && peer.Role == Entry {
		frame.Entries = entries
	}
	if document {
		frame.Document = s.document
	}
	peer.told = s.toTell(peer, entries)
	peer.toldAt = now
	return Action{Send: &Send{Link: link, Frame: frame}}
}

// entries returns the entries that have a link to this process, each once, in
// order of their names.
func (s *State) entries() []EntryStatus {
	byName := map[string]EntryStatus{}
	for _, peer := range s.links {
		if peer.Role != Entry {
			continue
		}
		known, ok := byName[peer.Process]
		if ok && known.Revision > peer.Revision {
			continue
		}
		byName[peer.Process] = EntryStatus{Process: peer.Process, Revision: peer.Revision, StoreUnavailable: peer.StoreUnavailable}
	}
	return inOrder(byName)
}

func inOrder(byName map[string]EntryStatus) []EntryStatus {
	list := make([]EntryStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// Peers returns what is known of the linked processes, in order of their names.
func (s *State) Peers() []Peer {
	list := make([]Peer, 0, len(s.links))
	for _, peer := range s.links {
		list = append(list, *peer)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// OtherEntries returns the other entries that agents tell of, in order of their names.
func (s *State) OtherEntries() []EntryStatus {
	byName := map[string]EntryStatus{}
	for _, peer := range s.links {
		for _, e := range peer.Entries {
			known, ok := byName[e.Process]
			if e.Process != s.process && (!ok || known.Revision <= e.Revision) {
				byName[e.Process] = e
			}
		}
	}
	return inOrder(byName)
}

// WatchesStore says whether this process is one of those that watch the store: it is
// an entry, and among the first by rendezvous hash of the entries that reach the
// store. An entry that hears of no other watches.
func (s *State) WatchesStore() bool {
	if s.role != Entry {
		return false
	}
	before := 0
	mine := rank(s.process)
	for _, other := range s.OtherEntries() {
		if !other.StoreUnavailable && rank(other.Process) < mine {
			before++
		}
	}
	return before < Watchers
}

func rank(process string) uint64 { return xxhash.Sum64String("watch/" + process) }
