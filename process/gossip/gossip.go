// Package gossip implements the protocol that distributes configuration revisions
// to every process. A few entries watch the store. All other processes learn of
// revisions over their links: first the revision number, then, on request, the
// document.
//
// The package does no I/O, starts no goroutines, and receives the current time from
// its caller.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is how many entries watch the store, however many entries there are.
	Watchers = 3
	// RefreshInterval is the period at which a frame is sent on a link even if nothing
	// has changed, so that confirmations keep reaching the peers.
	RefreshInterval = 5 * time.Second
	// documentRequestTimeout is how long to wait for a requested document before it is
	// requested again, from any peer that has it.
	documentRequestTimeout = 500 * time.Millisecond
)

// Role is the role of a process.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// LinkID identifies a link of this process while the link is up.
type LinkID uint64

// EntryStatus is the status of an entry as reported by an agent linked to it.
type EntryStatus struct {
	Process  string
	Revision int64
	// StoreUnavailable means that the entry's requests to the store fail.
	StoreUnavailable bool
}

// Frame is a message from one process to another.
type Frame struct {
	// Revision is the revision active at the sender.
	Revision int64
	// Confirmed is when the sender's revision was last known to be the newest,
	// or zero if never. It is sent as an age, because the clocks of hosts differ.
	Confirmed time.Time
	// StoreUnavailable means that the sender's requests to the store fail.
	StoreUnavailable bool
	// Entries lists the entries that have a link to the sending agent.
	Entries []EntryStatus
	// Document is the encoded record of Revision, sent on request.
	Document []byte
	// WantDocument requests the document of the receiver's revision.
	WantDocument bool
}

// Action is one operation that the driver of a State must perform. Exactly one field is
// set.
type Action struct {
	// Send asks for a frame to be sent on Link.
	Send *Send
	// Apply asks for a received document to be decoded and activated.
	Apply *Apply
}

// Send is a frame to send.
type Send struct {
	Link  LinkID
	Frame Frame
}

// Apply is a document received from a peer.
type Apply struct {
	Revision int64
	Document []byte
	// From is the process that sent it.
	From string
}

// Peer is the known state of the process at the other end of a link.
type Peer struct {
	Process  string
	Role     Role
	Revision int64
	// Since is when Revision was first received on this link.
	Since time.Time
	// StoreUnavailable and Entries are from the last frame of the peer.
	StoreUnavailable bool
	Entries          []EntryStatus

	// confirmed is when Revision was last known to be the newest, according to the
	// peer.
	confirmed time.Time
	// lastSent summarizes the last frame sent to the peer, at lastSentAt.
	lastSent   frameSummary
	lastSentAt time.Time
}

// frameSummary is the part of a frame whose change causes a new frame to be sent at
// once.
type frameSummary struct {
	revision         int64
	storeUnavailable bool
	entries          uint64
}

// State is the gossip state of a process.
//
// Invariant: revision never decreases.
type State struct {
	process          string
	role             Role
	revision         int64
	document         []byte
	confirmed        time.Time
	storeUnavailable bool
	links            map[LinkID]*Peer
	// requestedRevision is the revision whose document was last requested, at
	// requestedAt.
	requestedRevision int64
	requestedAt       time.Time
}

// New returns the initial state of a process, without a revision or links.
func New(process string, role Role) *State {
	return &State{process: process, role: role, links: map[LinkID]*Peer{}}
}

// Revision returns the active revision.
func (s *State) Revision() int64 { return s.revision }

// Confirmed returns when the active revision was last known to be the newest.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Activate records that a revision was activated, and informs the peers.
func (s *State) Activate(now time.Time, revision int64, document []byte) []Action {
	if revision <= s.revision {
		return nil
	}
	s.setRevision(revision, document)
	return s.sendChanges(now)
}

// setRevision sets a newer active revision. Peers' confirmations of this or an older
// revision now count for this process too.
func (s *State) setRevision(revision int64, document []byte) {
	s.revision = revision
	s.document = document
	for _, peer := range s.links {
		if peer.Revision <= revision {
			s.confirm(peer.confirmed)
		}
	}
}

// StoreConfirmed records that a read of the store, started at the given time,
// returned the given revision. The caller has activated that revision if it is newer. An earlier one
// confirms nothing: the read was slow, or the store has gone back, and what is accepted there from now on
// may have revisions that seem to be older.
func (s *State) StoreConfirmed(now, at time.Time, revision int64, document []byte) []Action {
	s.storeUnavailable = false
	if revision > s.revision {
		s.setRevision(revision, document)
	}
	if revision == s.revision {
		s.confirm(at)
	}
	return s.sendChanges(now)
}

// StoreFailed records that a request to the store failed.
func (s *State) StoreFailed(now time.Time) []Action {
	s.storeUnavailable = true
	return s.sendChanges(now)
}

func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// LinkUp adds a link.
func (s *State) LinkUp(now time.Time, link LinkID, process string, role Role) []Action {
	s.links[link] = &Peer{Process: process, Role: role, Since: now}
	return s.sendChanges(now)
}

// LinkDown removes a link.
func (s *State) LinkDown(now time.Time, link LinkID) []Action {
	delete(s.links, link)
	return s.sendChanges(now)
}

