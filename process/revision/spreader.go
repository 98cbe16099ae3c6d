package revision

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	// tickEvery is the period at which the core looks for what is due.
	tickEvery = 250 * time.Millisecond
	// commandBuffer is how many commands may wait for the goroutine of the state.
	commandBuffer = 256
	// frameBuffer is how many frames may wait for one link.
	frameBuffer = 16
)

// Gossiper spreads revisions over the links of a process. One goroutine owns its
// state.
type Gossiper struct {
	holder   *Active
	commands chan func(now time.Time) []gossip.Action
	done     chan struct{}
	state    *gossip.State
	sessions map[gossip.LinkID]*Session
	lastLink atomic.Uint64
	watches  atomic.Bool
	// turned is signalled when watches changed.
	turned chan struct{}
}

// NewGossiper returns a spreader that does nothing until Run.
func NewGossiper(process string, role gossip.Role, holder *Active) *Gossiper {
	s := &Gossiper{
		holder:   holder,
		commands: make(chan func(time.Time) []gossip.Action, commandBuffer),
		done:     make(chan struct{}),
		state:    gossip.New(process, role),
		sessions: map[gossip.LinkID]*Session{},
		turned:   make(chan struct{}, 1),
	}
	s.watches.Store(s.state.WatchesStore())
	return s
}

// Run owns the state until ctx ends.
func (s *Gossiper) Run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-s.commands:
			s.perform(command(time.Now()))
		case now := <-ticker.C:
			s.perform(s.state.Tick(now))
			s.publishWatches()
		}
		s.holder.confirm(s.state.Confirmed())
	}
}

// WatchesStore says whether this process is one of those that watch the store.
func (s *Gossiper) WatchesStore() bool { return s.watches.Load() }

func (s *Gossiper) do(command func(now time.Time) []gossip.Action) {
	select {
	case s.commands <- command:
	case <-s.done:
	}
}

func (s *Gossiper) perform(actions []gossip.Action) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			s.send(*action.Send)
		case action.Apply != nil:
			s.adopt(*action.Apply)
		}
	}
}

func (s *Gossiper) send(send gossip.Send) {
	session, ok := s.sessions[send.Link]
	if !ok {
		return
	}
	select {
	case session.frames <- encode(send.Frame, time.Now()):
	default:
		// The link does not drain; what is due is repeated later.
	}
}

func (s *Gossiper) adopt(adopt gossip.Apply) {
	taken, err := s.holder.Put(version.Revision(adopt.Revision), adopt.Document, adopt.From)
	if err != nil {
		klog.InfoS("configuration not taken", "revision", adopt.Revision, "from", adopt.From, "err", err)
		return
	}
	if taken {
		klog.InfoS("configuration in force", "revision", adopt.Revision, "from", adopt.From)
		s.perform(s.state.Activate(time.Now(), adopt.Revision, adopt.Document))
	}
}

// publishWatches tells the follower whether this process watches the store. It
// goes through all that agents tell, so it is done at ticks only.
func (s *Gossiper) publishWatches() {
	if s.watches.Swap(s.state.WatchesStore()) != s.watches.Load() {
		select {
		case s.turned <- struct{}{}:
		default:
		}
	}
}

// fromStore takes in what the store held when it was asked at the given time.
func (s *Gossiper) fromStore(asked time.Time, revision int64, body []byte) error {
	if err := s.put(revision, body); err != nil {
		return err
	}
	s.do(func(now time.Time) []gossip.Action { return s.state.StoreConfirmed(now, asked, revision, body) })
	return nil
}

// fromWatch takes in a change that a watch reported. It may have been under way
// for long, so it confirms nothing.
func (s *Gossiper) fromWatch(revision int64, body []byte) error {
	if err := s.put(revision, body); err != nil {
		return err
	}
	s.do(func(now time.Time) []gossip.Action { return s.state.Activate(now, revision, body) })
	return nil
}

func (s *Gossiper) put(revision int64, body []byte) error {
	taken, err := s.holder.Put(version.Revision(revision), body, SourceStore)
	if taken {
		klog.InfoS("configuration in force", "revision", revision, "from", SourceStore)
	}
	return err
}

func (s *Gossiper) storeFailed() {
	s.do(func(now time.Time) []gossip.Action { return s.state.StoreFailed(now) })
}

// View is what a process knows of the spread of revisions.
type View struct {
	WatchesStore bool
	Peers        []gossip.Peer
	Others       []gossip.EntryStatus
}

// View returns what is known now.
func (s *Gossiper) View() View {
	reply := make(chan View, 1)
	s.do(func(time.Time) []gossip.Action {
		reply <- View{WatchesStore: s.state.WatchesStore(), Peers: s.state.Peers(), Others: s.state.OtherEntries()}
		return nil
	})
	select {
	case view := <-reply:
		return view
	case <-s.done:
		return View{}
	}
}

// Session is the spread of revisions over one link.
type Session struct {
	spreader *Gossiper
	link     gossip.LinkID
	frames   chan wire.ControlFrame
	left     chan struct{}
}

// OpenSession begins a session with the process at the other end of a link. The frames
// for it are passed to write until that fails or the session is left.
func (s *Gossiper) OpenSession(process string, role gossip.Role, write func(frame any) error) *Session {
	session := &Session{
		spreader: s,
		link:     gossip.LinkID(s.lastLink.Add(1)),
		frames:   make(chan wire.ControlFrame, frameBuffer),
		left:     make(chan struct{}),
	}
	go session.pump(write)
	s.do(func(now time.Time) []gossip.Action {
		s.sessions[session.link] = session
		return s.state.LinkUp(now, session.link, process, role)
	})
	return session
}

func (s *Session) pump(write func(frame any) error) {
	for {
		select {
		case frame := <-s.frames:
			if write(frame) != nil {
				return
			}
		case <-s.left:
			return
		case <-s.spreader.done:
			return
		}
	}
}

// Receive takes in a control frame of the peer.
func (s *Session) Receive(frame wire.ControlFrame) {
	if frame.Gossip == nil {
		return
	}
	s.spreader.do(func(now time.Time) []gossip.Action {
		return s.spreader.state.Receive(now, s.link, decode(frame, now))
	})
}

// Close ends the session.
func (s *Session) Close() {
	close(s.left)
	s.spreader.do(func(now time.Time) []gossip.Action {
		delete(s.spreader.sessions, s.link)
		return s.spreader.state.LinkDown(now, s.link)
	})
}

func encode(frame gossip.Frame, now time.Time) wire.ControlFrame {
	message := &wire.Gossip{StoreUnavailable: frame.StoreUnavailable}
	if !frame.Confirmed.IsZero() {
		message.ConfirmedAgeMillis = 1 + max(0, now.Sub(frame.Confirmed).Milliseconds())
	}
	for _, e := range frame.Entries {
		message.Entries = append(message.Entries, wire.EntryStatus(e))
	}
	return wire.ControlFrame{
		Revision:     frame.Revision,
		Document:     frame.Document,
		WantDocument: frame.WantDocument,
		Gossip:       message,
	}
}

func decode(message wire.ControlFrame, now time.Time) gossip.Frame {
	frame := gossip.Frame{
		Revision:         message.Revision,
		Document:         message.Document,
		WantDocument:     message.WantDocument,
		StoreUnavailable: message.Gossip.StoreUnavailable,
	}
	if age := message.Gossip.ConfirmedAgeMillis; age > 0 {
		frame.Confirmed = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, e := range message.Gossip.Entries {
		frame.Entries = append(frame.Entries, gossip.EntryStatus(e))
	}
	return frame
}
