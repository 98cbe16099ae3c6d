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
	// tickInterval is the period at which the gossip state sends frames that are due.
	tickInterval = 250 * time.Millisecond
	// commandBuffer is how many commands may wait for the goroutine that owns the state.
	commandBuffer = 256
	// frameBuffer is how many frames may wait for one link.
	frameBuffer = 16
)

// Gossiper distributes revisions over the links of a process. One goroutine owns its
// state.
type Gossiper struct {
	active   *Active
	commands chan func(now time.Time) []gossip.Action
	done     chan struct{}
	state    *gossip.State
	sessions map[gossip.LinkID]*Session
	lastLink atomic.Uint64
	watches  atomic.Bool
	// watchesChanged is signaled when watches changes.
	watchesChanged chan struct{}
}

// NewGossiper returns a Gossiper that is idle until Run is called.
func NewGossiper(process string, role gossip.Role, active *Active) *Gossiper {
	g := &Gossiper{
		active:         active,
		commands:       make(chan func(time.Time) []gossip.Action, commandBuffer),
		done:           make(chan struct{}),
		state:          gossip.New(process, role),
		sessions:       map[gossip.LinkID]*Session{},
		watchesChanged: make(chan struct{}, 1),
	}
	g.watches.Store(g.state.WatchesStore())
	return g
}

// Run processes commands and ticks until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-g.commands:
			g.perform(command(time.Now()))
		case now := <-ticker.C:
			g.perform(g.state.Tick(now))
			g.publishWatches()
		}
		g.active.recordConfirmed(g.state.Confirmed())
	}
}

// WatchesStore reports whether this process should watch the store.
func (g *Gossiper) WatchesStore() bool { return g.watches.Load() }

func (g *Gossiper) submit(command func(now time.Time) []gossip.Action) {
	select {
	case g.commands <- command:
	case <-g.done:
	}
}

func (g *Gossiper) perform(actions []gossip.Action) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			g.send(*action.Send)
		case action.Apply != nil:
			g.apply(*action.Apply)
		}
	}
}

func (g *Gossiper) send(send gossip.Send) {
	session, ok := g.sessions[send.Link]
	if !ok {
		return
	}
	select {
	case session.frames <- encodeFrame(send.Frame, time.Now()):
	default:
		// The link is blocked. The frame is dropped; the gossip state sends refreshes and
		// document requests again at later ticks.
	}
}

func (g *Gossiper) apply(received gossip.Apply) {
	activated, err := g.active.Put(version.Revision(received.Revision), received.Document, received.From)
	if err != nil {
		klog.InfoS("configuration rejected", "revision", received.Revision, "from", received.From, "err", err)
		return
	}
	if activated {
		klog.InfoS("configuration activated", "revision", received.Revision, "from", received.From)
		g.perform(g.state.Activate(time.Now(), received.Revision, received.Document))
	}
}

// publishWatches tells the StoreWatcher whether this process should watch the store.
// It evaluates the reports of all agents, so it runs only at ticks.
func (g *Gossiper) publishWatches() {
	if g.watches.Swap(g.state.WatchesStore()) != g.watches.Load() {
		select {
		case g.watchesChanged <- struct{}{}:
		default:
		}
	}
}

// handleStoreRead handles the result of a read of the store that started at readAt.
func (g *Gossiper) handleStoreRead(readAt time.Time, revision int64, body []byte) error {
	if err := g.activateStored(revision, body); err != nil {
		return err
	}
	g.submit(func(now time.Time) []gossip.Action { return g.state.StoreConfirmed(now, readAt, revision, body) })
	return nil
}

// handleWatchEvent handles a change reported by a watch. The event may be delayed, so
// it does not confirm that the revision is the newest.
func (g *Gossiper) handleWatchEvent(revision int64, body []byte) error {
	if err := g.activateStored(revision, body); err != nil {
		return err
	}
	g.submit(func(now time.Time) []gossip.Action { return g.state.Activate(now, revision, body) })
	return nil
}

func (g *Gossiper) activateStored(revision int64, body []byte) error {
	activated, err := g.active.Put(version.Revision(revision), body, SourceStore)
	if activated {
		klog.InfoS("configuration activated", "revision", revision, "from", SourceStore)
	}
	return err
}

func (g *Gossiper) storeFailed() {
	g.submit(func(now time.Time) []gossip.Action { return g.state.StoreFailed(now) })
}

// View is the gossip state of a process as shown to operators.
type View struct {
	WatchesStore bool
	Peers        []gossip.Peer
	Others       []gossip.EntryStatus
}

// View returns the current gossip state.
func (g *Gossiper) View() View {
	reply := make(chan View, 1)
	g.submit(func(time.Time) []gossip.Action {
		reply <- View{WatchesStore: g.state.WatchesStore(), Peers: g.state.Peers(), Others: g.state.OtherEntries()}
		return nil
	})
	select {
	case view := <-reply:
		return view
	case <-g.done:
		return View{}
	}
}

// Session distributes revisions over one link.
type Session struct {
	gossiper *Gossiper
	link     gossip.LinkID
	frames   chan wire.ControlFrame
	closed   chan struct{}
}

// OpenSession opens a session with the process at the other end of a link. Frames for
// that process are passed to write until write fails or the session is closed.
func (g *Gossiper) OpenSession(process string, role gossip.Role, write func(frame any) error) *Session {
	session := &Session{
		gossiper: g,
		link:     gossip.LinkID(g.lastLink.Add(1)),
		frames:   make(chan wire.ControlFrame, frameBuffer),
		closed:   make(chan struct{}),
	}
	go session.writeFrames(write)
	g.submit(func(now time.Time) []gossip.Action {
		g.sessions[session.link] = session
		return g.state.LinkUp(now, session.link, process, role)
	})
	return session
}

func (s *Session) writeFrames(write func(frame any) error) {
	for {
		select {
		case frame := <-s.frames:
			if write(frame) != nil {
				return
			}
		case <-s.closed:
			return
		case <-s.gossiper.done:
			return
		}
	}
}

// Receive handles a control frame from the peer.
func (s *Session) Receive(frame wire.ControlFrame) {
	if frame.Gossip == nil {
		return
	}
	s.gossiper.submit(func(now time.Time) []gossip.Action {
		return s.gossiper.state.Receive(now, s.link, decodeFrame(frame, now))
	})
}

// Close ends the session.
func (s *Session) Close() {
	close(s.closed)
	s.gossiper.submit(func(now time.Time) []gossip.Action {
		delete(s.gossiper.sessions, s.link)
		return s.gossiper.state.LinkDown(now, s.link)
	})
}

func encodeFrame(frame gossip.Frame, now time.Time) wire.ControlFrame {
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

func decodeFrame(message wire.ControlFrame, now time.Time) gossip.Frame {
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