// Receive handles a frame from a peer.
func (s *State) Receive(now time.Time, link LinkID, frame Frame) []Action {
	peer, ok := s.links[link]
	if !ok {
		return nil
	}
	s.recordFrame(now, peer, frame)
	var actions []Action
	if frame.Document != nil && frame.Revision > s.revision {
		actions = append(actions, Action{Apply: &Apply{Revision: frame.Revision, Document: frame.Document, From: peer.Process}})
	}
	if frame.WantDocument {
		actions = append(actions, s.send(now, link, peer, true))
	}
	if documentRequest, ok := s.requestDocument(now, link, peer); ok && frame.Document == nil {
		actions = append(actions, documentRequest)
	}
	return append(actions, s.sendChanges(now)...)
}

func (s *State) recordFrame(now time.Time, peer *Peer, frame Frame) {
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
	// The revision that the peer knew to be the newest is not newer than the one
	// active here, so its confirmation counts here too.
	if frame.Revision <= s.revision {
		s.confirm(frame.Confirmed)
	}
}

// requestDocument requests a peer's document if the peer has a newer revision and
// that document was not requested within documentRequestTimeout.
func (s *State) requestDocument(now time.Time, link LinkID, peer *Peer) (Action, bool) {
	if peer.Revision <= s.revision {
		return Action{}, false
	}
	if s.requestedRevision >= peer.Revision && now.Sub(s.requestedAt) < documentRequestTimeout {
		return Action{}, false
	}
	s.requestedRevision = peer.Revision
	s.requestedAt = now
	action := s.send(now, link, peer, false)
	action.Send.Frame.WantDocument = true
	return action, true
}

// Tick sends the document requests and refreshes that are due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	for _, link := range s.sortedLinks() {
		peer := s.links[link]
		if documentRequest, ok := s.requestDocument(now, link, peer); ok {
			actions = append(actions, documentRequest)
		}
		if now.Sub(peer.lastSentAt) >= RefreshInterval {
			actions = append(actions, s.send(now, link, peer, false))
		}
	}
	return actions
}

func (s *State) sortedLinks() []LinkID { return slices.Sorted(maps.Keys(s.links)) }

// sendChanges sends a frame on every link whose last frame is out of date.
func (s *State) sendChanges(now time.Time) []Action {
	var actions []Action
	entries := s.linkedEntries()
	for _, link := range s.sortedLinks() {
		peer := s.links[link]
		if peer.lastSent != s.summarize(peer, entries) {
			actions = append(actions, s.send(now, link, peer, false))
		}
	}
	return actions
}

func (s *State) summarize(peer *Peer, entries []EntryStatus) frameSummary {
	summary := frameSummary{revision: s.revision, storeUnavailable: s.storeUnavailable}
	if s.role == Agent && peer.Role == Entry {
		summary.entries = entriesDigest(entries)
	}
	return summary
}

func entriesDigest(entries []EntryStatus) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e.Process)
		status := []byte{0, byte(e.Revision), byte(e.Revision >> 8), byte(e.Revision >> 16), byte(e.Revision >> 24), 0}
		if e.StoreUnavailable {
			status[5] = 1
		}
		_, _ = d.Write(status)
	}
	return d.Sum64()
}

func (s *State) send(now time.Time, link LinkID, peer *Peer, document bool) Action {
	entries := s.linkedEntries()
	frame := Frame{Revision: s.revision, Confirmed: s.confirmed, StoreUnavailable: s.storeUnavailable}
	if s.role == Agent && peer.Role == Entry {
		frame.Entries = entries
	}
	if document {
		frame.Document = s.document
	}
	peer.lastSent = s.summarize(peer, entries)
	peer.lastSentAt = now
	return Action{Send: &Send{Link: link, Frame: frame}}
}

// linkedEntries returns the entries that have a link to this process, without
// duplicates and sorted by name.
func (s *State) linkedEntries() []EntryStatus {
	byName := map[string]EntryStatus{}
	for _, peer := range s.links {
		if peer.Role != Entry {
			continue
		}
		existing, ok := byName[peer.Process]
		if ok && existing.Revision > peer.Revision {
			continue
		}
		byName[peer.Process] = EntryStatus{Process: peer.Process, Revision: peer.Revision, StoreUnavailable: peer.StoreUnavailable}
	}
	return sortedByName(byName)
}

func sortedByName(byName map[string]EntryStatus) []EntryStatus {
	list := make([]EntryStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// Peers returns the known state of the linked processes, sorted by name.
func (s *State) Peers() []Peer {
	list := make([]Peer, 0, len(s.links))
	for _, peer := range s.links {
		list = append(list, *peer)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// OtherEntries returns the other entries that agents reported, sorted by name.
func (s *State) OtherEntries() []EntryStatus {
	byName := map[string]EntryStatus{}
	for _, peer := range s.links {
		for _, e := range peer.Entries {
			existing, ok := byName[e.Process]
			if e.Process != s.process && (!ok || existing.Revision <= e.Revision) {
				byName[e.Process] = e
			}
		}
	}
	return sortedByName(byName)
}

// WatchesStore reports whether this process should watch the store: whether it is an
// entry and among the first Watchers by rendezvous hash of the entries that reach the
// store. An entry that knows of no other entry watches.
func (s *State) WatchesStore() bool {
	if s.role != Entry {
		return false
	}
	before := 0
	ownRank := watcherRank(s.process)
	for _, other := range s.OtherEntries() {
		if !other.StoreUnavailable && watcherRank(other.Process) < ownRank {
			before++
		}
	}
	return before < Watchers
}

func watcherRank(process string) uint64 { return xxhash.Sum64String("watch/" + process) }
